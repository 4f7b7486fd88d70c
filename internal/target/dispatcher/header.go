package dispatcher

import (
	"net/http"
	"slices"
	"strings"

	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
)

// excludedHeaders lists the headers that are never forwarded: hop-by-hop headers, headers that the HTTP client sets
// itself, and headers that carry the caller's credentials or idempotency key.
var excludedHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Cookie", "Expect", "Host", "Idempotency-Key",
	"Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "X-Api-Key", "X-Idempotency-Key",
}

// reservedPrefix is the prefix of the headers that this system defines.
const reservedPrefix = "Plantainwheel-"

// ForwardableHeaders returns the headers to forward, sorted by name. It omits excludedHeaders, the headers that
// Connection names, and headers with reservedPrefix. It keeps broker.NotRunHeader, which a target may set.
func ForwardableHeaders(h http.Header) []granter.Header {
	var list []granter.Header
	connectionScoped := connectionHeaders(h)
	for name, values := range h {
		if slices.Contains(excludedHeaders, name) || slices.Contains(connectionScoped, name) {
			continue
		}
		if strings.HasPrefix(name, reservedPrefix) && name != broker.NotRunHeader {
			continue
		}
		for _, v := range values {
			list = append(list, granter.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(list, func(a, b granter.Header) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// connectionHeaders returns the names listed in the Connection header.
func connectionHeaders(h http.Header) []string {
	var list []string
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			list = append(list, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return list
}
