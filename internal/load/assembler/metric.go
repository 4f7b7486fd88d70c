package assembler

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// wantSlots is the number of rate slots that a ready fleet lends from.
const wantSlots = reducer.Slots

func (f *Fleet) openSlots(ctx context.Context) int {
	sum := 0.0
	for _, url := range f.Metrics() {
		v, err := Metric(ctx, url, "plantainwheel_slots_open")
		if err == nil {
			sum += v
		}
	}
	return int(sum)
}

// Metric reads one value from a node's metrics.
func Metric(ctx context.Context, url, name string) (float64, error) {
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
