// Package gateway serves the requests of clients and the child calls of the target on its VM. It decides whether to
// admit a request and sends an admitted request to a target.
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/event/loglimiter"
	"github.com/plantainwheel/plantainwheel/internal/fleet/isolator"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/peer/forwarder"
	"github.com/plantainwheel/plantainwheel/internal/policy/placer"
	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
	"github.com/plantainwheel/plantainwheel/internal/policy/windowlimiter"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// maxPlacements is the maximum number of times that one request is placed, including the first. A placement
	// chooses a target and sends the request to the target's node.
	maxPlacements = 4
	// maxQueueWait is the maximum time that a new request may wait in target queues. An early refusal is better
	// for the caller than a longer wait.
	maxQueueWait = 120 * time.Millisecond
	// queueWaitShare is the share of its objective that a new request may wait in target queues.
	queueWaitShare = 0.1
	// childCallQueueWaitShare is the share of its remaining time that a child call may wait in a target's queue. It
	// is larger because refusing a child call wastes the work already done for the requests that caused the call.
	childCallQueueWaitShare = 0.8
	// minRemainingTime is the remaining time below which a request is not placed again.
	minRemainingTime = 10 * time.Millisecond
	// transientRetryAfter is the retry delay suggested to callers after a transient failure of the fleet.
	transientRetryAfter = 300 * time.Millisecond
	// rateLimitedRetryAfter is the retry delay suggested if the targets take no more requests at present because of the
	// limits that they name.
	rateLimitedRetryAfter = time.Second
	// overloadRetryAfter is the retry delay suggested for a shed request when the admitted fraction of its class is
	// close to 1. It is divided by that fraction, so the delay grows as the fraction falls.
	overloadRetryAfter = 400 * time.Millisecond
	// crashedRetryAfter is the retry delay suggested for a request that has probably crashed its target, or that another
	// target is trying.
	crashedRetryAfter = 2 * time.Second
	// maxRetryAfter is the maximum retry delay sent to callers, because the load further ahead cannot be predicted.
	maxRetryAfter = 5 * time.Second
)

// Sender sends jobs to other nodes, which run them on their targets.
type Sender interface {
	Do(ctx context.Context, node, address string, job *executor.Job) *transporter.Answer
}

// Gateway is the HTTP handler of the VM's outbound address. It is safe for concurrent use.
type Gateway struct {
	Keeper       *keeper.Keeper
	Tracker      *tracker.Tracker
	Executor     *executor.Executor
	Sender       Sender
	RateLimits   *RateLimits
	Shedder      *Shedder
	RetryBudgets *RetryBudgets
	Flows        Flows
	// Returns, if set, gives refused requests a time to return.
	Returns *Returns
	// Isolator, if set, tells which requests crash targets.
	Isolator *isolator.Isolator
	Log      *log.Logger
	// RefusedLogLimiter limits the log lines of refused requests, ServedLogLimiter those of served requests.
	RefusedLogLimiter *loglimiter.Limiter
	ServedLogLimiter  *loglimiter.Limiter
	Metrics           *Metrics
	// NodeName is the name of this node, Service the service of its target.
	NodeName string
	Service  string
	// MaxConfigAge is the maximum time since the configuration was last confirmed for which client account keys are
	// checked against it. Above it, requests that need a key are refused.
	MaxConfigAge time.Duration

	inFlight atomic.Int64
	// stop is set once the node stops.
	stop atomic.Pointer[Stop]
}

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// request is the state of one request in the gateway.
type request struct {
	w         http.ResponseWriter
	r         *http.Request
	start     time.Time
	table     *matcher.Table
	route     *matcher.Route
	account   *matcher.Account
	childCall bool
	rank      int
	// root is the caller's request that this one belongs to: itself, or for a child call as far as it can be told.
	root executor.Root
	// deadline is the client's or the route's deadline, whichever is earlier.
	deadline time.Time
	body     transporter.Body
	// timed and limit are the body as it arrives.
	timed timedBody
	limit limitedBody
	// service is the service chosen to run the request.
	service string
	// sends counts the targets that the request was sent to.
	sends int
	// tried holds the nodes on whose targets the request was placed.
	tried     []string
	placement placement
	uri       string
	// returnPlanned is set if the request was refused and the time to return is to be sent as it is.
	returnPlanned bool
	// trial is set if only one target at a time may run the request.
	trial bool
	// signature is set while a crash of a target is known.
	signature quarantiner.Signature
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	q := &request{w: w, r: r, start: time.Now()}
	if v := g.check(q); v != nil {
		g.refuse(q, v)
		return
	}
	if v := g.admit(q); v != nil {
		g.refuse(q, v)
		return
	}
	g.serve(q)
}

