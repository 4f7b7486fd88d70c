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

	// mu is held during a write. failed is set once one has failed.
	mu     sync.Mutex
	failed bool
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes.Add(1)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.failed = true
	}
	return n, err
}

// Writes returns the number of writes that have begun.
func (c *Conn) Writes() int64 { return c.writes.Load() }

// isSound reports whether no write has failed and none is in progress.
func (c *Conn) isSound() bool {
	if !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	return !c.failed
}

// Exchange is a request and its response on a connection. Conn is set before the response is read.
type Exchange struct {
	Conn *Conn

	// unsent is set until the request's body has been read to its end.
	unsent atomic.Bool
}

// RequestBody returns the body to send in place of a request's body.
func (x *Exchange) RequestBody(body io.ReadCloser) io.ReadCloser {
	if body == nil || body == http.NoBody {
		return body
	}
	x.unsent.Store(true)
	return &requestBody{ReadCloser: body, exchange: x}
}

type requestBody struct {
	io.ReadCloser
	exchange *Exchange
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.exchange.unsent.Store(false)
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

// isComplete reports whether the whole request has been sent and no error was seen on the connection.
func (x *Exchange) isComplete() bool {
	return !x.unsent.Load() && (x.Conn == nil || x.Conn.isSound())
}

// endsWithConnection reports whether the body of a response ends with its connection.
func endsWithConnection(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
