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

func init() { cases["path"] = pathCase }

// instance answers each request at once and records its request line and host.
type instance struct {
	rec  *record
	mu   sync.Mutex
	runs map[string]string
}

func (s *instance) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.connection(c)
	}
}

func (s *instance) connection(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Plantainwheel-Request-Id")
		got := req.Method + " " + req.RequestURI + " Host: " + req.Host
		s.rec.log("instance: runs request %s: %s", id, got)
		s.mu.Lock()
		s.runs[id] = got
		s.mu.Unlock()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Plantainwheel-Request-Id: %s\r\nX-Plantainwheel-Response-Seal: s.%s\r\nContent-Length: 2\r\n\r\nok", id, id)
	}
}

func pathCase(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, trouble, "entry", "pages")
	if err != nil {
		return failed, err
	}
	defer f.close()
	n := f.nodes[1]
	l, err := net.Listen("tcp4", n.app())
	if err != nil {
		return failed, err
	}
	defer l.Close()
	target := &instance{rec: rec, runs: map[string]string{}}
	go target.serve(l)
	f.configure(route{Name: "r-pages", Prefix: "/", Type: "non_idempotent", Service: "pages", TimeoutMS: 2000})
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return failed, err
		}
	}
	if err := f.awaitReady(f.nodes...); err != nil {
		return failed, err
	}
	life := newLifetime(n, "i-7f3a91c2")
	go life.beats()
	time.Sleep(3 * time.Second)
	paths := []string{"/leny950/2f", "/leny950//2f?q=%2F", "/"}
	if trouble {
		paths = append(paths, "//leny950/2f", "//2f")
	}
	changed := 0
	for i, path := range paths {
		for k, entry := range f.nodes {
			id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+16*i+k)
			status, err := request(entry.outbound(), id, "POST", path)
			rec.log("client on %s: request %s: POST %s Host: %s: status %d, %v", entry.name, id, path, hostName, status, err)
			target.mu.Lock()
			if got := target.runs[id]; got != "" && got != "POST "+path+" Host: "+hostName {
				changed++
			}
			target.mu.Unlock()
		}
	}
	rec.log("%d requests ran with another path or host than the client sent", changed)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}

// request sends a request with a small body and returns the status of the answer.
func request(address, id, method, path string) (int, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Plantainwheel-Request-Id: %s\r\nX-Plantainwheel-Deadline-Ms: 5000\r\nAuthorization: Bearer %s\r\nContent-Length: 3\r\n\r\nabc", method, path, hostName, id, apiKey)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}
