package courier

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// WholeBytes is the size up to which bodies are read before they are passed on, so that a broken one can
// still be replaced by a truthful failure.
const WholeBytes = 64 << 10

// Answer is what became of a request.
type Answer struct {
	// NotRun says that no target has run the request or will; Reason tells why, in the product's words. Such
	// an answer has no status.
	NotRun bool
	Reason string
	// Unknown says that the request may have run and its answer is lost; Reason tells why.
	Unknown bool

	Status int
	Header http.Header
	Body   Body
	// Close ends the use of Body.
	Close func()
}

// Refuse returns the answer that says that the request has not run.
func Refuse(reason string) *Answer { return &Answer{NotRun: true, Reason: reason} }

// Lose returns the answer that says that the outcome is unknown.
func Lose(reason string) *Answer { return &Answer{Unknown: true, Reason: reason} }

// Release ends the use of the answer's body.
func (a *Answer) Release() {
	if a.Close != nil {
		a.Close()
	}
}

// ReadBody reads a body of up to WholeBytes whole, and leaves a longer one as a stream. An error says that
// the body ended early.
func ReadBody(r io.Reader, length int64) (Body, error) {
	if length == 0 {
		return Body{}, expectEnd(r)
	}
	if length > WholeBytes {
		return Body{Stream: r, Length: length}, nil
	}
	if length > 0 {
		whole := make([]byte, length)
		if _, err := io.ReadFull(r, whole); err != nil {
			return Body{}, err
		}
		return Body{Whole: whole}, expectEnd(r)
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, r, WholeBytes)
	switch {
	case errors.Is(err, io.EOF):
		return Body{Whole: buf.Bytes()}, nil
	case err != nil:
		return Body{}, err
	default:
		return Body{Stream: io.MultiReader(&buf, r), Length: -1}, nil
	}
}

// expectEnd reads on to the end, which frees the connection.
func expectEnd(r io.Reader) error {
	n, err := r.Read(make([]byte, 1))
	if n > 0 || (err != nil && !errors.Is(err, io.EOF)) {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// StripConnection removes the headers that concern one connection only, with those that Connection names.
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
