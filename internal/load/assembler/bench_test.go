package assembler_test

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

	"github.com/plantainwheel/plantainwheel/internal/load/assembler"
	"github.com/plantainwheel/plantainwheel/internal/load/generator"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"gotest.tools/v3/assert"
)

func prefix(n int) string { return fmt.Sprintf("127.%d.%d", 200+os.Getpid()%50, n) }

func start(tb testing.TB, n, vms int, serviceTime time.Duration, change func(*loader.Settings)) *assembler.Fleet {
	spec := func(v any) json.RawMessage {
		data, err := json.Marshal(v)
		assert.NilError(tb, err)
		return data
	}
	fleet, err := assembler.Start(context.Background(), assembler.Spec{
		Prefix:      prefix(n),
		DataCentres: []string{"dc-1", "dc-2", "dc-3"},
		Services:    []assembler.Service{{Name: "s", Targets: vms, Slots: 50, Connections: 500, ServiceTime: serviceTime}},
		Declarations: []loader.Declaration{
			{Kind: reducer.KindService, Name: "s", Spec: spec(reducer.Service{Slots: 50, Connections: 500})},
			{Kind: reducer.KindRoute, Name: "r", Spec: spec(reducer.Route{
				Service: "s", Method: "GET", Path: "/r", Open: true, Idempotent: true, TimeoutMS: 2000,
			})},
		},
		Control:  true,
		Settings: change,
	})
	assert.NilError(tb, err)
	tb.Cleanup(fleet.Close)
	return fleet
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func sum(tb testing.TB, fleet *assembler.Fleet, name string) float64 {
	total := 0.0
	for _, url := range fleet.Metrics() {
		v, err := assembler.Metric(context.Background(), url, name)
		assert.NilError(tb, err)
		total += v
	}
	return total
}

// BenchmarkControl measures what a node costs without any calls, at several sizes of the fleet.
func BenchmarkControl(b *testing.B) {
	for i, n := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			fleet := start(b, i+1, n, time.Millisecond, nil)
			for b.Loop() {
				idle(b, fleet, n)
			}
		})
	}
}

// idle lets a fleet run without calls and reports what a node costs.
func idle(b *testing.B, fleet *assembler.Fleet, n int) {
	const span = 10 * time.Second
	sent, used := sum(b, fleet, "plantainwheel_control_bytes_total"), cpu()
	time.Sleep(span)
	used = cpu() - used
	sent = sum(b, fleet, "plantainwheel_control_bytes_total") - sent
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	b.ReportMetric(100*used.Seconds()/span.Seconds()/float64(n), "%core/node")
	b.ReportMetric(sent/span.Seconds()/float64(n), "B/s/node")
	b.ReportMetric(float64(mem.HeapAlloc)/float64(n)/1e6, "MB/node")
}

// BenchmarkAdded measures the latency that two nodes add to calls of 5 ms, against the target itself.
func BenchmarkAdded(b *testing.B) {
	fleet := start(b, 9, 6, 5*time.Millisecond, nil)
	direct := []string{}
	for _, t := range fleet.Targets("s") {
		direct = append(direct, "http://"+t.Config.Address)
	}
	for _, rate := range []int{100, 1000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				via, straight := latencies(b, fleet.Callers(), direct, float64(rate))
				for _, q := range []float64{0.5, 0.99} {
					added := quantile(via, q) - quantile(straight, q)
					b.ReportMetric(added.Seconds()*1000, fmt.Sprintf("ms-added-p%.0f", 100*q))
				}
			}
		})
	}
}

// latencies sends the same load to the nodes and to the targets, at the same time.
func latencies(b *testing.B, nodes, targets []string, rate float64) (via, straight []time.Duration) {
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
				list = append(list, r.Took)
			}
		}
		slices.Sort(list)
		return list
	}
	var wg sync.WaitGroup
	wg.Go(func() { via = run(nodes) })
	wg.Go(func() { straight = run(targets) })
	wg.Wait()
	return via, straight
}

func quantile(list []time.Duration, q float64) time.Duration {
	return list[min(int(q*float64(len(list))), len(list)-1)]
}
