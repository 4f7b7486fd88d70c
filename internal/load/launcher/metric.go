package launcher

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// rateSlots is the number of open rate slots in a ready fleet.
const rateSlots = reducer.RateSlotCount

func (f *Fleet) openRateSlots(ctx context.Context) int {
	sum := 0.0
	for _, url := range f.MetricsURLs() {
		v, err := ReadMetric(ctx, url, "plantainwheel_slots_open")
		if err == nil {
			sum += v
		}
	}
	return int(sum)
}

// ReadMetric reads the value of a metric without labels from a node's metrics URL. It returns 0 if the node
// does not report the metric.
func ReadMetric(ctx context.Context, url, name string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(text, 64)
		}
	}
	return 0, lines.Err()
}
