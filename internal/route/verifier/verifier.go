// Package verifier checks that the responses that a process reads are well formed.
package verifier

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that a response is not one of HTTP, although net/http accepts it.
var ErrMalformed = errors.New("response is malformed")

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

// ResponseBody returns the body to read in place of a response's body. It returns ErrMalformed instead of io.EOF if the trailer is
// not valid.
func ResponseBody(resp *http.Response) io.ReadCloser {
	return &responseBody{ReadCloser: resp.Body, response: resp}
}

type responseBody struct {
	io.ReadCloser
	response *http.Response
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !HasValidNames(b.response.Trailer) {
		return n, fmt.Errorf("%w: name of a field in the trailer", ErrMalformed)
	}
	return n, err
}
