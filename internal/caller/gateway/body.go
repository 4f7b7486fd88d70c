package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
)

var (
	bodyTooLarge = &refusal{http.StatusRequestEntityTooLarge, "body-too-large", 0}
	bodyTimeout  = &refusal{http.StatusRequestTimeout, "body-timeout", transientRetryAfter}
)

// errBodyTooLarge is returned by limitedBody.
var errBodyTooLarge = errors.New("request body is too large")

// limitedBody reads a body that may come without a length, up to the operator's limit.
type limitedBody struct {
	io.Reader
	remaining int64
	// exceeded is set once the body has turned out to be longer. It is read while the body is passed on.
	exceeded atomic.Bool
}

func (b *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.Reader.Read(p)
	if int64(n) > b.remaining {
		b.exceeded.Store(true)
		return int(b.remaining), errBodyTooLarge
	}
	b.remaining -= int64(n)
	return n, err
}

// timedBody is a body that must arrive by the read deadline of its connection.
type timedBody struct {
	io.Reader
	// ended is called when the body has been read to its end.
	ended func()
	// expired is set once a read has failed because the deadline has passed. It is read while the body is passed on.
	expired atomic.Bool
}

func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.ended()
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.expired.Store(true)
	}
	return n, err
}

// readBody reads the body in full, or the beginning of one that is passed on as a stream. It returns a refusal if the body
// is too long or does not arrive by the request's deadline. The rest of a stream must also arrive by then, since net/http
// returns from a request that has timed out only once its body has been read or has failed.
func (g *Gateway) readBody(q *request) *refusal {
	limit := g.BufferedBytes()
	body := io.Reader(q.r.Body)
	if q.r.ContentLength != 0 {
		// Writers of tests have no deadlines.
		conn := http.NewResponseController(q.w)
		_ = conn.SetReadDeadline(q.deadline)
		// After the body, the server waits for the client to leave.
		q.timed.Reader, q.timed.ended = body, func() { _ = conn.SetReadDeadline(time.Time{}) }
		body = &q.timed
	}
	if maxBytes := q.table.Config.Limits.MaxBodyBytes; maxBytes > 0 && q.r.ContentLength < 0 {
		q.limit.Reader, q.limit.remaining = body, maxBytes
		body = &q.limit
	}
	var err error
	if q.body, err = transporter.ReadBodyUpTo(body, q.r.ContentLength, limit); err == nil {
		err = q.body.Peek()
	}
	switch {
	case errors.Is(err, errBodyTooLarge):
		return bodyTooLarge
	case q.timed.expired.Load():
		return bodyTimeout
	case err != nil:
		// The client disconnected, or its body is incomplete.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// hasLeft reports whether the client has left. The server also ends the context of a request whose body has not arrived by its
// deadline, before the read that fails has returned.
func (q *request) hasLeft() bool {
	return q.r.Context().Err() != nil && time.Now().Before(q.deadline) && !q.timed.expired.Load()
}

// BufferedBytes returns the size in bytes up to which a body is read in full before the request is passed on.
func (g *Gateway) BufferedBytes() int64 {
	if g.stop.Load() != nil {
		return stopBufferedBytes
	}
	return transporter.MaxBufferedBytes
}
