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

// orderWork is how long an instance works on an order.
const orderWork = 100 * time.Millisecond

// orderInstance runs orders and records when each has arrived.
type orderInstance struct {
	rec      *record
	id       string
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	arrived  map[string]time.Time
	done     map[string]bool
}

func startOrders(rec *record, n *node, id string) (*orderInstance, error) {
	l, err := net.Listen("tcp4", n.app())
	if err != nil {
		return nil, err
	}
	s := &orderInstance{rec: rec, id: id, listener: l, conns: map[net.Conn]bool{}, arrived: map[string]time.Time{}, done: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.connection(c)
		}
	}()
	return s, nil
}

func (s *orderInstance) connection(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id, expect := req.Header.Get("X-Plantainwheel-Request-Id"), req.Header.Get("X-Plantainwheel-Expect-Instance")
		if expect != "" && expect != s.id {
			s.rec.log("%s: rejects request %s, which expects %s, with 421", s.id, id, expect)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Plantainwheel-Request-Id: %s\r\nX-Plantainwheel-Instance-Id: %s\r\nX-Plantainwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, s.id)
			continue
		}
		s.rec.log("%s: runs request %s", s.id, id)
		s.mu.Lock()
		s.arrived[id] = time.Now()
		s.mu.Unlock()
		time.Sleep(orderWork)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Plantainwheel-Request-Id: %s\r\nX-Plantainwheel-Response-Seal: s.%s\r\nContent-Length: 2\r\n\r\nok", id, id); err != nil {
			return
		}
		s.mu.Lock()
		s.done[id] = true
		s.mu.Unlock()
	}
}

// exit ends the instance: its connections break off.
func (s *orderInstance) exit() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}
