// Package reporter summarises the results of a load run: goodput, recovery after a surge, the
// worst-served client account and wrongful refusals.
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
	// Window is the interval covered by one point of the goodput curve.
	Window = 250 * time.Millisecond
	// recoveredShare is the fraction of the pre-surge share of good requests that counts as recovered.
	recoveredShare = 0.99
	// smoothingWindows is the number of windows over which the share of good requests is taken to detect recovery.
	smoothingWindows  = 4
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

// Group summarises the requests of one importance, client account or class.
type Group struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	Good int    `json:"good"`
	// Refused counts requests whose last response says that they did not run.
	Refused int `json:"refused"`
	// Unknown counts the other requests that were not good: without a response, with an unknown outcome,
	// run without a good response, or dropped by the generator.
	Unknown int `json:"unknown"`
	// RefusedWithinRate counts requests refused by the rate limit although they were within their account's
	// rate on arrival. If an account exceeds its rate, retries of its other requests may have used the tokens.
	RefusedWithinRate int `json:"refused-within"`
	// Wrongful is the number of wrongful refusals: WithinRate minus the good and the unknown requests, but at
	// least 0 and at most RefusedWithinRate.
	Wrongful int `json:"wrongful"`
	// WithinRate counts requests within their account's rate; GoodWithinRate counts the good ones among them.
	WithinRate     int `json:"within"`
	GoodWithinRate int `json:"good-within"`
	Attempts       int `json:"attempts"`
	// Codes counts requests that were not good by the code of their last response.
	Codes []CodeCount `json:"codes"`
	P50MS float64     `json:"p50-ms"`
	P99MS float64     `json:"p99-ms"`

	latency *hdrhistogram.Histogram
}

// CodeCount is the number of requests that ended with a code.
type CodeCount struct {
	Code  string `json:"code"`
	Count int    `json:"count"`
}

func (g *Group) countCode(code string) {
	for i := range g.Codes {
		if g.Codes[i].Code == code {
			g.Codes[i].Count++
			return
		}
	}
	g.Codes = append(g.Codes, CodeCount{code, 1})
}

// GoodShare returns the share of good requests.
func (g Group) GoodShare() float64 { return float64(g.Good) / float64(max(g.Sent, 1)) }

// Point is the offered load and the goodput of one window.
type Point struct {
	AtMS    int64   `json:"at-ms"`
	Offered float64 `json:"offered-per-s"`
	Goodput float64 `json:"goodput-per-s"`
}

// PhaseSummary summarises one phase of the plan.
type PhaseSummary struct {
	AtMS    int64   `json:"at-ms"`
	Rate    float64 `json:"rate-per-s"`
	Offered float64 `json:"offered-per-s"`
	Goodput float64 `json:"goodput-per-s"`
	// ImportantGoodShare is the share of good requests among those of the two highest importances.
	ImportantGoodShare float64 `json:"important-good-share"`
}

// Report summarises one run.
type Report struct {
	Name        string         `json:"name"`
	Total       Group          `json:"total"`
	Importances []Group        `json:"importances"`
	Accounts    []Group        `json:"client-accounts"`
	Classes     []Group        `json:"classes"`
	Phases      []PhaseSummary `json:"phases"`
	Points      []Point        `json:"points"`
	// RecoveryMS is the time from the end of the surge until the share of good requests has recovered, or -1
	// if it has not.
	RecoveryMS int64 `json:"recovery-ms"`
	// WorstAccount is the client account with the lowest share of good requests among its requests within its
	// rate, and WorstShare is that share.
	WorstAccount string  `json:"worst-client-account"`
	WorstShare   float64 `json:"worst-share"`
	Dropped      int     `json:"dropped-by-generator"`
}

// Summarize builds the report of a run.
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
	total.finish()
	r.Total = *total
	r.Importances = importances.list()
	r.Accounts = accounts.list()
	r.Total.Wrongful = 0
	for _, a := range r.Accounts {
		r.Total.Wrongful += a.Wrongful
	}
	r.Classes = classes.list()
	r.Points = points(plan, results)
	r.Phases = summarizePhases(plan, results)
	r.RecoveryMS = recovery(plan, r.Points)
	r.findWorstAccount()
	return r
}

func (r *Report) findWorstAccount() {
	r.WorstShare = 1
	for _, a := range r.Accounts {
		if a.WithinRate == 0 {
			continue
		}
		share := float64(a.GoodWithinRate) / float64(a.WithinRate)
		if share <= r.WorstShare {
			r.WorstAccount, r.WorstShare = a.Name, share
		}
	}
}

type groups map[string]*Group

func newGroup(name string) *Group {
	return &Group{Name: name, latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
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
		v.finish()
		list = append(list, *v)
	}
	slices.SortFunc(list, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (g *Group) add(res generator.Result) {
	g.Sent++
	g.Attempts += res.Attempts
	if res.WithinRate {
		g.WithinRate++
	}
	if !res.Good {
		g.countCode(res.Code)
	}
	switch {
	case res.Good:
		g.Good++
		_ = g.latency.RecordValue(min(res.Latency.Microseconds(), maxLatencyMicros))
		if res.WithinRate {
			g.GoodWithinRate++
		}
	case res.Outcome == retrier.NotRun.String():
		g.Refused++
		if res.WithinRate && res.Code == string(broker.CodeRateExceeded) {
			g.RefusedWithinRate++
		}
	default:
		g.Unknown++
	}
}

func (g *Group) finish() {
	g.Wrongful = max(0, min(g.RefusedWithinRate, g.WithinRate-g.Good-g.Unknown))
	g.P50MS = float64(g.latency.ValueAtQuantile(50)) / 1000
	g.P99MS = float64(g.latency.ValueAtQuantile(99)) / 1000
}

// points assigns requests to windows by their intended start.
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

func summarizePhases(plan generator.Plan, results []generator.Result) []PhaseSummary {
	var list []PhaseSummary
	for i, ph := range plan.Phases {
		end := plan.Duration.Duration
		if i+1 < len(plan.Phases) {
			end = plan.Phases[i+1].At.Duration
		}
		list = append(list, summarizePhase(plan, ph, end, results))
	}
	return list
}

func summarizePhase(plan generator.Plan, ph generator.Phase, end time.Duration, results []generator.Result) PhaseSummary {
	sum := PhaseSummary{AtMS: ph.At.Milliseconds(), Rate: ph.Rate}
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
	sum.ImportantGoodShare = float64(good) / float64(max(important, 1))
	return sum
}

// recovery returns the time in milliseconds from the end of the surge to the first window from which the
// share of good requests is back at its level before the surge, both over the next smoothingWindows
// windows and over the rest of the run. It returns -1 if there is no such window.
func recovery(plan generator.Plan, list []Point) int64 {
	start, end := surgeSpan(plan)
	if end == 0 {
		return -1
	}
	before := goodShare(list, 0, int(start/Window))
	first := int(end / Window)
	for i := first; i+smoothingWindows <= len(list); i++ {
		if goodShare(list, i, i+smoothingWindows) >= recoveredShare*before &&
			goodShare(list, i, len(list)) >= recoveredShare*before {
			return (time.Duration(i-first) * Window).Milliseconds()
		}
	}
	return -1
}

func surgeSpan(plan generator.Plan) (start, end time.Duration) {
	for i, ph := range plan.Phases {
		if ph.Surge && i+1 < len(plan.Phases) {
			return ph.At.Duration, plan.Phases[i+1].At.Duration
		}
	}
	return 0, 0
}

func goodShare(list []Point, from, to int) float64 {
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
