// Package gateway takes the requests of the clients and the target on its VM, decides whether they are let
// in, and has them run at a target.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/event/limiter"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/peer/forwarder"
	"github.com/plantainwheel/plantainwheel/internal/policy/apportioner"
	"github.com/plantainwheel/plantainwheel/internal/policy/placer"
	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
	"github.com/plantainwheel/plantainwheel/internal/policy/tallier"
	"github.com/plantainwheel/plantainwheel/internal/route/courier"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// mostPlacements bounds how often a request that has not run is placed again.
	mostPlacements = 4
	// mostWait is the longest time that a new request waits at a target: what waits longer is better
	// refused, so that its caller knows.
	mostWait = 120 * time.Millisecond
	// waitShare is the part of its objective that a new request may wait.
	waitShare = 0.1
	// callWaitShare is the part of the remaining time that a call of a running request may wait: refusing
	// it would waste what its ancestors did.
	callWaitShare = 0.8
	// leastTime is the remaining time below which a request is not placed.
	leastTime = 10 * time.Millisecond
	// soonAfter is the time to come back after a passing trouble of the fleet.
	soonAfter = 300 * time.Millisecond
	// loadedAfter is the time to come back at a share of 1; it grows as the share falls.
	loadedAfter = 400 * time.Millisecond
	// mostAfter bounds what is told: beyond it nothing is known.
	mostAfter = 5 * time.Second
)

// Sender carries jobs to other nodes.
type Sender interface {
	Do(ctx context.Context, node, address string, job *executor.Job) *courier.Answer
}

// Gateway serves the VM's outbound address. It is safe for concurrent use.
type Gateway struct {
	Keeper   *keeper.Keeper
	Tracker  *tracker.Tracker
	Executor *executor.Executor
	Sender   Sender
	Accounts *Accounts
	Entrance *Entrance
	Retries  *Retries
	Log      *log.Logger
	// Lines bounds the log of refused requests, ServedLines the sample of the served ones.
	Lines       *limiter.Limiter
	ServedLines *limiter.Limiter
	Counts      *Counts
	// Self and Service name the own node and the service of its target.
	Self    string
	Service string
	// MostAge is the age from which the configuration is not believed for requests with a key.
	MostAge time.Duration
	// Stopping says that the node is about to end, so connections are not kept.
	Stopping atomic.Bool

	inFlight atomic.Int64
}

// InFlight returns the number of requests that are being served.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// request is one request on its way through the gateway.
type request struct {
	w       http.ResponseWriter
	r       *http.Request
	began   time.Time
	table   *matcher.Table
	route   *matcher.Route
	account *matcher.Account
	call    bool
	rank    int
	// deadline is the client's or the route's, whichever is earlier.
	deadline time.Time
	body     courier.Body
	service  string
	// sends counts the targets that the request was sent to.
	sends int
	tried []string
	path  string
}

// verdict is an answer of the node's own.
type verdict struct {
	status int
	reason string
	after  time.Duration
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.Stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{w: w, r: r, began: time.Now()}
	if v := g.check(q); v != nil {
		g.refuse(q, v)
		return
	}
	if v := g.letIn(q); v != nil {
		g.refuse(q, v)
		return
	}
	g.serve(q)
}

// check finds the route and the account and reads what the request says of itself.
func (g *Gateway) check(q *request) *verdict {
	age := g.Keeper.Age(timekeeper.Now())
	q.table = g.Keeper.Table()
	if q.table == nil {
		return &verdict{http.StatusServiceUnavailable, "no-configuration", soonAfter}
	}
	q.path = rawPath(q.r)
	path, _, _ := strings.Cut(q.path, "?")
	q.route = q.table.Route(q.r.Host, path)
	if q.route == nil {
		return &verdict{http.StatusNotFound, "no-route", 0}
	}
	if v := g.identify(q, age); v != nil {
		return v
	}
	return g.readDeadline(q)
}

