package forwarder_test

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// slowDial makes connections between nodes take the time to open.
func (f *fixture) slowDial(took time.Duration) {
	f.forwarder.Pool.Dial = func(_ context.Context, network, address string) (net.Conn, error) {
		time.Sleep(took)
		return net.Dial(network, address)
	}
}

// TestDeadlineAfterLongDial guards against a target that is told more time than is left, because the connection to its node
// took long to open.
func TestDeadlineAfterLongDial(t *testing.T) {
	f := newFixture(t)
	f.slowDial(f.timeout / 2)
	a := f.do(t.Context(), "i-1")
	a.Release()
	assert.Equal(t, a.Status, 200, a.Reason)
	left, err := strconv.ParseInt(f.target.Requests()[0].Header.Get(platform.DeadlineHeader), 10, 64)
	assert.NilError(t, err)
	assert.Assert(t, left <= (f.timeout/2).Milliseconds(), "%d ms", left)
}

// TestDeadlinePassesDuringDial guards against a request that is sent to another node after its deadline, and against a node
// that is taken for unreachable because of that.
func TestDeadlinePassesDuringDial(t *testing.T) {
	f := newFixture(t)
	f.slowDial(f.timeout + 50*time.Millisecond)
	a := f.do(t.Context(), "i-1")
	assert.Assert(t, a.NotRun, a.Reason)
	assert.Equal(t, len(f.target.Requests()), 0)
	assert.Equal(t, f.loadTracker.unreachable, 0)
}
