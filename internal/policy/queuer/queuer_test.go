package queuer_test

import (
	"math"
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
		started, _ := q.Offer(entry(0, time.Second), unpaced)
		assert.Assert(t, started)
	}
	low, high, first, second := entry(34, time.Second), entry(0, time.Second), entry(queuer.ChildCallRank, time.Second), entry(queuer.ChildCallRank, time.Second)
	for _, e := range []*queuer.Entry{low, high, first, second} {
		started, refused := q.Offer(e, unpaced)
		assert.Assert(t, !started && refused == nil)
	}
	for _, want := range []*queuer.Entry{first, second, high, low} {
		q.Done()
		got, expired := q.StartQueued(t0, unpaced)
		assert.Equal(t, len(expired), 0)
		assert.Assert(t, len(got) == 1 && got[0] == want)
	}
}

// TestNeverAboveLimit checks that a target never runs more requests than its limit, and that nothing starts
// while a reduced limit is exceeded.
func TestNeverAboveLimit(t *testing.T) {
	q := queuer.Queue{Limit: 3}
	for range 8 {
		q.Offer(entry(0, time.Second), unpaced)
	}
	assert.Equal(t, q.Running(), 3)
	q.Limit = 1
	q.Done()
	started, _ := q.StartQueued(t0, unpaced)
	assert.Equal(t, len(started), 0)
	assert.Equal(t, q.Running(), 2)
}

// TestFullQueueGivesWay checks that a full queue refuses the least important entry, which may be the offered
// one.
func TestFullQueueGivesWay(t *testing.T) {
	q := queuer.Queue{Limit: 1}
	q.Offer(entry(0, time.Second), unpaced)
	low := entry(40, time.Second)
	for _, e := range []*queuer.Entry{entry(16, time.Second), entry(16, time.Second), low} {
		_, refused := q.Offer(e, unpaced)
		assert.Assert(t, refused == nil)
	}
	_, refused := q.Offer(entry(16, time.Second), unpaced)
	assert.Assert(t, refused == low)
	same := entry(16, time.Second)
	_, refused = q.Offer(same, unpaced)
	assert.Assert(t, refused == same)
}

// TestExpiredEntriesAreRefused checks that an entry past its latest start is removed and doesn't start.
func TestExpiredEntriesAreRefused(t *testing.T) {
	q := queuer.Queue{Limit: 1}
	q.Offer(entry(0, time.Second), unpaced)
	expired, removed := entry(0, 10*time.Millisecond), entry(0, time.Second)
	q.Offer(expired, unpaced)
	q.Offer(removed, unpaced)
	assert.Assert(t, q.Remove(removed))
	assert.Assert(t, !q.Remove(removed))
	q.Done()
	started, refused := q.StartQueued(t0.Add(20*time.Millisecond), unpaced)
	assert.Equal(t, len(started), 0)
	assert.Assert(t, len(refused) == 1 && refused[0] == expired)
	assert.Equal(t, q.Waiting(), 0)
}

// unpaced is the number of requests that may start if nothing but slots limits them.
const unpaced = math.MaxInt

// TestPacedStart checks that requests wait although slots are free while fewer may start, and how many requests a new
// one finds ahead of it.
func TestPacedStart(t *testing.T) {
	q := queuer.Queue{Limit: 4}
	started, refused := q.Offer(entry(2, time.Second), 0)
	assert.Assert(t, !started && refused == nil)
	q.Offer(entry(1, time.Second), 0)
	q.Offer(entry(queuer.ChildCallRank, time.Second), 0)
	assert.Equal(t, q.Ahead(queuer.ChildCallRank), 1)
	assert.Equal(t, q.Ahead(1), 2)
	assert.Equal(t, q.Ahead(9), 3)
	first, _ := q.StartQueued(t0, 1)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0].Rank, queuer.ChildCallRank)
	rest, _ := q.StartQueued(t0, 2)
	assert.Equal(t, len(rest), 2)
	assert.Equal(t, q.Running(), 3)
}