func rawPath(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// identify finds the client account. Freshness is checked after the request was read: a key that was
// withdrawn before the request was sent is then known to be withdrawn.
func (g *Gateway) identify(q *request, age time.Duration) *verdict {
	q.rank = q.route.Rank(nil)
	if q.route.Open {
		if q.r.Header.Get(platform.AuthorizationHeader) == "" && g.Executor.Called(q.route.Name) {
			q.call = true
			q.rank = queuer.CallRank
		}
		return nil
	}
	if age > g.MostAge {
		return &verdict{http.StatusServiceUnavailable, "configuration-not-confirmed", soonAfter}
	}
	key, ok := strings.CutPrefix(q.r.Header.Get(platform.AuthorizationHeader), platform.KeyPrefix)
	if ok {
		q.account = q.table.Account(key)
	}
	if q.account == nil && len(q.table.Config.Accounts) > 0 {
		return &verdict{http.StatusUnauthorized, "no-account", 0}
	}
	q.rank = q.route.Rank(q.account)
	return nil
}

func (g *Gateway) readDeadline(q *request) *verdict {
	limit := q.route.Timeout
	if text := q.r.Header.Get(platform.DeadlineHeader); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 {
			return &verdict{http.StatusBadRequest, "malformed-deadline", 0}
		}
		limit = min(limit, time.Duration(ms*float64(time.Millisecond)))
	}
	q.deadline = q.began.Add(limit)
	if most := q.table.Config.Limits.BodyBytes; most > 0 && q.r.ContentLength > most {
		return &verdict{http.StatusRequestEntityTooLarge, "body-too-large", 0}
	}
	return nil
}

// letIn decides whether the request may go on to a target.
func (g *Gateway) letIn(q *request) *verdict {
	if q.account != nil {
		limit := tallier.Limit{Rate: q.account.Rate, Burst: q.account.Burst}
		if ok, after := g.Accounts.Admit(q.account.Name, limit); !ok {
			return &verdict{http.StatusTooManyRequests, "over-rate", after}
		}
	}
	if !q.call {
		class := apportioner.Class{Route: q.route.Name, Rank: q.rank}
		if ok, fraction := g.Entrance.Admit(class); !ok {
			return &verdict{http.StatusServiceUnavailable, "overload", time.Duration(float64(loadedAfter) / max(fraction, 0.1))}
		}
	}
	if q.account != nil {
		g.Accounts.Count(q.account.Name)
	}
	return nil
}

// serve has the request run and passes its answer on.
func (g *Gateway) serve(q *request) {
	body, err := courier.ReadBody(q.r.Body, q.r.ContentLength)
	if err != nil {
		// The client has gone, or its body is broken.
		panic(http.ErrAbortHandler)
	}
	q.body = body
	q.service = g.Entrance.Part(q.route)
	answer := g.place(q)
	defer answer.Release()
	if q.r.Context().Err() != nil {
		g.Counts.Left.Inc()
		panic(http.ErrAbortHandler)
	}
	g.answer(q, answer)
}

// place sends the request to targets until one has answered it or it may not be sent again.
func (g *Gateway) place(q *request) *courier.Answer {
	for n := 0; ; n++ {
		answer := g.attempt(q)
		if !g.again(q, answer, n) {
			return answer
		}
		answer.Release()
		g.Counts.Repeats.Inc()
	}
}

// again says whether the request may be placed once more.
func (g *Gateway) again(q *request, a *courier.Answer, n int) bool {
	if n+1 >= mostPlacements || time.Until(q.deadline) < leastTime || q.r.Context().Err() != nil || !q.body.Repeatable() {
		return false
	}
	switch {
	case a.NotRun && a.Reason == reasonNoTarget:
		return false
	case a.NotRun && a.Reason != executor.ReasonShed:
		// It has reached no target.
		return true
	case a.NotRun || (a.Unknown && q.route.Idempotent):
		return q.sends < q.route.MaxTargets && g.Retries.Spend(q.service)
	default:
		return false
	}
}

const reasonNoTarget = "no-target-left"

func (g *Gateway) attempt(q *request) *courier.Answer {
	list, members := g.Tracker.Candidates(time.Now(), q.service, q.route.Name, q.tried)
	i := placer.Choose(list)
	if i < 0 {
		return courier.Refuse(reasonNoTarget)
	}
	m := &members[i]
	q.tried = append(q.tried, m.Node)
	job := g.job(q, m)
	g.Tracker.Sent(m.Node)
	defer g.Tracker.Answered(m.Node)
	if q.sends == 0 {
		g.Retries.Attempt(q.service)
	}
	var answer *courier.Answer
	if m.Node == g.Self {
		answer = g.Executor.Do(q.r.Context(), job)
	} else {
		answer = g.Sender.Do(q.r.Context(), m.Node, m.Address, job)
	}
	if !answer.NotRun || answer.Reason == executor.ReasonShed {
		q.sends++
	}
	if answer.NotRun && answer.Reason != executor.ReasonLate && answer.Reason != executor.ReasonCancelled {
		g.Tracker.Refused(m.Node)
	}
	return answer
}

