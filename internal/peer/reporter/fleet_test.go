package reporter

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"gotest.tools/v3/assert"
)

// TestFleetTraffic counts the datagrams and system calls of 90 nodes in 4 data centres that send reports at the urgent
// interval. It guards against a system call for each datagram, which costs more than decoding it.
func TestFleetTraffic(t *testing.T) {
	const nodes, dataCentres, span = 90, 4, 2 * time.Second
	members := make([]tracker.Member, nodes)
	// All ports are held until the last is chosen, since a port that is free again may be chosen twice.
	var held []net.PacketConn
	for i := range members {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		members[i] = tracker.Member{Node: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%dataCentres), ReportAddress: c.LocalAddr().String(), TakesBatches: true, State: tracker.Ready}
		held = append(held, c)
	}
	for _, c := range held {
		assert.NilError(t, c.Close())
	}
	ctx, cancel := context.WithCancel(t.Context())
	var heard atomic.Int64
	var running sync.WaitGroup
	set := metrics.NewSet()
	var reporters []*Reporter
	for _, m := range members {
		tr := &tracker.Tracker{Self: m.Node, DataCentre: m.DataCentre, ReportTimeout: time.Minute}
		for _, o := range members {
			tr.SetMember(o)
		}
		r := &Reporter{
			Listen: m.ReportAddress, Tracker: tr, Metrics: set,
			Urgent:      func() bool { return true },
			BuildReport: func() tracker.Report { return *benchReport(m.Node, 0, 10) },
			BuildUsages: func() []tracker.AccountUsage { return nil },
			OnUsages:    func(*tracker.UsageReport, bool) { heard.Add(1) },
		}
		assert.NilError(t, r.Open())
		reporters = append(reporters, r)
	}
	for _, r := range reporters {
		running.Go(func() { r.Run(ctx) })
	}
	time.Sleep(span)
	cancel()
	running.Wait()
	calls := uint64(0)
	for _, r := range reporters {
		calls += r.socket.systemCalls
		r.Close()
	}
	datagrams, bytes := sum(set, "report", "report-to-relay", "batch")
	perNode := func(n float64) float64 { return n / nodes / span.Seconds() }
	t.Logf("a node and second: %.0f reports heard, %.0f datagrams and %.0f KB sent, %.0f system calls",
		perNode(float64(heard.Load())), perNode(datagrams), perNode(bytes)/1e3, perNode(float64(calls)))
	// 20 checks a second read once, five reports take one call each and the batches of relays up to 20.
	assert.Assert(t, perNode(float64(calls)) < 100)
	assert.Assert(t, perNode(float64(calls)) < perNode(datagrams))
}

// sum returns the datagrams and bytes that were sent of the given kinds.
func sum(set *metrics.Set, kinds ...string) (datagrams, bytes float64) {
	for _, kind := range kinds {
		for _, scope := range []string{"same", "other"} {
			datagrams += float64(set.GetOrCreateCounter(fmt.Sprintf("peer_datagrams_sent_total{kind=%q,scope=%q}", kind, scope)).Get())
			bytes += float64(set.GetOrCreateCounter(fmt.Sprintf("peer_bytes_sent_total{kind=%q,scope=%q}", kind, scope)).Get())
		}
	}
	return datagrams, bytes
}

// TestOneByOne checks the way without sendmmsg and recvmmsg, which some systems lack.
func TestOneByOne(t *testing.T) {
	f := newRelay(t)
	s := f.relay.socket
	assert.Assert(t, s.allocate())
	to, err := net.ResolveUDPAddr("udp4", f.new.LocalAddr().String())
	assert.NilError(t, err)
	s.arena = []byte("onetwo")
	s.writeOneByOne([]queued{{0, 3, to.AddrPort()}, {3, 6, to.AddrPort()}})
	assert.Equal(t, string(received(t, f.new)), "one")
	assert.Equal(t, string(received(t, f.new)), "two")
}

// TestManyDatagrams guards against losing datagrams beyond those of one system call.
func TestManyDatagrams(t *testing.T) {
	f := newRelay(t)
	s := f.relay.socket
	s.queueing = true
	to, err := net.ResolveUDPAddr("udp4", f.new.LocalAddr().String())
	assert.NilError(t, err)
	const count = 3*batchMessages + 1
	for i := range count {
		s.send([]byte{byte(i), 0}, to.AddrPort())
	}
	assert.Equal(t, s.systemCalls, uint64(0))
	s.flush()
	for i := range count {
		assert.DeepEqual(t, received(t, f.new), []byte{byte(i), 0})
	}
	assert.Equal(t, s.systemCalls, uint64(4))
}
