package confirmer_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/confirmer"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// stateAt returns a state whose three witnesses replaced three others at offset 5.
func stateAt(offset int64) *reducer.State {
	s := reducer.New()
	s.Offset = offset
	s.Witness = reducer.WitnessState{Since: 5, Members: []string{"a", "b", "c"}, Previous: []string{"x", "y", "z"}}
	return s
}

// TestConfirmed checks which evidence confirms the state of a node that has folded offset 10. The time is
// 2,000 ms and the window 1,000 ms.
func TestConfirmed(t *testing.T) {
	settled := func(c *confirmer.Evidence) { c.RecordSettled(at(0), 5) }
	cases := []struct {
		name    string
		collect func(*confirmer.Evidence)
		want    bool
	}{
		{"nothing", func(*confirmer.Evidence) {}, false},
		{"head read", func(c *confirmer.Evidence) { c.RecordHead(at(1500), 10) }, true},
		{"head read long ago", func(c *confirmer.Evidence) { c.RecordHead(at(900), 10) }, false},
		{"head is ahead of the fold", func(c *confirmer.Evidence) { c.RecordHead(at(1500), 11) }, false},
		{"peer was confirmed", func(c *confirmer.Evidence) { c.RecordPeer(at(1800), 300*time.Millisecond, 10) }, true},
		{"ages add up", func(c *confirmer.Evidence) { c.RecordPeer(at(1500), 600*time.Millisecond, 10) }, false},
		{"peer is ahead", func(c *confirmer.Evidence) { c.RecordPeer(at(1900), 0, 11) }, false},
		{"majority of witnesses", func(c *confirmer.Evidence) { settled(c); c.RecordAck(at(1500), "a", 10); c.RecordAck(at(1500), "b", 9) }, true},
		{"minority of witnesses", func(c *confirmer.Evidence) { settled(c); c.RecordAck(at(1500), "a", 10) }, false},
		{"one of the majority is ahead", func(c *confirmer.Evidence) {
			settled(c)
			c.RecordAck(at(1500), "a", 10)
			c.RecordAck(at(1500), "b", 11)
		}, false},
		{"one of the majority is old", func(c *confirmer.Evidence) { settled(c); c.RecordAck(at(1500), "a", 10); c.RecordAck(at(500), "b", 10) }, false},
		{"new witnesses are not settled", func(c *confirmer.Evidence) { c.RecordAck(at(1500), "a", 4); c.RecordAck(at(1500), "b", 4) }, false},
		{"both sets", func(c *confirmer.Evidence) {
			for _, id := range []string{"a", "b", "x", "y"} {
				c.RecordAck(at(1500), id, 4)
			}
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			evidence := &confirmer.Evidence{Window: time.Second, ClockMargin: 500 * time.Millisecond}
			c.collect(evidence)
			evidence.Update(at(2000), stateAt(10))
			assert.Equal(t, evidence.Confirmed(at(2000)), c.want)
		})
	}
}

// TestSettled checks that an offset is settled by a majority of both witness sets, and when the nodes that have
// not folded it are known to have stopped acting.
func TestSettled(t *testing.T) {
	evidence := &confirmer.Evidence{Window: time.Second, ClockMargin: 500 * time.Millisecond}
	s := stateAt(10)
	for _, id := range []string{"a", "b", "x"} {
		evidence.RecordAck(at(10), id, 8)
	}
	evidence.Update(at(20), s)
	assert.Equal(t, evidence.Settled(), int64(0), "the previous set has no majority yet")
	s.Witness.Ended = []string{"y"}
	evidence.Update(at(30), s)
	assert.Equal(t, evidence.Settled(), int64(8), "a witness that has stopped can no longer confirm a node")
	assert.Assert(t, !evidence.Expired(at(1500), 8, 0))
	assert.Assert(t, evidence.Expired(at(1531), 8, 0))
	assert.Assert(t, !evidence.Expired(at(1531), 9, 0))
	assert.Assert(t, !evidence.Expired(at(1531), 8, time.Second))
}
