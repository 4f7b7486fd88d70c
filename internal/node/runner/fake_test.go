package runner_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/platform/client"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
)

// fakeLog is an in-memory implementation of the platform's stream.
type fakeLog struct {
	mu          sync.Mutex
	first       int64
	records     [][]byte
	appended    chan struct{}
	down        bool
	lostAnswers int
	retain      int
}

func (f *fakeLog) update(change func(*fakeLog)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeLog) append(data []byte) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, client.ErrUnavailable
	}
	f.records = append(f.records, data)
	if extra := len(f.records) - f.retain; f.retain > 0 && extra > 0 {
		f.records = f.records[extra:]
		f.first += int64(extra)
	}
	close(f.appended)
	f.appended = make(chan struct{})
	if f.lostAnswers > 0 {
		f.lostAnswers--
		return 0, client.ErrUnknownOutcome
	}
	return f.first + int64(len(f.records)), nil
}

func (f *fakeLog) page(from int64) (client.Page, chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return client.Page{}, nil, client.ErrUnavailable
	}
	p := client.Page{First: f.first + 1, Head: f.first + int64(len(f.records))}
	for o := max(from, p.First); o <= p.Head; o++ {
		p.Records = append(p.Records, client.Record{Offset: o, Data: f.records[o-p.First]})
	}
	return p, f.appended, nil
}

// logLink is the simulated connection of a node to the platform.
type logLink struct {
	sim *simulation
	vm  *vm
}

func (l *logLink) traverse(ctx context.Context) error {
	if err := l.sim.waitRunning(ctx, l.vm); err != nil {
		return err
	}
	sleep(ctx, hopLatency)
	l.sim.mu.Lock()
	defer l.sim.mu.Unlock()
	if l.sim.cutLinks[l.vm.name+"-platform"] {
		return errCut
	}
	return nil
}

func (l *logLink) Append(ctx context.Context, data []byte) (int64, error) {
	if err := l.traverse(ctx); err != nil {
		return 0, client.ErrUnavailable
	}
	return l.sim.log.append(data)
}

func (l *logLink) Read(ctx context.Context, from int64, wait time.Duration) (client.Page, error) {
	if err := l.traverse(ctx); err != nil {
		return client.Page{}, client.ErrUnavailable
	}
	page, appended, err := l.sim.log.page(from)
	if err == nil && len(page.Records) == 0 {
		select {
		case <-appended:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		page, _, err = l.sim.log.page(from)
	}
	if err := l.traverse(ctx); err != nil {
		return client.Page{}, client.ErrUnavailable
	}
	return page, err
}

// fakeTarget is a target that records its runs.
type fakeTarget struct {
	mu          sync.Mutex
	runs        map[string]int
	runTimes    []time.Time
	serviceTime time.Duration
	err         error
	// beforeRun is called before a run, which is recorded only after beforeRun returns.
	beforeRun func()
}

func (f *fakeTarget) Do(ctx context.Context, call broker.Call, _ string) (granter.Answer, error) {
	f.mu.Lock()
	beforeRun, err, serviceTime := f.beforeRun, f.err, f.serviceTime
	f.mu.Unlock()
	if beforeRun != nil {
		beforeRun()
	}
	if errors.Is(err, broker.ErrNotSent) {
		return granter.Answer{}, err
	}
	f.mu.Lock()
	if f.runs == nil {
		f.runs = map[string]int{}
	}
	f.runs[string(call.Body)]++
	f.runTimes = append(f.runTimes, time.Now())
	f.mu.Unlock()
	sleep(ctx, serviceTime)
	if err != nil || ctx.Err() != nil {
		return granter.Answer{}, broker.ErrNoAnswer
	}
	return granter.Answer{Status: 200, Body: call.Body}, nil
}

func (f *fakeTarget) update(change func(*fakeTarget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}
