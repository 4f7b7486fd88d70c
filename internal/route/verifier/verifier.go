// Package verifier checks that the responses that a process reads are well formed, and that their bodies are complete.
package verifier

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Errors of responses.
var (
	// ErrMalformed means that a response is not one of HTTP, although net/http accepts it.
	ErrMalformed = errors.New("response is malformed")
	// ErrIncomplete means that a response without a length has ended on a connection that may have been reset.
	ErrIncomplete = errors.New("response may be incomplete")
)

// IsFinalStatus reports whether the status is one of a final answer. net/http accepts any number of up to three digits.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 599 }

// HasValidNames reports whether all names of a header are tokens. net/http keeps names with a blank, so that a length or an
// encoding that is spelt in that way counts for nothing.
func HasValidNames(h http.Header) bool {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	return true
}

// CheckHeader returns ErrMalformed if the status or the header of a response is not valid.
func CheckHeader(resp *http.Response) error {
	switch {
	case !IsFinalStatus(resp.StatusCode):
		return fmt.Errorf("%w: status %03d", ErrMalformed, resp.StatusCode)
	case !HasValidNames(resp.Header):
		return fmt.Errorf("%w: name of a field", ErrMalformed)
	default:
		return nil
	}
}

// Conn is a client's connection that records how its writes end. The kernel reports a reset once: if a write receives the
// error, a read sees the end of the connection only.
type Conn struct {
	net.Conn
	writes atomic.Int64
	// writing holds an element during a write. failed is closed once one has failed.
	writing chan struct{}
	failed  chan struct{}
}

// NewConn returns a Conn that uses c.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c, writing: make(chan struct{}, 1), failed: make(chan struct{})}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	c.writes.Add(1)
	n, err := c.Conn.Write(b)
	if err != nil && !c.hasFailed() {
		close(c.failed)
	}
	return n, err
}

// Writes returns the number of writes that have begun.
func (c *Conn) Writes() int64 { return c.writes.Load() }

func (c *Conn) hasFailed() bool {
	select {
	case <-c.failed:
		return true
	default:
		return false
	}
}

// sendTimeout is the maximum time after a response for the client to notice that its request has been sent. The peer may
// have received all of it before the last write returns.
const sendTimeout = 500 * time.Millisecond

// Exchange is a request and its response on a connection. Conn is set before the response is read.
type Exchange struct {
	Conn *Conn

	// sent is closed once the request's body has been read to its end. It is nil without a body.
	sent chan struct{}
}

// RequestBody returns the body to send in place of a request's body.
func (x *Exchange) RequestBody(body io.ReadCloser) io.ReadCloser {
	if body == nil || body == http.NoBody {
		return body
	}
	x.sent = make(chan struct{})
	return &requestBody{ReadCloser: body, sent: x.sent}
}

type requestBody struct {
	io.ReadCloser
	sent chan struct{}
	once sync.Once
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.once.Do(func() { close(b.sent) })
	}
	return n, err
}

// ResponseBody returns the body to read in place of a response's body. It returns ErrIncomplete instead of io.EOF at the end of
// a body without a length if the end does not show that it is complete, and ErrMalformed if the trailer is not valid.
func (x *Exchange) ResponseBody(resp *http.Response) io.ReadCloser {
	return &responseBody{ReadCloser: resp.Body, response: resp, exchange: x}
}

type responseBody struct {
	io.ReadCloser
	response *http.Response
	exchange *Exchange
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	switch resp := b.response; {
	case endsWithConnection(resp) && !b.exchange.isComplete():
		return n, ErrIncomplete
	case !HasValidNames(resp.Trailer):
		return n, fmt.Errorf("%w: name of a field in the trailer", ErrMalformed)
	default:
		return n, err
	}
}

// isComplete reports whether the whole request has been sent and no error was seen on the connection. It waits until the
// request has been sent or a write has failed, up to sendTimeout.
func (x *Exchange) isComplete() bool {
	var failed, writing chan struct{}
	if x.Conn != nil {
		failed, writing = x.Conn.failed, x.Conn.writing
	}
	timeout := time.NewTimer(sendTimeout)
	defer timeout.Stop()
	if x.sent != nil {
		select {
		case <-x.sent:
		case <-failed:
			return false
		case <-timeout.C:
			return false
		}
	}
	if x.Conn == nil {
		return true
	}
	select {
	case writing <- struct{}{}:
		defer func() { <-writing }()
		return !x.Conn.hasFailed()
	case <-timeout.C:
		return false
	}
}

// endsWithConnection reports whether the body of a response ends with its connection.
func endsWithConnection(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
