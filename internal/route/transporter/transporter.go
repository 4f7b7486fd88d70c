// Package transporter sends requests to nodes and targets over pooled connections. It never resends a request by
// itself, because only its caller knows which requests may be sent again.
package transporter

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Errors returned by Send, each together with the error of the connection.
var (
	// ErrNotSent means that no byte of the request was written, so the request has not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoAnswer means that the request was written at least in part and that no valid answer arrived, so the request
	// may have run.
	ErrNoAnswer = errors.New("request was sent but not answered")
)

const (
	dialTimeout = 400 * time.Millisecond
	// defaultUnackedTimeout is the UnackedTimeout of a pool that sets none.
	defaultUnackedTimeout = 900 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keep-alive probes that detect a failed
	// connection while the pool waits for an answer.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxHeaderBytes is the maximum size of the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxIdlePerAddress is the maximum number of idle connections to one address.
	maxIdlePerAddress = 48
	// bufferBytes is the size of the read buffer and of the write buffer of a connection.
	bufferBytes = 4 << 10
)

// Request is a request as sent over one hop.
type Request struct {
	Method string
	// URI is the path with the query, byte for byte as received.
	URI    string
	Host   string
	Header http.Header
	Body   Body
}

// Body is the body of a request or an answer. It is in Buffered if it has been read in full, and in Stream otherwise.
type Body struct {
	Buffered []byte
	Stream   io.Reader
	// Length is the length of Stream in bytes, or -1 if it is unknown.
	Length int64
	// Beginning holds the first bytes of Stream once Peek has been called.
	Beginning []byte
}

// Size returns the length of the body in bytes, or 0 if it is unknown.
func (b *Body) Size() int64 {
	if b.Stream == nil {
		return int64(len(b.Buffered))
	}
	return max(b.Length, 0)
}

// peekedBytes is the number of bytes that Peek reads.
const peekedBytes = 4 << 10

// Peek reads the beginning of a stream. It returns an error if the stream fails there.
func (b *Body) Peek() error {
	if b.Stream == nil {
		return nil
	}
	buf := make([]byte, peekedBytes)
	n, err := io.ReadFull(b.Stream, buf)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	b.Beginning = buf[:n]
	b.Stream = io.MultiReader(bytes.NewReader(b.Beginning), b.Stream)
	return nil
}

// Repeatable reports whether the body can be sent again.
func (b *Body) Repeatable() bool { return b.Stream == nil }

// http returns the request as a net/http request to the address.
func (r *Request) http(ctx context.Context, address string) *http.Request {
	req := &http.Request{
		Method: r.Method,
		URL:    &url.URL{Scheme: "http", Host: address, Opaque: r.URI},
		Host:   r.Host,
		Header: r.Header,
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// Keeps net/http from adding its own User-Agent.
		r.Header["User-Agent"] = []string{""}
	}
	switch {
	case r.Body.Stream != nil:
		req.Body = io.NopCloser(r.Body.Stream)
		req.ContentLength = r.Body.Length
	case len(r.Body.Buffered) > 0:
		req.Body = io.NopCloser(bytes.NewReader(r.Body.Buffered))
		req.ContentLength = int64(len(r.Body.Buffered))
	}
	return req.WithContext(ctx)
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	// IdleTimeout is the maximum time for which an idle connection is kept open.
	IdleTimeout time.Duration
	// UnackedTimeout is the maximum time for which sent data may stay unacknowledged, 900 ms if it is 0. It detects a
	// connection that has failed without being closed.
	UnackedTimeout time.Duration
	// OnDial, if set, is called each time a connection is opened.
	OnDial func()
	// Dial, if set, opens the connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once      sync.Once
	transport *http.Transport
	mu        sync.Mutex
	idle      map[string][]*pooledConn
}

type pooledConn struct {
	conn     *http.ClientConn
	counter  *countedConn
	lastUsed time.Time
}

// countedConn counts the calls of Write, so that Send can tell whether any byte of a request may have been written.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(1)
	return c.Conn.Write(b)
}

// pooledConnKey is the context key of the pooledConn that is being dialled.
type pooledConnKey struct{}

// start initialises the pool.
func (p *Pool) start() {
	dial := p.Dial
	if dial == nil {
		dialer := &net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
			Control:         p.setUserTimeout,
		}
		dial = dialer.DialContext
	}
	p.idle = map[string][]*pooledConn{}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			counted := &countedConn{Conn: conn}
			if pc, ok := ctx.Value(pooledConnKey{}).(*pooledConn); ok {
				pc.counter = counted
			}
			return counted, nil
		},
	}
}

