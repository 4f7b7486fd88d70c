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
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/judge"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// slots is how many requests a target runs at once.
	slots = 20
	// leastWork and mostWork bound how long a request runs.
	leastWork = 5 * time.Millisecond
	mostWork  = 40 * time.Millisecond
	// beatEvery is the time between two announcements, beatTimeout how long one may take.
	beatEvery   = 500 * time.Millisecond
	beatTimeout = time.Second
)

// target is one incarnation of a target.
type target struct {
	id     string
	judge  *judge.Judge
	node   *Node
	born   int64
	server *http.Server
	// losing says that answers are lost after the request has run.
	losing atomic.Bool

	mu       sync.Mutex
	sequence int
	// state is what it announces; one that leaves does not say again that it is ready.
	state   string
	running int
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// open listens at the address and announces the target until its end.
func (t *target) open(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("target of %s: %w", t.node.name, err)
	}
	t.server = &http.Server{Handler: t}
	t.done.Go(func() { _ = t.server.Serve(l) })
	ctx, cancel := context.WithCancel(context.Background())
	t.stop = cancel
	t.done.Go(func() { t.beat(ctx) })
	return nil
}

// crash ends the target without a word.
func (t *target) crash() {
	t.stop()
	_ = t.server.Close()
	t.done.Wait()
}

func (t *target) beat(ctx context.Context) {
	for {
		_ = t.announce()
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatEvery):
		}
	}
}

// announce tells the node of the target, and returns an error where that was not acknowledged.
func (t *target) announce() error {
	t.mu.Lock()
	t.sequence++
	body, err := json.Marshal(map[string]any{
		"service": service, "address": t.node.targetAddress, "zone": t.node.dataCentre, "version": "v1",
		"concurrency": slots, "state": t.state, "warmup_ms": 0, "sequence": t.sequence, "born": t.born,
	})
	t.mu.Unlock()
	if err != nil {
		return err
	}
	return t.call(http.MethodPut, body)
}

func (t *target) call(method string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
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

// leave drains the target and ends it. Without an acknowledgement it ends all the same.
func (t *target) leave(drain time.Duration) {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	t.stop()
	if t.announce() == nil {
		t.judge.Leaving(t.id, time.Now())
	}
	time.Sleep(drain + drain/2)
	_ = t.call(http.MethodDelete, nil)
	t.crash()
}

// ServeHTTP runs a request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.RequestIDHeader)
	w.Header().Set(platform.RequestIDHeader, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.Header.Get(platform.ExpectHeader) != t.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !t.enter():
		w.Header().Set(platform.NotRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.exit()
	t.judge.Ran(judge.Run{ID: id, Instance: t.id, Account: r.Header.Get(platform.AccountHeader), Body: string(body), At: time.Now()})
	time.Sleep(leastWork + rand.N(mostWork-leastWork))
	if t.losing.Load() && rand.IntN(2) == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.SignatureHeader, judge.Seal(id))
	_, _ = io.WriteString(w, "done "+id)
}

func (t *target) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= slots {
		return false
	}
	t.running++
	return true
}

func (t *target) exit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}
