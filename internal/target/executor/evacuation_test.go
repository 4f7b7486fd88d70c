package executor_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"gotest.tools/v3/assert"
)

// TestEvacuation guards against requests that reach the target after its data centre was evacuated, from other nodes or
// from the queue, and against running requests that are cut off.
func TestEvacuation(t *testing.T) {
	f := newFixture(t, 2, 800*time.Millisecond)
	var reason atomic.Value
	reason.Store(executor.ReasonEvacuationsUnknown)
	f.executor.Withhold = func() string { return reason.Load().(string) }
	assert.Equal(t, outcome(f.do("early", false)), "not run: evacuations-unknown")
	assert.Assert(t, !load(f).Up)
	reason.Store("")
	outcomes := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			job := f.job("x", false)
			job.Deadline, job.MaxWait = time.Now().Add(5*time.Second), 4*time.Second
			a := f.executor.Do(context.Background(), job)
			defer a.Release()
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome(a)]++
		})
	}
	for end := time.Now().Add(700 * time.Millisecond); load(f).Waiting < 3 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	assert.Equal(t, load(f).Waiting, 3)
	reason.Store(executor.ReasonEvacuated)
	f.executor.RefuseQueued()
	assert.Equal(t, load(f).Waiting, 0)
	wg.Wait()
	assert.DeepEqual(t, outcomes, map[string]int{"answered 200": 1, "not run: evacuated": 3})
	assert.Equal(t, outcome(f.do("late", true)), "not run: evacuated")
	assert.Equal(t, len(f.target.Requests()), 1)
	reason.Store("")
	f.target.SetServiceTime(0)
	assert.Equal(t, outcome(f.do("lifted", false)), "answered 200")
}

func load(f *fixture) *executor.Load {
	l := f.executor.Load()
	return &l
}

// TestNotResentAfterEvacuation guards against a request that is sent a second time, after a connection broke, to a target
// whose data centre was evacuated meanwhile.
func TestNotResentAfterEvacuation(t *testing.T) {
	f := newFixture(t, 4, 0)
	var reason atomic.Value
	reason.Store("")
	f.executor.Withhold = func() string { return reason.Load().(string) }
	assert.Equal(t, outcome(f.do("first", true)), "answered 200")
	f.target.SetFault(responder.Reset)
	f.executor.OnSend = func() { reason.Store(executor.ReasonEvacuated) }
	assert.Equal(t, outcome(f.do("second", true)), "unknown: connection-broke")
	assert.Equal(t, len(f.target.Requests()), 2)
}
