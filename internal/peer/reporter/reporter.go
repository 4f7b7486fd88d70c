// Package reporter sends a node's load, costs and tallies to the others in datagrams and takes theirs.
//
// A report goes to each node of the own data centre, and to one node of each other one, which passes it on to
// its neighbours: bytes between data centres are paid for. That node is another one each time, so that one
// that is down costs a part of the reports and not all.
package reporter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/ugorji/go/codec"
)

const (
	// Period is the time between two reports in calm times, UrgentPeriod while a share or a rate is close to
	// its bound.
	Period       = time.Second
	UrgentPeriod = 200 * time.Millisecond
	tick         = 50 * time.Millisecond
	// mostBytes bounds a datagram.
	mostBytes = 60 << 10
	// bytesPerSecond is what a node may spend on reports; periods grow with the fleet to keep it.
	bytesPerSecond = 30_000
)

// Kinds of datagrams, in their first byte.
const (
	kindDirect = 0
	// kindRelay asks the receiver to pass the report on to its neighbours.
	kindRelay = 1
)

// Reporter exchanges reports. Close waits until it has ended.
type Reporter struct {
	// Listen is the UDP address, "IP:port".
	Listen  string
	Tracker *tracker.Tracker
	// Urgent says whether the others must hear soon. It is asked far more often than Make.
	Urgent func() bool
	// Make returns the own report.
	Make func() tracker.Report
	// Take is told each report of another node that is not older than the last.
	Take func(*tracker.Report)

	conn    *net.UDPConn
	handle  codec.MsgpackHandle
	started int64
	done    sync.WaitGroup

	sequence uint64
}

// Open starts to listen.
func (r *Reporter) Open() error {
	addr, err := net.ResolveUDPAddr("udp4", r.Listen)
	if err != nil {
		return fmt.Errorf("report address: %w", err)
	}
	r.conn, err = net.ListenUDP("udp4", addr)
	if err != nil {
		return fmt.Errorf("listen for reports: %w", err)
	}
	r.started = time.Now().UnixMilli()
	// Names of fields would outweigh their values.
	r.handle.StructToArray = true
	return nil
}

// Run sends and takes reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		r.receive()
	}()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var last time.Time
	paid := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(last) < r.period(paid) {
				continue
			}
			last = now
			report := r.Make()
			paid = time.Duration(r.send(&report)) * time.Second / bytesPerSecond
		}
	}
}

// period returns the time between two reports; paid is the time in which a node may spend what the last one cost.
func (r *Reporter) period(paid time.Duration) time.Duration {
	if r.Urgent() {
		return max(UrgentPeriod, paid)
	}
	return max(Period, paid)
}

// receiver is a node that a report is sent to.
type receiver struct {
	tracker.Member
	kind byte
}

// receivers returns the nodes of the own data centre and one of each other.
func (r *Reporter) receivers() []receiver {
	var list []receiver
	others := map[string][]tracker.Member{}
	for _, m := range r.Tracker.Others() {
		if m.DataCentre == r.Tracker.DataCentre {
			list = append(list, receiver{m, kindDirect})
			continue
		}
		others[m.DataCentre] = append(others[m.DataCentre], m)
	}
	for _, members := range others {
		if heard := r.Tracker.Heardable(time.Now(), members); len(heard) > 0 {
			members = heard
		}
		list = append(list, receiver{members[rand.IntN(len(members))], kindRelay})
	}
	return list
}

// send returns the bytes that were sent.
func (r *Reporter) send(report *tracker.Report) int {
	r.sequence++
	report.Started = r.started
	report.Sequence = r.sequence
	r.Tracker.Heard(time.Now(), report)
	raw := []byte{kindDirect}
	var body []byte
	if err := codec.NewEncoderBytes(&body, &r.handle).Encode(report); err != nil || len(body) > mostBytes {
		return 0
	}
	raw = append(raw, body...)
	receivers := r.receivers()
	for _, to := range receivers {
		raw[0] = to.kind
		r.write(raw, to.Member)
	}
	return len(raw) * len(receivers)
}

// write sends a datagram. A lost one is made good by the next.
func (r *Reporter) write(raw []byte, to tracker.Member) {
	addr, err := netip.ParseAddrPort(to.ReportAddress)
	if err != nil {
		return
	}
	_, _ = r.conn.WriteToUDPAddrPort(raw, addr)
}

func (r *Reporter) receive() {
	buf := make([]byte, mostBytes+1)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < 2 {
			continue
		}
		r.take(buf[:n])
	}
}

// take reads a datagram and passes it on to the neighbours where it came to be relayed.
func (r *Reporter) take(raw []byte) {
	var report tracker.Report
	if err := codec.NewDecoderBytes(raw[1:], &r.handle).Decode(&report); err != nil {
		return
	}
	if !r.Tracker.Heard(time.Now(), &report) {
		return
	}
	r.Take(&report)
	if raw[0] != kindRelay {
		return
	}
	raw[0] = kindDirect
	for _, m := range r.Tracker.Others() {
		if m.DataCentre == r.Tracker.DataCentre && m.Node != report.Node {
			r.write(raw, m)
		}
	}
}

// Close ends the receiving.
func (r *Reporter) Close() {
	_ = r.conn.Close()
	r.done.Wait()
}
