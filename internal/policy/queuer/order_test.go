package queuer_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
	"gotest.tools/v3/assert"
)

// busy returns a queue whose only slot is in use.
func busy() *queuer.Queue {
	q := &queuer.Queue{Limit: 1}
	q.Offer(entry(0, time.Second), unpaced)
	return q
}

// next ends a running request and returns the entry that starts.
func next(t *testing.T, q *queuer.Queue, now time.Time) *queuer.Entry {
	t.Helper()
	q.Done()
	started, expired := q.StartQueued(now, unpaced)
	assert.Equal(t, len(expired), 0)
	assert.Equal(t, len(started), 1)
	return started[0]
}

func dueEntry(rank int, startBy time.Duration) *queuer.Entry {
	e := entry(rank, time.Hour)
	e.StartBy = t0.Add(startBy)
	return e
}

// TestShortRequestBehindLongCalls guards against urgent requests that miss their objective behind child calls that have
// time left. Less urgent requests still wait for the child calls.
func TestShortRequestBehindLongCalls(t *testing.T) {
	q := &queuer.Queue{Limit: 2}
	for range 2 {
		q.Offer(entry(0, time.Second), unpaced)
	}
	urgent, browse := dueEntry(0, 100*time.Millisecond), dueEntry(17, 90*time.Millisecond)
	calls := []*queuer.Entry{dueEntry(queuer.ChildCallRank, 60*time.Millisecond), dueEntry(queuer.ChildCallRank, 270*time.Millisecond)}
	for _, e := range []*queuer.Entry{calls[1], browse, urgent, calls[0]} {
		q.Offer(e, unpaced)
	}
	assert.Equal(t, q.Before(dueEntry(0, 150*time.Millisecond)), 2)
	for _, want := range []*queuer.Entry{calls[0], urgent, calls[1], browse} {
		assert.Assert(t, next(t, q, t0) == want)
	}
}

// TestCallIsNotStarved guards against a stream of short requests that keeps a child call waiting for good.
func TestCallIsNotStarved(t *testing.T) {
	q := busy()
	call := dueEntry(queuer.ChildCallRank, 270*time.Millisecond)
	q.Offer(call, unpaced)
	for ms := 0; ms < 1000; ms += 10 {
		now := time.Duration(ms) * time.Millisecond
		q.Offer(dueEntry(0, now+100*time.Millisecond), unpaced)
		if next(t, q, t0.Add(now)) == call {
			assert.Assert(t, ms <= 200, ms)
			return
		}
	}
	t.Fatal("the call was not started within a second")
}

// TestAccountsInTurn guards against a client account that fills the queue in a burst and delays the requests of another one
// that arrive at the same time.
func TestAccountsInTurn(t *testing.T) {
	q := &queuer.Queue{Limit: 4}
	for range 4 {
		q.Offer(entry(0, time.Second), unpaced)
	}
	offer := func(account string) {
		e := dueEntry(0, 100*time.Millisecond)
		e.Account = account
		q.Offer(e, unpaced)
	}
	for range 6 {
		offer("large")
	}
	for range 2 {
		offer("small")
	}
	small := 0
	for range 4 {
		if next(t, q, t0).Account == "small" {
			small++
		}
	}
	assert.Equal(t, small, 2)
}

// TestCallIsNotEvicted guards against work that is thrown away for a new request: a full queue of child calls refuses an
// urgent new request.
func TestCallIsNotEvicted(t *testing.T) {
	q := busy()
	for range 3 {
		q.Offer(dueEntry(queuer.ChildCallRank, time.Second), unpaced)
	}
	urgent := dueEntry(0, 10*time.Millisecond)
	started, refused := q.Offer(urgent, unpaced)
	assert.Assert(t, !started && refused == urgent)
}

// BenchmarkStartQueued measures the choice among a full queue of a target with 200 slots.
func BenchmarkStartQueued(b *testing.B) {
	q := &queuer.Queue{Limit: 200}
	entries := make([]*queuer.Entry, 800)
	for i := range entries {
		entries[i] = dueEntry(i%3*16, time.Duration(i)*time.Millisecond)
		entries[i].Account = string(rune('a' + i%20))
		q.Offer(entries[i], unpaced)
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Done()
		started, _ := q.StartQueued(t0, unpaced)
		q.Offer(started[0], unpaced)
	}
}
