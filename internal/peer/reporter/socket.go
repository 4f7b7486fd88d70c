package reporter

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// batchMessages is the maximum number of datagrams that are written by one system call, and readMessages the number that
	// are read by one, into buffers of bufferBytes.
	batchMessages = 32
	readMessages  = 16
	bufferBytes   = 64 << 10
	// socketBytes is the size of the kernel's buffers, as far as the kernel allows. They hold what arrives between two
	// checks.
	socketBytes = 4 << 20
	// maxSendWaits is how often a full send buffer is waited for, sendWait each time, before datagrams are dropped.
	maxSendWaits = 5
	sendWait     = time.Millisecond
)

// socket is a UDP socket that is not registered with the runtime's network poller. Arriving datagrams wake no thread: they
// are read in batches at the next check, since each wake-up and each system call costs as much as decoding a report.
type socket struct {
	fd int
	// queueing is set while datagrams are queued until flush.
	queueing bool

	mu sync.Mutex
	// queue holds the queued datagrams, whose bytes are in arena.
	queue []queued
	arena []byte
	// systemCalls counts the calls that read or write datagrams.
	systemCalls uint64

	reader, writer messages
	// buffers are parts of memory.
	buffers [][]byte
	memory  []byte
}

// queued is a datagram in the arena of a socket.
type queued struct {
	from, to int
	address  netip.AddrPort
}

// messages are the arguments of a system call on several datagrams.
type messages struct {
	headers   [batchMessages]mmsghdr
	vectors   [batchMessages]unix.Iovec
	addresses [batchMessages]unix.RawSockaddrInet4
}

// mmsghdr is the kernel's struct mmsghdr.
type mmsghdr struct {
	header unix.Msghdr
	length uint32
	_      [unsafe.Sizeof(uintptr(0)) - 4]byte
}

func openSocket(listen netip.AddrPort) (*socket, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	// The kernel bounds the sizes, and smaller buffers lose datagrams only when many arrive at once.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBytes)
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBytes)
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: int(listen.Port()), Addr: listen.Addr().Unmap().As4()}); err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("bind: %w", err)
	}
	return &socket{fd: fd}, nil
}

// send sends a datagram, or queues it until flush. Errors are ignored, because the next report replaces a lost one.
func (s *socket) send(raw []byte, to netip.AddrPort) {
	if !to.Addr().Unmap().Is4() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	from := len(s.arena)
	s.arena = append(s.arena, raw...)
	s.queue = append(s.queue, queued{from, len(s.arena), to})
	if !s.queueing {
		s.flushLocked()
	}
}

// flush sends the queued datagrams.
func (s *socket) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flushLocked()
}

func (s *socket) flushLocked() {
	for queue := s.queue; len(queue) > 0 && s.fd >= 0; {
		n := min(len(queue), batchMessages)
		s.write(queue[:n])
		queue = queue[n:]
	}
	s.queue = s.queue[:0]
	if cap(s.arena) > socketBytes {
		s.arena = nil
	}
	s.arena = s.arena[:0]
}

// write sends up to batchMessages datagrams.
func (s *socket) write(queue []queued) {
	m := &s.writer
	for i, q := range queue {
		raw := s.arena[q.from:q.to]
		m.addresses[i] = unix.RawSockaddrInet4{Family: unix.AF_INET, Addr: q.address.Addr().Unmap().As4()}
		port := (*[2]byte)(unsafe.Pointer(&m.addresses[i].Port))
		port[0], port[1] = byte(q.address.Port()>>8), byte(q.address.Port())
		m.set(i, raw)
		m.headers[i].header.Name = (*byte)(unsafe.Pointer(&m.addresses[i]))
		m.headers[i].header.Namelen = unix.SizeofSockaddrInet4
	}
	waits := 0
	for next := 0; next < len(queue); {
		n, errno := s.call(unix.SYS_SENDMMSG, m.headers[next:len(queue)], 0)
		switch {
		case errno == 0:
			next += max(n, 1)
		case errno == unix.EINTR:
		case errno == unix.EAGAIN && waits < maxSendWaits:
			waits++
			time.Sleep(sendWait)
		case errno == unix.EAGAIN:
			return
		case errno == unix.ENOSYS:
			s.writeOneByOne(queue[next:])
			return
		default:
			// This datagram cannot be sent, for example because its address is unreachable.
			next++
		}
	}
}

// writeOneByOne does the same on systems without sendmmsg.
func (s *socket) writeOneByOne(queue []queued) {
	for _, q := range queue {
		s.systemCalls++
		_ = unix.Sendto(s.fd, s.arena[q.from:q.to], 0, &unix.SockaddrInet4{Port: int(q.address.Port()), Addr: q.address.Addr().Unmap().As4()})
	}
}

// receive passes the datagrams that have arrived to handle, which must not keep them, and returns their number.
func (s *socket) receive(handle func([]byte)) int {
	if s.buffers == nil && !s.allocate() {
		return 0
	}
	m, total := &s.reader, 0
	for {
		for i, buf := range s.buffers {
			m.set(i, buf)
		}
		n, errno := s.call(unix.SYS_RECVMMSG, m.headers[:len(s.buffers)], unix.MSG_DONTWAIT)
		switch {
		case errno == unix.EINTR:
			continue
		case errno == unix.ENOSYS:
			return total + s.receiveOneByOne(handle)
		case errno != 0:
			return total
		}
		for i := range n {
			handle(s.buffers[i][:m.headers[i].length])
		}
		total += n
		if n < len(s.buffers) {
			return total
		}
	}
}

// receiveOneByOne does the same on systems without recvmmsg.
func (s *socket) receiveOneByOne(handle func([]byte)) int {
	for total := 0; ; total++ {
		s.systemCalls++
		n, _, err := unix.Recvfrom(s.fd, s.buffers[0], unix.MSG_DONTWAIT)
		if err != nil {
			return total
		}
		handle(s.buffers[0][:n])
	}
}

// allocate allocates the buffers outside of the heap, because most of their pages are never used.
func (s *socket) allocate() bool {
	raw, err := unix.Mmap(-1, 0, readMessages*bufferBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_ANON|unix.MAP_PRIVATE)
	if err != nil {
		return false
	}
	s.memory = raw
	for i := range readMessages {
		s.buffers = append(s.buffers, raw[i*bufferBytes:(i+1)*bufferBytes])
	}
	return true
}

func (m *messages) set(i int, raw []byte) {
	m.vectors[i].Base = unsafe.SliceData(raw)
	m.vectors[i].SetLen(len(raw))
	m.headers[i] = mmsghdr{header: unix.Msghdr{Iov: &m.vectors[i]}}
	m.headers[i].header.SetIovlen(1)
}

// call makes a system call on the messages and returns how many of them it has processed.
func (s *socket) call(trap uintptr, headers []mmsghdr, flags int) (int, unix.Errno) {
	s.systemCalls++
	n, _, errno := unix.Syscall6(trap, uintptr(s.fd), uintptr(unsafe.Pointer(unsafe.SliceData(headers))), uintptr(len(headers)), uintptr(flags), 0, 0)
	return int(n), errno
}

func (s *socket) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fd >= 0 {
		_ = unix.Close(s.fd)
		s.fd = -1
		s.buffers = nil
		_ = unix.Munmap(s.memory)
	}
}
