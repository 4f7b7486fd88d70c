// Package listener is a stand-in for a server that handles raw connections, for tests of what its peers do with any bytes.
package listener

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Serve handles each connection to a loopback port with handle, on a goroutine of its own, and closes it after that. It
// returns the address. The test's cleanup waits until all connections have been handled.
func Serve(t testing.TB, handle func(c net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	var serving sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer c.Close()
				handle(c)
			})
		}
	})
	return l.Addr().String()
}
