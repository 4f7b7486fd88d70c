package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPositions guards against rates that are counted with the class of an earlier row in the same place.
func TestPositions(t *testing.T) {
	tr := &Tracker{Self: "a", DataCentre: "dc"}
	row := func(route string, rank int, rate float32) DemandRow {
		return DemandRow{Route: route, Rank: rank, Rate: rate}
	}
	for i, rows := range [][]DemandRow{
		{row("r", 0, 1), row("r", 1, 2), row("s", 1, 4)},
		{row("r", 0, 8), row("r", 1, 16), row("s", 1, 32)},
		{row("r", 0, 1), row("s", 1, 2)},
		{},
		{row("q", -1, 4), row("r", 0, 8), row("r", 1, 16), row("s", 1, 32)},
		{row("q", -1, 4), row("r", 2, 8), row("t", 2, 16)},
	} {
		now := time.Now()
		if i%2 == 0 {
			tr.SetOwnDemand(now, rows, nil)
		} else {
			assert.Assert(t, tr.ApplyDemand(now, &DemandReport{Node: "a", Started: 1, Sequence: uint64(i), Rows: rows}))
		}
		var got []DemandRow
		for _, d := range tr.Demand(now) {
			got = append(got, d.Rows...)
		}
		assert.DeepEqual(t, append([]DemandRow{}, got...), rows)
	}
}
