package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/caller/gateway"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// slowBody is a body whose end arrives late.
type slowBody struct {
	io.Reader
	delay time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		time.Sleep(b.delay)
	}
	return n, err
}

// TestRequestsDuringStop guards against requests that a stopping node passes on although their answer may come after it has
// closed its connections, and against refusals of those that can end before that.
func TestRequestsDuringStop(t *testing.T) {
	const routeLimit = 800
	for _, c := range []struct {
		name string
		// acceptFor and closeIn are counted from the request, in milliseconds, and limit is the client's.
		acceptFor, closeIn, limit int
		// bodyBytes is the length of the body, whose end arrives after bodyMs.
		bodyBytes, bodyMs int
		status            int
	}{
		{"before the bound", 100, 200, routeLimit, 10, 0, 200},
		{"after it, ends in time", -1, 1200, routeLimit, 10, 0, 200},
		{"after it, may end too late", -1, 1000, routeLimit, 10, 0, 503},
		{"after it, shorter limit of the client", -1, 600, 250, 10, 0, 200},
		{"after it, longer limit of the client", -1, 600, 5000, 10, 0, 503},
		{"body ends after the bound", 100, 600, routeLimit, 10, 150, 503},
		{"body ends before the bound", 100, 600, routeLimit, 10, 50, 200},
		{"body ends after the bound, in time", 100, 1200, routeLimit, 10, 150, 200},
		{"long body before the bound", 100, 200, routeLimit, 300_000, 50, 200},
		{"long body ends after the bound", 100, 600, routeLimit, 300_000, 150, 503},
		{"stream before the bound, may end too late", 100, 600, routeLimit, 2_000_000, 0, 503},
		{"stream, ends in time", 100, 1200, routeLimit, 2_000_000, 0, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, ok())
				f.allowLongBodies()
				now := time.Now()
				f.gateway.BeginStop(gateway.Stop{AcceptUntil: now.Add(ms(c.acceptFor)), CloseAt: now.Add(ms(c.closeIn))})
				w := f.send(http.MethodPost, "/order/1", "key", func(r *http.Request) {
					r.Header.Set(platform.DeadlineHeader, strconv.Itoa(c.limit))
					r.ContentLength = int64(c.bodyBytes)
					r.Body = io.NopCloser(&slowBody{strings.NewReader(strings.Repeat("x", c.bodyBytes)), ms(c.bodyMs)})
				})
				assert.Equal(t, w.Code, c.status)
				assert.Equal(t, len(f.sender.jobs) == 1, c.status == 200)
				if c.status == 503 {
					assert.Assert(t, w.Header().Get(platform.RetryAfterHeader) != "")
				}
			})
		})
	}
}

// TestRefusedDuringStop guards against a request that is passed on to a second target after the first has refused it, when
// the answer may come too late.
func TestRefusedDuringStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, transporter.NotRunAnswer(executor.ReasonQueueFull), ok())
		f.sender.delay = 60 * time.Millisecond
		now := time.Now()
		f.gateway.BeginStop(gateway.Stop{AcceptUntil: now.Add(ms(50)), CloseAt: now.Add(ms(600))})
		assert.Equal(t, f.send(http.MethodPost, "/order/1", "key", nil).Code, 503)
		assert.Equal(t, len(f.sender.jobs), 1)
	})
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
