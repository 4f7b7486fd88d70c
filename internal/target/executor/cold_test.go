package executor_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/warmer"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

const (
	coldBound  = 30
	healthPath = "/health"
)

// coldTarget is a target that may be cold. It counts the requests that it gets.
type coldTarget struct {
	address string
	server  *http.Server
	served  chan struct{}
	// warmUpMs is what health responses state.
	warmUpMs atomic.Int64
	// drop makes the target close the connection of the next request without a response.
	drop atomic.Bool
	// rawHealth, if set, is written as the health response.
	rawHealth atomic.Pointer[string]

	mu       sync.Mutex
	arrivals []time.Time
	health   []time.Time
}

func (c *coldTarget) open(t *testing.T, address string) {
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	c.address = l.Addr().String()
	server, served := &http.Server{Handler: c}, make(chan struct{})
	c.server, c.served = server, served
	go func() {
		defer close(served)
		_ = server.Serve(l)
	}()
}

func (c *coldTarget) crash() {
	_ = c.server.Close()
	<-c.served
}

func (c *coldTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	if r.URL.Path == healthPath {
		c.health = append(c.health, time.Now())
		c.mu.Unlock()
		if raw := c.rawHealth.Load(); raw != nil {
			writeRaw(w, *raw)
			return
		}
		w.Header().Set(platform.IncarnationHeader, "i-1")
		w.Header().Set(platform.WarmUpHeader, fmt.Sprint(c.warmUpMs.Load()))
		return
	}
	c.arrivals = append(c.arrivals, time.Now())
	c.mu.Unlock()
	if c.drop.CompareAndSwap(true, false) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(5 * time.Millisecond)
	w.Header().Set(platform.RequestIDHeader, r.Header.Get(platform.RequestIDHeader))
	w.Header().Set(platform.SignatureHeader, "s")
	_, _ = io.WriteString(w, "ok")
}

// writeRaw writes a response as it is and closes the connection.
func writeRaw(w http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, raw)
}

// since returns the number of requests from a time on and the largest number of them, with the health requests, within
// any one second.
func (c *coldTarget) since(from time.Time) (total, busiest int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, first := range c.arrivals {
		if first.Before(from) {
			continue
		}
		total++
		n := 0
		for _, at := range c.arrivals[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		busiest = max(busiest, n)
	}
	return total, busiest
}

func (c *coldTarget) healthRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.health)
}

type coldFixture struct {
	*fixture
	cold *coldTarget
	pool *transporter.Pool
}

// newColdFixture starts a target that announces that it is cold for warmUp, beside a node that knows the service's terms.
func newColdFixture(t *testing.T, perSecond float64, warmUp time.Duration) *coldFixture {
	t.Helper()
	c := &coldTarget{}
	c.open(t, "127.0.0.1:0")
	t.Cleanup(func() { c.crash() })
	f := &coldFixture{fixture: &fixture{t: t}, cold: c}
	f.announcement = platform.Announcement{ID: "i-1", Service: "print", Address: c.address, Slots: 57, WarmUp: warmUp, Sequence: 1, StartedAtMs: 1000}
	f.startNode(perSecond)
	return f
}

// startNode starts the node's process, which learns of the target from an announcement.
func (f *coldFixture) startNode(perSecond float64) {
	f.pool = &transporter.Pool{IdleTimeout: time.Minute}
	f.t.Cleanup(f.pool.Close)
	e := executor.New(f.pool)
	e.ColdTerms = func(string) executor.ColdTerms {
		return executor.ColdTerms{Terms: warmer.Terms{PerSecond: perSecond, Excess: 1.5, Slack: 8}, HealthPath: healthPath}
	}
	f.pool.OnAllClosed = e.RecordAllClosed
	f.executor = e
	e.Announce(f.announcement)
}

