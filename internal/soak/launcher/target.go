package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/checker"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// concurrencyLimit is the maximum number of requests that a target runs concurrently.
	concurrencyLimit = 20
	// minServiceTime and maxServiceTime bound the service time of a request.
	minServiceTime = 5 * time.Millisecond
	maxServiceTime = 40 * time.Millisecond
	// heartbeatInterval is the time between two announcements, heartbeatTimeout the timeout of one.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
)

// CrashingPrefix begins the bodies of requests that crash the target.
const CrashingPrefix = "crash"

// crashTime is the time after which a crashed target is back.
const crashTime = 500 * time.Millisecond

// InstanceHeader holds the ID of the incarnation that produced a response.
const InstanceHeader = "Soak-Instance"

// target is one incarnation of a target.
type target struct {
	id          string
	checker     *checker.Checker
	node        *Node
	startedAtMS int64
	server      *http.Server
	// dropResponses makes the target drop half of its responses after the request has run.
	dropResponses atomic.Bool
	// leaving makes the target say in its responses that it leaves.
	leaving atomic.Bool

	mu       sync.Mutex
	sequence int
	// limit is the limit in requests per second that the target names in its responses, or 0.
	limit float64
	// state is the announced state. It never returns from draining to ready.
	state          string
	inFlight       int
	stopHeartbeats context.CancelFunc
	done           sync.WaitGroup
}

// open listens on the address and announces the target periodically until it drains or crashes.
func (t *target) open(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("target of %s: %w", t.node.name, err)
	}
	t.server = &http.Server{Handler: t}
	t.done.Go(func() { _ = t.server.Serve(l) })
	ctx, cancel := context.WithCancel(context.Background())
	t.stopHeartbeats = cancel
	t.done.Go(func() { t.sendHeartbeats(ctx) })
	return nil
}

// crash stops the target without an announcement.
func (t *target) crash() {
	t.stopHeartbeats()
	_ = t.server.Close()
	t.done.Wait()
}

func (t *target) sendHeartbeats(ctx context.Context) {
	for {
		_ = t.announce()
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// announce announces the target to its node. It returns an error unless the node acknowledges the announcement.
func (t *target) announce() error {
	t.mu.Lock()
	t.sequence++
	body, err := json.Marshal(map[string]any{
		"service": service, "address": t.node.targetAddress, "zone": t.node.dataCentre, "version": "v1",
		"concurrency": concurrencyLimit, "state": t.state, "warmup_ms": 0, "sequence": t.sequence, "born": t.startedAtMS,
	})
	t.mu.Unlock()
	if err != nil {
		return err
	}
	return t.sendAnnouncement(http.MethodPut, body)
}

func (t *target) sendAnnouncement(method string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.node.announceAddress+platform.AnnouncePath+t.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("announcement of %s: status %d", t.id, resp.StatusCode)
	}
	return nil
}

// drain announces that the target is draining, keeps serving for 1.5 times drainTime, and stops, whether or not the
// node acknowledges the announcement. Only an acknowledged drain is recorded in the checker.
func (t *target) drain(drainTime time.Duration) {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	t.stopHeartbeats()
	if t.announce() == nil {
		t.checker.RecordDrain(t.id, time.Now())
	}
	time.Sleep(drainTime + drainTime/2)
	_ = t.sendAnnouncement(http.MethodDelete, nil)
	t.crash()
}

// leave says in all responses that the target leaves, keeps serving for 1.5 times drainTime, and stops. The
// announcement that it leaves is lost.
func (t *target) leave(drainTime time.Duration) {
	t.leaving.Store(true)
	time.Sleep(drainTime + drainTime/2)
	t.crash()
}

func (t *target) setLimit(limit float64) {
	t.mu.Lock()
	t.limit = limit
	t.mu.Unlock()
	t.checker.RecordLimit(t.id, limit, time.Now())
}

// writeState sets the headers that describe the target's state.
func (t *target) writeState(header http.Header) {
	header.Set(InstanceHeader, t.id)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit > 0 {
		header.Set(platform.LimitHeader, fmt.Sprint(t.limit))
	}
	if t.leaving.Load() {
		header.Set(platform.LeavingHeader, "1")
	}
}

// ServeHTTP runs a request. It rejects a request that expects another incarnation or arrives while the target is at
// its concurrency limit.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.RequestIDHeader)
	w.Header().Set(platform.RequestIDHeader, id)
	t.writeState(w.Header())
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get(platform.ExpectIncarnationHeader) != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.checker.RecordArrival(id, t.id, time.Now())
	t.checker.RecordTargetArrival(id, t.node.dataCentre, t.node.index, time.Now())
	if !t.acquire() {
		w.Header().Set(platform.NotRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.release()
	t.checker.RecordRun(checker.Run{ID: id, Instance: t.id, Account: r.Header.Get(platform.AccountHeader), Body: string(body), At: time.Now()})
	time.Sleep(minServiceTime + rand.N(maxServiceTime-minServiceTime))
	if strings.HasPrefix(string(body), CrashingPrefix) {
		t.checker.RecordCrash(string(body), time.Now())
		go t.node.restartCrashed(t)
		panic(http.ErrAbortHandler)
	}
	if t.dropResponses.Load() && rand.IntN(2) == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.SignatureHeader, checker.Seal(id))
	_, _ = io.WriteString(w, "done "+id)
}

func (t *target) acquire() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight >= concurrencyLimit {
		return false
	}
	t.inFlight++
	return true
}

func (t *target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}
