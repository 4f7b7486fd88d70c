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

// fakeLog is the platform's stream in memory.
type fakeLog struct {
	mu      sync.Mutex
	first   int64
	records [][]byte
	grown   chan struct{}
	down    bool
	lose    int
	retain  int
}

func (f *fakeLog) set(change func(*fakeLog)) {
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
	close(f.grown)
	f.grown = make(chan struct{})
	if f.lose > 0 {
		f.lose--
		return 0, client.ErrUnclear
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
	return p, f.grown, nil
}

// logLink is a node's way to the platform.
type logLink struct {
	w  *world
	vm *vm
}

func (l *logLink) reach(ctx context.Context) error {
	if err := l.w.pass(ctx, l.vm); err != nil {
		return err
	}
	sleep(ctx, hop)
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if l.w.cuts[l.vm.name+"-platform"] {
		return errCut
	}
	return nil
}

func (l *logLink) Append(ctx context.Context, data []byte) (int64, error) {
	if err := l.reach(ctx); err != nil {
		return 0, client.ErrUnavailable
	}
	return l.w.log.append(data)
}

func (l *logLink) Read(ctx context.Context, from int64, wait time.Duration) (client.Page, error) {
	if err := l.reach(ctx); err != nil {
		return client.Page{}, client.ErrUnavailable
	}
	page, grown, err := l.w.log.page(from)
	if err == nil && len(page.Records) == 0 {
		select {
		case <-grown:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		page, _, err = l.w.log.page(from)
	}
	if err := l.reach(ctx); err != nil {
		return client.Page{}, client.ErrUnavailable
	}
	return page, err
}

// fakeTarget records its runs.
type fakeTarget struct {
	mu   sync.Mutex
	runs map[string]int
	at   []time.Time
	took time.Duration
	err  error
	// before is called before a run; a run that it holds up is recorded after it.
	before func()
}

func (f *fakeTarget) Do(ctx context.Context, call broker.Call, _ string) (granter.Answer, error) {
	f.mu.Lock()
	before, err, took := f.before, f.err, f.took
	f.mu.Unlock()
	if before != nil {
		before()
	}
	if errors.Is(err, broker.ErrNotSent) {
		return granter.Answer{}, err
	}
	f.mu.Lock()
	if f.runs == nil {
		f.runs = map[string]int{}
	}
	f.runs[string(call.Body)]++
	f.at = append(f.at, time.Now())
	f.mu.Unlock()
	sleep(ctx, took)
	if err != nil || ctx.Err() != nil {
		return granter.Answer{}, broker.ErrBroken
	}
	return granter.Answer{Status: 200, Body: call.Body}, nil
}

func (f *fakeTarget) set(change func(*fakeTarget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}
