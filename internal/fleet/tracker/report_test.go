package tracker_test

import (
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/ugorji/go/codec"
	"gotest.tools/v3/assert"
)

// sample returns a report with all fields, or one with empty lists.
func sample(full bool) tracker.Report {
	r := tracker.Report{Node: "vm-1", Started: 1 << 50, Sequence: 7, Target: "i-1", Running: 300, Waiting: 2, Limit: -1, Up: true, Load: 0.5, Correction: 1, FailureRate: 0.25}
	if full {
		r.Demand = map[string]float32{"a service with a name that is longer than thirty-one bytes": 2.5}
		r.RouteCosts = []tracker.RouteCosts{{Route: "r", HoldMs: 30, Calls: map[string]float32{"c": 4}}, {Route: "s", Calls: map[string]float32{}}}
		r.AccountUsages = []tracker.AccountUsage{{Account: "shop", Admitted: 3, Demand: 1.5}}
	}
	return r
}

// TestReportsOfEarlierVersion checks that nodes understand the reports of an earlier version, which encoded empty lists
// as nil, and the other way round, since both run side by side during a release.
func TestReportsOfEarlierVersion(t *testing.T) {
	var handle codec.MsgpackHandle
	handle.StructToArray = true
	for _, full := range []bool{true, false} {
		want := sample(full)
		var raw []byte
		assert.NilError(t, codec.NewEncoderBytes(&raw, &handle).Encode(&want))
		var got tracker.Report
		rest, err := got.UnmarshalMsg(raw)
		assert.NilError(t, err)
		assert.Equal(t, len(rest), 0)
		assert.DeepEqual(t, got, want)

		raw, err = want.MarshalMsg(nil)
		assert.NilError(t, err)
		var old tracker.Report
		assert.NilError(t, codec.NewDecoderBytes(raw, &handle).Decode(&old))
		assert.Equal(t, len(old.AccountUsages), len(want.AccountUsages))
		assert.Equal(t, old.Started, want.Started)
		assert.Equal(t, old.Limit, want.Limit)
		assert.Equal(t, len(old.Demand), len(want.Demand))
	}
}

// FuzzReport checks that no datagram ends the process or makes it allocate without bound.
func FuzzReport(f *testing.F) {
	for _, full := range []bool{true, false} {
		r := sample(full)
		raw, err := r.MarshalMsg(nil)
		assert.NilError(f, err)
		f.Add(raw)
		f.Add(raw[:len(raw)/2])
	}
	f.Add([]byte{0x9e, 0xa0, 0, 0, 0xa0, 0, 0, 0, 0xc2, 0xca, 0, 0, 0, 0, 0xca, 0, 0, 0, 0, 0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x94, 0xa0, 0, 0, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var r tracker.Report
		_, _ = r.UnmarshalMsg(raw)
		var u tracker.UsageReport
		_, _ = u.UnmarshalMsg(raw)
	})
}