func (g *Gateway) job(q *request, m *tracker.Member) *executor.Job {
	header := q.r.Header.Clone()
	courier.StripConnection(header)
	header.Del(platform.AuthorizationHeader)
	header.Del(platform.AccountHeader)
	header.Set(platform.CallerHeader, g.Service)
	if q.account != nil {
		header.Set(platform.AccountHeader, q.account.Name)
	}
	return &executor.Job{
		Request:    courier.Request{Method: q.r.Method, URI: q.path, Host: q.r.Host, Header: header, Body: q.body},
		Route:      q.route.Name,
		Rank:       q.rank,
		Expect:     m.Target,
		Idempotent: q.route.Idempotent,
		Deadline:   q.deadline,
		MaxWait:    g.maxWait(q),
	}
}

// maxWait returns how long the request may wait at the next target; what it has waited at others counts.
func (g *Gateway) maxWait(q *request) time.Duration {
	if q.call {
		return time.Duration(callWaitShare * float64(time.Until(q.deadline)))
	}
	most := min(mostWait, time.Duration(waitShare*float64(q.route.Objective)))
	return max(most-time.Since(q.began), 0)
}

// answer passes the target's answer on, or says truthfully that there is none.
func (g *Gateway) answer(q *request, a *courier.Answer) {
	switch {
	case a.NotRun:
		g.refuse(q, &verdict{http.StatusServiceUnavailable, a.Reason, soonAfter})
		return
	case a.Unknown && a.Reason == executor.ReasonNoReply:
		g.refuse(q, &verdict{http.StatusGatewayTimeout, a.Reason, 0})
		return
	case a.Unknown:
		g.refuse(q, &verdict{http.StatusBadGateway, a.Reason, 0})
		return
	case !q.route.Idempotent && promises(a.Status):
		// The target has run the request, so its caller must not read that it has not.
		g.refuse(q, &verdict{http.StatusBadGateway, "target-answered-" + strconv.Itoa(a.Status), 0})
		return
	}
	header := q.w.Header()
	for k, v := range a.Header {
		header[k] = v
	}
	g.Counts.answered(q.route.Name, time.Since(q.began))
	if line := g.note(g.ServedLines, q, a.Status); line != nil {
		line.Msg("served")
	}
	forwarder.WriteBody(q.w, a)
}

// promises says whether callers read the status as not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// refuse answers for the node itself.
func (g *Gateway) refuse(q *request, v *verdict) {
	header := q.w.Header()
	if id := q.r.Header.Get(platform.RequestIDHeader); id != "" {
		header.Set(platform.RequestIDHeader, id)
	}
	if v.after > 0 {
		header.Set(platform.RetryAfterHeader, retryAfter(v.after))
	}
	g.Counts.refused(v.reason)
	if line := g.note(g.Lines, q, v.status); line != nil {
		line.Str("reason", v.reason).Msg("refused")
	}
	forwarder.WriteBody(q.w, &courier.Answer{Status: v.status})
}

// retryAfter spreads the callers that are told to come back.
func retryAfter(after time.Duration) string {
	spread := min(time.Duration(float64(after)*(1+rand.Float64())), mostAfter)
	return strconv.FormatFloat(spread.Seconds(), 'f', 2, 64)
}

// note begins the log line of a request, or returns nil where the lines of this second are used up.
func (g *Gateway) note(lines *limiter.Limiter, q *request, status int) *log.Entry {
	ok, dropped := lines.Allow(q.began)
	if !ok {
		return nil
	}
	line := g.Log.Info().
		Str("request", q.r.Header.Get(platform.RequestIDHeader)).
		Int("status", status).
		Dur("took", time.Since(q.began)).
		Int("sends", q.sends).
		Int("lines-left-out", dropped)
	if q.route != nil {
		line = line.Str("route", q.route.Name).Int("rank", q.rank).Bool("call", q.call)
	}
	if q.account != nil {
		line = line.Str("client-account", q.account.Name)
	}
	if len(q.tried) > 0 {
		line = line.Strs("tried", q.tried)
	}
	return line
}
