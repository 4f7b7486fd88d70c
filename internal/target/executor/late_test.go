package executor_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// serveWithLateCopies answers each request of a connection. From the second one on, it sends a copy of the previous answer
// first: as soon as the next request is in, or before that if early is set.
func serveWithLateCopies(c net.Conn, early bool, run *atomic.Int64) {
	defer c.Close()
	br := bufio.NewReader(c)
	previous := ""
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		run.Add(1)
		id := req.Header.Get(platform.RequestIDHeader)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Length: %d\r\n\r\nfor %s", platform.RequestIDHeader, id, platform.SignatureHeader, 4+len(id), id)
		if _, err := c.Write([]byte(previous + answer)); err != nil {
			return
		}
		previous = answer
		if early {
			time.Sleep(5 * time.Millisecond)
			if _, err := c.Write([]byte(answer)); err != nil {
				return
			}
			previous = ""
		}
	}
}

// TestLateCopyOfAnAnswer guards against a second copy of an answer that arrives on a connection which is in use again, or
// waits to be: no caller gets an answer that is not its own, and a request that must run only once is not sent again.
func TestLateCopyOfAnAnswer(t *testing.T) {
	for _, early := range []bool{false, true} {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprint("early-", early, "-idempotent-", idempotent), func(t *testing.T) {
				var run atomic.Int64
				pool := &transporter.Pool{IdleTimeout: time.Minute, Dial: func(context.Context, string, string) (net.Conn, error) {
					client, server := net.Pipe()
					go serveWithLateCopies(server, early, &run)
					return client, nil
				}}
				f := connect(t, &responder.Responder{}, pool, "target:80", 2)
				answered := 0
				for i := range 30 {
					id := fmt.Sprint("request-", i)
					a := f.do(id, idempotent)
					time.Sleep(8 * time.Millisecond)
					if a.NotRun || a.Unknown {
						continue
					}
					answered++
					assert.Equal(t, a.Header.Get(platform.RequestIDHeader), id)
					assert.Equal(t, string(a.Body.Buffered), "for "+id)
				}
				assert.Assert(t, answered >= 10, "%d of 30 answered", answered)
				if !idempotent {
					assert.Assert(t, run.Load() <= 30, "%d runs of 30 requests", run.Load())
				}
			})
		}
	}
}
