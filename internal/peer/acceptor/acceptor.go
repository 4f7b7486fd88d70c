// Package acceptor accepts connections for net/http servers, with fewer system calls for each request.
package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Options are options of accepted connections.
type Options struct {
	// SendBytes is the size of the kernel's send buffer.
	SendBytes int
	// KeepAlive is the idle time before the first TCP keep-alive probe and the interval of the probes, in whole seconds. A
	// connection is broken after two lost ones.
	KeepAlive time.Duration
}

const keepAliveProbes = 2

// Listen listens on a TCP address. It returns an error if the address cannot be listened on or an option cannot be set.
func Listen(address string, o Options) (net.Listener, error) {
	lc := net.ListenConfig{
		Control: o.set,
		// Accepted connections inherit the options of the listening socket, so that they need no system calls of their own.
		KeepAlive: -1,
	}
	// Connections that a multipath socket accepts do not inherit the options.
	lc.SetMultipathTCP(false)
	l, err := lc.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return listener{l}, nil
}

func (o Options) set(_, _ string, c syscall.RawConn) error {
	var errs [5]error
	err := c.Control(func(fd uintptr) {
		s, seconds := int(fd), int(o.KeepAlive.Seconds())
		errs[0] = unix.SetsockoptInt(s, unix.SOL_SOCKET, unix.SO_SNDBUF, o.SendBytes)
		errs[1] = unix.SetsockoptInt(s, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		errs[2] = unix.SetsockoptInt(s, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds)
		errs[3] = unix.SetsockoptInt(s, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds)
		errs[4] = unix.SetsockoptInt(s, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes)
		// The kernel then tells, with the data read, whether there is more. Connections work without this.
		_ = unix.SetsockoptInt(s, unix.IPPROTO_TCP, unix.TCP_INQ, 1)
	})
	return errors.Join(err, errors.Join(errs[:]...))
}

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return accepted, nil
	}
	c := &conn{TCPConn: tcp, raw: raw}
	c.tryRead = c.read
	return c, nil
}

// conn is an accepted connection. While a request runs, net/http reads one byte to notice that the client leaves. The kernel
// has said with the end of the request whether there is something to read, so this read waits first. Otherwise it would
// cost a system call for each request.
//
// A client that leaves between the two reads, or whose connection is reset right behind its request, is not noticed until
// the answer is written.
type conn struct {
	*net.TCPConn
	raw syscall.RawConn
	// tryRead is the method read. It is called with the arguments and results in the fields below.
	tryRead func(fd uintptr) bool
	buf     []byte
	n       int
	err     error
	// waitFirst is set if the next call of tryRead waits without reading.
	waitFirst bool
	// drained is set if the last read took all that had arrived and the client had not closed its side.
	drained bool

	header  unix.Msghdr
	vector  unix.Iovec
	control inqueue
}

// inqueue is the control message that holds the number of bytes left to read.
type inqueue struct {
	header unix.Cmsghdr
	bytes  int32
	_      [4]byte
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return c.TCPConn.Read(p)
	}
	c.waitFirst = c.drained && len(p) == 1
	c.drained = false
	c.buf, c.n, c.err = p, 0, nil
	err := c.raw.Read(c.tryRead)
	c.buf = nil
	switch {
	case err != nil:
		return 0, err
	case c.err != nil:
		return 0, c.err
	case c.n == 0:
		return 0, io.EOF
	default:
		return c.n, nil
	}
}

// read reads what has arrived. It returns false if nothing has.
func (c *conn) read(fd uintptr) bool {
	if c.waitFirst {
		c.waitFirst = false
		return false
	}
	for {
		c.control.header = unix.Cmsghdr{}
		c.vector.Base = &c.buf[0]
		c.vector.SetLen(len(c.buf))
		c.header = unix.Msghdr{Iov: &c.vector, Iovlen: 1, Control: (*byte)(unsafe.Pointer(&c.control))}
		c.header.SetControllen(int(unsafe.Sizeof(c.control)))
		n, _, errno := unix.Syscall(unix.SYS_RECVMSG, fd, uintptr(unsafe.Pointer(&c.header)), 0)
		c.vector.Base = nil
		switch {
		case errno == 0:
			synchronize(fd)
			c.n = int(n)
			h := &c.control.header
			c.drained = n > 0 && h.Level == unix.IPPROTO_TCP && h.Type == unix.TCP_CM_INQ && c.control.bytes == 0
			return true
		case errors.Is(errno, unix.EAGAIN):
			return false
		case !errors.Is(errno, unix.EINTR):
			c.err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvmsg", errno)}
			return true
		}
	}
}
