// Package relayer passes loopback connections on, and harms them on demand: the soak's stand-in for a network
// with faults.
package relayer

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Fault is what happens to the bytes of a relay.
type Fault string

// The faults.
const (
	None Fault = ""
	// Delay holds bytes back for Late in both directions.
	Delay Fault = "delay"
	// Silence passes nothing on and closes nothing.
	Silence Fault = "silence"
	// OneWay passes on what is asked, and no answer.
	OneWay Fault = "one-way"
	// Reset breaks off all connections, also new ones.
	Reset Fault = "reset"
)

// Late is how long Delay holds bytes back: more than a link between data centres of a region takes.
const Late = 80 * time.Millisecond

// poll is how often a held connection looks whether its fault has ended.
const poll = 10 * time.Millisecond

// Relay passes the connections of one address on to another. It is safe for concurrent use.
type Relay struct {
	// Listen is the address; after Open it holds the port that was chosen for port 0.
	Listen string
	Target string

	mu       sync.Mutex
	fault    Fault
	conns    map[net.Conn]bool
	closed   bool
	listener net.Listener
	done     sync.WaitGroup
}

// Open starts to listen.
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

// Close ends all connections. It does nothing to a relay that was never opened.
func (r *Relay) Close() {
	if r.listener == nil {
		return
	}
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.reset()
	r.done.Wait()
}

// Break switches the fault.
func (r *Relay) Break(f Fault) {
	r.mu.Lock()
	r.fault = f
	r.mu.Unlock()
	if f == Reset {
		r.reset()
	}
}

func (r *Relay) reset() {
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
		r.done.Go(func() { r.pass(c) })
	}
}

// pass joins a caller to the target until either side ends.
func (r *Relay) pass(caller net.Conn) {
	defer r.drop(caller)
	if !r.keep(caller) {
		return
	}
	target, err := net.Dial("tcp", r.Target)
	if err != nil {
		return
	}
	defer r.drop(target)
	if !r.keep(target) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(target, caller, false) })
	both.Go(func() { r.copy(caller, target, true) })
	both.Wait()
}

// keep notes a connection, and reports false where the relay breaks all of them off.
func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
	return r.fault != Reset && !r.closed
}

func (r *Relay) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

func (r *Relay) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && r.hold(answers) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits as long as the fault holds bytes back, and reports false where the relay has ended.
func (r *Relay) hold(answers bool) bool {
	late := false
	for {
		r.mu.Lock()
		fault, closed := r.fault, r.closed
		r.mu.Unlock()
		switch {
		case closed:
			return false
		case fault == Delay && !late:
			late = true
			time.Sleep(Late)
		case fault == Silence || (fault == OneWay && answers):
			time.Sleep(poll)
		default:
			return true
		}
	}
}
