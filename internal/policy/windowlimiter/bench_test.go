package windowlimiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/windowlimiter"
)

// BenchmarkAdmit measures the decision on one request at a node of a large fleet.
func BenchmarkAdmit(b *testing.B) {
	n := &windowlimiter.Limiter{Window: window}
	now := time.Hour
	n.SetMembers(now, others(195, 0))
	for i := 1; i < 195; i++ {
		usages := map[string]windowlimiter.Usage{}
		for a := range 140 {
			usages[fmt.Sprint("account-", a)] = windowlimiter.Usage{Admitted: 1, Demand: 0.5}
		}
		n.Receive(now, windowlimiter.Process{Node: nodeName(i), Started: 1}, usages, true)
	}
	for b.Loop() {
		now += 100 * time.Microsecond
		if ok, _ := n.Admit(now, "account-7", shop); ok {
			n.Count(now, "account-7")
		}
	}
}
