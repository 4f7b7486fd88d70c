package acceptor

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestDrained guards against the loss of the kernel's statement on what is left to read, which saves a system call, and
// against taking a connection for drained whose client has left or has sent more.
func TestDrained(t *testing.T) {
	l, err := Listen("127.0.0.1:0", Options{SendBytes: 256 << 10, KeepAlive: 5 * time.Second})
	assert.NilError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	testOptions(t, accepted.(*conn).raw)
	c, buf := accepted.(*conn), make([]byte, 4)
	send := func(text string) {
		_, err := io.WriteString(client, text)
		assert.NilError(t, err)
	}
	read := func(want string, drained bool) {
		t.Helper()
		n, err := c.Read(buf)
		assert.NilError(t, err)
		assert.Equal(t, string(buf[:n]), want)
		assert.Equal(t, c.drained, drained)
	}
	send("abc")
	read("abc", true)
	send("abcdef")
	read("abcd", false)
	read("ef", true)
	// A deadline ends the wait, as at the end of each request.
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	_, err = c.Read(buf[:1])
	timeout, ok := err.(net.Error)
	assert.Assert(t, ok && timeout.Timeout(), "%v", err)
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	send("gh")
	assert.NilError(t, client.Close())
	time.Sleep(20 * time.Millisecond)
	read("gh", false)
	_, err = c.Read(buf[:1])
	assert.Equal(t, err, io.EOF)
}

// testOptions guards against options that accepted connections do not inherit.
func testOptions(t *testing.T, raw syscall.RawConn) {
	t.Helper()
	for _, o := range []struct{ level, option, want int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 5},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 5},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2},
		{unix.IPPROTO_TCP, unix.TCP_NODELAY, 1},
	} {
		assert.NilError(t, raw.Control(func(fd uintptr) {
			got, err := unix.GetsockoptInt(int(fd), o.level, o.option)
			assert.NilError(t, err)
			assert.Equal(t, got, o.want)
		}))
	}
}
