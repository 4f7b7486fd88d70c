package attendant_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStalledUploads guards against requests that get no answer, and whose connections and buffers are held without end,
// because their client stops in the middle of the body: one that is read in full, and uploads that are passed on meanwhile.
func TestStalledUploads(t *testing.T) {
	f := startFlood(t)
	for _, c := range []struct {
		name, head, body string
		statuses         []int
	}{
		{"short", "Content-Length: 1000", "x", []int{408}},
		{"short in chunks", "Transfer-Encoding: chunked", "1\r\nx\r\n", []int{408}},
		{"before the first bytes are passed on", "Content-Length: 70000", "x", []int{408}},
		{"little missing", "Content-Length: 70000", strings.Repeat("x", 66_000), []int{502, 504}},
		{"much missing", "Content-Length: 400000", strings.Repeat("x", 100_000), []int{502, 504}},
		{"long in chunks", "Transfer-Encoding: chunked", strings.Repeat("8\r\nxxxxxxxx\r\n", 10_000), []int{502, 504}},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", f.nodes[0].Settings.OutboundListen)
			assert.NilError(t, err)
			defer conn.Close()
			began := time.Now()
			_ = conn.SetDeadline(began.Add(floodTimeout + floodSlack))
			_, err = fmt.Fprintf(conn, "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nX-Plantainwheel-Request-Id: %s\r\n%s\r\n\r\n%s", strings.ReplaceAll(c.name, " ", "-"), c.head, c.body)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err, "no answer")
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body)
			assert.Assert(t, resp.StatusCode == c.statuses[0] || resp.StatusCode == c.statuses[len(c.statuses)-1], "%d", resp.StatusCode)
			assert.Assert(t, time.Since(began) < floodTimeout+500*time.Millisecond, "%s", time.Since(began))
		})
	}
	f.finish()
}
