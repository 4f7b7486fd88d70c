package reporter

import (
	"slices"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"gotest.tools/v3/assert"
)

// TestReuse guards against fields of an earlier report that show up in a later one, whose lists are shorter or missing.
func TestReuse(t *testing.T) {
	tr := &tracker.Tracker{Self: "vm-0", DataCentre: "dc", ReportTimeout: time.Minute}
	tr.SetMember(tracker.Member{Node: "a", DataCentre: "dc", State: tracker.Ready})
	tr.SetMember(tracker.Member{Node: "b", DataCentre: "dc", State: tracker.Ready})
	var got []tracker.AccountUsage
	r := &Reporter{Tracker: tr, OnUsages: func(u *tracker.UsageReport, _ bool) { got = slices.Clone(u.AccountUsages) }}
	receive := func(node string, sequence uint64, demand map[string]float32, usages ...tracker.AccountUsage) {
		t.Helper()
		report := tracker.Report{Node: node, Started: 1, Sequence: sequence, Demand: demand, AccountUsages: usages}
		raw, err := report.MarshalMsg([]byte{kindDirect})
		assert.NilError(t, err)
		r.handleDatagram(raw)
		assert.DeepEqual(t, append([]tracker.AccountUsage{}, got...), append([]tracker.AccountUsage{}, usages...))
	}
	shop, bank := tracker.AccountUsage{Account: "shop", Admitted: 3, Demand: 1}, tracker.AccountUsage{Account: "bank", Admitted: 5}
	receive("a", 1, map[string]float32{"x": 1, "y": 2}, shop, bank)
	receive("b", 1, map[string]float32{"y": 4}, bank)
	receive("b", 2, nil)
	services := tr.Services(time.Now())
	assert.Equal(t, services["x"].Demand, 1.0)
	assert.Equal(t, services["y"].Demand, 2.0)
	receive("b", 3, map[string]float32{"z": 8}, shop)
	receive("a", 2, map[string]float32{"x": 3}, bank)
	services = tr.Services(time.Now())
	assert.Equal(t, services["x"].Demand, 3.0)
	assert.Equal(t, services["y"].Demand, 0.0)
	assert.Equal(t, services["z"].Demand, 8.0)
}
