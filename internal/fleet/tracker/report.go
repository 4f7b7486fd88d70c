package tracker

//go:generate msgp -file report.go -o report_gen.go -io=false -tests=false
//go:generate sed -i s/msgp.ReadStringBytes(/readName(/ report_gen.go

//msgp:tuple Report RouteCosts AccountUsage UsageReport
//msgp:limit arrays:20000 maps:5000

// Report is the state that a node periodically sends to the others. It is encoded as a list of its fields in
// this order.
type Report struct {
	Node string
	// Started increases with each process of a node, Sequence with each report of a process.
	Started  int64
	Sequence uint64
	Target   string
	Running  int
	Waiting  int
	Limit    int
	Up       bool
	// Load is the mean number of running and waiting requests per slot in the last period. Correction is the
	// correction factor that the node has learned for the service of its target.
	Load       float32
	Correction float32
	// Demand is the demand, by service, of the requests that enter at the node, in slots.
	Demand        map[string]float32 `msg:",allownil"`
	FailureRate   float32
	RouteCosts    []RouteCosts   `msg:",allownil"`
	AccountUsages []AccountUsage `msg:",allownil"`
}

// RouteCosts describes the slot use and the calls of one request of a route at the node's target.
type RouteCosts struct {
	Route string
	// HoldMs is the time for which the request holds its slot, in milliseconds.
	HoldMs float32
	Calls  map[string]float32 `msg:",allownil"`
}

// AccountUsage is a client account's use of its rate limit at the node.
type AccountUsage struct {
	Account string
	// Admitted counts the requests admitted within the window of the rate limit.
	Admitted float32
	// Demand is the rate of offered requests per second.
	Demand float32
}

// Valid reports whether the numbers make sense. Sums with others would be meaningless otherwise.
func (u *AccountUsage) Valid() bool { return areSound(u.Admitted, u.Demand) }

// maxCount bounds the numbers in reports.
const maxCount = 1e9

// areSound reports whether all numbers are finite, not negative and not absurdly large.
func areSound(numbers ...float32) bool {
	for _, n := range numbers {
		if !(n >= 0 && n <= maxCount) {
			return false
		}
	}
	return true
}

// isValid reports whether the numbers of the report make sense.
func (r *Report) isValid() bool {
	if !areSound(float32(r.Running), float32(r.Waiting), float32(r.Limit), r.Load, r.Correction, r.FailureRate) {
		return false
	}
	for _, slots := range r.Demand {
		if !areSound(slots) {
			return false
		}
	}
	for i := range r.RouteCosts {
		if !r.RouteCosts[i].isValid() {
			return false
		}
	}
	return true
}

func (c *RouteCosts) isValid() bool {
	for _, n := range c.Calls {
		if !areSound(n) {
			return false
		}
	}
	return areSound(c.HoldMs)
}

// UsageReport reports the account usages that have changed since the node's latest report. It is encoded as a list of its
// fields in this order.
type UsageReport struct {
	Node          string
	Started       int64
	Sequence      uint64
	AccountUsages []AccountUsage `msg:",allownil"`
}
