package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/caller/gateway"
	"github.com/plantainwheel/plantainwheel/internal/event/loglimiter"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// scriptedSender returns its answers in order; the last one repeats.
type scriptedSender struct {
	answers []*transporter.Answer
	jobs    []*executor.Job
	nodes   []string
	// delay is the duration of each job.
	delay time.Duration
}

func (s *scriptedSender) Do(_ context.Context, node, _ string, job *executor.Job) *transporter.Answer {
	s.jobs = append(s.jobs, job)
	s.nodes = append(s.nodes, node)
	time.Sleep(s.delay)
	a := s.answers[min(len(s.jobs), len(s.answers))-1]
	return a
}

func config([]byte) (matcher.Config, error) {
	route := matcher.Route{Host: "h.example", Timeout: 800 * time.Millisecond, Objective: time.Second, MaxTargets: 2, Parts: []matcher.Part{{Service: "x", Weight: 1}}}
	with := func(change func(*matcher.Route)) matcher.Route {
		r := route
		change(&r)
		return r
	}
	return matcher.Config{
		Version: 1,
		Routes: []matcher.Route{
			with(func(r *matcher.Route) { r.Name = `read "x"`; r.Prefix = "/read/"; r.Idempotent = true }),
			with(func(r *matcher.Route) { r.Name = "order"; r.Prefix = "/order/" }),
			with(func(r *matcher.Route) { r.Name = "open"; r.Prefix = "/open/"; r.Idempotent = true; r.Anonymous = true }),
			with(func(r *matcher.Route) { r.Name = "once"; r.Prefix = "/once/"; r.Idempotent = true; r.MaxTargets = 1 }),
		},
		Accounts: []matcher.Account{{Name: "shop", Keys: []string{"key"}}},
		Limits:   matcher.Limits{MaxBodyBytes: 100},
	}, nil
}

type fixture struct {
	gateway *gateway.Gateway
	sender  *scriptedSender
	output  bytes.Buffer
}

func newFixture(t *testing.T, answers ...*transporter.Answer) *fixture {
	t.Helper()
	f := &fixture{sender: &scriptedSender{answers: answers}}
	tr := &tracker.Tracker{Self: "own", DataCentre: "dc", ReportTimeout: time.Minute}
	for i := range 4 {
		tr.SetMember(tracker.Member{Node: fmt.Sprint("n", i), DataCentre: "dc", Service: "x", Target: "i", Slots: 10, State: tracker.Ready})
	}
	k := &keeper.Keeper{Decode: config}
	_, _, err := k.Apply(nil)
	assert.NilError(t, err)
	k.Confirm(timekeeper.SinceBoot())
	f.gateway = &gateway.Gateway{
		Keeper: k, Tracker: tr, Executor: executor.New(&transporter.Pool{}), Sender: f.sender,
		RateLimits: gateway.NewRateLimits(5 * time.Second), Shedder: gateway.NewShedder(),
		RetryBudgets: &gateway.RetryBudgets{RefillPerAttempt: 0.1, Capacity: 2}, RefusedLogLimiter: &loglimiter.Limiter{PerSecond: 1}, ServedLogLimiter: &loglimiter.Limiter{PerSecond: 2},
		Log:     &log.Logger{Writer: &log.IOWriter{Writer: &f.output}},
		Metrics: gateway.NewMetrics(metrics.NewSet()), NodeName: "own", Service: "here", MaxConfigAge: 4 * time.Second,
	}
	return f
}

func (f *fixture) send(method, path, key string, change func(*http.Request)) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader("body"))
	r.Host = "h.example"
	r.Header.Set(platform.RequestIDHeader, "id")
	r.Header.Set(platform.AccountHeader, "forged")
	r.Header.Set(platform.CallerServiceHeader, "forged")
	if key != "" {
		r.Header.Set(platform.AuthorizationHeader, platform.BearerPrefix+key)
	}
	if change != nil {
		change(r)
	}
	w := httptest.NewRecorder()
	f.gateway.ServeHTTP(w, r)
	return w
}

