package attendant

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/internal/policy/regulator"
)

// urgentUtilisation is the demand in relation to the capacity of a service above which the demand that enters here is
// reported at the urgent interval.
const urgentUtilisation = 0.7

// admission is what the admission plan uses and reports.
type admission struct {
	// rows and recent hold the demand that enters at this node.
	rows   []tracker.DemandRow
	recent []float32
	urgent bool
}

// updateAdmission computes from the demand of the whole fleet which requests are admitted here.
func (a *Attendant) updateAdmission(now time.Time, costs allocator.TotalCosts, services map[string]tracker.Service) {
	rows, recent := demandRows(a.gateway.Shedder.Demand())
	a.tracker.SetOwnDemand(now, rows, recent)
	byDataCentre := a.tracker.Demand(now)
	unranked, known := a.tracker.UnrankedDemand(now)
	for i := range byDataCentre {
		known += byDataCentre[i].Nodes
	}
	share := 1.0
	if known <= 1 {
		// The demand of the other nodes is unknown, so this node uses an equal share of the capacity.
		share = 1 / float64(1+len(a.tracker.Responsive(now, a.tracker.OtherMembers())))
	}
	capacity := make(map[string]float64, len(services))
	for name, s := range services {
		capacity[name] = share * regulator.Capacity(s.Slots, s.Correction)
	}
	utilisation := a.gateway.Shedder.UpdateFractions(costs, sumDemand(byDataCentre), capacity, unranked)
	a.planMu.Lock()
	defer a.planMu.Unlock()
	a.admission = admission{rows: rows, recent: recent, urgent: utilisation > urgentUtilisation}
}

// buildDemand returns the demand that enters at this node, for the other nodes.
func (a *Attendant) buildDemand() ([]tracker.DemandRow, []float32) {
	a.planMu.Lock()
	defer a.planMu.Unlock()
	return a.admission.rows, a.admission.recent
}

// demandUrgent reports whether the other nodes need the demand that enters here soon, because a service is near its capacity
// or the node has just started.
func (a *Attendant) demandUrgent() bool {
	if time.Since(a.started) < startupUrgentPeriod {
		return true
	}
	a.planMu.Lock()
	defer a.planMu.Unlock()
	return a.admission.urgent
}

func demandRows(demand []allocator.Demand) (rows []tracker.DemandRow, recent []float32) {
	rows, recent = make([]tracker.DemandRow, len(demand)), make([]float32, len(demand))
	for i, d := range demand {
		rows[i] = tracker.DemandRow{Route: d.Route, Rank: d.Rank, Rate: float32(d.Rate)}
		recent[i] = float32(d.Recent)
	}
	return rows, recent
}

// sumDemand returns the demand of all data centres together, with each class once.
func sumDemand(byDataCentre []tracker.DataCentreDemand) []allocator.Demand {
	var list []allocator.Demand
	index := map[allocator.Class]int{}
	for i := range byDataCentre {
		d := &byDataCentre[i]
		for k, row := range d.Rows {
			class := allocator.Class{Route: row.Route, Rank: row.Rank}
			n, ok := index[class]
			if !ok {
				n = len(list)
				index[class] = n
				list = append(list, allocator.Demand{Class: class})
			}
			recent := row.Rate
			if len(d.Recent) > 0 {
				recent = d.Recent[k]
			}
			list[n].Rate += float64(row.Rate)
			list[n].Recent += float64(recent)
		}
	}
	return list
}
