//go:build !race

package acceptor

func synchronize(uintptr) {}
