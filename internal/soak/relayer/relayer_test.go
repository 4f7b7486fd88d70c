package relayer_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/relayer"
	"gotest.tools/v3/assert"
)

// TestFaults checks for each fault whether an echo is returned, and that a stalled connection resumes after the fault.
func TestFaults(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	r := &relayer.Relay{Listen: "127.0.7.1:0", Target: echo.Addr().String()}
	assert.NilError(t, r.Open())
	defer r.Close()
	c, err := net.Dial("tcp", r.Listen)
	assert.NilError(t, err)
	defer c.Close()
	roundTrip := func() (time.Duration, error) {
		start := time.Now()
		_, err := c.Write([]byte("x"))
		assert.NilError(t, err)
		_ = c.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
		_, err = c.Read(make([]byte, 1))
		return time.Since(start), err
	}
	_, err = roundTrip()
	assert.NilError(t, err)
	r.SetFault(relayer.Delay)
	took, err := roundTrip()
	assert.NilError(t, err)
	assert.Assert(t, took >= 2*relayer.DelayTime, "%s", took)
	for _, f := range []relayer.Fault{relayer.Stall, relayer.OneWay} {
		r.SetFault(f)
		_, err = roundTrip()
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%s: %v", f, err)
		r.SetFault(relayer.None)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err = c.Read(make([]byte, 1))
		assert.NilError(t, err)
	}
	r.SetFault(relayer.Reset)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
}
