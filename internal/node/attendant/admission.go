package attendant

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/internal/policy/fairsharer"
	"github.com/plantainwheel/plantainwheel/internal/policy/regulator"
)

// urgentUtilisation is the demand in relation to the capacity of a service above which the demand that enters here is
// reported at the urgent interval.
const urgentUtilisation = 0.7

// sharesInterval is the interval at which the shares of the client accounts are computed. Their demand is an average over a
// second, and with 5,000 accounts a computation takes milliseconds.
const sharesInterval = 200 * time.Millisecond

// maxDemandFactor bounds the demand of an account that counts, as a multiple of its rate. The rate limit refuses more.
const maxDemandFactor = 1.5

// sharingAccounts returns the accounts with demand that share the given ranks. The weight of an account is its rate.
func (a *Attendant) sharingAccounts(ranks []int) map[int][]fairsharer.Account {
	table := a.keeper.Table()
	if len(ranks) == 0 || table == nil || len(table.Config.Accounts) < 2 {
		return nil
	}
	accounts := table.Config.Accounts
	sum, rated := 0.0, 0
	for i := range accounts {
		if accounts[i].Rate > 0 {
			sum += accounts[i].Rate
			rated++
		}
	}
	mean := 1.0
	if rated > 0 {
		mean = sum / float64(rated)
	}
	demands := a.gateway.RateLimits.Demands()
	shares := make(map[int][]fairsharer.Account, len(ranks))
	for i := range accounts {
		account := fairsharer.Account{Name: accounts[i].Name, Weight: mean, Demand: demands[accounts[i].Name]}
		if account.Demand == 0 {
			continue
		}
		if rate := accounts[i].Rate; rate > 0 {
			account.Weight, account.Demand = rate, min(account.Demand, maxDemandFactor*rate)
		}
		for _, rank := range ranks {
			if accounts[i].MayHaveRank(rank) {
				shares[rank] = append(shares[rank], account)
			}
		}
	}
	return shares
}

// admission is what the admission plan uses and reports.
type admission struct {
	// rows and recent hold the demand that enters at this node.
	rows   []tracker.DemandRow
	recent []float32
	urgent bool
}

// updateAdmission computes from the demand of the whole fleet which requests are admitted here. It returns the demand of each
// data centre.
func (a *Attendant) updateAdmission(now time.Time, costs allocator.TotalCosts, services map[string]tracker.Service) []tracker.DataCentreDemand {
	rows, recent := demandRows(a.gateway.Shedder.Demand())
	a.tracker.SetOwnDemand(now, rows, recent)
	byDataCentre := a.tracker.Demand(now)
	unranked, known, unknown := a.tracker.UnrankedDemand(now)
	for i := range byDataCentre {
		known += byDataCentre[i].Nodes
	}
	// The targets of nodes that have just started count as capacity, but the demand there is unknown, so equal parts of the
	// capacity are left to them.
	share := float64(known) / float64(known+unknown)
	capacity := make(map[string]float64, len(services))
	for name, s := range services {
		capacity[name] = share * regulator.Capacity(s.Slots, s.Correction)
	}
	utilisation := a.gateway.Shedder.UpdateFractions(costs, sumDemand(byDataCentre), capacity, unranked)
	if now.Sub(a.sharesAt) >= sharesInterval {
		a.sharesAt = now
		a.gateway.Shedder.SetAccounts(a.sharingAccounts(a.gateway.Shedder.LimitedRanks()))
	}
	a.planMu.Lock()
	defer a.planMu.Unlock()
	a.admission = admission{rows: rows, recent: recent, urgent: utilisation > urgentUtilisation}
	return byDataCentre
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
