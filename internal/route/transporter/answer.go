package transporter

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// MaxBufferedBytes is the size up to which a body is read in full before it is passed on, so that a
// truncated body can still be replaced by an accurate error.
const MaxBufferedBytes = 64 << 10

// Answer is the result of sending a request.
type Answer struct {
	// NotRun reports that no target has run the request or will run it. Reason says why, as one of the
	// product's reason codes. Such an answer has no status.
	NotRun bool
	Reason string
	// Unknown reports that the request may have run but its answer was lost. Reason says why.
	Unknown bool

	Status int
	Header http.Header
	Body   Body
	// Close, if set, releases the resources of Body.
	Close func()
}

// NotRunAnswer returns the answer of a request that has not run.
func NotRunAnswer(reason string) *Answer { return &Answer{NotRun: true, Reason: reason} }

// UnknownAnswer returns the answer of a request whose outcome is unknown.
func UnknownAnswer(reason string) *Answer { return &Answer{Unknown: true, Reason: reason} }

// Release closes the answer's body.
func (a *Answer) Release() {
	if a.Close != nil {
		a.Close()
	}
}

// ReadBody reads a body of up to MaxBufferedBytes in full and leaves a longer one as a stream. It
// returns an error if the body is truncated.
func ReadBody(r io.Reader, length int64) (Body, error) {
	if length == 0 {
		return Body{}, readEnd(r)
	}
	if length > MaxBufferedBytes {
		return Body{Stream: r, Length: length}, nil
	}
	if length > 0 {
		body := make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return Body{}, err
		}
		return Body{Buffered: body}, readEnd(r)
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, r, MaxBufferedBytes)
	switch {
	case errors.Is(err, io.EOF):
		return Body{Buffered: buf.Bytes()}, nil
	case err != nil:
		return Body{}, err
	default:
		return Body{Stream: io.MultiReader(&buf, r), Length: -1}, nil
	}
}

// readEnd reads up to EOF, which frees the connection, and returns an error if any data follows.
func readEnd(r io.Reader) error {
	n, err := r.Read(make([]byte, 1))
	if n > 0 || (err != nil && !errors.Is(err, io.EOF)) {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// connectionHeaders are the hop-by-hop headers.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// StripConnection removes the hop-by-hop headers, including those that Connection names.
func StripConnection(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}
