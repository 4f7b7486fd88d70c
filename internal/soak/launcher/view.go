package launcher

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
)

// storeView serves the store to one node and replaces the addresses of the other nodes with those of their relays.
type storeView struct {
	store http.Handler
	nodes []*Node
	self  *Node
}

// ServeHTTP forwards the request to the store and replaces the addresses in the response.
func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.store.ServeHTTP(&storeViewWriter{ResponseWriter: w, view: v, base64Values: strings.HasSuffix(r.URL.Path, "log-newest")}, r)
}

type storeViewWriter struct {
	http.ResponseWriter
	view         *storeView
	base64Values bool
}

// Write replaces the addresses in raw, which must be a whole response body: the store writes its body in one call.
// The values in a log-newest response are base64-encoded.
func (w *storeViewWriter) Write(raw []byte) (int, error) {
	rewrite := w.view.replaceAddresses
	if w.base64Values {
		rewrite = w.view.replaceBase64Addresses
	}
	out := rewrite(raw)
	if _, err := w.ResponseWriter.Write(out); err != nil {
		return 0, err
	}
	return len(raw), nil
}

func (v *storeView) replaceAddresses(raw []byte) []byte {
	for _, n := range v.nodes {
		if n != v.self {
			raw = bytes.ReplaceAll(raw, []byte(n.address(inboundPort)), []byte(n.PeerRelay.Listen))
		}
	}
	return raw
}

func (v *storeView) replaceBase64Addresses(raw []byte) []byte {
	var page struct {
		Items []struct {
			Key    string `json:"key"`
			Value  []byte `json:"value"`
			Offset int64  `json:"offset"`
		} `json:"items"`
		More bool  `json:"more"`
		End  int64 `json:"end"`
	}
	if json.Unmarshal(raw, &page) != nil {
		return raw
	}
	for i := range page.Items {
		page.Items[i].Value = v.replaceAddresses(page.Items[i].Value)
	}
	out, err := json.Marshal(page)
	if err != nil {
		return raw
	}
	return out
}
