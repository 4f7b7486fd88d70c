// Package reporter sums up the results of a load run by the four measures of the brief.
package reporter

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/plantainwheel/plantainwheel/internal/load/generator"
	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

const (
	// Window is the span of one point of the goodput over time.
	Window = 250 * time.Millisecond
	// recovered is the share of the former goodput that counts as recovered.
	recovered = 0.99
	// smoothing is the number of windows that recovery is averaged over.
	smoothing = 4
	maxMicros = 600_000_000
	digits    = 3
)

// Group sums up the requests of one importance, client account or class.
type Group struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	Good int    `json:"good"`
	// Refused counts requests whose last answer says that they did not run.
	Refused int `json:"refused"`
	// Unknown counts requests without an answer or with an unknown outcome.
	Unknown int `json:"unknown"`
	// RefusedWithin counts requests refused by rate that were within their account's rate when they
	// arrived. Of an account above its rate, others may have taken their tokens by trying again.
	RefusedWithin int `json:"refused-within"`
	// Wrongful is by how many an account got fewer requests than its rate and burst cover, as far as
	// some were refused by rate.
	Wrongful int `json:"wrongful"`
	// Within counts requests within their account's rate, GoodWithin the good ones among them.
	Within     int `json:"within"`
	GoodWithin int `json:"good-within"`
	Attempts   int `json:"attempts"`
	// Codes counts the last answers of requests that were not good.
	Codes []CodeCount `json:"codes"`
	P50MS float64     `json:"p50-ms"`
	P99MS float64     `json:"p99-ms"`

	latency *hdrhistogram.Histogram
}

// CodeCount is how often a request ended with a code.
type CodeCount struct {
	Code  string `json:"code"`
	Count int    `json:"count"`
}

func (g *Group) count(code string) {
	for i := range g.Codes {
		if g.Codes[i].Code == code {
			g.Codes[i].Count++
			return
		}
	}
	g.Codes = append(g.Codes, CodeCount{code, 1})
}

// GoodShare returns the part of the requests that were good.
func (g Group) GoodShare() float64 { return float64(g.Good) / float64(max(g.Sent, 1)) }

// Point is the goodput of one window.
type Point struct {
	AtMS    int64   `json:"at-ms"`
	Offered float64 `json:"offered-per-s"`
	Goodput float64 `json:"goodput-per-s"`
}

// PhaseSum sums up one phase of the plan.
type PhaseSum struct {
	AtMS    int64   `json:"at-ms"`
	Rate    float64 `json:"rate-per-s"`
	Offered float64 `json:"offered-per-s"`
	Goodput float64 `json:"goodput-per-s"`
	// Important is the share of good requests among the two highest importances.
	Important float64 `json:"important-good-share"`
}

// Report sums up one run.
type Report struct {
	Name        string     `json:"name"`
	Total       Group      `json:"total"`
	Importances []Group    `json:"importances"`
	Accounts    []Group    `json:"client-accounts"`
	Classes     []Group    `json:"classes"`
	Phases      []PhaseSum `json:"phases"`
	Points      []Point    `json:"points"`
	// RecoveryMS is the time from the end of the surge until the goodput is back; -1 if it never was.
	RecoveryMS int64 `json:"recovery-ms"`
	// WorstAccount is the client account with the least share of good requests within its rate.
	WorstAccount string  `json:"worst-client-account"`
	WorstShare   float64 `json:"worst-share"`
	Dropped      int     `json:"dropped-by-generator"`
}

// Summarize makes a report.
func Summarize(name string, plan generator.Plan, results []generator.Result) Report {
	r := Report{Name: name, RecoveryMS: -1}
	importances, accounts, classes := groups{}, groups{}, groups{}
	total := newGroup("all")
	for _, res := range results {
		class := plan.Classes[res.Class]
		total.add(res)
		importances.get(class.Importance).add(res)
		accounts.get(class.Account).add(res)
		classes.get(class.Name).add(res)
		if res.Dropped {
			r.Dropped++
		}
	}
	total.close()
	r.Total = *total
	r.Importances = importances.list()
	r.Accounts = accounts.list()
	r.Total.Wrongful = 0
	for _, a := range r.Accounts {
		r.Total.Wrongful += a.Wrongful
	}
	r.Classes = classes.list()
	r.Points = points(plan, results)
	r.Phases = phases(plan, results)
	r.RecoveryMS = recovery(plan, r.Points)
	r.worst()
	return r
}

