// Package relayer forwards loopback TCP connections and injects network faults on demand.
package relayer

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Fault is a network fault of a relay.
type Fault string

// Faults of a relay.
const (
	None Fault = ""
	// Delay delays the bytes of both directions by DelayTime.
	Delay Fault = "delay"
	// Stall forwards nothing in either direction and keeps connections open. The bytes held back are forwarded when
	// the fault ends.
	Stall Fault = "silence"
	// OneWay forwards requests and holds responses back.
	OneWay Fault = "one-way"
	// Reset resets all connections and closes new ones.
	Reset Fault = "reset"
)

// DelayTime is the delay added by Delay in each direction: more than the latency between data centres of a region.
const DelayTime = 80 * time.Millisecond

// pollInterval is how often a stalled connection checks whether the fault has ended.
const pollInterval = 10 * time.Millisecond

// Relay forwards TCP connections from a listen address to a target address. It is safe for concurrent use.
type Relay struct {
	// Listen is the listen address. Open replaces port 0 with the port chosen by the system.
	Listen string
	Target string

	mu       sync.Mutex
	fault    Fault
	conns    map[net.Conn]bool
	closed   bool
	listener net.Listener
	done     sync.WaitGroup
}

// Open starts to accept connections.
func (r *Relay) Open() error {
	l, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return fmt.Errorf("relay to %s: %w", r.Target, err)
	}
	r.listener = l
	r.Listen = l.Addr().String()
	r.conns = map[net.Conn]bool{}
	r.done.Go(r.accept)
	return nil
}

// Close stops listening and closes all connections. It does nothing if the relay was never opened.
func (r *Relay) Close() {
	if r.listener == nil {
		return
	}
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.resetConns()
	r.done.Wait()
}

// SetFault replaces the current fault. Reset also resets the open connections.
func (r *Relay) SetFault(f Fault) {
	r.mu.Lock()
	r.fault = f
	r.mu.Unlock()
	if f == Reset {
		r.resetConns()
	}
}

func (r *Relay) resetConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Go(func() { r.forward(c) })
	}
}

// forward copies bytes between a caller and the target until either side closes the connection.
func (r *Relay) forward(caller net.Conn) {
	defer r.remove(caller)
	if !r.add(caller) {
		return
	}
	target, err := net.Dial("tcp", r.Target)
	if err != nil {
		return
	}
	defer r.remove(target)
	if !r.add(target) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(target, caller, false) })
	wg.Go(func() { r.copy(caller, target, true) })
	wg.Wait()
}

// add registers a connection. It returns false if the relay is closed or resets connections.
func (r *Relay) add(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
	return r.fault != Reset && !r.closed
}

// remove unregisters and closes a connection.
func (r *Relay) remove(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

func (r *Relay) copy(dst, src net.Conn, responses bool) {
	defer dst.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && r.wait(responses) {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait blocks while the fault holds bytes back. It returns false if the relay was closed.
func (r *Relay) wait(responses bool) bool {
	delayed := false
	for {
		r.mu.Lock()
		fault, closed := r.fault, r.closed
		r.mu.Unlock()
		switch {
		case closed:
			return false
		case fault == Delay && !delayed:
			delayed = true
			time.Sleep(DelayTime)
		case fault == Stall || (fault == OneWay && responses):
			time.Sleep(pollInterval)
		default:
			return true
		}
	}
}
