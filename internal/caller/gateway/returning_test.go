package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/caller/gateway"
	"github.com/plantainwheel/plantainwheel/internal/policy/allocator"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// TestReturnAtReservedTime guards against a caller that returns when it was told to and is shed again.
func TestReturnAtReservedTime(t *testing.T) {
	f := newFixture(t)
	f.gateway.Returns = gateway.NewReturns(metrics.NewSet())
	for range 200 {
		f.sender.answers = append(f.sender.answers, ok())
	}
	costs := allocator.TotalCosts{`read "x"`: {"x": 0.1}}
	for range 60 {
		f.send(http.MethodGet, "/read/1", "key", nil)
		slots := f.gateway.Shedder.UpdateDemand(costs)["x"]
		f.gateway.Shedder.UpdateFractions(costs, f.gateway.Shedder.Demand(), map[string]float64{"x": 0.4 * slots}, nil)
		time.Sleep(time.Millisecond)
	}
	for i := range 60 {
		w := f.send(http.MethodGet, "/read/1?attempt="+strconv.Itoa(i), "key", nil)
		if w.Code != http.StatusServiceUnavailable {
			continue
		}
		seconds, err := strconv.ParseFloat(w.Header().Get(platform.RetryAfterHeader), 64)
		assert.NilError(t, err)
		time.Sleep(time.Duration(seconds * float64(time.Second)))
		w = f.send(http.MethodGet, "/read/1?attempt="+strconv.Itoa(i), "key", nil)
		assert.Equal(t, w.Code, http.StatusOK)
		return
	}
	t.Fatal("no request was shed")
}