// setUserTimeout limits how long sent data may stay unacknowledged.
func (p *Pool) setUserTimeout(_, _ string, c syscall.RawConn) error {
	timeout := cmp.Or(p.UnackedTimeout, defaultUnackedTimeout)
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// Send sends the request to the address once and returns the response with its body unread. It reuses a connection
// only if the connection has been idle for less than maxIdle. The result reused reports whether it did so.
func (p *Pool) Send(ctx context.Context, address string, r *Request, maxIdle time.Duration) (resp *http.Response, reused bool, err error) {
	p.once.Do(p.start)
	pc := p.take(address, maxIdle)
	reused = pc != nil
	if pc == nil {
		if pc, err = p.dial(ctx, address); err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	writtenBefore := pc.counter.written.Load()
	resp, err = pc.conn.RoundTrip(r.http(ctx, address))
	if err != nil {
		_ = pc.conn.Close()
		if pc.counter.written.Load() == writtenBefore {
			return nil, reused, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, reused, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	resp.Body = &pooledBody{ReadCloser: resp.Body, pool: p, address: address, pc: pc}
	return resp, reused, nil
}

// Probe opens and closes a connection to the address. It returns the error of the connection attempt, for example
// syscall.ECONNREFUSED.
func (p *Pool) Probe(ctx context.Context, address string) error {
	p.once.Do(p.start)
	if p.OnDial != nil {
		p.OnDial()
	}
	conn, err := p.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// dial opens a new connection to the address.
func (p *Pool) dial(ctx context.Context, address string) (*pooledConn, error) {
	if p.OnDial != nil {
		p.OnDial()
	}
	pc := &pooledConn{}
	conn, err := p.transport.NewClientConn(context.WithValue(ctx, pooledConnKey{}, pc), "http", address)
	if err != nil {
		return nil, err
	}
	pc.conn = conn
	return pc, nil
}

// take removes the most recently used open connection from the pool and returns it. It returns nil if there is none
// that has been idle for less than maxIdle.
func (p *Pool) take(address string, maxIdle time.Duration) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		pc := list[len(list)-1]
		if time.Since(pc.lastUsed) >= maxIdle {
			break
		}
		list = list[:len(list)-1]
		p.idle[address] = list
		if pc.conn.Err() == nil && pc.conn.Reserve() == nil {
			return pc
		}
		_ = pc.conn.Close()
	}
	return nil
}

// put returns a connection to the pool and closes the least recently used one if the pool holds too many.
func (p *Pool) put(address string, pc *pooledConn) {
	pc.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append(p.idle[address], pc)
	if len(list) > maxIdlePerAddress {
		_ = list[0].conn.Close()
		list = list[1:]
	}
	p.idle[address] = list
}

// CloseExpired closes the connections that have been idle for longer than IdleTimeout or that the peer has closed.
func (p *Pool) CloseExpired() {
	p.once.Do(p.start)
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		remaining := list[:0]
		for _, pc := range list {
			if pc.conn.Err() != nil || time.Since(pc.lastUsed) > p.IdleTimeout {
				_ = pc.conn.Close()
				continue
			}
			remaining = append(remaining, pc)
		}
		clear(list[len(remaining):])
		if len(remaining) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = remaining
	}
}

// CloseIdle closes all idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.once.Do(p.start)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pc := range p.idle[address] {
		_ = pc.conn.Close()
	}
	delete(p.idle, address)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.once.Do(p.start)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, pc := range list {
			_ = pc.conn.Close()
		}
	}
	clear(p.idle)
}

// pooledBody is the body of a response. When it is closed, it returns its connection to the pool if the body was read
// to EOF, and closes the connection otherwise.
type pooledBody struct {
	io.ReadCloser
	pool    *Pool
	address string
	pc      *pooledConn
	atEOF   bool
	closed  bool
}

func (b *pooledBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) {
		b.atEOF = true
	}
	return n, err
}

func (b *pooledBody) Close() error {
	err := b.ReadCloser.Close()
	if b.closed {
		return err
	}
	b.closed = true
	if b.atEOF && b.pc.conn.Err() == nil {
		b.pool.put(b.address, b.pc)
	} else {
		_ = b.pc.conn.Close()
	}
	return err
}
