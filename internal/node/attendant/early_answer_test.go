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

	"github.com/plantainwheel/plantainwheel/internal/standin/listener"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// uploadBytes is the length of the uploads, which is more than all sockets on their way hold.
const uploadBytes = 32 << 20

// earlyTarget answers each request before it has read its body.
type earlyTarget struct {
	head string
	body string
	// reset resets the connection some time after the answer. Otherwise the rest of the body is read.
	reset bool
}

// blockTime is how long the target waits before it resets the connection. The upload is blocked by then.
const blockTime = 300 * time.Millisecond

func (e *earlyTarget) answer(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(e.head, "{id}", req.Header.Get(platform.RequestIDHeader))+e.body)
	if e.reset {
		time.Sleep(blockTime)
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	// The node may use the connection again.
	_, _ = c.Read(make([]byte, 1))
}

// upload sends a request with a long body to the path and returns its answer. err is set if the answer is not complete.
func upload(address, path string) (status int, body []byte, err error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nX-Plantainwheel-Request-Id: id\r\nContent-Length: %d\r\n\r\n", path, uploadBytes)
		block := make([]byte, 64<<10)
		for range uploadBytes / len(block) {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// TestEarlyAnswers guards against an answer without a length whose connection is reset while the upload is still being written,
// and that reaches the client as a complete answer. An early answer that has ended properly is one.
func TestEarlyAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Plantainwheel-Request-Id: {id}\r\nX-Plantainwheel-Response-Seal: s\r\n"
	long := strings.Repeat("x", 128<<10)
	f := newFleet(t, 2)
	f.announce(0, 2, "draining")
	for entry := range f.nodes {
		f.eventually("served", func() bool { return f.get(entry, "/a/1", "outbound") == 200 })
	}
	incarnations := 1
	for _, c := range []struct {
		name   string
		target earlyTarget
		whole  bool
	}{
		{"without a length", earlyTarget{head: head + "\r\n", body: "part", reset: true}, false},
		{"without a length or a body", earlyTarget{head: head + "\r\n", reset: true}, false},
		{"without a length, streamed", earlyTarget{head: head + "\r\n", body: long, reset: true}, false},
		{"says that the connection closes", earlyTarget{head: head + "Connection: close\r\n\r\n", body: "part", reset: true}, false},
		{"version 1.0", earlyTarget{head: strings.Replace(head, "1.1", "1.0", 1) + "\r\n", body: "part", reset: true}, false},
		{"failure", earlyTarget{head: strings.Replace(head, "200 OK", "500 Failed", 1) + "\r\n", body: "part", reset: true}, false},
		{"part of a length", earlyTarget{head: head + "Content-Length: 100\r\n\r\n", body: "part", reset: true}, false},
		{"with a length", earlyTarget{head: head + "Content-Length: 4\r\n\r\n", body: "part"}, true},
		{"in chunks", earlyTarget{head: head + "Transfer-Encoding: chunked\r\n\r\n", body: "4\r\npart\r\n0\r\n\r\n"}, true},
	} {
		for entry, where := range []string{"over a hop", "same node"} {
			t.Run(c.name+"/"+where, func(t *testing.T) {
				incarnations++
				body := fmt.Sprintf(`{"service":"x","address":%q,"zone":"dc","version":"v1","concurrency":20,"state":"ready","warmup_ms":0,"sequence":1,"born":%d}`, listener.Serve(t, c.target.answer), incarnations)
				assert.Equal(t, f.putAnnouncement(1, fmt.Sprint("i-early-", incarnations), body), 200)
				var status int
				var answer []byte
				var err error
				// A target that resets connections looks crashed, and another request with the same path is quarantined.
				path := fmt.Sprint("/a/", incarnations)
				f.eventually("upload passed on", func() bool {
					status, answer, err = upload(f.nodes[entry].Settings.OutboundListen, path)
					// The entry node may not know the new incarnation yet.
					return status != http.StatusServiceUnavailable
				})
				if c.whole {
					assert.NilError(t, err)
					assert.Equal(t, status, 200)
					assert.Equal(t, string(answer), "part")
					return
				}
				assert.Assert(t, status == 502 || err != nil, "status %d, %d bytes that look complete", status, len(answer))
			})
		}
	}
}
