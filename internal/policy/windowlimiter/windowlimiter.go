// Package windowlimiter limits the request rate and burst of client accounts across all nodes.
//
// Each node reports to the others how many requests of an account it admitted within the last window,
// and the rate at which requests were offered. Well below the limit, a node admits every request. Near
// the limit, a node admits requests in proportion to its share of the demand, as long as they still fit
// into the window.
//
// Nodes that are not heard may still admit requests. Each of them keeps an equal part of the limit, so that the parts of
// a fleet that cannot hear each other together admit no more than the limit.
package windowlimiter

import (
	"slices"
	"time"
)

const (
	// unthrottledShare is the part of the window's limit up to which a node admits every request. The
	// rest covers requests that other nodes have admitted and not yet reported: up to a fifth of the
	// window's limit in one report period at seven times the rate.
	unthrottledShare = 0.65
	// unthrottledExtra is added to that part, in requests. It matters for accounts with a low rate, which
	// have few unreported requests.
	unthrottledExtra = 6
	// throttledShare is the part of the window's limit up to which a node admits its share. The rest covers requests that
	// other nodes admit at the same moment, when a part of the window becomes free.
	throttledShare = 0.94
	// demandWindow is the time over which the demand is averaged.
	demandWindow = time.Second
	// rateTokenSpan is the time over which a node accumulates unused rate, and minRateTokens the
	// minimum capacity of that token bucket, in requests. With smaller buckets, an account with few
	// requests at many nodes would lose most of its rate to idle periods.
	rateTokenSpan = 500 * time.Millisecond
	minRateTokens = 2
	// sliceCount is the number of slices in which the requests of a window are counted. The ring has one
	// slice more, so that a request stays in the count until it has left the window.
	sliceCount = 20
	ringSize   = sliceCount + 1
	// admitFactor limits, as a multiple of the account's limit, the requests that go on to load
	// shedding, whether or not it refuses them. admitTokenSpan is the time over which unused requests
	// accumulate, and minAdmitTokens the minimum capacity of that token bucket, in requests.
	admitFactor    = 1.5
	admitTokenSpan = 2 * time.Second
	minAdmitTokens = 6
	// unreportedShare is the part of the latest one and a half slices that is not reported yet, given that
	// reports are at most a fifth of a second old.
	unreportedShare = 0.65
	// unreportedUse and unreportedExtra limit what the nodes together may have admitted without a report, as a part of
	// the window's limit and in requests. unreportedDemand does so for the demand, as a part of the rate.
	unreportedUse    = 0.04
	unreportedExtra  = 4
	unreportedDemand = 0.3
	// warmUpTime is the time after its start in which a node receives the first reports from the others.
	warmUpTime = time.Second
	// startRetryDelay is the longest time after which a caller is told to come back once the demand is known, until the
	// node has run for a window.
	startRetryDelay = 600 * time.Millisecond
	// startReserve is the part of the rate that a node withholds as it starts, if the account has no burst. It declines to
	// none within a window. The processes before the node may have admitted requests ahead of the rate, which is unknown if
	// all of them are lost. A burst of a second of the rate, which is not admitted in that window, covers that.
	startReserve = 0.2
	// floodReserve is withheld in addition, if the account has no burst, while its demand is maxFloodDemand times its rate
	// or more; at minFloodDemand times the rate and below, nothing is. In a flood with reports 0.2 s late, lost processes
	// have admitted more than startReserve covers. Only a burst of floodReserveBurst covers that.
	floodReserve      = 0.35
	minFloodDemand    = 2
	maxFloodDemand    = 5
	floodReserveBurst = 1200 * time.Millisecond
	// silenceTimeout is the time without any report after which a node is taken for silent. Nodes that have nothing to
	// report say so once a second. From lagTime on, a node may have used a growing part of its share of the limit.
	silenceTimeout = 2 * time.Second
	lagTime        = 400 * time.Millisecond
	// minShare is the minimum share of the rate that a node saves, as a part of an equal share.
	minShare = 0.5
	// minDemand is the minimum demand of a node, in requests per second, so that a node without any
	// requests yet has a share.
	minDemand = 0.2
)

// Limit is the rate limit of a client account.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Usage is a node's report on the use of one account's limit.
type Usage struct {
	// Admitted counts the requests that were admitted within the last window.
	Admitted float64
	// Demand is the rate of offered requests per second.
	Demand float64
}

