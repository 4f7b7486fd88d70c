package verifier

import "net/http"

// Transport is an http.Transport that returns an error in place of a response that is malformed.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that uses t.
func NewTransport(t *http.Transport) *Transport { return &Transport{t} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckHeader(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = ResponseBody(resp)
	return resp, nil
}
