// Package transporter sends requests to nodes and targets over pooled connections. It sends each request
// once: only the caller knows which requests may be repeated.
package transporter

import (
	"bytes"
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

// Errors returned by Send. Both wrap the error of the connection.
var (
	// ErrNotSent means that no byte of the request was written, so the request has not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoAnswer means that the request was sent and no answer arrived, so the request may have run.
	ErrNoAnswer = errors.New("connection broke")
)

const (
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout limits how long sent data may stay unacknowledged. A connection may go silent
	// without being closed.
	unackedTimeout = 900 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection while an answer is
	// awaited.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxHeaderBytes limits the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxIdlePerAddress limits the idle connections to one address.
	maxIdlePerAddress = 48
	bufferBytes       = 4 << 10
)

// Request is one request as sent over one hop.
type Request struct {
	Method string
	// URI is the path with the query, byte for byte as received.
	URI    string
	Host   string
	Header http.Header
	Body   Body
}

// Body is the body of a request or an answer: Whole if it has been read in full, Stream otherwise.
type Body struct {
	Buffered []byte
	Stream   io.Reader
	// Length is the length of Stream in bytes, or -1 if it is unknown.
	Length int64
}

// Repeatable reports whether the body can be sent again.
func (b *Body) Repeatable() bool { return b.Stream == nil }

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
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// OnDial, if set, is called each time a connection is opened.
	OnDial func()

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

// countedConn counts writes, which tells whether any byte of a request was written.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(1)
	return c.Conn.Write(b)
}

type pooledConnKey struct{}

func (p *Pool) start() {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	p.idle = map[string][]*pooledConn{}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
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
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// Send sends the request to the address once and returns the response with its body unread. It uses an
// idle connection only if that has been idle for less than maxIdle; reused reports whether it did.
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

// take returns the most recently used idle connection, if it has been idle for less than maxIdle.
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

// CloseExpired closes the connections that have been idle for longer than KeepFor or were closed by the peer.
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

// pooledBody returns its connection to the pool when it is closed after being read to EOF, and closes
// the connection otherwise.
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
