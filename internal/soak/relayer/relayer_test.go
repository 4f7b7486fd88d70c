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

// TestFaults checks for each fault whether an echo comes back, and that the connection that was held goes on.
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
	ask := func() (time.Duration, error) {
		began := time.Now()
		_, err := c.Write([]byte("x"))
		assert.NilError(t, err)
		_ = c.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
		_, err = c.Read(make([]byte, 1))
		return time.Since(began), err
	}
	_, err = ask()
	assert.NilError(t, err)
	r.Break(relayer.Delay)
	took, err := ask()
	assert.NilError(t, err)
	assert.Assert(t, took >= 2*relayer.Late, "%s", took)
	for _, f := range []relayer.Fault{relayer.Silence, relayer.OneWay} {
		r.Break(f)
		_, err = ask()
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%s: %v", f, err)
		r.Break(relayer.None)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err = c.Read(make([]byte, 1))
		assert.NilError(t, err)
	}
	r.Break(relayer.Reset)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
}