// check finds the route and the client account, and validates the request's deadline and declared body length. It
// returns nil if the request is valid.
func (g *Gateway) check(q *request) *refusal {
	age := g.Keeper.Age(timekeeper.SinceBoot())
	q.table = g.Keeper.Table()
	if q.table == nil {
		return &refusal{http.StatusServiceUnavailable, "no-configuration", transientRetryAfter}
	}
	q.uri = rawURI(q.r)
	path, _, _ := strings.Cut(q.uri, "?")
	q.route = q.table.Route(q.r.Host, path)
	if q.route == nil {
		return &refusal{http.StatusNotFound, "no-route", 0}
	}
	if v := g.identify(q, age); v != nil {
		return v
	}
	if v := g.checkLimits(q); v != nil {
		return v
	}
	return g.checkStop(q)
}

// rawURI returns the path and query of the request as received.
func rawURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// identify finds the client account and sets the rank. A request without a key on an anonymous route is taken for a
// child call if the target is running a request that may have made it.
//
// The age of the configuration must be read after the request was received. A key that was withdrawn more than
// MaxConfigAge before the request was received is then never accepted.
func (g *Gateway) identify(q *request, age time.Duration) *refusal {
	q.rank = q.route.Rank(nil)
	if q.route.Anonymous {
		if q.r.Header.Get(platform.AuthorizationHeader) == "" && g.Executor.RecordCall(q.route.Name) {
			q.childCall = true
			q.rank = queuer.ChildCallRank
			q.root = g.Executor.RunningRoot(q.route.Name)
		} else {
			q.root = executor.Root{Rank: q.rank}
		}
		return nil
	}
	if age > g.MaxConfigAge {
		return &refusal{http.StatusServiceUnavailable, "configuration-not-confirmed", transientRetryAfter}
	}
	key, ok := strings.CutPrefix(q.r.Header.Get(platform.AuthorizationHeader), platform.BearerPrefix)
	if ok {
		q.account = q.table.Account(key)
	}
	if q.account == nil && len(q.table.Config.Accounts) > 0 {
		return &refusal{http.StatusUnauthorized, "no-account", 0}
	}
	q.rank = q.route.Rank(q.account)
	q.root = executor.Root{Rank: q.rank}
	if q.account != nil {
		q.root.Account = q.account.Name
	}
	return nil
}

// checkLimits sets the deadline and checks the body's declared length.
func (g *Gateway) checkLimits(q *request) *refusal {
	limit := q.route.Timeout
	if text := q.r.Header.Get(platform.DeadlineHeader); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 {
			return &refusal{http.StatusBadRequest, "malformed-deadline", 0}
		}
		limit = min(limit, time.Duration(ms*float64(time.Millisecond)))
	}
	q.deadline = q.start.Add(limit)
	if maxBytes := q.table.Config.Limits.MaxBodyBytes; maxBytes > 0 && q.r.ContentLength > maxBytes {
		return bodyTooLarge
	}
	return nil
}

// admit applies rate limits and load shedding. It returns nil if the request is admitted. Child calls are not shed.
func (g *Gateway) admit(q *request) *refusal {
	if g.onlyEvacuated(q.route) {
		return &refusal{http.StatusServiceUnavailable, executor.ReasonEvacuated, evacuatedRetryAfter}
	}
	if q.account != nil {
		limit := windowlimiter.Limit{Rate: q.account.Rate, Burst: q.account.Burst}
		if ok, retryAfter := g.RateLimits.Admit(q.account.Name, limit); !ok {
			return &refusal{http.StatusTooManyRequests, "over-rate", retryAfter}
		}
	}
	if q.childCall {
		g.Shedder.CountCall(q.route.Name)
	} else if v := g.admitLoad(q); v != nil {
		return v
	}
	if q.account != nil {
		g.RateLimits.Count(q.account.Name)
	}
	return nil
}

// serve sends the request to a target and writes the answer.
func (g *Gateway) serve(q *request) {
	if v := g.readBody(q); v != nil {
		g.refuse(q, v)
		return
	}
	if v := g.checkStop(q); v != nil {
		// The body has taken long, or is too long to be read in full.
		g.refuse(q, v)
		return
	}
	q.service = g.Shedder.ChooseService(q.route)
	if v := g.checkQuarantine(q); v != nil {
		g.refuse(q, v)
		return
	}
	answer := g.place(q)
	defer answer.Release()
	if q.hasLeft() {
		g.Metrics.Abandoned.Inc()
		panic(http.ErrAbortHandler)
	}
	g.writeAnswer(q, answer)
}

