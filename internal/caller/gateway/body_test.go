package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"gotest.tools/v3/assert"
)

// TestBodyLimit guards against a body that is longer than the operator allows and is passed on, because it comes without a
// length. The limit of the test's configuration is 100 bytes.
func TestBodyLimit(t *testing.T) {
	for _, c := range []struct {
		bytes, length int
		want          int
	}{
		{100, 100, 200},
		{100, -1, 200},
		{101, 101, 413},
		{101, -1, 413},
		{1 << 20, -1, 413},
	} {
		t.Run(fmt.Sprint(c.bytes, " of ", c.length), func(t *testing.T) {
			f := newFixture(t, &transporter.Answer{Status: 200})
			r := httptest.NewRequest(http.MethodPost, "http://h.example/read/1", io.NopCloser(strings.NewReader(strings.Repeat("x", c.bytes))))
			r.ContentLength = int64(c.length)
			r.Header.Set("Authorization", "Bearer key")
			w := httptest.NewRecorder()
			f.gateway.ServeHTTP(w, r)
			assert.Equal(t, w.Code, c.want)
			sent := 0
			if c.want == 200 {
				sent = 1
			}
			assert.Equal(t, len(f.sender.jobs), sent)
		})
	}
}

// TestStalledBody guards against a request that is held without end, with the memory of its body, because its client sends
// no more of it. The route's timeout is 800 ms.
func TestStalledBody(t *testing.T) {
	f := newFixture(t, &transporter.Answer{Status: 200})
	server := httptest.NewServer(f.gateway)
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	const head = "POST /read/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nContent-Length: 50\r\n\r\n"
	in := bufio.NewReader(conn)
	send := func(body string) int {
		_, err := io.WriteString(conn, head+body)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	whole := strings.Repeat("x", 50)
	assert.Equal(t, send(whole), 200)
	// A connection that is idle for longer than the timeout goes on.
	time.Sleep(time.Second)
	assert.Equal(t, send(whole), 200)
	began := time.Now()
	assert.Equal(t, send("x"), 408)
	took := time.Since(began)
	assert.Assert(t, took > 700*time.Millisecond && took < 1300*time.Millisecond, "%s", took)
	assert.Equal(t, len(f.sender.jobs), 2)
}

// lateErrors is a body whose errors are seen after a pause, as by a goroutine that does not run at once.
type lateErrors struct {
	io.ReadCloser
	pause time.Duration
}

// Read implements io.Reader.
func (b lateErrors) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		time.Sleep(b.pause)
	}
	return n, err
}

// passingSender reads the body of each job until the request's context ends, as a target's connection does.
type passingSender struct{ reading sync.WaitGroup }

// Do implements gateway.Sender.
func (s *passingSender) Do(ctx context.Context, _, _ string, job *executor.Job) *transporter.Answer {
	s.reading.Go(func() { _, _ = io.Copy(io.Discard, job.Request.Body.Stream) })
	<-ctx.Done()
	return transporter.UnknownAnswer(executor.ReasonAnswerTimeout)
}

// TestUploadThatStallsUntilDeadline guards against a request that gets no answer because its upload is seen to have stalled only
// after the server has ended the request's context. The route's timeout is 800 ms.
func TestUploadThatStallsUntilDeadline(t *testing.T) {
	f := newFixture(t)
	f.allowLongBodies()
	sender := &passingSender{}
	f.gateway.Sender = sender
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = lateErrors{r.Body, 100 * time.Millisecond}
		f.gateway.ServeHTTP(w, r)
		sender.reading.Wait()
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = io.WriteString(conn, "POST /read/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nContent-Length: 400000\r\n\r\n"+strings.Repeat("x", 100_000))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err, "no answer")
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
}
