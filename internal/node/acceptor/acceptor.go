// Package acceptor accepts the connections of a server and bounds what its clients may hold: connections, the memory of requests
// that are being read, and the time that they take. It closes or answers connections whose requests have not been passed on.
package acceptor

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/evictor"
)

// Limits bound the requests of one client.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// HeaderTimeout is the maximum time from the first byte of a request to the end of its header, and IdleTimeout that without a
	// request.
	HeaderTimeout, IdleTimeout time.Duration
}

// Reason is why a connection is closed or a request is refused.
type Reason string

// Reasons.
const (
	// NoConnection means that there are too many connections, all of which have a request in progress.
	NoConnection Reason = "no-connection"
	// Evicted means that a connection without a complete request, or whose client does not read, made room for others.
	Evicted Reason = "evicted"
	// NoMemory means that the requests in progress take up the memory.
	NoMemory Reason = "no-memory"
	// HeaderTooLarge, HeaderTimeout and IdleTimeout mean that a limit was exceeded.
	HeaderTooLarge Reason = "header-too-large"
	HeaderTimeout  Reason = "header-timeout"
	IdleTimeout    Reason = "idle-timeout"
)

// Reasons lists all reasons.
var Reasons = []Reason{NoConnection, Evicted, NoMemory, HeaderTooLarge, HeaderTimeout, IdleTimeout}

const (
	// bufferBytes is the size of the read buffer of a connection, in which the end of a header may be followed by other bytes.
	bufferBytes = 4 << 10
	// lingerTime and lingerBytes bound what is read after a refusal, so that the client receives it.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
	// writeTimeout is the maximum time of a write for which the handler sets no deadline, evictedWriteTimeout that on a connection
	// that others need.
	writeTimeout        = 5 * time.Second
	evictedWriteTimeout = 500 * time.Millisecond
)

const (
	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	requestTimeout = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Acceptor accepts the connections of one server. Its exported fields are set before Listener.
type Acceptor struct {
	// MaxConns is the maximum number of connections, and MaxBytes the maximum memory of their requests in bytes.
	MaxConns int
	MaxBytes int64
	// Limits returns the limits in force.
	Limits func() Limits
	// BufferedBytes returns the size in bytes up to which the handler reads a body in full before it passes the request on.
	BufferedBytes func() int64
	// Refuse answers a request for which there is no memory. The request has not run.
	Refuse http.HandlerFunc
	// OnRefuse, if set, is called for each connection that is closed, and for each request that is refused. It must not block.
	OnRefuse func(Reason)

	mu      sync.Mutex
	evictor evictor.Evictor
	conns   map[*evictor.Entry]*conn
}

// Listener returns a listener that accepts the connections of l.
func (a *Acceptor) Listener(l net.Listener) net.Listener {
	a.evictor.MaxConns, a.evictor.MaxBytes = a.MaxConns, a.MaxBytes
	a.conns = map[*evictor.Entry]*conn{}
	return &listener{Listener: l, acceptor: a}
}

type listener struct {
	net.Listener
	acceptor *Acceptor
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			l.acceptor.makeRoom()
			return nil, err
		case err != nil:
			return nil, err
		}
		if accepted := l.acceptor.add(c); accepted != nil {
			return accepted, nil
		}
		_ = c.Close()
	}
}

// add returns the connection to serve, or nil if there is no room.
func (a *Acceptor) add(c net.Conn) net.Conn {
	var accepted *conn
	a.update(func(now time.Time) []*evictor.Entry {
		e, victims := a.evictor.Add(now)
		if e != nil {
			accepted = &conn{Conn: c, acceptor: a, entry: e}
			a.conns[e] = accepted
		}
		return victims
	})
	if accepted == nil {
		a.count(NoConnection)
		return nil
	}
	return accepted
}

// makeRoom closes a connection because the process has no descriptor left.
func (a *Acceptor) makeRoom() {
	a.update(a.evictor.Evict)
}

// update applies a change to the evictor. It closes the connections that the change returns, or ends the reads of their
// handlers. The mutex is not held meanwhile, because closing a connection waits for its reads and writes in progress.
func (a *Acceptor) update(change func(now time.Time) []*evictor.Entry) {
	a.mu.Lock()
	victims := a.owners(change(time.Now()))
	a.mu.Unlock()
	for _, c := range victims {
		a.count(Evicted)
		if c.entry.HasHandler() {
			c.interrupt()
		} else {
			a.close(c)
		}
	}
}

// close closes a victim. Its descriptor is free then.
func (a *Acceptor) close(c *conn) {
	_ = c.Conn.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(c)
}

// remove removes a closed connection. The caller holds the mutex.
func (a *Acceptor) remove(c *conn) {
	a.evictor.Remove(c.entry)
	delete(a.conns, c.entry)
}

// owners returns the connections of the entries. The caller holds the mutex.
func (a *Acceptor) owners(entries []*evictor.Entry) []*conn {
	var owners []*conn
	for _, e := range entries {
		owners = append(owners, a.conns[e])
	}
	return owners
}

func (a *Acceptor) count(reason Reason) {
	if a.OnRefuse != nil {
		a.OnRefuse(reason)
	}
}

// Expire closes the connections that have exceeded a time limit. A client that has sent a part of a request is told.
func (a *Acceptor) Expire(now time.Time) {
	limits := a.Limits()
	a.mu.Lock()
	unfinished, unused := a.evictor.Expired(now, limits.HeaderTimeout, limits.IdleTimeout)
	slow, quiet := a.owners(unfinished), a.owners(unused)
	a.mu.Unlock()
	for _, c := range slow {
		a.count(HeaderTimeout)
		c.writeNow(requestTimeout)
		a.close(c)
	}
	for _, c := range quiet {
		a.count(IdleTimeout)
		a.close(c)
	}
}

// RecordState records a state of a connection, as the ConnState hook of an http.Server.
func (a *Acceptor) RecordState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.headerBytes = 0
		c.handled = false
		c.answeredAt = time.Now()
		a.evictor.Idle(c.answeredAt, c.entry)
	case http.StateClosed, http.StateHijacked:
		a.remove(c)
	}
}

type connKey struct{}

// ConnContext returns the context of the requests of a connection, as the hook of an http.Server.
func (a *Acceptor) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// received records what has been read from a connection. It returns false if the header is too large.
func (a *Acceptor) received(c *conn, b []byte) bool {
	maxBytes := a.Limits().HeaderBytes + bufferBytes
	fits := true
	a.update(func(now time.Time) []*evictor.Entry {
		if c.handled {
			return nil
		}
		c.headerBytes += len(b)
		fits = c.headerBytes <= maxBytes
		return a.evictor.Received(now, c.entry, len(b), bytes.Count(b, []byte{'\n'}))
	})
	return fits
}