// allowLongBodies lifts the limit on the length of bodies.
func (f *fixture) allowLongBodies() { f.gateway.Keeper.Table().Config.Limits.MaxBodyBytes = 0 }

func ok() *transporter.Answer {
	return &transporter.Answer{Status: 200, Header: http.Header{platform.SignatureHeader: {"s"}}, Body: transporter.Body{Buffered: []byte("ok")}}
}

func answered(status int) *transporter.Answer {
	a := ok()
	a.Status = status
	return a
}

// TestAnswers checks the status that a caller gets for each outcome, and the number of nodes that the request was sent
// to. A request that may have run must never get a status that implies that it has not.
func TestAnswers(t *testing.T) {
	full, noTarget := transporter.NotRunAnswer(executor.ReasonQueueFull), transporter.NotRunAnswer(executor.ReasonNoTarget)
	shed, lost := transporter.NotRunAnswer(executor.ReasonTargetShed), transporter.UnknownAnswer(executor.ReasonConnectionBroken)
	late, crashed := transporter.UnknownAnswer(executor.ReasonAnswerTimeout), transporter.UnknownAnswer(executor.ReasonTargetCrashed)
	for _, c := range []struct {
		name    string
		path    string
		answers []*transporter.Answer
		status  int
		sends   int
	}{
		{"answered", "/read/1", []*transporter.Answer{ok()}, 200, 1},
		{"failure of the target", "/read/1", []*transporter.Answer{answered(500)}, 500, 1},
		{"node refuses, another runs it", "/order/1", []*transporter.Answer{full, noTarget, ok()}, 200, 3},
		{"all nodes refuse", "/order/1", []*transporter.Answer{full}, 503, 4},
		{"target sheds, another runs it", "/order/1", []*transporter.Answer{shed, ok()}, 200, 2},
		{"targets shed", "/order/1", []*transporter.Answer{shed}, 503, 2},
		{"idempotent and lost, another runs it", "/read/1", []*transporter.Answer{lost, ok()}, 200, 2},
		{"idempotent and lost, one target allowed", "/once/1", []*transporter.Answer{lost, ok()}, 502, 1},
		{"idempotent and lost, all others refuse", "/read/1", []*transporter.Answer{lost, full}, 502, 4},
		{"idempotent, has crashed its target", "/read/1", []*transporter.Answer{crashed, ok()}, 502, 1},
		{"order lost", "/order/1", []*transporter.Answer{lost, ok()}, 502, 1},
		{"order late", "/order/1", []*transporter.Answer{late, ok()}, 504, 1},
		{"order shed, then lost", "/order/1", []*transporter.Answer{shed, lost, ok()}, 502, 2},
		{"order answered 503 after it ran", "/order/1", []*transporter.Answer{answered(503), ok()}, 502, 1},
		{"order answered 429 after it ran", "/order/1", []*transporter.Answer{answered(429), ok()}, 502, 1},
		{"read answered 503 by the target", "/read/1", []*transporter.Answer{answered(503)}, 503, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.answers...)
			w := f.send(http.MethodDelete, c.path, "key", nil)
			assert.Equal(t, w.Code, c.status)
			assert.Equal(t, len(f.sender.jobs), c.sends)
			if w.Code != 200 && w.Header().Get(platform.SignatureHeader) != "" {
				assert.Equal(t, f.sender.answers[0].Status, w.Code, "signature of the target on another status")
			}
			if w.Code == 503 && !strings.HasPrefix(c.name, "read") || strings.HasSuffix(c.name, "crashed its target") {
				assert.Assert(t, w.Header().Get(platform.RetryAfterHeader) != "")
			}
		})
	}
}

