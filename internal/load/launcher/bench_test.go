package launcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/load/generator"
	"github.com/plantainwheel/plantainwheel/internal/load/launcher"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"gotest.tools/v3/assert"
)

// prefix returns a prefix of loopback addresses. It depends on the process ID, so that concurrent test runs
// rarely use the same addresses.
func prefix(subnet int) string { return fmt.Sprintf("127.%d.%d", 200+os.Getpid()%50, subnet) }

// startFleet starts a fleet of VMs with one service and one route for anonymous calls. modifySettings may be nil.
func startFleet(
	tb testing.TB, subnet, vms int, serviceTime time.Duration, modifySettings func(*loader.Settings),
) *launcher.Fleet {
	spec := func(v any) json.RawMessage {
		data, err := json.Marshal(v)
		assert.NilError(tb, err)
		return data
	}
	fleet, err := launcher.Start(context.Background(), launcher.Spec{
		Prefix:      prefix(subnet),
		DataCentres: []string{"dc-1", "dc-2", "dc-3"},
		Services:    []launcher.Service{{Name: "s", Targets: vms, Slots: 50, Connections: 500, ServiceTime: serviceTime}},
		Declarations: []loader.Declaration{
			{Kind: reducer.KindService, Name: "s", Spec: spec(reducer.Service{Slots: 50, Connections: 500})},
			{Kind: reducer.KindRoute, Name: "r", Spec: spec(reducer.Route{
				Service: "s", Method: "GET", Path: "/r", Anonymous: true, Idempotent: true, TimeoutMS: 2000,
			})},
		},
		Control:        true,
		ModifySettings: modifySettings,
	})
	assert.NilError(tb, err)
	tb.Cleanup(fleet.Close)
	return fleet
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func sumMetric(tb testing.TB, fleet *launcher.Fleet, name string) float64 {
	total := 0.0
	for _, url := range fleet.MetricsURLs() {
		v, err := launcher.ReadMetric(context.Background(), url, name)
		assert.NilError(tb, err)
		total += v
	}
	return total
}

// BenchmarkControl measures the cost of a node without any calls, at several fleet sizes.
func BenchmarkControl(b *testing.B) {
	for i, n := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			fleet := startFleet(b, i+1, n, time.Millisecond, nil)
			for b.Loop() {
				measureIdle(b, fleet, n)
			}
		})
	}
}

// measureIdle runs a fleet without calls and reports the CPU time, control traffic and heap per node.
func measureIdle(b *testing.B, fleet *launcher.Fleet, nodes int) {
	const span = 10 * time.Second
	sent, used := sumMetric(b, fleet, "plantainwheel_control_bytes_total"), cpuTime()
	time.Sleep(span)
	used = cpuTime() - used
	sent = sumMetric(b, fleet, "plantainwheel_control_bytes_total") - sent
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	b.ReportMetric(100*used.Seconds()/span.Seconds()/float64(nodes), "%core/node")
	b.ReportMetric(sent/span.Seconds()/float64(nodes), "B/s/node")
	b.ReportMetric(float64(mem.HeapAlloc)/float64(nodes)/1e6, "MB/node")
}

// BenchmarkAddedLatency measures the latency that two nodes add to calls with a service time of 5 ms, compared
// with calls sent directly to the targets.
func BenchmarkAddedLatency(b *testing.B) {
	fleet := startFleet(b, 9, 6, 5*time.Millisecond, nil)
	targets := []string{}
	for _, t := range fleet.Targets("s") {
		targets = append(targets, "http://"+t.Config.Address)
	}
	for _, rate := range []int{100, 1000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				viaNodes, direct := latencies(b, fleet.CallerURLs(), targets, float64(rate))
				for _, q := range []float64{0.5, 0.99} {
					added := quantile(viaNodes, q) - quantile(direct, q)
					b.ReportMetric(added.Seconds()*1000, fmt.Sprintf("ms-added-p%.0f", 100*q))
				}
			}
		})
	}
}

// latencies sends the same load to the nodes and to the targets at the same time, and returns the sorted
// latencies of the good requests after the first second.
func latencies(b *testing.B, nodes, targets []string, rate float64) (viaNodes, direct []time.Duration) {
	run := func(entries []string) (list []time.Duration) {
		g := &generator.Generator{Client: generator.NewClient(500), Plan: generator.Plan{
			Entries:  entries,
			Duration: loader.Duration{Duration: 8 * time.Second},
			Phases:   []generator.Phase{{Rate: rate}},
			Classes: []generator.Class{{
				Name: "r", Method: http.MethodGet, Path: "/r", Share: 1, Timeout: loader.Duration{Duration: 2 * time.Second},
			}},
		}}
		results, err := g.Run(context.Background())
		assert.NilError(b, err)
		for _, r := range results {
			if r.Good && r.At > time.Second {
				list = append(list, r.Latency)
			}
		}
		slices.Sort(list)
		return list
	}
	var wg sync.WaitGroup
	wg.Go(func() { viaNodes = run(nodes) })
	wg.Go(func() { direct = run(targets) })
	wg.Wait()
	return viaNodes, direct
}

func quantile(list []time.Duration, q float64) time.Duration {
	return list[min(int(q*float64(len(list))), len(list)-1)]
}
