package flowplanner

import "time"

// maxLoad bounds the load per slot, so that a data centre without targets has a finite one.
const maxLoad = 100.0

// load returns the demand per slot.
func (d *DataCentre) load() float64 {
	if d.Demand <= 0 {
		return 0
	}
	if d.Capacity <= 0 {
		return maxLoad
	}
	return min(d.Demand/d.Capacity, maxLoad)
}

// open reports whether requests of other data centres may be sent there.
func (d *DataCentre) open() bool { return d.Capacity > 0 && !d.Stale }

// waiting is the time that one more request makes others and itself wait, as a function of the load per slot. It is the
// one that the placer uses for a single target above its threshold, with a small slope below it.
type waiting struct {
	// low and high are the slopes below and above endLoad, in milliseconds per unit of load.
	low, high float64
}

const (
	// lowSlope is small, so that a round trip within a region outweighs any difference of loads below endLoad.
	lowSlope = 10.0
	// highSlope and holdSlope are the slope above endLoad: highSlope in milliseconds, and holdSlope in hold times.
	highSlope = 600.0
	holdSlope = 6.0
)

func newWaiting(hold time.Duration) waiting {
	if hold <= 0 {
		hold = defaultHoldTime
	}
	return waiting{lowSlope, highSlope + holdSlope*milliseconds(hold)}
}

// marginal returns the waiting time at the given load, in milliseconds.
func (w waiting) marginal(load float64) float64 {
	if load <= endLoad {
		return w.low * load
	}
	return w.low*endLoad + w.high*(load-endLoad)
}

// load returns the load at which the marginal waiting time has the given value, in milliseconds.
func (w waiting) load(marginal float64) float64 {
	if marginal <= 0 {
		return 0
	}
	if knee := w.low * endLoad; marginal > knee {
		return endLoad + (marginal-knee)/w.high
	}
	return marginal / w.low
}

// setTargets computes the fractions at which the plan aims. costs holds the cost of a request by sending and receiving
// data centre, in milliseconds.
func (f *flows) setTargets(s *Service, costs [][]float64) {
	n := len(f.names)
	base := make([]float64, n)
	for i := range s.DataCentres {
		d := &s.DataCentres[i]
		base[i] = d.Demand
		switch {
		case d.load() > beginLoad:
			f.sending[i] = true
		case d.load() < endLoad:
			f.sending[i] = false
		}
		clear(f.target[i])
	}
	hold := milliseconds(s.HoldTime)
	if hold <= 0 {
		hold = milliseconds(defaultHoldTime)
	}
	for i := range s.DataCentres {
		if s.DataCentres[i].Capacity <= 0 {
			f.sendAll(s, i, costs[i], hold, base)
		}
	}
	f.sendExcess(s, costs, base)
	f.dropSmall()
}

// sendAll distributes the demand of data centre i, which has no targets, and adds it to base. Data centres that send
// themselves get the part that no other one has room for.
func (f *flows) sendAll(s *Service, i int, costs []float64, hold float64, base []float64) {
	// A data centre without demand needs a distribution, too: its first request arrives before its demand is known.
	remaining := max(s.DataCentres[i].Demand, 1e-9)
	demand := remaining
	weights := make([]float64, len(costs))
	for _, sending := range []bool{false, true} {
		total, room := 0.0, 0.0
		for j := range weights {
			d := &s.DataCentres[j]
			weights[j] = 0
			if j == i || !d.open() || f.sending[j] != sending {
				continue
			}
			spare := max(acceptLoad*d.Capacity-base[j], minSpareShare*d.Capacity)
			weights[j] = spare / (1 + costs[j]/hold)
			total += weights[j]
			room += spare
		}
		if total == 0 {
			continue
		}
		part := remaining
		if !sending && f.anySending(s, i) {
			part = min(remaining, room)
		}
		for j, weight := range weights {
			f.target[i][j] += part * weight / total / demand
			base[j] += part * weight / total
		}
		remaining -= part
	}
	if remaining > 0 {
		normalise(f.target[i])
	}
}

// anySending reports whether another open data centre than i sends requests away.
func (f *flows) anySending(s *Service, i int) bool {
	for j := range s.DataCentres {
		if j != i && f.sending[j] && s.DataCentres[j].open() {
			return true
		}
	}
	return false
}

// sendExcess distributes the demand above endLoad of the data centres that send. Each sender gets the same share of the
// room of every receiver, in proportion to its excess, so that they never overfill one, even if they know different round
// trips. base is the demand of each data centre, with that of the data centres without targets.
func (f *flows) sendExcess(s *Service, costs [][]float64, base []float64) {
	n := len(f.names)
	excess, room := make([]float64, n), make([]float64, n)
	total := 0.0
	for i := range s.DataCentres {
		d := &s.DataCentres[i]
		switch {
		case d.Capacity <= 0:
		case f.sending[i]:
			if !f.receives(i) {
				excess[i] = max(d.Demand-endLoad*d.Capacity, 0)
				total += excess[i]
			}
		case d.open() && !f.sends(i):
			room[i] = max(acceptLoad*d.Capacity-base[i], 0)
		}
	}
	if total == 0 {
		return
	}
	w := newWaiting(s.HoldTime)
	for i := range s.DataCentres {
		if excess[i] > 0 {
			f.fill(s, i, excess[i], excess[i]/total, costs[i], base, room, w)
		}
	}
}

// receives reports whether requests of others are sent to data centre i, or are to be sent there.
func (f *flows) receives(i int) bool {
	for j := range f.current {
		if f.current[j][i] > 0 || f.target[j][i] > 0 {
			return true
		}
	}
	return false
}

// sends reports whether data centre i still sends requests away.
func (f *flows) sends(i int) bool {
	for _, fraction := range f.current[i] {
		if fraction > 0 {
			return true
		}
	}
	return false
}

// fillSteps is the number of bisections of the water level. The error is below a millionth of the first interval.
const fillSteps = 20

// fill distributes the excess of data centre i: the water level is the marginal waiting time at which what it sends
// equals what the receivers take at that level less the cost of sending there.
func (f *flows) fill(s *Service, i int, excess, share float64, costs, base, room []float64, w waiting) {
	d := &s.DataCentres[i]
	low, high := 0.0, w.marginal(d.load())
	take := func(j int, level float64) float64 {
		if room[j] <= 0 || level <= costs[j] {
			return 0
		}
		y := s.DataCentres[j].Capacity*w.load(level-costs[j]) - base[j]
		return share * min(max(y, 0), room[j])
	}
	sums := func(level float64) (taken, given float64) {
		for j := range room {
			taken += take(j, level)
		}
		return taken, min(max(d.Demand-d.Capacity*w.load(level), 0), excess)
	}
	for range fillSteps {
		middle := (low + high) / 2
		if taken, given := sums(middle); taken < given {
			low = middle
		} else {
			high = middle
		}
	}
	taken, given := sums(high)
	if taken == 0 {
		return
	}
	scale := min(1, given/taken)
	for j := range room {
		f.target[i][j] = scale * take(j, high) / d.Demand
	}
}

// dropSmall removes flows that are too small to be worth their connections.
func (f *flows) dropSmall() {
	for i, row := range f.target {
		for j, fraction := range row {
			if fraction < minFraction && (fraction < minFraction/2 || f.current[i][j] == 0) {
				row[j] = 0
			}
		}
	}
}
