package acceptor

import (
	"errors"
	"io"
	"net/http"
	"os"
	"runtime"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/evictor"
)

// Handler returns a handler that serves the requests for which there is room with h.
func (a *Acceptor) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if !r.ProtoAtLeast(1, 1) {
			defer resetOnPanic(c)
		}
		if r.ContentLength != 0 {
			// The server reads what is left of a body, also after a refusal. Handlers that read it set a deadline of their own.
			_ = c.SetReadDeadline(time.Now().Add(a.Limits().HeaderTimeout))
		}
		if c.isPipelining() {
			// Otherwise a client that sends requests without a pause keeps the processor until it is preempted, and the
			// connections of others are accepted late.
			runtime.Gosched()
		}
		limit := a.BufferedBytes()
		unread := r.ContentLength < 0 || (r.ContentLength > 0 && r.ContentLength <= limit)
		switch a.begin(c, unread) {
		case Evicted:
			// None of the request has been passed on.
			panic(http.ErrAbortHandler)
		case NoMemory:
			a.count(NoMemory)
			w.Header().Set("Connection", "close")
			a.Refuse(w, r)
			return
		}
		if r.ContentLength != 0 {
			r.Body = &body{ReadCloser: r.Body, conn: c, limit: limit, complete: !unread}
		}
		h.ServeHTTP(w, r)
	})
}

// resetOnPanic resets the connection if the handler gives its answer up. A client of HTTP/1.0 would take it for complete.
func resetOnPanic(c *conn) {
	if v := recover(); v != nil {
		c.reset()
		panic(v)
	}
}

// begin records that a handler begins. It returns why the request is not served, or "".
func (a *Acceptor) begin(c *conn, unread bool) Reason {
	var reason Reason
	a.update(func(now time.Time) []*evictor.Entry {
		c.handled = true
		victims, ok := a.evictor.Begin(now, c.entry, unread)
		switch {
		case ok:
		case c.entry.Evicted():
			reason = Evicted
		default:
			reason = NoMemory
		}
		return victims
	})
	return reason
}

// body is a request's body, the beginning of which is kept until it has been read in full or the request is passed on.
type body struct {
	io.ReadCloser
	conn  *conn
	limit int64
	read  int64
	// complete is set once the connection is no longer evicted for the request.
	complete bool
}

// Read implements io.Reader. It fails as a read that has exceeded its deadline if the connection has been evicted.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		// After the body, the server waits for the client to leave.
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	if b.complete {
		return n, err
	}
	b.read += int64(n)
	b.complete = errors.Is(err, io.EOF) || b.read >= b.limit
	if !b.conn.acceptor.buffered(b.conn, n, b.complete) {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// buffered records that a handler has read from a body. It returns false if the connection has been evicted.
func (a *Acceptor) buffered(c *conn, n int, complete bool) bool {
	kept := true
	a.update(func(now time.Time) []*evictor.Entry {
		victims := a.evictor.Buffered(now, c.entry, n)
		if complete {
			kept = a.evictor.Complete(now, c.entry)
		} else {
			kept = !c.entry.Evicted()
		}
		return victims
	})
	return kept
}
