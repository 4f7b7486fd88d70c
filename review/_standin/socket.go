package main

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unacknowledged returns the number of bytes written to the connection that its peer has not acknowledged, or -1 if the
// connection is closed.
func unacknowledged(c net.Conn) int {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return -1
	}
	n := -1
	_ = raw.Control(func(fd uintptr) {
		if k, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = k
		}
	})
	return n
}