// Limiter applies the rate limits on one node. Times are durations since an arbitrary start, on a clock
// that also runs while the VM is suspended. It is not safe for concurrent use.
type Limiter struct {
	// Window is the duration over which requests are counted against rate and burst.
	Window time.Duration
	// Started is when the node started. For one window after that, the requests that the node admitted
	// before the start may still count, but their number is unknown. The node then admits only its share.
	Started time.Duration
	// Random returns a number in [0, 1). The nodes spread their first requests of an account with it: each of them begins
	// with a random part of a token, so that together they admit at the account's rate from the start on. Without it,
	// each node of a large fleet would first have to save a whole token at its small share of the rate.
	Random func() float64

	accounts map[string]*account
	// indexes holds the position of each other node in others and in the reports of an account.
	indexes map[string]int
	others  []other
	// nodes is the number of nodes that share the limits, and heard the number of those that are not silent. Both count
	// this node.
	nodes, heard int
}

// other is what is known of another node.
type other struct {
	// member is set if the node shares the limits.
	member bool
	// heardAt is when the node was heard last, and completeAt when its latest report of all accounts was received.
	heardAt, completeAt time.Duration
	// started identifies the process that sent the latest report of all accounts.
	started int64
	silent  bool
}

type account struct {
	counts       [ringSize]float64
	currentSlice int64
	offered      float64
	demand       float64
	demandSince  time.Duration
	// observedSince is when the node began to count the offered requests, or earlier than the demand window.
	observedSince time.Duration
	// rateTokens limits admission near the account's limit; admitTokens limits the requests that go on to
	// load shedding.
	rateTokens  float64
	admitTokens float64
	refilledAt  time.Duration
	// reports holds the latest report of each other node.
	reports []report
	// ended holds the latest reports of processes that a newer one has replaced. What they admitted may still be within
	// the window.
	ended []report
	// reported is what this node has last reported.
	reported Usage
	// windowLimit is the number of requests that the account may send within a window, used the number that all nodes
	// are known to have admitted and fleetDemand their known demand, all at the account's latest request.
	windowLimit float64
	used        float64
	fleetDemand float64
}

type report struct {
	Usage
	at time.Duration
	// started is when the process that sent the report started.
	started int64
}

// current returns the account with the counts of the window that ends now.
func (l *Limiter) current(now time.Duration, name string) *account {
	a := l.account(now, name)
	a.advance(now, l.Window)
	return a
}

func (l *Limiter) account(now time.Duration, name string) *account {
	if l.accounts == nil {
		l.accounts = map[string]*account{}
	}
	a := l.accounts[name]
	if a == nil {
		a = &account{demandSince: now, observedSince: now - demandWindow, refilledAt: now, admitTokens: minAdmitTokens}
		if now-l.Started < demandWindow {
			// There have been no requests since the start.
			a.demandSince = min(l.Started, now)
			a.observedSince = a.demandSince
		}
		if l.Random != nil {
			a.rateTokens = l.Random()
		}
		l.accounts[name] = a
	}
	return a
}

// advance drops the slices that have left the window and updates the demand.
func (a *account) advance(now, window time.Duration) {
	current := int64(now / (window / sliceCount))
	for ; a.currentSlice < current; a.currentSlice++ {
		if current-a.currentSlice > ringSize {
			a.currentSlice = current - ringSize
		}
		a.counts[(a.currentSlice+1)%ringSize] = 0
	}
	span := now - a.demandSince
	if span < demandWindow/4 {
		return
	}
	// Until a demand window has passed, the demand is the average since the start. An average that grows from zero would
	// be higher here than in the older reports of the other nodes, and the shares of all nodes would exceed the whole.
	weight := min(1, span.Seconds()/min(demandWindow, now-a.observedSince).Seconds())
	a.demand += weight * (a.offered/span.Seconds() - a.demand)
	a.offered = 0
	a.demandSince = now
}

func (a *account) admitted() float64 {
	sum := 0.0
	for _, n := range a.counts {
		sum += n
	}
	return sum
}

// Process identifies a process of a node.
type Process struct {
	Node string
	// Started increases with each process of the node.
	Started int64
}

// Receive records a report of another node on the given accounts. A complete report has all accounts that the node has
// used within the window. A node that was silent is heard again from its next complete report on, since its use is not
// known before.
func (l *Limiter) Receive(now time.Duration, from Process, usages map[string]Usage, complete bool) {
	i := l.index(now, from.Node)
	o := &l.others[i]
	if complete {
		o.completeAt, o.started = now, from.Started
		if o.member && o.silent {
			l.heard++
		}
		o.silent = false
	}
	if !o.silent {
		o.heardAt = now
	}
	for name, usage := range usages {
		l.receive(now, i, from.Started, name, usage)
	}
}

func (l *Limiter) receive(now time.Duration, index int, started int64, name string, usage Usage) {
	a := l.account(now, name)
	old := a.report(index)
	if old.started > started {
		return
	}
	if old.started < started && old.Admitted > 0 {
		a.dropEnded(now, l.Window)
		a.ended = append(a.ended, *old)
	}
	*old = report{Usage: usage, at: now, started: started}
}

