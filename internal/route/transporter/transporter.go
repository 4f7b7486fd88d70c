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

	"github.com/plantainwheel/plantainwheel/internal/route/verifier"
	"golang.org/x/sys/unix"
)

// Errors returned by Send, each together with the error of the connection.
var (
	// ErrNotSent means that no byte of the request was written, so the request has not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoAnswer means that the request was written at least in part and that no valid answer arrived, so the request
	// may have run.
	ErrNoAnswer = errors.New("request was sent but not answered")
	// ErrWithheld is returned, together with ErrNotSent, if Request.BeforeSend has withheld the request.
	ErrWithheld = errors.New("request was withheld")
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
	// defaultMaxIdle is the maximum number of idle connections to one address until SetMaxIdle is called.
	defaultMaxIdle = 48
	// receiveBytes is the size of the kernel's receive buffer of a connection. The kernel would otherwise let it grow to
	// several MB for each download that the caller reads slowly. It allows 28 MB/s at a round trip of 9 ms.
	receiveBytes = 256 << 10
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
	// BeforeSend, if set, is called when the connection is established, right before the request is written. The request
	// is withheld if it returns false.
	BeforeSend func() bool
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

// noUserAgent is an empty header.
var noUserAgent = []string{""}

// http returns the request as a net/http request to the address, which is a part of the exchange.
func (r *Request) http(ctx context.Context, address string, x *verifier.Exchange) *http.Request {
	req := &http.Request{
		Method: r.Method,
		URL:    &url.URL{Scheme: "http", Host: address, Opaque: r.URI},
		Host:   r.Host,
		Header: r.Header,
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// Keeps net/http from adding its own User-Agent.
		r.Header["User-Agent"] = noUserAgent
	}
	switch {
	case r.Body.Stream != nil:
		req.Body = x.RequestBody(io.NopCloser(r.Body.Stream))
		req.ContentLength = r.Body.Length
	case len(r.Body.Buffered) > 0:
		req.Body = x.RequestBody(io.NopCloser(bytes.NewReader(r.Body.Buffered)))
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
	OnDial func(DialReason)
	// FreshIdle, if set, is the idle time up to which connections are kept for requests that may run only once. Send takes
	// the longest idle connection for a request with a larger maxIdle, and the most recently used one for all others.
	FreshIdle time.Duration
	// OnAllClosed, if set, is called when idle connections to an address turn out to be closed and no idle one is left open.
	// It must not call the pool.
	OnAllClosed func(address string)
	// Dial, if set, opens the connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once      sync.Once
	transport *http.Transport
	maxIdle   atomic.Int64
	maxOpen   atomic.Int64
	mu        sync.Mutex
	addresses map[string]*connections
}

type pooledConn struct {
	conn *http.ClientConn
	// network is the connection below conn.
	network *verifier.Conn
	// lastUsed is when the last answer began. The peer may have sent the end of a streamed answer long before it was read.
	lastUsed time.Time
	// keepAlive is the last Keep-Alive header, and maxIdle the idle time that it allows, or 0 if it states none.
	keepAlive string
	maxIdle   time.Duration
	// reusedAfter is the idle time that preceded the current request.
	reusedAfter time.Duration
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
			Control:         p.setSocketOptions,
		}
		dial = dialer.DialContext
	}
	p.addresses = map[string]*connections{}
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
			verified := verifier.NewConn(conn)
			if pc, ok := ctx.Value(pooledConnKey{}).(*pooledConn); ok {
				pc.network = verified
			}
			return verified, nil
		},
	}
}

// setSocketOptions limits how long sent data may stay unacknowledged, and the received data that the kernel holds.
func (p *Pool) setSocketOptions(_, _ string, c syscall.RawConn) error {
	timeout := cmp.Or(p.UnackedTimeout, defaultUnackedTimeout)
	var timeoutErr, bufferErr error
	err := c.Control(func(fd uintptr) {
		timeoutErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		bufferErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
	})
	return errors.Join(err, timeoutErr, bufferErr)
}

// Send sends the request to the address once and returns the response with its body unread. It reuses a connection
// only if the connection has been idle for less than maxIdle. The result reused reports whether it did so.
func (p *Pool) Send(ctx context.Context, address string, r *Request, maxIdle time.Duration) (resp *http.Response, reused bool, err error) {
	p.once.Do(p.start)
	pc, reason := p.take(address, maxIdle)
	reused = pc != nil
	if pc == nil {
		if pc, err = p.dial(ctx, address, reason); err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	if r.BeforeSend != nil && !r.BeforeSend() {
		if reused {
			pc.conn.Release()
		}
		p.put(address, pc)
		return nil, reused, fmt.Errorf("%w: %w", ErrNotSent, ErrWithheld)
	}
	writesBefore := pc.network.Writes()
	exchange := &verifier.Exchange{Conn: pc.network}
	resp, err = pc.conn.RoundTrip(r.http(ctx, address, exchange))
	if err != nil {
		if pc.network.Writes() == writesBefore {
			// No byte of the request may have been sent.
			p.discard(address, pc, ClosedByTarget)
			return nil, reused, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		p.discard(address, pc, Broken)
		if reused && ctx.Err() == nil {
			p.distrust(address, pc)
		}
		return nil, reused, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	pc.answered(resp.Header)
	resp.Body = &pooledBody{ReadCloser: exchange.ResponseBody(resp), pool: p, address: address, pc: pc}
	return resp, reused, nil
}

// Probe opens and closes a connection to the address. It returns the error of the connection attempt, for example
// syscall.ECONNREFUSED.
func (p *Pool) Probe(ctx context.Context, address string) error {
	p.once.Do(p.start)
	if p.OnDial != nil {
		p.OnDial(Probing)
	}
	conn, err := p.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// dial opens a new connection to the address.
func (p *Pool) dial(ctx context.Context, address string, reason DialReason) (*pooledConn, error) {
	if p.OnDial != nil {
		p.OnDial(reason)
	}
	pc := &pooledConn{}
	conn, err := p.transport.NewClientConn(context.WithValue(ctx, pooledConnKey{}, pc), "http", address)
	if err != nil {
		return nil, err
	}
	pc.conn = conn
	p.opened(address)
	return pc, nil
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
	switch {
	case !b.atEOF:
		b.pool.discard(b.address, b.pc, Broken)
	case b.pc.conn.Err() != nil:
		b.pool.discard(b.address, b.pc, ClosedByTarget)
	default:
		b.pool.put(b.address, b.pc)
	}
	return err
}