// flood sends requests from 40 workers for the given time and returns how many were refused for each reason.
func (f *coldFixture) flood(period time.Duration) map[string]int {
	var mu sync.Mutex
	refused := map[string]int{}
	var workers sync.WaitGroup
	e := f.executor
	ctx, cancel := context.WithTimeout(context.Background(), period)
	defer cancel()
	workers.Go(func() {
		for ctx.Err() == nil {
			e.Tick()
			time.Sleep(20 * time.Millisecond)
		}
	})
	for i := range 40 {
		workers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				job := f.job(fmt.Sprint(i, "-", n), n%2 == 0)
				job.Request.URI = "/a"
				job.MaxWait = 20 * time.Millisecond
				a := e.Do(context.Background(), job)
				a.Release()
				if a.NotRun {
					mu.Lock()
					refused[a.Reason]++
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	workers.Wait()
	return refused
}

// TestColdTargetPaced guards against a second in which a cold target gets more than its bound, and against requests that
// are refused for another reason than target-cold. Without a tolerated rate, the same target is served as before.
func TestColdTargetPaced(t *testing.T) {
	f := newColdFixture(t, 15, time.Minute)
	start := time.Now()
	refused := f.flood(1500 * time.Millisecond)
	total, busiest := f.cold.since(start)
	assert.Assert(t, busiest <= coldBound && total >= 15, "%d requests, %d in a second", total, busiest)
	assert.Assert(t, refused[executor.ReasonCold] > 100, "%v", refused)
	assert.Equal(t, f.cold.healthRequests(), 0, "the condition was known")
	load := f.executor.Load()
	assert.Assert(t, load.Cold && load.Limit <= 2, "%+v", load)

	f = newColdFixture(t, 0, time.Minute)
	start = time.Now()
	refused = f.flood(500 * time.Millisecond)
	total, _ = f.cold.since(start)
	assert.Assert(t, total > 200, "%d requests", total)
	assert.Equal(t, len(refused), 0, "%v", refused)
}

// TestBecomesColdWithoutRestart guards against a target that goes on to get requests as a warm one once it has announced
// that it is cold again.
func TestBecomesColdWithoutRestart(t *testing.T) {
	f := newColdFixture(t, 15, 0)
	f.flood(300 * time.Millisecond)
	total, _ := f.cold.since(time.Time{})
	assert.Assert(t, total > 100, "%d requests to the warm target", total)
	f.announcement.Sequence++
	f.announcement.WarmUp = time.Minute
	changed, _ := f.executor.Announce(f.announcement)
	assert.Assert(t, changed, "other nodes must be informed")
	start := time.Now().Add(5 * time.Millisecond)
	f.flood(1200 * time.Millisecond)
	total, busiest := f.cold.since(start)
	assert.Assert(t, busiest <= coldBound && total > 0, "%d requests, %d in a second", total, busiest)
}

// TestNodeRestartsWithinSecond guards against a burst of the new process on top of what its predecessor has sent.
func TestNodeRestartsWithinSecond(t *testing.T) {
	f := newColdFixture(t, 15, time.Minute)
	start := time.Now()
	for range 3 {
		time.Sleep(700 * time.Millisecond)
		f.flood(200 * time.Millisecond)
		f.announcement.Sequence++
		f.startNode(15)
		f.flood(200 * time.Millisecond)
	}
	total, busiest := f.cold.since(start)
	assert.Assert(t, busiest <= coldBound && total > 20, "%d requests, %d in a second", total, busiest)
}

// TestReturnsUnderSameID guards against a flood on a target that has crashed and returned, cold and under its ID, before its
// first announcement.
func TestReturnsUnderSameID(t *testing.T) {
	f := newColdFixture(t, 15, 0)
	var back time.Time
	var restart sync.WaitGroup
	restart.Go(func() {
		time.Sleep(300 * time.Millisecond)
		f.cold.crash()
		f.cold.warmUpMs.Store(60_000)
		back = time.Now()
		f.cold.open(t, f.cold.address)
	})
	f.flood(2500 * time.Millisecond)
	restart.Wait()
	total, busiest := f.cold.since(back)
	assert.Assert(t, busiest <= coldBound && total > 0, "%d requests, %d in a second", total, busiest)
	assert.Assert(t, f.cold.healthRequests() <= 6, "%d health requests in 2.2 s", f.cold.healthRequests())
}

// TestIdleTargetReturns guards against a burst on a target that was restarted while no request was in flight: only its idle
// connections show that.
func TestIdleTargetReturns(t *testing.T) {
	f := newColdFixture(t, 15, 0)
	f.flood(100 * time.Millisecond)
	f.cold.crash()
	f.cold.warmUpMs.Store(60_000)
	back := time.Now()
	f.cold.open(t, f.cold.address)
	time.Sleep(50 * time.Millisecond)
	f.flood(1200 * time.Millisecond)
	total, busiest := f.cold.since(back)
	assert.Assert(t, busiest <= coldBound && total > 0, "%d requests, %d in a second", total, busiest)
}

// TestWarmAfterBrokenConnection guards against a warm target that is throttled for long because one connection broke.
func TestWarmAfterBrokenConnection(t *testing.T) {
	f := newColdFixture(t, 15, 0)
	assert.Equal(t, outcome(f.do("first", true)), "answered 200")
	f.cold.drop.Store(true)
	f.do("broken", false)
	for end := time.Now().Add(200 * time.Millisecond); f.executor.Load().Cold; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "paced for 200 ms")
	}
	assert.Equal(t, f.cold.healthRequests(), 1)
	f.flood(300 * time.Millisecond)
	assert.Equal(t, f.cold.healthRequests(), 1, "health requests without a reason")
	total, _ := f.cold.since(time.Time{})
	assert.Assert(t, total > 100, "%d requests", total)
}

