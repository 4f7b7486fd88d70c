package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// instance stands in for an application instance. It reads the head of each request itself, so that it can answer at any
// moment.
type instance struct {
	id    string
	node  *node
	slots int
	born  int64
	// serve handles one request and reports whether the connection is kept.
	serve func(c net.Conn, br *bufio.Reader, r *http.Request) bool

	mu       sync.Mutex
	state    string
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	stop     chan struct{}
}

const (
	idHeader    = "X-Plantainwheel-Request-Id"
	sealHeader  = "X-Plantainwheel-Response-Seal"
	notExecuted = "X-Plantainwheel-Not-Executed"
)

func newInstance(n *node, id string, slots int, serve func(net.Conn, *bufio.Reader, *http.Request) bool) *instance {
	return &instance{id: id, node: n, slots: slots, born: time.Now().UnixMilli(), serve: serve, state: "ready", conns: map[net.Conn]bool{}, stop: make(chan struct{})}
}

// open listens at the machine's app_addr and sends heartbeats.
func (i *instance) open() error {
	l, err := net.Listen("tcp", i.node.app)
	if err != nil {
		return err
	}
	i.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go i.handle(c)
		}
	}()
	go func() {
		for {
			i.beat()
			select {
			case <-i.stop:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
	return nil
}

// beat sends a heartbeat, again until it is acknowledged or stopped.
func (i *instance) beat() bool {
	i.mu.Lock()
	i.sequence++
	b := beat{id: i.id, service: i.node.service, state: i.state, slots: i.slots, sequence: i.sequence, born: i.born}
	i.mu.Unlock()
	for range 30 {
		if i.node.beat(b) == http.StatusOK {
			return true
		}
		select {
		case <-i.stop:
			return false
		case <-time.After(100 * time.Millisecond):
		}
	}
	return false
}

func (i *instance) close() {
	close(i.stop)
	_ = i.listener.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		_ = c.Close()
	}
}

func (i *instance) handle(c net.Conn) {
	i.mu.Lock()
	i.conns[c] = true
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		delete(i.conns, c)
		i.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReaderSize(c, 64<<10)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if expect := r.Header.Get("X-Plantainwheel-Expect-Instance"); expect != "" && expect != i.id {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", idHeader, r.Header.Get(idHeader))
			continue
		}
		if r.URL.Path == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Plantainwheel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", i.id)
			continue
		}
		if !i.serve(c, br, r) {
			return
		}
	}
}

// answer writes a success with its seal and the whole body.
func answer(w io.Writer, r *http.Request, body string) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-of-%s\r\nContent-Length: %d\r\n\r\n%s",
		idHeader, r.Header.Get(idHeader), sealHeader, r.Header.Get(idHeader), len(body), body)
	return err
}
