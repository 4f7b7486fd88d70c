package transporter

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/plantainwheel/plantainwheel/platform"
)

// MaxBufferedBytes is the size up to which a body is read in full before it is passed on, so that an error can still be
// reported instead of a truncated body.
const MaxBufferedBytes = 64 << 10

// firstBytes is the size of the buffer with which reading a body begins.
const firstBytes = 4 << 10

// Answer is the result of sending a request.
type Answer struct {
	// NotRun reports that no target has run the request or will run it. Such an answer has no status.
	NotRun bool
	// Reason is the reason code of an answer with NotRun or Unknown set.
	Reason string
	// Unknown reports that the request may have run but that no valid answer arrived.
	Unknown bool

	Status int
	Header http.Header
	Body   Body
	// Until is when Body.Stream ends even if it is incomplete, or zero if it has no such time.
	Until time.Time
	// Close, if set, releases the resources of Body.
	Close func()
}

// NotRunAnswer returns the answer of a request that has not run.
func NotRunAnswer(reason string) *Answer { return &Answer{NotRun: true, Reason: reason} }

// UnknownAnswer returns the answer of a request whose outcome is unknown.
func UnknownAnswer(reason string) *Answer { return &Answer{Unknown: true, Reason: reason} }

// Release calls Close if it is set.
func (a *Answer) Release() {
	if a.Close != nil {
		a.Close()
	}
}

// ReadBody reads a body of up to MaxBufferedBytes in full and leaves a longer one as a stream. A length of -1 means
// that the length is unknown. ReadBody returns an error if a body that it reads in full is truncated.
func ReadBody(r io.Reader, length int64) (Body, error) {
	return ReadBodyUpTo(r, length, MaxBufferedBytes)
}

// ReadBodyUpTo is ReadBody with another limit in place of MaxBufferedBytes.
func ReadBodyUpTo(r io.Reader, length, limit int64) (Body, error) {
	if length == 0 {
		return Body{}, readEnd(r)
	}
	if length > limit {
		return Body{Stream: r, Length: length}, nil
	}
	if length > 0 {
		body, err := readFull(r, length)
		if err != nil {
			return Body{}, err
		}
		return Body{Buffered: body}, readEnd(r)
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, r, limit)
	switch {
	case errors.Is(err, io.EOF):
		return Body{Buffered: buf.Bytes()}, nil
	case err != nil:
		return Body{}, err
	default:
		return Body{Stream: io.MultiReader(&buf, r), Length: -1}, nil
	}
}

// readFull reads length bytes. Its buffer grows with what arrives, not with what is declared.
func readFull(r io.Reader, length int64) ([]byte, error) {
	body := make([]byte, min(length, firstBytes))
	for n := int64(0); ; {
		if _, err := io.ReadFull(r, body[n:]); err != nil {
			return nil, err
		}
		if n = int64(len(body)); n == length {
			return body, nil
		}
		body = append(make([]byte, 0, min(2*n, length)), body...)
		body = body[:cap(body)]
	}
}

// readEnd reads EOF, after which the connection can be reused. It returns an error if there is more data.
func readEnd(r io.Reader) error {
	n, err := r.Read(make([]byte, 1))
	if n > 0 || (err != nil && !errors.Is(err, io.EOF)) {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// connectionHeaders lists the hop-by-hop headers.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// StripConnection removes the hop-by-hop headers, including those named in the Connection header. Headers of the platform
// are end-to-end: a Connection header that names one is wrong.
func StripConnection(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = strings.TrimSpace(name); !platform.IsEndToEnd(name) {
				h.Del(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}
