// Package tallier keeps client accounts within rate and burst over all nodes together.
//
// Each node tells the others how many requests of an account it let in within the last window and how many
// were asked for. Well below the limit a node lets everything in. Near it, each node lets in its share of
// what fits into the window, by its share of the demand.
package tallier

import (
	"time"
)

const (
	// freeShare is the part of the window's limit up to which a node lets everything in. The rest covers
	// what other nodes let in before they hear: up to a fifth of the window's limit in a report period at
	// seven times the rate.
	freeShare = 0.65
	// freeExtra is added to it, in requests: it matters for small accounts, where little goes unheard.
	freeExtra = 6
	// demandSpan is the time over which the demand is averaged.
	demandSpan = time.Second
	// bucketSpan is how much of its share a node saves up, and leastBucket the least, in requests: an account
	// with few requests at many nodes would lose most of its rate to empty moments.
	bucketSpan  = 800 * time.Millisecond
	leastBucket = 2
	// slices is the number of parts in which a window is counted. One more is kept, so that nothing leaves the
	// count before it has left the window.
	slices = 20
	kept   = slices + 1
	// passShare is how much more than its limit an account may press on the entrance, passSpan how long it may
	// save that up, leastPasses the least, in requests.
	passShare   = 1.5
	passSpan    = 2 * time.Second
	leastPasses = 6
	// unheardPart is the part of the latest one and a half slices that reports have not told yet: they are
	// a fifth of a second old at the most.
	unheardPart = 0.5
	// newsAfter is when a node that has started has heard from the others.
	newsAfter = 1500 * time.Millisecond
	// leastDemand keeps a share for a node that has not been asked yet, in requests a second.
	leastDemand = 0.2
)

// Limit is what an account may use.
type Limit struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Tally is what a node tells of one account.
type Tally struct {
	// Window counts the requests that were let in within the last window.
	Window float64
	// Demand is in requests a second.
	Demand float64
}

// Tallier counts for one node. Times are spans since an arbitrary start on a clock that also counts while
// the VM is suspended. It is not safe for concurrent use.
type Tallier struct {
	// Window is the span in which rate and burst are counted.
	Window time.Duration
	// Started is when the node started. Until a window later it does not know what it let in before, so it
	// keeps to its share.
	Started time.Duration

	accounts map[string]*account
	nodes    int
}

type account struct {
	counts  [kept]float64
	slice   int64
	offered float64
	demand  float64
	since   time.Duration
	// tokens bound what is let in near the limit, passes what presses on the entrance.
	tokens float64
	passes float64
	filled time.Duration
	others map[string]report
	// near says that the account was close to its limit when it was last asked for.
	near bool
}

type report struct {
	Tally
	at time.Duration
}

func (t *Tallier) account(now time.Duration, name string) *account {
	if t.accounts == nil {
		t.accounts = map[string]*account{}
	}
	a := t.accounts[name]
	if a == nil {
		a = &account{others: map[string]report{}, since: now, filled: now, passes: leastPasses}
		t.accounts[name] = a
	}
	a.turn(now, t.Window)
	return a
}

// turn drops the slices that have left the window and measures the demand.
func (a *account) turn(now, window time.Duration) {
	current := int64(now / (window / slices))
	for ; a.slice < current; a.slice++ {
		if current-a.slice > kept {
			a.slice = current - kept
		}
		a.counts[(a.slice+1)%kept] = 0
	}
	span := now - a.since
	if span < demandSpan/4 {
		return
	}
	weight := min(1, span.Seconds()/demandSpan.Seconds())
	a.demand += weight * (a.offered/span.Seconds() - a.demand)
	a.offered = 0
	a.since = now
}

func (a *account) own() float64 {
	sum := 0.0
	for _, n := range a.counts {
		sum += n
	}
	return sum
}

// Heard notes what another node tells of an account.
func (t *Tallier) Heard(now time.Duration, node, name string, tally Tally) {
	t.account(now, name).others[node] = report{Tally: tally, at: now}
}

// Fleet notes the number of nodes.
func (t *Tallier) Fleet(n int) { t.nodes = n }

