package executor_test

import (
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/standin/responder"
	"gotest.tools/v3/assert"
)

const (
	// maxEndlessBytes bounds what a target can send before its connection is closed: the buffers of both ends and the
	// largest header.
	maxEndlessBytes = 8 << 20
	maxEndlessAlloc = 16 << 20
)

// writeTime is the simulated time of a write. At 8 KiB a write, a connection that is not closed gets 24 MB by the deadline,
// which is above both bounds.
const writeTime = 200 * time.Microsecond

// pacedConn is the target's end of a connection in memory. Each write takes simulated time, since that does not pass while
// bytes flow.
type pacedConn struct{ net.Conn }

func (c pacedConn) Write(b []byte) (int, error) {
	time.Sleep(writeTime)
	return c.Conn.Write(b)
}

// TestEndlessAnswers checks that an answer whose bytes never end is not taken for an answer, or ends as an error for
// the caller, within the time and memory of any other request. It runs in simulated time, so that the time is that of the
// deadline and not that of a busy machine.
func TestEndlessAnswers(t *testing.T) {
	for _, c := range []struct {
		fault   responder.Fault
		outcome string
		// streamed is set if the body is passed on as it arrives.
		streamed bool
	}{
		{responder.EndlessStatus, "unknown: connection-broke", false},
		{responder.EndlessHeader, "unknown: connection-broke", false},
		{responder.EndlessHeaders, "unknown: connection-broke", false},
		{responder.EndlessInterim, "unknown: connection-broke", false},
		{responder.EndlessTrailer, "unknown: answer-garbled", false},
		{responder.EndlessExtra, "answered 200", false},
		{responder.EndlessChunks, "answered 200", true},
		{responder.EndlessUnframed, "answered 200", true},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newConnFixture(t, 2, 0, func(c net.Conn) net.Conn { return pacedConn{c} })
				f.target.SetFault(c.fault)
				allocated := allocatedBytes()
				began := time.Now()
				a := f.executor.Do(t.Context(), f.job("x", false))
				assert.Equal(t, outcome(a), c.outcome)
				if c.streamed {
					assert.Assert(t, a.Body.Stream != nil)
					_, err := io.Copy(io.Discard, a.Body.Stream)
					assert.Assert(t, err != nil, "the body looks complete")
				}
				a.Release()
				assert.Assert(t, time.Since(began) < 800*time.Millisecond, "took %s", time.Since(began))
				assert.Assert(t, allocatedBytes()-allocated < maxEndlessAlloc, "%d bytes allocated", allocatedBytes()-allocated)
				assert.Equal(t, f.executor.Load().Running, 0)
				if !c.streamed {
					time.Sleep(300 * time.Millisecond)
					assert.Assert(t, f.target.SentBytes() < maxEndlessBytes, "%d bytes sent", f.target.SentBytes())
				}
			})
		})
	}
}

func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// TestLongBodyStreams checks that a long body with a length is passed on whole. The deadline is far, because the time that
// the body takes is not what the test guards.
func TestLongBodyStreams(t *testing.T) {
	f := newFixture(t, 2, 0)
	f.target.SetFault(responder.LongBody)
	job := f.job("x", false)
	job.Deadline = time.Now().Add(time.Minute)
	a := f.executor.Do(t.Context(), job)
	assert.Equal(t, outcome(a), "answered 200")
	n, err := io.Copy(io.Discard, a.Body.Stream)
	a.Release()
	assert.NilError(t, err)
	assert.Equal(t, n, int64(responder.LongBodyBytes))
}
