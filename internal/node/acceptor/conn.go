package acceptor

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/evictor"
	"golang.org/x/sys/unix"
)

var errHeaderTooLarge = errors.New("request header is too large")

// pipeliningPause is the time after an answer within which a request must have been sent before the answer was read.
const pipeliningPause = 100 * time.Microsecond

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// conn is an accepted connection.
type conn struct {
	net.Conn
	acceptor *Acceptor
	entry    *evictor.Entry
	// headerBytes counts what has been received of the current header, and handled is set while a handler works on the request.
	// The acceptor's mutex guards them.
	headerBytes int
	handled     bool
	// answeredAt is when the latest request was answered. Only the connection's goroutine uses it.
	answeredAt time.Time
	// interrupted is set once the connection must not be read from any more.
	interrupted atomic.Bool
	// hasWriteDeadline is set while the handler has set a deadline for its writes.
	hasWriteDeadline atomic.Bool
}

// Read implements net.Conn. It refuses a header that is too large.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || c.acceptor.received(c, b[:n]) {
		return n, err
	}
	c.acceptor.count(HeaderTooLarge)
	c.writeNow(headerTooLarge)
	c.linger(b)
	// net/http doesn't answer errors of this kind.
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeaderTooLarge}
}

// linger ends the connection's sending side and reads for a while, since closing a connection with unread bytes resets it, and
// the client might not receive the refusal.
func (c *conn) linger(b []byte) {
	if c.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	for total := 0; total < lingerBytes; {
		n, err := c.Conn.Read(b)
		if err != nil {
			return
		}
		total += n
	}
}

// CloseWrite ends the sending side of the connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetReadDeadline implements net.Conn. An interrupted connection keeps its deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.interrupted.Load() {
		return c.Conn.SetReadDeadline(longAgo)
	}
	return err
}

// isPipelining reports whether the client has sent its request without waiting for the answer to the one before.
func (c *conn) isPipelining() bool {
	return !c.answeredAt.IsZero() && time.Since(c.answeredAt) < pipeliningPause
}

// interrupt ends all reads, and soon a write in progress.
func (c *conn) interrupt() {
	c.interrupted.Store(true)
	_ = c.Conn.SetReadDeadline(longAgo)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(evictedWriteTimeout))
}

// Write implements net.Conn. A client that does not read would otherwise block it without end.
func (c *conn) Write(b []byte) (int, error) {
	now := time.Now()
	switch {
	case c.interrupted.Load():
		_ = c.Conn.SetWriteDeadline(now.Add(evictedWriteTimeout))
	case !c.hasWriteDeadline.Load():
		_ = c.Conn.SetWriteDeadline(now.Add(writeTimeout))
	}
	a := c.acceptor
	a.mu.Lock()
	a.evictor.Write(now, c.entry)
	a.mu.Unlock()
	n, err := c.Conn.Write(b)
	a.mu.Lock()
	a.evictor.Written(c.entry)
	a.mu.Unlock()
	return n, err
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.hasWriteDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// writeNow writes what the send buffer takes without waiting.
func (c *conn) writeNow(text string) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Write(func(fd uintptr) bool {
		_, _ = unix.Write(int(fd), []byte(text))
		return true
	})
}

// reset makes the next close reset the connection, so that the client does not take an answer for complete.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
