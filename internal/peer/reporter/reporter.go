// Package reporter sends a node's load, costs and tallies to the others in datagrams and takes theirs.
package reporter

import (
	"context"
	"errors"
	"fmt"
	"net"
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

// Reporter exchanges reports. Close waits until it has ended.
type Reporter struct {
	// Listen is the UDP address, "IP:port".
	Listen  string
	Tracker *tracker.Tracker
	// Make returns the own report and whether it is urgent.
	Make func() (tracker.Report, bool)
	// Take is told each report of another node that is not older than the last.
	Take func(*tracker.Report)

	conn     *net.UDPConn
	handle   codec.MsgpackHandle
	started  int64
	sequence uint64
	done     sync.WaitGroup
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
	size := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			report, urgent := r.Make()
			if now.Sub(last) < r.period(urgent, size) {
				continue
			}
			last = now
			size = r.send(&report)
		}
	}
}

func (r *Reporter) period(urgent bool, size int) time.Duration {
	period := Period
	if urgent {
		period = UrgentPeriod
	}
	cost := time.Duration(size*len(r.Tracker.Others())) * time.Second / bytesPerSecond
	return max(period, cost)
}

// Send sends a report at once.
func (r *Reporter) Send() {
	report, _ := r.Make()
	r.send(&report)
}

func (r *Reporter) send(report *tracker.Report) int {
	r.sequence++
	report.Started = r.started
	report.Sequence = r.sequence
	r.Tracker.Heard(time.Now(), report)
	var raw []byte
	if err := codec.NewEncoderBytes(&raw, &r.handle).Encode(report); err != nil || len(raw) > mostBytes {
		return 0
	}
	for _, m := range r.Tracker.Others() {
		addr, err := net.ResolveUDPAddr("udp4", m.ReportAddress)
		if err != nil {
			continue
		}
		// A lost datagram is made good by the next.
		_, _ = r.conn.WriteToUDP(raw, addr)
	}
	return len(raw)
}

func (r *Reporter) receive() {
	buf := make([]byte, mostBytes)
	var handle codec.MsgpackHandle
	for {
		n, _, err := r.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var report tracker.Report
		if err := codec.NewDecoderBytes(buf[:n], &handle).Decode(&report); err != nil {
			continue
		}
		if r.Tracker.Heard(time.Now(), &report) {
			r.Take(&report)
		}
	}
}

// Close ends the receiving.
func (r *Reporter) Close() {
	_ = r.conn.Close()
	r.done.Wait()
}
