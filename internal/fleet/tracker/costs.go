package tracker

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/internal/policy/elector"
)

// NodeCosts is the stored record of the costs that a node has learned for its target.
type NodeCosts struct {
	Node       string       `json:"node"`
	Service    string       `json:"service"`
	RouteCosts []RouteCosts `json:"rows"`
}

// ErrCosts is returned for a record of request costs that cannot be used.
var ErrCosts = errors.New("unusable record of request costs")

// DecodeNodeCosts decodes the record of request costs with the given key. One with numbers that make no sense is rejected.
func DecodeNodeCosts(key string, raw []byte) (NodeCosts, error) {
	var c NodeCosts
	if err := json.Unmarshal(raw, &c); err != nil {
		return NodeCosts{}, fmt.Errorf("%w: %w", ErrCosts, err)
	}
	if c.Node == "" || c.Node != key {
		return NodeCosts{}, fmt.Errorf("%w: node %q", ErrCosts, c.Node)
	}
	if !c.isValid() {
		return NodeCosts{}, fmt.Errorf("%w: numbers out of range", ErrCosts)
	}
	return c, nil
}

func (c *NodeCosts) isValid() bool {
	for i := range c.RouteCosts {
		if !c.RouteCosts[i].isValid() {
			return false
		}
	}
	return true
}

// Restore restores the costs that a node learned before this process started, unless they make no sense. They apply until the node reports
// new costs, and only while its target belongs to the same service.
func (t *Tracker) Restore(c NodeCosts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.restored == nil {
		t.restored, t.restoredOf = map[string]NodeCosts{}, map[string]NodeCosts{}
	}
	if !c.isValid() {
		return
	}
	t.restored[c.Node] = c
	t.restoredOf[c.Service] = c
}

// maxCostWriters is the number of nodes of a service that store their costs. If all nodes are lost, these are lost with
// them only if the store loses their records.
const maxCostWriters = 4

// WritesCosts reports whether this node stores the costs of its target for the service.
func (t *Tracker) WritesCosts(now time.Time, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := []string{t.Self}
	for _, p := range t.peersOf(service) {
		if p.Node != t.Self && p.State == Ready && !t.reportOverdue(now, p) {
			names = append(names, p.Node)
		}
	}
	ranked := elector.Rank("costs", names)
	return slices.Contains(ranked[:min(len(ranked), maxCostWriters)], t.Self)
}

// routeCosts returns the costs that the node has reported, or its restored costs if it has reported none.
func (t *Tracker) routeCosts(p *peer) []RouteCosts {
	if len(p.report.RouteCosts) > 0 {
		return p.report.RouteCosts
	}
	if c := t.restored[p.Node]; c.Service == p.Service {
		return c.RouteCosts
	}
	return nil
}

// expectedCosts returns the costs of the node or, since only some nodes store theirs, those that another node of its
// service had stored.
func (t *Tracker) expectedCosts(p *peer) []RouteCosts {
	if costs := t.routeCosts(p); len(costs) > 0 {
		return costs
	}
	return t.restoredOf[p.Service].RouteCosts
}

// RouteCosts returns the costs of a request of each route, averaged over the targets. The costs of lost targets
// are used only for routes for which no live target has costs.
func (t *Tracker) RouteCosts(now time.Time) map[string]allocator.RouteCosts {
	t.mu.Lock()
	defer t.mu.Unlock()
	live, lost := costSums{}, costSums{}
	for _, p := range t.peers {
		if p.State == Gone || t.reportOverdue(now, p) {
			lost.add(p.Service, t.routeCosts(p))
			continue
		}
		live.add(p.Service, t.routeCosts(p))
	}
	costs := lost.means()
	maps.Copy(costs, live.means())
	return costs
}

// costSums sums the costs of several targets by route.
type costSums map[string]*costSum

type costSum struct {
	allocator.RouteCosts
	count float64
}

func (s costSums) add(service string, costs []RouteCosts) {
	for _, r := range costs {
		sum := s[r.Route]
		if sum == nil {
			sum = &costSum{RouteCosts: allocator.RouteCosts{Service: service, Calls: map[string]float64{}}}
			s[r.Route] = sum
		}
		sum.HoldSeconds += float64(r.HoldMs) / 1000
		for k, v := range r.Calls {
			sum.Calls[k] += float64(v)
		}
		sum.count++
	}
}

func (s costSums) means() map[string]allocator.RouteCosts {
	costs := map[string]allocator.RouteCosts{}
	for name, sum := range s {
		sum.HoldSeconds /= sum.count
		for k := range sum.Calls {
			sum.Calls[k] /= sum.count
		}
		costs[name] = sum.RouteCosts
	}
	return costs
}
