package checker_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/checker"
	"gotest.tools/v3/assert"
)

// TestEvacuationViolations checks that a request which reaches a target of an evacuated data centre after the bound is
// reported, and that allowed ones are not.
func TestEvacuationViolations(t *testing.T) {
	t0 := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	at := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	for _, tc := range []struct {
		name  string
		do    func(*checker.Checker)
		found int
	}{
		{"within the bound", func(c *checker.Checker) { c.RecordTargetArrival("1", "a", 0, at(4.9)) }, 0},
		{"after the bound", func(c *checker.Checker) { c.RecordTargetArrival("1", "a", 0, at(5.1)) }, 1},
		{"elsewhere", func(c *checker.Checker) { c.RecordTargetArrival("1", "b", 0, at(9)) }, 0},
		{"store unstable", func(c *checker.Checker) {
			c.RecordUnstableStore(at(1), at(3))
			c.RecordTargetArrival("1", "a", 0, at(8.9))
		}, 0},
		{"after an unstable store", func(c *checker.Checker) {
			c.RecordUnstableStore(at(1), at(3))
			c.RecordTargetArrival("1", "a", 0, at(9.1))
		}, 1},
		{"store unstable when it is in force", func(c *checker.Checker) {
			c.RecordUnstableStore(at(6), at(8))
			c.RecordTargetArrival("1", "a", 0, at(7))
		}, 1},
		{"lifted", func(c *checker.Checker) {
			c.RecordEvacuation("a", false, at(6))
			c.RecordTargetArrival("1", "a", 0, at(6.1))
		}, 0},
		{"evacuated again", func(c *checker.Checker) {
			c.RecordEvacuation("a", false, at(6))
			c.RecordEvacuation("a", true, at(7))
			c.RecordTargetArrival("1", "a", 0, at(11.9))
			c.RecordTargetArrival("2", "a", 0, at(12.1))
		}, 1},
		{"node disturbed", func(c *checker.Checker) {
			c.RecordDisturbance(0)
			c.RecordEvacuation("a", true, time.Now())
			c.RecordTargetArrival("1", "a", 0, time.Now())
		}, 0},
	} {
		c := &checker.Checker{Bounds: checker.Bounds{Evacuate: 5 * time.Second, EvacuateSkew: time.Second, Contact: 3 * time.Second}}
		c.RecordEvacuation("a", true, t0)
		tc.do(c)
		found := c.Check()
		assert.Equal(t, len(found), tc.found, "%s: %v", tc.name, found)
	}
}