// Admit says whether a request of the account is within its limit, and how long to wait otherwise. An
// admitted request counts against the limit once Count is told that it goes on to a target. Requests that are
// refused later for another reason are bounded too: an account far over its rate must not press on the
// entrance with more than passShare of it.
func (t *Tallier) Admit(now time.Duration, name string, limit Limit) (bool, time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	a := t.account(now, name)
	a.offered++
	most := limit.Rate*t.Window.Seconds() + limit.Burst
	used, unheard, demand := a.fleet(now, t.Window, most/t.Window.Seconds())
	settled := now-t.Started >= t.Window
	a.near = used > freeShare/2*most
	rate := most / t.Window.Seconds()
	if !settled {
		// What was let in before the start may still be within the window, so there is no burst.
		rate = limit.Rate
	}
	share := t.share(now, a, demand)
	rate *= share
	a.fill(now, rate)
	free := settled && used+unheard+1 <= freeShare*most+freeExtra
	if a.passes >= 1 && (free || (a.tokens >= 1 && used+a.alike(share)+1 <= most)) {
		a.passes--
		return true, 0
	}
	return false, time.Duration((1 - min(a.tokens, 1)) / max(rate, 0.1) * float64(time.Second))
}

// Count notes that an admitted request goes on to a target.
func (t *Tallier) Count(now time.Duration, name string) {
	a := t.account(now, name)
	a.counts[a.slice%kept]++
	a.tokens = max(a.tokens-1, 0)
}

// fleet returns what all nodes let in within the window, as far as this one knows, what they may have let in
// since they told it, and the demand. A node lets in at most its demand, and at most its part of the rate.
func (a *account) fleet(now, window time.Duration, rate float64) (used, unheard, demand float64) {
	demand = max(a.demand, leastDemand)
	for node, r := range a.others {
		if now-r.at > 2*window {
			delete(a.others, node)
			continue
		}
		demand += r.Demand
	}
	used = a.own()
	for _, r := range a.others {
		since := min(now-r.at, window/slices).Seconds()
		used += r.Window
		unheard += since * min(r.Demand, rate*r.Demand/demand)
	}
	return used, unheard, demand
}

// alike returns what the other nodes may have let in unheard, if they did as this one did of late.
func (a *account) alike(share float64) float64 {
	if share <= 0 || share >= 1 {
		return 0
	}
	latest := a.counts[a.slice%kept] + a.counts[(a.slice+kept-1)%kept]/2
	return latest * (1 - share) / share * unheardPart
}

// share is the node's part of the demand. Until the others can have told theirs it is an equal part, and
// nothing before the number of nodes is known.
func (t *Tallier) share(now time.Duration, a *account, demand float64) float64 {
	switch {
	case t.nodes == 0:
		return 0
	case now-t.Started < newsAfter || (len(a.others) == 0 && t.nodes > 1):
		return 1 / float64(t.nodes)
	default:
		return max(a.demand, leastDemand) / demand
	}
}

func (a *account) fill(now time.Duration, rate float64) {
	span := (now - a.filled).Seconds()
	a.filled = now
	a.tokens = min(a.tokens+rate*span, max(leastBucket, rate*bucketSpan.Seconds()))
	a.passes = min(a.passes+passShare*rate*span, max(leastPasses, passShare*rate*passSpan.Seconds()))
}

// Urgent says whether an account is close to its limit, so that the other nodes must hear soon.
func (t *Tallier) Urgent(now time.Duration) bool {
	for _, a := range t.accounts {
		if a.near && now-a.since < t.Window && a.demand > leastDemand {
			return true
		}
	}
	return false
}

// Tallies returns what this node tells of the accounts that were used within the window.
func (t *Tallier) Tallies(now time.Duration) map[string]Tally {
	out := map[string]Tally{}
	for name := range t.accounts {
		a := t.account(now, name)
		own := a.own()
		if own > 0 || a.demand > leastDemand {
			out[name] = Tally{Window: own, Demand: a.demand}
		}
	}
	return out
}
