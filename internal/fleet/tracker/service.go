package tracker

import "time"

// Service aggregates all targets of a service.
type Service struct {
	Slots int
	// Load is the mean number of running and waiting requests per slot, Correction the mean correction factor
	// of the nodes. Both are weighted by the nodes' limits.
	Load       float64
	Correction float64
	// Demand is the demand of the requests that enter at other nodes, in slots.
	Demand float64
}

// Services returns the aggregate of each service.
func (t *Tracker) Services(now time.Time) map[string]Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make([]Service, len(t.serviceNames))
	known := make([]bool, len(t.serviceNames))
	evacuated := t.evacuated()
	for _, p := range t.peers {
		if p.report.Sequence == 0 || t.reportOverdue(now, p) {
			continue
		}
		if p.Node != t.Self {
			for _, d := range p.demand {
				sums[d.service].Demand += d.slots
				known[d.service] = true
			}
		}
		if !t.takesRequests(p) || evacuated[p.DataCentre] || !p.report.Up || p.report.Limit == 0 {
			continue
		}
		i := t.serviceIndex(p.Service)
		for i >= len(sums) {
			sums, known = append(sums, Service{}), append(known, false)
		}
		sums[i].add(&p.report)
		known[i] = true
	}
	services := map[string]Service{}
	for i, s := range sums {
		if known[i] {
			services[t.serviceNames[i]] = s.mean()
		}
	}
	return services
}

// add adds a target to the sums.
func (s *Service) add(r *Report) {
	s.Slots += r.Limit
	s.Load += float64(r.Load) * float64(r.Limit)
	s.Correction += float64(r.Correction) * float64(r.Limit)
}

// mean returns the aggregate of the targets that were added.
func (s Service) mean() Service {
	if s.Slots > 0 {
		s.Load /= float64(s.Slots)
		s.Correction /= float64(s.Slots)
	}
	return s
}

// setDemand stores the demand by the position of the service, because it is summed up far more often than received.
func (t *Tracker) setDemand(p *peer, demand map[string]float32) {
	p.demand = p.demand[:0]
	for service, slots := range demand {
		if _, known := t.services[service]; !known && len(t.serviceNames) >= maxServices {
			continue
		}
		p.demand = append(p.demand, serviceDemand{t.serviceIndex(service), float64(slots)})
	}
}

func (t *Tracker) serviceIndex(service string) int {
	i, ok := t.services[service]
	if !ok {
		if t.services == nil {
			t.services = map[string]int{}
		}
		i = len(t.serviceNames)
		t.services[service] = i
		t.serviceNames = append(t.serviceNames, service)
	}
	return i
}
