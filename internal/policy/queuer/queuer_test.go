package queuer_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
	"gotest.tools/v3/assert"
)

var t0 = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func entry(rank int, wait time.Duration) *queuer.Entry {
	return &queuer.Entry{Rank: rank, LatestStart: t0.Add(wait)}
}

// TestChildCallsGoFirst checks that child calls start before new requests of any rank, in the order of their
// arrival.
func TestChildCallsGoFirst(t *testing.T) {
	q := queuer.Queue{Limit: 2}
	for range 2 {
		started, _ := q.Offer(entry(0, time.Second))
		assert.Assert(t, started)
	}
	low, high, first, second := entry(34, time.Second), entry(0, time.Second), entry(queuer.ChildCallRank, time.Second), entry(queuer.ChildCallRank, time.Second)
	for _, e := range []*queuer.Entry{low, high, first, second} {
		started, refused := q.Offer(e)
		assert.Assert(t, !started && refused == nil)
	}
	for _, want := range []*queuer.Entry{first, second, high, low} {
		q.Done()
		got, expired := q.StartQueued(t0)
		assert.Equal(t, len(expired), 0)
		assert.Assert(t, len(got) == 1 && got[0] == want)
	}
}

// TestNeverAboveLimit checks that a target never runs more requests than its limit, and that nothing starts
// while a reduced limit is exceeded.
func TestNeverAboveLimit(t *testing.T) {
	q := queuer.Queue{Limit: 3}
	for range 8 {
		q.Offer(entry(0, time.Second))
	}
	assert.Equal(t, q.Running(), 3)
	q.Limit = 1
	q.Done()
	started, _ := q.StartQueued(t0)
	assert.Equal(t, len(started), 0)
	assert.Equal(t, q.Running(), 2)
}

// TestFullQueueGivesWay checks that a full queue refuses the least important entry, which may be the offered
// one.
func TestFullQueueGivesWay(t *testing.T) {
	q := queuer.Queue{Limit: 1}
	q.Offer(entry(0, time.Second))
	low := entry(40, time.Second)
	for _, e := range []*queuer.Entry{entry(16, time.Second), entry(16, time.Second), low} {
		_, refused := q.Offer(e)
		assert.Assert(t, refused == nil)
	}
	_, refused := q.Offer(entry(16, time.Second))
	assert.Assert(t, refused == low)
	same := entry(16, time.Second)
	_, refused = q.Offer(same)
	assert.Assert(t, refused == same)
}

// TestExpiredEntriesAreRefused checks that an entry past its latest start is removed and doesn't start.
func TestExpiredEntriesAreRefused(t *testing.T) {
	q := queuer.Queue{Limit: 1}
	q.Offer(entry(0, time.Second))
	expired, removed := entry(0, 10*time.Millisecond), entry(0, time.Second)
	q.Offer(expired)
	q.Offer(removed)
	assert.Assert(t, q.Remove(removed))
	assert.Assert(t, !q.Remove(removed))
	q.Done()
	started, refused := q.StartQueued(t0.Add(20 * time.Millisecond))
	assert.Equal(t, len(started), 0)
	assert.Assert(t, len(refused) == 1 && refused[0] == expired)
	assert.Equal(t, q.Waiting(), 0)
}