func (r *Report) worst() {
	r.WorstShare = 1
	for _, a := range r.Accounts {
		if a.Within == 0 {
			continue
		}
		share := float64(a.GoodWithin) / float64(a.Within)
		if share <= r.WorstShare {
			r.WorstAccount, r.WorstShare = a.Name, share
		}
	}
}

type groups map[string]*Group

func newGroup(name string) *Group {
	return &Group{Name: name, latency: hdrhistogram.New(1, maxMicros, digits)}
}

func (g groups) get(name string) *Group {
	v, ok := g[name]
	if !ok {
		v = newGroup(name)
		g[name] = v
	}
	return v
}

func (g groups) list() []Group {
	var list []Group
	for _, v := range g {
		v.close()
		list = append(list, *v)
	}
	slices.SortFunc(list, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (g *Group) add(res generator.Result) {
	g.Sent++
	g.Attempts += res.Attempts
	if res.Within {
		g.Within++
	}
	if !res.Good {
		g.count(res.Code)
	}
	switch {
	case res.Good:
		g.Good++
		_ = g.latency.RecordValue(min(res.Took.Microseconds(), maxMicros))
		if res.Within {
			g.GoodWithin++
		}
	case res.Outcome == retrier.NotRun.String():
		g.Refused++
		if res.Within && res.Code == string(broker.CodeRate) {
			g.RefusedWithin++
		}
	default:
		g.Unknown++
	}
}

func (g *Group) close() {
	g.Wrongful = max(0, min(g.RefusedWithin, g.Within-g.Good-g.Unknown))
	g.P50MS = float64(g.latency.ValueAtQuantile(50)) / 1000
	g.P99MS = float64(g.latency.ValueAtQuantile(99)) / 1000
}

// points sorts requests into windows by their intended starts.
func points(plan generator.Plan, results []generator.Result) []Point {
	list := make([]Point, plan.Duration.Duration/Window)
	for i := range list {
		list[i].AtMS = (time.Duration(i) * Window).Milliseconds()
	}
	for _, res := range results {
		i := int(res.At / Window)
		if i >= len(list) {
			continue
		}
		list[i].Offered += 1 / Window.Seconds()
		if res.Good {
			list[i].Goodput += 1 / Window.Seconds()
		}
	}
	return list
}

func phases(plan generator.Plan, results []generator.Result) []PhaseSum {
	var list []PhaseSum
	for i, ph := range plan.Phases {
		end := plan.Duration.Duration
		if i+1 < len(plan.Phases) {
			end = plan.Phases[i+1].At.Duration
		}
		list = append(list, phase(plan, ph, end, results))
	}
	return list
}

func phase(plan generator.Plan, ph generator.Phase, end time.Duration, results []generator.Result) PhaseSum {
	sum := PhaseSum{AtMS: ph.At.Milliseconds(), Rate: ph.Rate}
	span := (end - ph.At.Duration).Seconds()
	important, good := 0, 0
	for _, res := range results {
		if res.At < ph.At.Duration || res.At >= end {
			continue
		}
		sum.Offered += 1 / span
		if res.Good {
			sum.Goodput += 1 / span
		}
		switch plan.Classes[res.Class].Importance {
		case "critical", "high":
			important++
			if res.Good {
				good++
			}
		}
	}
	sum.Important = float64(good) / float64(max(important, 1))
	return sum
}

// recovery finds the time after the surge from which the share of good requests stays at what it was
// before the surge.
func recovery(plan generator.Plan, list []Point) int64 {
	start, end := surge(plan)
	if end == 0 {
		return -1
	}
	before := share(list, 0, int(start/Window))
	first := int(end / Window)
	for i := first; i+smoothing <= len(list); i++ {
		if share(list, i, i+smoothing) >= recovered*before && share(list, i, len(list)) >= recovered*before {
			return (time.Duration(i-first) * Window).Milliseconds()
		}
	}
	return -1
}

func surge(plan generator.Plan) (start, end time.Duration) {
	for i, ph := range plan.Phases {
		if ph.Surge && i+1 < len(plan.Phases) {
			return ph.At.Duration, plan.Phases[i+1].At.Duration
		}
	}
	return 0, 0
}

func share(list []Point, from, to int) float64 {
	offered, good := 0.0, 0.0
	for _, p := range list[from:min(to, len(list))] {
		offered += p.Offered
		good += p.Goodput
	}
	if offered == 0 {
		return 0
	}
	return good / offered
}
