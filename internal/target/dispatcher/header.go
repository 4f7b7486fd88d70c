package dispatcher

import (
	"net/http"
	"slices"
	"strings"

	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
)

// dropped lists the headers that belong to one connection or to the credential of the caller.
var dropped = []string{
	"Authorization", "Connection", "Content-Length", "Cookie", "Expect", "Host", "Idempotency-Key",
	"Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "X-Api-Key", "X-Idempotency-Key",
}

// ownPrefix starts the headers that the system itself sets.
const ownPrefix = "Plantainwheel-"

// KeepHeaders returns the headers to pass on, ordered by name. Credentials, headers of the connection
// and those that only the system may set are left out.
func KeepHeaders(h http.Header) []granter.Header {
	var list []granter.Header
	named := connectionHeaders(h)
	for name, values := range h {
		if slices.Contains(dropped, name) || slices.Contains(named, name) {
			continue
		}
		if strings.HasPrefix(name, ownPrefix) && name != broker.NotRunHeader {
			continue
		}
		for _, v := range values {
			list = append(list, granter.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(list, func(a, b granter.Header) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// connectionHeaders lists the headers that the Connection header names.
func connectionHeaders(h http.Header) []string {
	var list []string
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			list = append(list, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return list
}