// TestChecks checks which requests are refused before they are sent to a target.
func TestChecks(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		key    string
		change func(*fixture, *http.Request)
		status int
	}{
		{"no route", "/nowhere/", "key", nil, 404},
		{"no key", "/read/1", "", nil, 401},
		{"unknown key", "/read/1", "other", nil, 401},
		{"malformed deadline", "/read/1", "key", func(_ *fixture, r *http.Request) { r.Header.Set(platform.DeadlineHeader, "soon") }, 400},
		{"body too large", "/read/1", "key", func(_ *fixture, r *http.Request) { r.ContentLength = 101 }, 413},
		{"configuration not confirmed", "/read/1", "key", func(f *fixture, _ *http.Request) { f.gateway.MaxConfigAge = -1 }, 503},
		{"unknown key, not confirmed", "/read/1", "other", func(f *fixture, _ *http.Request) { f.gateway.MaxConfigAge = -1 }, 503},
		{"open route, not confirmed", "/open/1", "", func(f *fixture, _ *http.Request) { f.gateway.MaxConfigAge = -1 }, 200},
		{"no configuration", "/nowhere/", "key", func(f *fixture, _ *http.Request) { f.gateway.Keeper = &keeper.Keeper{} }, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, ok())
			w := f.send(http.MethodGet, c.path, c.key, func(r *http.Request) {
				if c.change != nil {
					c.change(f, r)
				}
			})
			assert.Equal(t, w.Code, c.status)
			assert.Equal(t, len(f.sender.jobs) == 1, c.status == 200)
		})
	}
}

// TestForwardedRequest checks that the node overwrites forged values of the headers that it sets, that it does not
// forward the key or hop-by-hop headers, and that the rest of the request is forwarded unchanged.
func TestForwardedRequest(t *testing.T) {
	f := newFixture(t, ok())
	f.send(http.MethodPost, "/order/a%2Fb/../c?x=1&y=%20", "key", func(r *http.Request) {
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-Kept", "1")
	})
	job := f.sender.jobs[0]
	h := job.Request.Header
	assert.Equal(t, job.Request.URI, "/order/a%2Fb/../c?x=1&y=%20")
	assert.Equal(t, string(job.Request.Body.Buffered), "body")
	assert.Equal(t, h.Get(platform.AccountHeader), "shop")
	assert.Equal(t, h.Get(platform.CallerServiceHeader), "here")
	assert.Equal(t, h.Get(platform.AuthorizationHeader)+h.Get("X-Hop")+h.Get("Connection"), "")
	assert.Equal(t, h.Get("X-Kept"), "1")
	assert.Equal(t, job.ExpectedIncarnation, "i")
	left := time.Until(job.Deadline)
	assert.Assert(t, left <= 800*time.Millisecond && left > 600*time.Millisecond)
}

// TestRetriesAreBounded checks that retries stay within the node's retry budget during an outage.
func TestRetriesAreBounded(t *testing.T) {
	f := newFixture(t, transporter.UnknownAnswer(executor.ReasonConnectionBroken))
	const requests = 200
	for range requests {
		f.send(http.MethodGet, "/read/1", "key", nil)
	}
	assert.Assert(t, len(f.sender.jobs) <= requests+requests/10+2, "%d sends", len(f.sender.jobs))
}

// TestQueueWaitIsCumulative checks that the waits of a request at several full targets count together. If the request
// could wait for the full time at each target, its caller would get the refusal too late.
func TestQueueWaitIsCumulative(t *testing.T) {
	f := newFixture(t, transporter.NotRunAnswer(executor.ReasonQueueTimeout))
	f.sender.delay = 60 * time.Millisecond
	f.send(http.MethodGet, "/read/1", "key", nil)
	first, last := f.sender.jobs[0], f.sender.jobs[len(f.sender.jobs)-1]
	assert.Assert(t, first.MaxWait > 80*time.Millisecond && first.MaxWait <= 100*time.Millisecond, "%v", first.MaxWait)
	assert.Equal(t, last.MaxWait, time.Duration(0))
}

