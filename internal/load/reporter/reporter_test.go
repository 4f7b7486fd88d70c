package reporter_test

import (
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/load/generator"
	"github.com/plantainwheel/plantainwheel/internal/load/reporter"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"gotest.tools/v3/assert"
)

var plan = generator.Plan{
	Duration: loader.Duration{Duration: 6 * time.Second},
	Classes:  []generator.Class{{Name: "order", Account: "shop", Importance: "critical"}, {Name: "browse", Account: "cafe", Importance: "low"}},
	Phases: []generator.Phase{
		{Rate: 4},
		{At: loader.Duration{Duration: 2 * time.Second}, Rate: 4, Surge: true},
		{At: loader.Duration{Duration: 3 * time.Second}, Rate: 4},
	},
}

// results returns one request per window. All are good except those during the surge and in the half
// second after it, which are refused by the rate limit.
func results() []generator.Result {
	var list []generator.Result
	for at := time.Duration(0); at < 6*time.Second; at += reporter.Window {
		good := at < 2*time.Second || at >= 3500*time.Millisecond
		r := generator.Result{At: at, WithinRate: true, Good: good, Latency: 5 * time.Millisecond, Outcome: "run"}
		if !good {
			r.Outcome, r.Code = "not-run", "rate-exceeded"
		}
		list = append(list, r)
	}
	return list
}

// TestSummarize checks goodput, recovery, the worst account and wrongful refusals on a run with known
// results.
func TestSummarize(t *testing.T) {
	r := reporter.Summarize("known", plan, results())
	assert.Equal(t, r.RecoveryMS, int64(500))
	assert.Equal(t, r.Total.Sent, 24)
	assert.Equal(t, r.Total.Good, 18)
	assert.Equal(t, r.Total.Wrongful, 6)
	assert.Equal(t, r.WorstAccount, "shop")
	assert.Equal(t, r.WorstShare, 0.75)
	assert.Equal(t, r.Phases[1].Goodput, 0.0)
	assert.Equal(t, r.Phases[0].ImportantGoodShare, 1.0)
}

// TestNoWrongfulRefusalsAtFullRate checks that an account which got as many good requests as its rate
// covers has no wrongful refusals, even if requests within its rate were refused.
func TestNoWrongfulRefusalsAtFullRate(t *testing.T) {
	list := results()
	for i := range list {
		list[i].WithinRate = i%2 == 0
	}
	r := reporter.Summarize("known", plan, list)
	assert.Equal(t, r.Total.RefusedWithinRate, 3)
	assert.Equal(t, r.Total.Wrongful, 0)
}

// TestRender checks that each output format contains the run.
func TestRender(t *testing.T) {
	list := []reporter.Report{reporter.Summarize("known", plan, results())}
	var table, html, text strings.Builder
	assert.NilError(t, reporter.WriteTable(&table, list))
	assert.NilError(t, reporter.WriteJSON(&text, list))
	assert.NilError(t, reporter.WriteHTML(&html, list))
	assert.Assert(t, strings.Contains(table.String(), "recovery after the surge: 0.50 s"), table.String())
	assert.Assert(t, strings.Contains(text.String(), `"recovery-ms": 500`))
	assert.Assert(t, strings.Contains(html.String(), "<svg"))
}
