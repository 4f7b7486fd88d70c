package reporter

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"gotest.tools/v3/assert"
)

// relayFixture is a relay with two other nodes of its data centre, of which one does not take batches.
type relayFixture struct {
	relay    *Reporter
	old, new net.PacketConn
}

func newRelay(t *testing.T) *relayFixture {
	f := &relayFixture{}
	listen := func() (net.PacketConn, string) {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c, c.LocalAddr().String()
	}
	tr := &tracker.Tracker{Self: "relay", DataCentre: "here", ReportTimeout: time.Minute}
	var oldAddress, newAddress string
	f.old, oldAddress = listen()
	f.new, newAddress = listen()
	tr.SetMember(tracker.Member{Node: "old", DataCentre: "here", ReportAddress: oldAddress})
	tr.SetMember(tracker.Member{Node: "new", DataCentre: "here", ReportAddress: newAddress, TakesBatches: true})
	tr.SetMember(tracker.Member{Node: "a", DataCentre: "there"})
	tr.SetMember(tracker.Member{Node: "b", DataCentre: "there"})
	f.relay = &Reporter{Listen: "127.0.0.1:0", Tracker: tr, OnUsages: func(*tracker.UsageReport, bool) {}}
	assert.NilError(t, f.relay.Open())
	t.Cleanup(f.relay.Close)
	return f
}

func datagram(t *testing.T, kind byte, node string, trailing string) []byte {
	raw, err := (&tracker.Report{Node: node, Started: 1, Sequence: 1}).MarshalMsg([]byte{kind})
	assert.NilError(t, err)
	return append(raw, trailing...)
}

func received(t *testing.T, c net.PacketConn) []byte {
	buf := make([]byte, 1<<16)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
	n, _, err := c.ReadFrom(buf)
	assert.NilError(t, err)
	return buf[:n]
}

// TestRelay checks what a relay passes on: all reports in one datagram, or one by one to a node of an earlier version, and
// nothing that follows a report in its datagram, which would spoil the reports of others.
func TestRelay(t *testing.T) {
	f := newRelay(t)
	f.relay.handleDatagram(datagram(t, kindRelay, "a", "\xc1 junk"))
	f.relay.handleDatagram(datagram(t, kindRelay, "a", ""))
	f.relay.handleDatagram(datagram(t, kindRelay, "unknown", ""))
	f.relay.handleDatagram(datagram(t, kindRelay, "b", ""))
	f.relay.flush()
	a, b := datagram(t, kindDirect, "a", ""), datagram(t, kindDirect, "b", "")
	assert.DeepEqual(t, received(t, f.new), append(append([]byte{kindBatch}, a...), b...))
	assert.DeepEqual(t, received(t, f.old), a)
	assert.DeepEqual(t, received(t, f.old), b)
}

// TestRelayDemand checks that the sums of another data centre are passed on once, after the reports and only to nodes that
// take them: a node of an earlier version would lose the reports that follow them in a batch.
func TestRelayDemand(t *testing.T) {
	f := newRelay(t)
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer c.Close()
	f.relay.Tracker.SetMember(tracker.Member{
		Node: "newest", DataCentre: "here", ReportAddress: c.LocalAddr().String(), TakesBatches: true, TakesDemand: true,
	})
	sums := tracker.DataCentreDemand{DataCentre: "there", From: "a", Started: 1, Sequence: 1, Nodes: 2, Rows: []tracker.DemandRow{{Route: "order", Rank: 1, Rate: 5}}}
	raw, err := sums.MarshalMsg([]byte{kindDataCentreDemand})
	assert.NilError(t, err)
	f.relay.handleDatagram(raw)
	f.relay.handleDatagram(raw)
	f.relay.handleDatagram(datagram(t, kindRelay, "a", ""))
	f.relay.flush()
	report := datagram(t, kindDirect, "a", "")
	batch := received(t, c)
	assert.DeepEqual(t, batch, slices.Concat([]byte{kindBatch}, report, raw))
	assert.DeepEqual(t, received(t, f.new), slices.Concat([]byte{kindBatch}, report))
	assert.DeepEqual(t, received(t, f.old), report)

	receiver := &Reporter{Tracker: &tracker.Tracker{DataCentre: "here"}, OnUsages: func(*tracker.UsageReport, bool) {}}
	receiver.Tracker.SetMember(tracker.Member{Node: "a", DataCentre: "there"})
	receiver.handleDatagram(batch)
	assert.DeepEqual(t, receiver.Tracker.Demand(time.Now())[0].Rows, sums.Rows)
	assert.Equal(t, len(receiver.demandBatch), 0)
}
