package merger_test

import (
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/event/merger"
	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"gotest.tools/v3/assert"
)

// ringAt returns a ring whose wall clock is fixed at a time in milliseconds since the Unix epoch.
func ringAt(node string, ms int64) *recorder.Ring {
	return &recorder.Ring{Node: node, Capacity: 3, Clock: func() time.Time { return time.UnixMilli(ms) }}
}

// TestCausalOrder checks that an effect follows its cause in the timeline even though the wall clock of the
// cause's node is ahead of that of the effect's node. This also holds after the effect's node received a timestamp
// too far in the future.
func TestCausalOrder(t *testing.T) {
	a, b := ringAt("a", 5000), ringAt("b", 4000)
	a.Add(recorder.Event{Kind: recorder.Retried, Request: "r"})
	b.Observe(a.Now())
	b.Add(recorder.Event{Kind: recorder.RunStarted, Request: "r"})
	b.Add(recorder.Event{Kind: recorder.RecordApplied, Change: "c"})
	b.Observe(recorder.Timestamp{Wall: 4000 + 61_000})
	b.Add(recorder.Event{Kind: recorder.RunEnded, Request: "r"})
	lists := [][]recorder.Event{b.After(recorder.Timestamp{}), a.After(recorder.Timestamp{})}
	got := merger.Merge(lists, merger.Filter{Request: "r"})
	var kinds []string
	for _, e := range got {
		kinds = append(kinds, string(e.Kind))
	}
	assert.Equal(t, strings.Join(kinds, " "), "retried run-started run-ended")
	var text strings.Builder
	assert.NilError(t, merger.WriteText(&text, got))
	assert.Assert(t, strings.Contains(text.String(), `request="r"`))
	assert.NilError(t, merger.WriteHTML(&text, got))
	assert.NilError(t, merger.WriteJSON(&text, got))
}

// TestRingIsBounded checks that new events overwrite the oldest ones, that After returns only later events, and
// that timestamps survive formatting and parsing.
func TestRingIsBounded(t *testing.T) {
	r := ringAt("a", 1)
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		r.Add(recorder.Event{Request: id})
	}
	got := r.After(recorder.Timestamp{})
	assert.Equal(t, len(got), 3)
	assert.Equal(t, got[0].Request+got[2].Request, "35")
	assert.Equal(t, len(r.After(got[1].Time)), 1)
	assert.Equal(t, recorder.ParseTimestamp(got[0].Time.String()), got[0].Time)
	assert.Equal(t, recorder.ParseTimestamp("junk"), recorder.Timestamp{})
}
