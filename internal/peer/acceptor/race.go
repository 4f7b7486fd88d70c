//go:build race

package acceptor

import "syscall"

// synchronize tells the race detector, as the read system call does, that what the sender did before happened earlier.
func synchronize(fd uintptr) { _, _ = syscall.Read(int(fd), nil) }
