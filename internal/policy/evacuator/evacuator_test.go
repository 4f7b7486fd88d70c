package evacuator_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/evacuator"
	"gotest.tools/v3/assert"
)

func names(s *evacuator.Set) string {
	text := ""
	for _, e := range s.List() {
		text += e.DataCentre
	}
	return text
}

func at(dataCentre string, offset int64) evacuator.Evacuation {
	return evacuator.Evacuation{DataCentre: dataCentre, Offset: offset}
}

// TestRecords guards against an evacuation that begins late, or ends before a read proves that its record is gone.
func TestRecords(t *testing.T) {
	s := &evacuator.Set{}
	s.Restart()
	assert.Assert(t, !s.Known())
	c, begins := s.Apply(1, at("a", 7), true)
	assert.Assert(t, begins && c.Evacuated && c.Offset == 7)
	_, begins = s.Apply(2, at("a", 8), true)
	assert.Assert(t, !begins, "evacuated twice")
	assert.Equal(t, len(s.Confirm(3, 2)), 0)
	s.Apply(4, at("a", 9), false)
	assert.Equal(t, names(s), "a")
	changes := s.Confirm(5, 4)
	assert.DeepEqual(t, changes, []evacuator.Change{{Evacuation: at("a", 9)}})
	assert.Equal(t, names(s), "")
	// Evacuated again behind a removal in the same read.
	s.Apply(6, at("a", 10), true)
	s.Apply(6, at("a", 11), false)
	s.Apply(6, at("a", 12), true)
	assert.Equal(t, len(s.Confirm(7, 6)), 0)
	assert.Equal(t, names(s), "a")
}

// TestRestored guards against an evacuation that ends because a store that was restored from a copy lacks its record, or
// because a removal is read that precedes it.
func TestRestored(t *testing.T) {
	s := &evacuator.Set{}
	s.Apply(1, at("a", 7), true)
	s.Apply(1, at("b", 8), true)
	s.Confirm(1, 1)
	s.Restart()
	s.Apply(2, at("b", 5), false)
	s.Complete()
	assert.Equal(t, names(s), "ab")
	// The operator writes one of the records again before the era has settled.
	s.Apply(3, at("a", 6), true)
	changes := s.Confirm(9, 8)
	assert.DeepEqual(t, changes, []evacuator.Change{{Evacuation: at("b", 5)}})
	// Absent among the newest records of a settled store.
	s.Restart()
	assert.DeepEqual(t, s.Confirm(11, 10), []evacuator.Change{{Evacuation: at("a", evacuator.UnknownOffset)}})
}

// TestAdopt guards against an older list of another node that replaces a more recent one, and against one that ends an
// evacuation which this node has learned of after the list's proof.
func TestAdopt(t *testing.T) {
	s := &evacuator.Set{}
	assert.Equal(t, len(s.Adopt(2, -time.Hour, []evacuator.Evacuation{at("a", 1)})), 1)
	assert.Assert(t, s.Known())
	assert.Equal(t, len(s.Adopt(10, 8, nil)), 1, "a more recent list without the data centre")
	assert.Equal(t, len(s.Adopt(11, 8, []evacuator.Evacuation{at("a", 1)})), 0, "a list that is not more recent")
	s.Apply(12, at("b", 2), true)
	assert.Equal(t, len(s.Adopt(13, 11, nil)), 0)
	assert.Equal(t, names(s), "b")
	assert.Equal(t, len(s.Confirm(13, 10)), 0, "a read that is older than the list")
	assert.Equal(t, len(s.Adopt(14, 12, nil)), 1)
	assert.Equal(t, names(s), "")
	// The node's own reading still has the record of a data centre, so its next proof puts it in force again.
	assert.Equal(t, len(s.Confirm(15, 14)), 1)
}

// TestStart guards against a node that takes an unread topic for one without evacuations.
func TestStart(t *testing.T) {
	s := &evacuator.Set{}
	_, proven := s.ProvenAt()
	assert.Assert(t, !proven && !s.Known())
	s.Complete()
	_, proven = s.ProvenAt()
	assert.Assert(t, s.Known() && !proven)
}

func BenchmarkConfirm(b *testing.B) {
	s := &evacuator.Set{}
	for _, name := range []string{"a", "b", "c"} {
		s.Apply(0, at(name, 1), true)
	}
	now := time.Duration(0)
	for b.Loop() {
		now++
		s.Confirm(now, now)
	}
}
