package tracker

//go:generate msgp -file report.go -o report_gen.go -io=false -tests=false

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

// UsageReport reports the account usages that have changed since the node's latest report. It is encoded as a list of its
// fields in this order.
type UsageReport struct {
	Node          string
	Started       int64
	Sequence      uint64
	AccountUsages []AccountUsage `msg:",allownil"`
}
