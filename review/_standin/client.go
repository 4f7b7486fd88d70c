package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// reply is what a client has seen of its request.
type reply struct {
	status int
	header http.Header
	body   []byte
	// sent and ended are when the request was sent and when its answer or connection had ended.
	sent, ended time.Time
	err         error
}

// send sends a request without a body on a new connection, and waits for its answer for the limit at most.
func send(address, method, target, id string, deadline, limit time.Duration) (r reply) {
	defer func() { r.ended = time.Now() }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\nX-Plantainwheel-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
		method, target, idHeader, id, deadline.Milliseconds(), apiKey)
	r.sent = time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status, r.header = resp.StatusCode, resp.Header
	r.body, r.err = io.ReadAll(resp.Body)
	return r
}

// startAll starts the nodes and waits until they are ready and know each other.
func (f *fleet) startAll(rec *record) bool {
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			rec.printf("%s: %v", n.name, err)
			return false
		}
	}
	for _, n := range f.nodes {
		if !n.awaitReady(20 * time.Second) {
			rec.printf("%s is not ready\n%s", n.name, n.log())
			return false
		}
	}
	time.Sleep(2 * time.Second)
	return true
}