// TestWeightedParts checks that requests are split among the parts of a route exactly by weight.
func TestWeightedParts(t *testing.T) {
	s := gateway.NewShedder()
	r := &matcher.Route{Name: "r", Parts: []matcher.Part{{Service: "x", Weight: 9}, {Service: "y", Weight: 1}}}
	n := map[string]int{}
	for range 100 {
		n[s.ChooseService(r)]++
	}
	assert.Equal(t, n["x"], 90)
	assert.Equal(t, n["y"], 10)
}

// TestServedSample checks that the log contains a limited sample of the served requests, and that the metrics contain
// the durations of all of them.
func TestServedSample(t *testing.T) {
	f := newFixture(t, ok(), ok(), ok(), ok(), ok())
	for range 5 {
		assert.Equal(t, f.send("GET", "/read/1", "key", nil).Code, 200)
	}
	lines := strings.Count(f.output.String(), `"message":"served"`)
	assert.Assert(t, lines >= 2 && lines <= 4, "limit is two lines per second: %s", f.output.String())
	assert.Assert(t, strings.Contains(f.output.String(), `"request":"id"`))
	var text bytes.Buffer
	f.gateway.Metrics.Set.WritePrometheus(&text)
	assert.Assert(t, strings.Contains(text.String(), `request_duration_seconds_count{route="read \"x\""} 5`), text.String())
}

// TestTargetLimitKnown checks that a job carries the limit that the target named in the latest answer that this node
// passed on, and that a refusal because of a limit asks for a longer pause.
func TestTargetLimitKnown(t *testing.T) {
	says := func(limit string) *transporter.Answer {
		a := ok()
		a.Header.Set(platform.LimitHeader, limit)
		return a
	}
	misdirected := says("50")
	misdirected.Status = http.StatusMisdirectedRequest
	limited := transporter.NotRunAnswer(executor.ReasonRateLimited)
	f := newFixture(t, ok(), says("6"), says("x"), misdirected, says("0"), ok(), limited)
	for _, want := range []float64{0, 0, 6, 6, 6, 0.001, 0} {
		f.send(http.MethodGet, "/open/1", "", nil)
		assert.Equal(t, f.sender.jobs[len(f.sender.jobs)-1].KnownLimit, want)
	}
	w := f.send(http.MethodGet, "/open/1", "", nil)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(w.Header().Get(platform.RetryAfterHeader), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds >= 1, "%g", seconds)
}

// TestTargetSaysThatItLeaves checks that a node that has passed on an answer which says that the target leaves sends
// nothing more to that incarnation, although no announcement has been heard of, and uses the next incarnation.
func TestTargetSaysThatItLeaves(t *testing.T) {
	leaving := ok()
	leaving.Header.Set(platform.LeavingHeader, "1")
	misdirected := ok()
	misdirected.Status = http.StatusMisdirectedRequest
	misdirected.Header.Set(platform.LeavingHeader, "1")
	f := newFixture(t, misdirected, leaving, ok())
	for i, m := range f.gateway.Tracker.OtherMembers() {
		m.Target = fmt.Sprint("i-", i)
		f.gateway.Tracker.SetMember(m)
	}
	for range 30 {
		f.send(http.MethodGet, "/open/1", "", nil)
	}
	last := f.sender.nodes[1]
	for _, node := range f.sender.nodes[2:] {
		assert.Assert(t, node != last)
	}
	for _, m := range f.gateway.Tracker.OtherMembers() {
		if m.Node != last {
			f.gateway.Tracker.RemoveMember(m.Node)
		}
	}
	assert.Equal(t, f.send(http.MethodGet, "/open/1", "", nil).Code, http.StatusServiceUnavailable)
	next := tracker.Member{Node: last, DataCentre: "dc", Service: "x", Target: "i-next", Slots: 10, State: tracker.Ready}
	f.gateway.Tracker.SetMember(next)
	assert.Equal(t, f.send(http.MethodGet, "/open/1", "", nil).Code, http.StatusOK)
}