// place sends the request to one target after another until a target has answered or the request may not be placed
// again.
func (g *Gateway) place(q *request) *transporter.Answer {
	lost, cold := "", false
	for n := 0; ; n++ {
		answer := g.attempt(q)
		if answer.Unknown {
			lost = answer.Reason
		}
		cold = cold || answer.Reason == executor.ReasonCold
		switch {
		case g.mayRepeat(q, answer, n):
		case answer.NotRun && lost != "":
			// An earlier target may have run the request.
			return transporter.UnknownAnswer(lost)
		case cold && answer.NotRun && answer.Reason == reasonNoTarget:
			return transporter.NotRunAnswer(executor.ReasonCold)
		default:
			return answer
		}
		answer.Release()
		g.Metrics.Repeated.Inc()
	}
}

// mayRepeat reports whether the request may be placed again after its placement n, counted from 0, has ended with
// the answer a.
func (g *Gateway) mayRepeat(q *request, a *transporter.Answer, n int) bool {
	if n+1 >= maxPlacements || time.Until(q.deadline) < minRemainingTime || q.r.Context().Err() != nil || !q.body.Repeatable() || g.checkStop(q) != nil {
		return false
	}
	switch {
	case q.trial, a.NotRun && a.Reason == executor.ReasonQuarantined, a.Unknown && a.Reason == executor.ReasonTargetCrashed:
		return false
	case a.NotRun && a.Reason == reasonNoTarget:
		return false
	case a.NotRun && a.Reason != executor.ReasonTargetShed:
		// No target has received the request.
		return true
	case a.NotRun || (a.Unknown && q.route.Idempotent && g.level(q) < quarantiner.Trial):
		return q.sends < q.route.MaxTargets && g.RetryBudgets.SpendRetry(q.service)
	default:
		return false
	}
}

const reasonNoTarget = "no-target-left"

// attempt places the request once: it chooses a target and returns the answer from the target's node.
func (g *Gateway) attempt(q *request) *transporter.Answer {
	m, ok := g.chooseTarget(q)
	if !ok {
		return transporter.NotRunAnswer(reasonNoTarget)
	}
	q.tried = append(q.tried, m.Node)
	job := g.job(q, &m)
	g.recordPlace(q, &m)
	lateAt := g.Tracker.StartRequest(time.Now(), m.Node, q.route.Name)
	defer g.Tracker.EndRequest(m.Node, lateAt)
	if q.sends == 0 {
		g.RetryBudgets.RecordAttempt(q.service)
	}
	var answer *transporter.Answer
	if m.Node == g.NodeName {
		answer = g.Executor.Do(q.r.Context(), job)
	} else {
		answer = g.Sender.Do(q.r.Context(), m.Node, m.Address, job)
	}
	if !answer.NotRun || answer.Reason == executor.ReasonTargetShed {
		q.sends++
	}
	g.recordStatement(&m, answer)
	g.recordAnswer(q, &m, answer)
	if answer.NotRun && answer.Reason != executor.ReasonDeadlinePassed && answer.Reason != executor.ReasonCancelled {
		g.Tracker.MarkRefusing(m.Node)
	}
	return answer
}

// candidateLists holds unused lists of candidates, which are long in large fleets.
var candidateLists = sync.Pool{New: func() any { return new([]placer.Candidate) }}

// chooseTarget returns the member beside whose target the request is placed, or false if there is none left.
func (g *Gateway) chooseTarget(q *request) (tracker.Member, bool) {
	list := candidateLists.Get().(*[]placer.Candidate)
	defer candidateLists.Put(list)
	*list = g.Tracker.Candidates((*list)[:0], time.Now(), q.service, q.route.Name, q.tried)
	var i int
	if q.trial {
		i = g.chooseTrial(q, *list)
	} else {
		i = g.choose(q, *list)
	}
	if i < 0 {
		return tracker.Member{}, false
	}
	return g.Tracker.Member((*list)[i].Node)
}

// recordStatement records what the answer says about its target, so that this node acts on it even if the target's node
// has not heard of it or has been restarted.
func (g *Gateway) recordStatement(m *tracker.Member, a *transporter.Answer) {
	if a.NotRun || a.Unknown || a.Status == http.StatusMisdirectedRequest {
		return
	}
	s := platform.DecodeTargetState(a.Header)
	if s.LimitMalformed {
		s.Limit = g.Tracker.Limit(m)
	}
	if s.LimitNamed {
		s.Limit = max(s.Limit, minKnownLimit)
	}
	if g.Tracker.RecordStatement(m, s.Limit, s.Leaving) {
		g.Log.Info().Str("target", m.Target).Str("node", m.Node).Msg("target says that it leaves")
	}
}

