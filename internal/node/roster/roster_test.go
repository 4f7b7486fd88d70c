package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"gotest.tools/v3/assert"
)

func newRoster(n int) *roster.Roster {
	r := &roster.Roster{Self: "vm-0", DataCentre: "dc-0", Clock: time.Now}
	for i := range n {
		r.Merge([]roster.Entry{{
			VM: fmt.Sprintf("vm-%d", i), Incarnation: 1, Heartbeat: 1, DataCentre: fmt.Sprintf("dc-%d", i%3),
			Service: "s", PeerAddress: fmt.Sprint(i),
		}})
	}
	return r
}

// TestMerge checks that the newest entry of a VM replaces the others regardless of the order of arrival, and
// that a new entry can move the VM to another service.
func TestMerge(t *testing.T) {
	r := newRoster(2)
	merge := func(incarnation, heartbeat int64, service string) {
		r.Merge([]roster.Entry{{VM: "vm-1", Incarnation: incarnation, Heartbeat: heartbeat, Service: service, DataCentre: "dc-1"}})
	}
	merge(2, 1, "t")
	merge(1, 9, "s")
	merge(2, 0, "u")
	assert.Equal(t, r.Entries()[1].Service, "t")
	assert.Equal(t, len(r.Candidates("s", 1)), 1)
	assert.Equal(t, len(r.Candidates("t", 1)), 1)
	r.Forget("vm-1")
	assert.Equal(t, len(r.Candidates("t", 1)), 0)
	assert.Equal(t, len(r.Entries()), 1)
}

// TestSampleCoversAll checks that random samples and candidates eventually include every VM.
func TestSampleCoversAll(t *testing.T) {
	r := newRoster(100)
	chosen, sampled := map[string]bool{}, map[string]bool{}
	for i := range uint64(5000) {
		for _, c := range r.Candidates("s", i*0x9e3779b97f4a7c15) {
			chosen[c.Member] = true
		}
		for _, e := range r.Sample(8, i) {
			sampled[e.VM] = true
		}
	}
	assert.Equal(t, len(chosen), 100)
	assert.Equal(t, len(sampled), 100)
	assert.Equal(t, len(r.Candidates("s", 5)), 12)
}

func BenchmarkSample(b *testing.B) {
	for _, n := range []int{16, 1000, 17000} {
		r := newRoster(n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Sample(8, 12345)
			}
		})
	}
}

func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{4, 64, 17000} {
		r := newRoster(n)
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Candidates("s", 12345)
			}
		})
	}
}
