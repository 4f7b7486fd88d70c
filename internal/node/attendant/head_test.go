package attendant_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// TestAnswerEndsInHead guards against an answer that stops at any byte of its head and reaches the client as a success: with a
// length, in chunks, and with neither, closed or reset, at the target's node and over a hop. An answer that has its whole head
// and a length or chunks is no success either until its body has ended.
func TestAnswerEndsInHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Plantainwheel-Request-Id: {id}\r\nX-Plantainwheel-Response-Seal: s\r\n"
	f := newFleet(t, 2)
	f.announce(0, 2, "draining")
	f.eventually("both nodes know the target", func() bool { return f.get(0, "/a/1", "outbound") == 200 && f.get(1, "/a/1", "outbound") == 200 })
	client := &http.Client{Timeout: 5 * time.Second}
	for _, c := range []struct {
		name, raw string
		// framed is set if the end of the body is known without the end of the connection.
		framed bool
	}{
		{"with a length", head + "Content-Length: 2\r\n\r\nok", true},
		{"length first", strings.Replace(head, "X-Plantainwheel-Request-Id", "Content-Length: 2\r\nX-Plantainwheel-Request-Id", 1) + "\r\nok", true},
		{"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"with neither", head + "\r\nok", false},
	} {
		for entry, where := range []string{"over a hop", "same node"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(c.name, "/", where, "/reset-", reset), func(t *testing.T) {
					cutOf := func(id string) int {
						n, err := strconv.Atoi(id)
						assert.Check(t, err == nil)
						return n
					}
					f.targets[1].SetScript(&responder.Script{Raw: c.raw, Cut: cutOf, Close: true, CloseReset: reset})
					defer f.targets[1].SetScript(nil)
					whole := strings.ReplaceAll(c.raw, "{id}", "000")
					end := len(whole)
					if !c.framed && !reset {
						// From its blank line on, an answer without a length is complete whenever it ends.
						end = strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
					}
					counts := f.sendCut(client, entry, end)
					assert.Assert(t, counts[http.StatusBadGateway] >= end*9/10, "answers by status: %v", counts)
					for status, n := range counts {
						assert.Check(t, status == http.StatusBadGateway || status == http.StatusServiceUnavailable, "%d answers with status %d", n, status)
					}
				})
			}
		}
	}
}

// sendCut sends a request for each number of bytes below end, which is its ID, and counts the answers by status.
func (f *fleet) sendCut(client *http.Client, entry, end int) map[int]int {
	const workers = 8
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts, next := map[int]int{}, 0
	take := func() (n int, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next - 1, next <= end
	}
	for range workers {
		wg.Go(func() {
			for n, ok := take(); ok; n, ok = take() {
				req := f.request(http.MethodPost, f.nodes[entry].Settings.OutboundListen, "/a/1")
				req.Header.Set(platform.RequestIDHeader, fmt.Sprintf("%03d", n))
				status := 0
				if resp, err := client.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					status = resp.StatusCode
				}
				mu.Lock()
				counts[status]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return counts
}