// TestMalformedHealth guards against a possibly cold target that is taken for warm because of a health response that net/http
// accepts although its status or a name in its header is none, or that ends early.
func TestMalformedHealth(t *testing.T) {
	const fields = platform.IncarnationHeader + ": i-1\r\n" + platform.WarmUpHeader + ": 0\r\n"
	for _, c := range []struct {
		raw  string
		cold bool
	}{
		{"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 200 OK\r\n" + fields + "X A: 1\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 000 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 3\r\n\r\nok", true},
	} {
		t.Run(c.raw, func(t *testing.T) {
			f := newColdFixture(t, 15, 0)
			f.cold.rawHealth.Store(&c.raw)
			f.executor.MarkPossiblyCold()
			for f.cold.healthRequests() == 0 {
				time.Sleep(time.Millisecond)
			}
			// The response is applied within the time of a health request.
			time.Sleep(200 * time.Millisecond)
			assert.Equal(t, f.executor.Load().Cold, c.cold)
		})
	}
}

// TestReturnAfterEvacuation guards against a flood on targets that have become cold while their data centre was evacuated.
func TestReturnAfterEvacuation(t *testing.T) {
	f := newColdFixture(t, 15, 0)
	f.cold.warmUpMs.Store(60_000)
	start := time.Now()
	f.executor.MarkPossiblyCold()
	f.flood(1200 * time.Millisecond)
	total, busiest := f.cold.since(start)
	assert.Assert(t, busiest <= coldBound && total > 0, "%d requests, %d in a second", total, busiest)
	assert.Equal(t, f.cold.healthRequests(), 1)
}

// TestTurnsColdDuringDial guards against requests that got their slots while the target was warm and reach it when it has
// returned cold, since their connections take long to open.
func TestTurnsColdDuringDial(t *testing.T) {
	f := newColdFixture(t, 15, 0)
	f.cold.warmUpMs.Store(60_000)
	var dialling atomic.Int32
	open := make(chan struct{})
	f.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialling.Add(1)
		<-open
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	var jobs sync.WaitGroup
	var refused atomic.Int32
	for i := range 50 {
		jobs.Go(func() {
			if a := f.do(fmt.Sprint(i), false); a.NotRun && a.Reason == executor.ReasonCold {
				refused.Add(1)
			}
		})
	}
	for dialling.Load() < 50 {
		time.Sleep(time.Millisecond)
	}
	f.executor.MarkPossiblyCold()
	close(open)
	jobs.Wait()
	total, _ := f.cold.since(time.Time{})
	assert.Assert(t, total <= 3, "%d requests at once", total)
	assert.Equal(t, int(refused.Load()), 50-total)
}