// minKnownLimit stands for a limit of 0, since 0 means that no limit is known.
const minKnownLimit = 1e-3

// job returns the job that is sent to the node of m. Its header carries the client account instead of the key.
func (g *Gateway) job(q *request, m *tracker.Member) *executor.Job {
	header := q.r.Header.Clone()
	transporter.StripConnection(header)
	header.Del(platform.AuthorizationHeader)
	header.Del(platform.AccountHeader)
	header.Set(platform.CallerServiceHeader, g.Service)
	if q.account != nil {
		header.Set(platform.AccountHeader, q.account.Name)
	}
	return &executor.Job{
		Request:             transporter.Request{Method: q.r.Method, URI: q.uri, Host: q.r.Host, Header: header, Body: q.body},
		Route:               q.route.Name,
		Rank:                q.rank,
		ExpectedIncarnation: m.Target,
		KnownLimit:          g.Tracker.Limit(m),
		Idempotent:          q.route.Idempotent,
		Deadline:            q.deadline,
		MaxWait:             g.maxWait(q),
		Root:                q.root,
	}
}

// maxWait returns how long the request may wait in the queue of the next target. For a new request, the time already
// spent at previous targets is subtracted.
func (g *Gateway) maxWait(q *request) time.Duration {
	if q.childCall {
		return time.Duration(childCallQueueWaitShare * float64(time.Until(q.deadline)))
	}
	maxWait := min(maxQueueWait, time.Duration(queueWaitShare*float64(q.route.Objective)))
	return max(maxWait-time.Since(q.start), 0)
}

// writeAnswer writes the target's answer. Without one, it writes a refusal that tells whether the request may have
// run.
func (g *Gateway) writeAnswer(q *request, a *transporter.Answer) {
	switch {
	case a.NotRun:
		reason := g.notRunReason(q, a.Reason)
		g.refuse(q, &refusal{http.StatusServiceUnavailable, reason, retryAfter(reason)})
		return
	case a.Unknown && q.limit.exceeded.Load():
		// The target has not got the whole request.
		g.refuse(q, bodyTooLarge)
		return
	case a.Unknown && a.Reason == executor.ReasonAnswerTimeout:
		g.refuse(q, &refusal{http.StatusGatewayTimeout, a.Reason, 0})
		return
	case a.Unknown && a.Reason == executor.ReasonTargetCrashed:
		g.refuse(q, &refusal{http.StatusBadGateway, a.Reason, crashedRetryAfter})
		return
	case a.Unknown:
		g.refuse(q, &refusal{http.StatusBadGateway, a.Reason, 0})
		return
	case !q.route.Idempotent && impliesNotRun(a.Status):
		// The target has run the request, so the status must not imply that it has not.
		g.refuse(q, &refusal{http.StatusBadGateway, "target-answered-" + strconv.Itoa(a.Status), 0})
		return
	}
	header := q.w.Header()
	for k, v := range a.Header {
		header[k] = v
	}
	g.Metrics.recordAnswered(q.route.Name, time.Since(q.start))
	if line := g.logEntry(g.ServedLogLimiter, q, a.Status); line != nil {
		line.Msg("served")
	}
	forwarder.WriteBody(q.w, a)
}

// impliesNotRun reports whether callers take the status to mean that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// logEntry starts the log line of a request. It returns nil if the limit of lines per second is reached.
func (g *Gateway) logEntry(lim *loglimiter.Limiter, q *request, status int) *log.Entry {
	ok, dropped := lim.Allow(q.start)
	if !ok {
		return nil
	}
	line := g.Log.Info().
		Str("request", q.r.Header.Get(platform.RequestIDHeader)).
		Int("status", status).
		Dur("took", time.Since(q.start)).
		Int("sends", q.sends).
		Int("lines-left-out", dropped)
	if q.route != nil {
		line = line.Str("route", q.route.Name).Int("rank", q.rank).Bool("call", q.childCall)
	}
	if q.account != nil {
		line = line.Str("client-account", q.account.Name)
	}
	if q.trial {
		line = line.Str("signature", q.signature.String())
	}
	if len(q.tried) > 0 {
		line = line.Strs("tried", q.tried)
	}
	return line
}
