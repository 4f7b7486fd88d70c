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

// results has one good request per window, but for the surge and the half second after it.
func results() []generator.Result {
	var list []generator.Result
	for at := time.Duration(0); at < 6*time.Second; at += reporter.Window {
		good := at < 2*time.Second || at >= 3500*time.Millisecond
		r := generator.Result{At: at, Within: true, Good: good, Took: 5 * time.Millisecond, Outcome: "run"}
		if !good {
			r.Outcome, r.Code = "not-run", "rate-exceeded"
		}
		list = append(list, r)
	}
	return list
}

// TestSummary checks the four measures on a run that is known.
func TestSummary(t *testing.T) {
	r := reporter.Summarize("known", plan, results())
	assert.Equal(t, r.RecoveryMS, int64(500))
	assert.Equal(t, r.Total.Sent, 24)
	assert.Equal(t, r.Total.Good, 18)
	assert.Equal(t, r.Total.Wrongful, 6)
	assert.Equal(t, r.WorstAccount, "shop")
	assert.Equal(t, r.WorstShare, 0.75)
	assert.Equal(t, r.Phases[1].Goodput, 0.0)
	assert.Equal(t, r.Phases[0].Important, 1.0)
}

// TestOthersTookTheTokens checks that an account that got its full due has no wrongful refusals.
func TestOthersTookTheTokens(t *testing.T) {
	list := results()
	for i := range list {
		list[i].Within = i%2 == 0
	}
	r := reporter.Summarize("known", plan, list)
	assert.Equal(t, r.Total.RefusedWithin, 3)
	assert.Equal(t, r.Total.Wrongful, 0)
}

// TestRender checks that each form holds the run.
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
