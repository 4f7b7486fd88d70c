package server_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/plantainwheel/plantainwheel/internal/caller/server"
	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"gotest.tools/v3/assert"
)

// echo answers with the body of the request, and refuses the path /refuse.
type echo struct{ last broker.Inbound }

func (e *echo) Serve(_ context.Context, in broker.Inbound) broker.Reply {
	e.last = in
	if in.Path == "/refuse" {
		return broker.Reply{
			Answer: granter.Answer{Status: 429}, Outcome: retrier.NotRun, Code: broker.CodeRateExceeded,
			RetryAfter: 1200 * time.Millisecond,
		}
	}
	return broker.Reply{Answer: granter.Answer{Status: 200, Body: in.Body}, Outcome: retrier.Ran}
}

func serve(t *testing.T) (*echo, *httptest.Server) {
	gin.SetMode(gin.ReleaseMode)
	e := &echo{}
	s := httptest.NewUnstartedServer((&server.Server{Broker: e, MaxBodyBytes: 100}).Handler())
	s.Config.MaxHeaderBytes = 1 << 10
	s.Start()
	t.Cleanup(s.Close)
	return e, s
}

// TestBadInput checks that a request that is too large or refused gets a reply that says that it has not run.
func TestBadInput(t *testing.T) {
	_, s := serve(t)
	cases := []struct {
		name, path, body string
		status           int
		want             string
	}{
		{"whole", "/a", "text", 200, "text"},
		{"body too large", "/a", strings.Repeat("x", 101), 413, `"code":"body-too-large","outcome":"not-run"`},
		{"refused", "/refuse", "", 429, `"code":"rate-exceeded","outcome":"not-run","retry-after-ms":1200`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, err := http.Post(s.URL+c.path, "text/plain", strings.NewReader(c.body))
			assert.NilError(t, err)
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Assert(t, strings.Contains(string(text), c.want), "%s", text)
			if c.status == 429 {
				assert.Equal(t, resp.Header.Get("Retry-After"), "2")
				assert.Equal(t, resp.Header.Get(server.OutcomeHeader), "not-run")
			}
		})
	}
}

// TestTruncatedBody checks that a request with a truncated body does not reach the broker.
func TestTruncatedBody(t *testing.T) {
	e, s := serve(t)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "POST /cut HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nhalf")
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	answer, _ := io.ReadAll(conn)
	assert.Assert(t, bytes.HasPrefix(answer, []byte("HTTP/1.1 400")), "%s", answer)
	assert.Equal(t, e.last.Path, "")
}

// FuzzReadInbound checks that any request URI and header gives either an error or a request whose timeout and body
// size are within bounds.
func FuzzReadInbound(f *testing.F) {
	f.Add("/a/b?c=d", "Authorization", "Bearer x", "body")
	f.Add("//..//%2e", "Plantainwheel-Timeout-Ms", "-5", "")
	f.Fuzz(func(t *testing.T, uri, name, value, body string) {
		req, err := http.NewRequest("POST", "http://host"+uri, strings.NewReader(body))
		if err != nil {
			return
		}
		req.Header[http.CanonicalHeaderKey(name)] = []string{value}
		in, err := server.ReadInbound(req, 100)
		if err != nil {
			return
		}
		if in.Timeout < 0 || len(in.Body) > 100 {
			t.Fatalf("timeout or body size out of bounds: %+v", in)
		}
	})
}

// TestLargeHeader checks that a request with a header above the size limit does not reach the broker.
func TestLargeHeader(t *testing.T) {
	e, s := serve(t)
	req, err := http.NewRequest(http.MethodGet, s.URL+"/large", nil)
	assert.NilError(t, err)
	req.Header.Set("X-Large", strings.Repeat("x", 1<<16))
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, e.last.Path, "")
}