// index returns the position of a node in others and in the reports of an account.
func (l *Limiter) index(now time.Duration, node string) int {
	i, ok := l.indexes[node]
	if !ok {
		if l.indexes == nil {
			l.indexes = map[string]int{}
		}
		i = len(l.others)
		l.indexes[node] = i
		l.others = append(l.others, other{heardAt: now})
	}
	return i
}

// SetMembers sets the names of the other nodes that share the limits, whether or not they are heard, and returns how many
// of them are silent.
func (l *Limiter) SetMembers(now time.Duration, others []string) (silent int) {
	for i := range l.others {
		l.others[i].member = false
	}
	for _, name := range others {
		l.others[l.index(now, name)].member = true
	}
	l.nodes, l.heard = 1, 1
	for i := range l.others {
		o := &l.others[i]
		o.silent = o.silent || now-o.heardAt > silenceTimeout
		if !o.member {
			continue
		}
		l.nodes++
		if !o.silent {
			l.heard++
		}
	}
	return l.nodes - l.heard
}

// report returns the report at the position, which may be empty.
func (a *account) report(i int) *report {
	if i >= len(a.reports) {
		a.reports = append(a.reports, make([]report, i+1-len(a.reports))...)
	}
	return &a.reports[i]
}

// Admit reports whether a request is within the account's limit and, if not, the time until the node's share of
// the rate allows another request. An admitted request counts against the limit only once Count is called for
// it. Requests for which Count is not called, because they are refused for another reason, are limited as well:
// at most admitFactor times the account's limit is passed on to load shedding.
func (l *Limiter) Admit(now time.Duration, name string, limit Limit) (bool, time.Duration) {
	if limit.Rate <= 0 && l.Window <= 0 {
		return true, 0
	}
	a := l.current(now, name)
	a.offered++
	if limit.Rate <= 0 {
		return true, 0
	}
	windowLimit := limit.Rate*l.Window.Seconds() + limit.Burst
	u := l.fleetUsage(now, a, windowLimit)
	heardShare := l.heardShare()
	// Silent nodes may use their part of the limit, and what they are known to have used before may exceed it.
	available := windowLimit - max(windowLimit*(1-heardShare), u.silent)
	historyComplete := now-l.Started >= l.Window
	a.windowLimit, a.used, a.fleetDemand = windowLimit, u.used+windowLimit-available, u.demand
	rate := max(available, 0) / l.Window.Seconds()
	if !historyComplete {
		// Requests admitted before the start may still be within the window, so the burst is allowed only as far as those
		// are known.
		known := l.knownPart(now, limit, u.used)
		withheld := limit.Rate * l.withheldPart(now, limit, u.demand)
		rate = heardShare * (limit.Rate - (1-known)*withheld + known*limit.Burst/l.Window.Seconds())
	}
	share := l.demandShare(now, a, u.demand)
	savedShare := share
	if historyComplete {
		// Between two requests of an account with few, its demand here is underestimated.
		savedShare = max(share, minShare/float64(max(l.heard, 1)))
	}
	a.refill(now, rate*savedShare, rate*share, heardShare)
	rate *= savedShare
	unthrottled := historyComplete && u.used+u.unreported+1 <= unthrottledShare*available+unthrottledExtra*heardShare
	// A node whose part is less than one request may still admit one when it has saved a token.
	fits := u.used+a.estimateUnreported(share)+1 <= max(throttledShare*available, 1)
	if a.admitTokens >= 1 && (unthrottled || (a.rateTokens >= 1 && fits)) {
		a.admitTokens--
		return true, 0
	}
	delay := time.Duration((1 - min(a.rateTokens, 1)) / max(rate, 0.1) * float64(time.Second))
	if !historyComplete {
		// The share grows as soon as the demand of the other nodes is known.
		delay = min(delay, max(l.Started+warmUpTime-now, startRetryDelay))
	}
	return false, delay
}

// withheldPart returns the part of the rate that this node withholds for requests that lost processes may have admitted
// ahead of the rate. Those were admitted before the start, so that each window which contains any of them and requests of
// this node contains this node's first ones: what is withheld early counts in all of these windows.
func (l *Limiter) withheldPart(now time.Duration, limit Limit, demand float64) float64 {
	burst := limit.Burst / limit.Rate
	flood := (demand/limit.Rate - minFloodDemand) / (maxFloodDemand - minFloodDemand)
	part := startReserve*max(1-burst, 0) + floodReserve*max(1-burst/floodReserveBurst.Seconds(), 0)*min(max(flood, 0), 1)
	return part * (1 - float64(now-l.Started)/float64(l.Window))
}

