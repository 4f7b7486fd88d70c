package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["download"] = download }

const (
	downloads = 6
	// downloadBytes is the length of a download, and readTime the time in which a client reads it at a steady pace.
	downloadBytes = 9 << 20
	readTime      = 3700 * time.Millisecond
	readSteps     = 370
	// sendAfter is when the clients send their requests after the SIGTERM, and graceTime is grace_s.
	sendAfter = 1900 * time.Millisecond
	graceTime = 6 * time.Second
)

// downloadInstance answers each request at once with a long body.
type downloadInstance struct {
	rec  *record
	mu   sync.Mutex
	done map[string]time.Time
}

func (d *downloadInstance) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go d.connection(c)
	}
}

func (d *downloadInstance) connection(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	body := make([]byte, downloadBytes)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Plantainwheel-Request-Id")
		d.rec.log("instance: runs request %s", id)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Plantainwheel-Request-Id: %s\r\nX-Plantainwheel-Response-Seal: s.%s\r\nContent-Length: %d\r\n\r\n", id, id, downloadBytes)
		n, err := c.Write(body)
		d.rec.log("instance: request %s: has written %d bytes of its answer, %v", id, n, err)
		if err != nil {
			return
		}
		d.mu.Lock()
		d.done[id] = time.Now()
		d.mu.Unlock()
	}
}

// outcome is what a client got of a download.
type outcome struct {
	id     string
	status int
	bytes  int
	sent   time.Time
	ended  time.Time
	err    error
}

func download(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, trouble, "entry", "manifests")
	if err != nil {
		return failed, err
	}
	defer f.close()
	entry, n := f.nodes[0], f.nodes[1]
	l, err := net.Listen("tcp4", n.app())
	if err != nil {
		return failed, err
	}
	defer l.Close()
	target := &downloadInstance{rec: rec, done: map[string]time.Time{}}
	go target.serve(l)
	f.configure(route{Name: "r-manifest", Prefix: "/manifest/", Type: "download", Service: "manifests", TimeoutMS: 4000})
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
	time.Sleep(4 * time.Second)
	stopped := time.Now()
	if trouble {
		entry.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(stopped.Add(sendAfter)))
	results := make([]outcome, downloads)
	var clients sync.WaitGroup
	for i := range results {
		clients.Go(func() { results[i] = get(entry.outbound(), fmt.Sprintf("%016x", 0x1c41d07be2a30000+i)) })
	}
	clients.Wait()
	whole, cut := 0, 0
	for _, r := range results {
		rec.log("client: request %s: status %d, %d of %d bytes, ended %.3f s after it was sent and %.3f s after the SIGTERM: %v",
			r.id, r.status, r.bytes, downloadBytes, r.ended.Sub(r.sent).Seconds(), r.ended.Sub(stopped).Seconds(), r.err)
		target.mu.Lock()
		done, ran := target.done[r.id]
		target.mu.Unlock()
		switch {
		case r.status == http.StatusOK && r.bytes == downloadBytes:
			whole++
		case r.status == http.StatusOK && ran && done.Before(stopped.Add(graceTime*5/6)) && r.ended.Before(r.sent.Add(4*time.Second)):
			// Passed on, the instance done before the last sixth of grace_s, and neither the time limit nor the timeout reached.
			cut++
		}
	}
	rec.log("%d downloads were complete, %d were cut before their time limit though the instance had ended its work", whole, cut)
	if cut > 0 {
		return broken, nil
	}
	if whole < downloads/2 {
		return failed, fmt.Errorf("only %d downloads were complete", whole)
	}
	return held, nil
}

// get downloads at a steady pace.
func get(address, id string) (o outcome) {
	o = outcome{id: id, sent: time.Now()}
	defer func() { o.ended = time.Now() }()
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
	}}
	c, err := dialer.Dial("tcp4", address)
	if err != nil {
		o.err = err
		return o
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(c, "GET /manifest/%s HTTP/1.1\r\nHost: %s\r\nX-Plantainwheel-Request-Id: %s\r\nX-Plantainwheel-Deadline-Ms: 4000\r\nAuthorization: Bearer %s\r\n\r\n", id, hostName, id, apiKey)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		o.err = err
		return o
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	for step := 1; ; step++ {
		n, err := io.CopyN(io.Discard, resp.Body, downloadBytes/readSteps+1)
		o.bytes += int(n)
		if err != nil {
			if err != io.EOF || o.bytes != downloadBytes {
				o.err = err
			}
			return o
		}
		time.Sleep(time.Until(o.sent.Add(time.Duration(step) * readTime / readSteps)))
	}
}