// knownPart returns which part of the rate's use within a window before the start is known, because not all nodes were lost.
func (l *Limiter) knownPart(now time.Duration, limit Limit, used float64) float64 {
	earlier := used - limit.Rate*(now-l.Started).Seconds()
	return min(max(earlier/(limit.Rate*l.Window.Seconds()), 0), 1)
}

// heardShare returns the share of the nodes that are heard, or 0 until the nodes are known.
func (l *Limiter) heardShare() float64 {
	if l.nodes == 0 {
		return 0
	}
	return float64(l.heard) / float64(l.nodes)
}

// Count records that an admitted request is sent to a target.
func (l *Limiter) Count(now time.Duration, name string) {
	a := l.current(now, name)
	a.counts[a.currentSlice%ringSize]++
	a.rateTokens = max(a.rateTokens-1, 0)
}

// fleetUsage is the known use of an account's limit.
type fleetUsage struct {
	// used counts the requests that this node and those that it hears have admitted within the window, and unreported
	// those that the others may have admitted since their latest reports.
	used, unreported float64
	// silent counts the requests that silent nodes are known to have admitted within the window.
	silent float64
	// demand is the demand of this node and those that it hears.
	demand float64
}

// fleetUsage returns the use of the account's limit. A node admits at most its demand and at most its share of the rate.
func (l *Limiter) fleetUsage(now time.Duration, a *account, windowLimit float64) fleetUsage {
	u := fleetUsage{used: a.admitted() + a.admittedByEnded(now, l.Window), demand: max(a.demand, minDemand)}
	part := windowLimit / float64(max(l.nodes, 1))
	unreported, longest := 0.0, l.Window/sliceCount
	if n := len(l.others); n > 0 {
		a.report(n - 1)
	}
	for i := range l.others {
		o, r := &l.others[i], &a.reports[i]
		if r.at < o.completeAt && (r.started == o.started || now-r.at >= l.Window) {
			// The node has used nothing since.
			*r = report{started: r.started}
		}
		if o.silent {
			if now-r.at < l.Window {
				u.silent += r.Admitted
			}
			continue
		}
		used := r.Admitted
		if o.member && now-o.heardAt > lagTime {
			used = max(used, o.lag(now)*part)
		}
		u.used += used
		u.demand += r.Demand
		unreported += r.Demand * float64(min(now-r.at, longest))
	}
	u.unreported = unreported / float64(time.Second) * min(1, windowLimit/l.Window.Seconds()/u.demand)
	return u
}

// lag returns the part of its share of the limit that the node may have used since it was heard, between 0 and 1.
func (o *other) lag(now time.Duration) float64 {
	return min(float64(now-o.heardAt-lagTime)/float64(silenceTimeout-lagTime), 1)
}

// admittedByEnded returns the requests within the window that ended processes may have admitted.
func (a *account) admittedByEnded(now, window time.Duration) float64 {
	a.dropEnded(now, window)
	sum := 0.0
	for _, r := range a.ended {
		sum += r.Admitted
	}
	return sum
}

// dropEnded removes the ended processes whose requests have left the window.
func (a *account) dropEnded(now, window time.Duration) {
	a.ended = slices.DeleteFunc(a.ended, func(r report) bool { return now-r.at >= window })
}

// estimateUnreported returns the requests that the other nodes may have admitted and not yet reported,
// assuming that they recently admitted in proportion to this node.
func (a *account) estimateUnreported(share float64) float64 {
	if share <= 0 || share >= 1 {
		return 0
	}
	recent := a.counts[a.currentSlice%ringSize] + a.counts[(a.currentSlice+ringSize-1)%ringSize]/2
	return recent * (1 - share) / share * unreportedShare
}

// demandShare returns this node's share of the demand of the nodes that it hears. The share is 0 until the nodes are known,
// and equal for all of them until the other nodes have had time to report their demand.
func (l *Limiter) demandShare(now time.Duration, a *account, demand float64) float64 {
	switch {
	case l.nodes == 0:
		return 0
	case now-l.Started < warmUpTime:
		return 1 / float64(l.heard)
	default:
		return max(a.demand, minDemand) / demand
	}
}

// refill adds to the tokens what the node saves of the given rates.
func (a *account) refill(now time.Duration, rate, admitRate, heardShare float64) {
	span := (now - a.refilledAt).Seconds()
	a.refilledAt = now
	a.rateTokens = min(a.rateTokens+rate*span, max(minRateTokens*heardShare, 1, rate*rateTokenSpan.Seconds()))
	a.admitTokens = min(a.admitTokens+admitFactor*admitRate*span, max(minAdmitTokens, admitFactor*admitRate*admitTokenSpan.Seconds()))
}
