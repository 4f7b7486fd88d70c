package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slowread"] = runSlowread }

const (
	slowRequests = 20
	slowEvery    = 50 * time.Millisecond
	slowBody     = 1 << 20
	// slowPause is how long an instance that reads slowly waits after the first slowFirst bytes of a body.
	slowFirst   = 64 << 10
	slowPause   = 2500 * time.Millisecond
	slowWork    = 100 * time.Millisecond
	slowTimeout = 8 * time.Second
)

type slowRequest struct {
	reply
	id string
	// whole is when the client's last byte was acknowledged, and left the number of bytes that were not when it ended.
	whole time.Time
	left  int
}

// slowRun is what the instance has seen of a request.
type slowRun struct {
	began time.Time
	read  int64
	err   error
}

// runSlowread sends uploads to a node that gets SIGTERM, which passes them on to the instance beside another one. With
// trouble, that instance reads their bodies slowly.
func runSlowread(rec *record, trouble bool) int {
	f, err := newFleet()
	if err != nil {
		return noRun
	}
	defer f.close()
	f.configure(1, []string{"shop", "orders"}, []route{{"r-orders", "shop.example", "/orders/", "non_idempotent", "orders", int(slowTimeout.Milliseconds()), 1}})
	for _, service := range []string{"shop", "shop", "orders"} {
		if _, err := f.add(service); err != nil {
			return noRun
		}
	}
	var mu sync.Mutex
	runs := map[string]*slowRun{}
	for k, n := range f.nodes {
		in := newInstance(n, fmt.Sprintf("i-%d", k+1), 100, func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
			run := &slowRun{began: time.Now()}
			read, err := io.CopyN(io.Discard, r.Body, slowFirst)
			if trouble && err == nil {
				time.Sleep(slowPause)
			}
			if err == nil {
				var rest int64
				rest, err = io.Copy(io.Discard, r.Body)
				read += rest
			}
			mu.Lock()
			run.read, run.err = read, err
			runs[r.Header.Get(idHeader)] = run
			mu.Unlock()
			if err != nil {
				return false
			}
			time.Sleep(slowWork)
			return answer(c, r, "accepted") == nil
		})
		if err := in.open(); err != nil {
			return noRun
		}
		defer in.close()
	}
	if !f.startAll(rec) {
		return noRun
	}
	f.nodes[0].signal(syscall.SIGTERM)
	f.nodes[1].signal(syscall.SIGTERM)
	termAt := time.Now()
	rec.printf("SIGTERM of two of three nodes")
	var all sync.WaitGroup
	var requests []*slowRequest
	for k := range slowRequests {
		time.Sleep(slowEvery)
		q := &slowRequest{id: fmt.Sprintf("slow-%d", k)}
		requests = append(requests, q)
		all.Go(func() { q.send(f.nodes[0].outbound) })
	}
	all.Wait()
	time.Sleep(slowPause + time.Second)
	lost, served := 0, 0
	for _, q := range requests {
		mu.Lock()
		run := runs[q.id]
		mu.Unlock()
		after := func(t time.Time) float64 { return t.Sub(termAt).Seconds() }
		own := q.header.Get(sealHeader) == ""
		if q.status == http.StatusOK && !own {
			served++
		}
		if run == nil {
			rec.printf("%s: sent %.3f s after SIGTERM, not begun by the instance, status %d, %v", q.id, after(q.sent), q.status, q.err)
			continue
		}
		broken := own && q.status != http.StatusServiceUnavailable && q.status != http.StatusTooManyRequests && q.ended.Sub(q.sent) < slowTimeout
		if broken {
			lost++
		}
		rec.printf("%s: sent %.3f s after SIGTERM, begun by the instance %.3f s; the client's body was taken %.3f s after it (%d bytes were not); ended %.3f s after it with status %d, seal %q, %v; the instance read %d bytes, %v; broken off: %v",
			q.id, after(q.sent), after(run.began), after(q.whole), q.left, after(q.ended), q.status, q.header.Get(sealHeader), q.err, run.read, run.err, broken)
	}
	rec.printf("uploads %d, answered by the instance %d, begun by the instance and broken off by the node with an answer of its own or none: %d", len(requests), served, lost)
	switch {
	case lost > 0:
		return broken
	case served == 0:
		return noRun
	}
	return held
}

// send sends the upload on a new connection.
func (q *slowRequest) send(address string) {
	defer func() { q.ended = time.Now() }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		q.err = err
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(slowTimeout))
	q.sent = time.Now()
	go func() {
		fmt.Fprintf(c, "POST /orders/2f HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\nX-Plantainwheel-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
			idHeader, q.id, slowTimeout.Milliseconds(), apiKey, slowBody)
		_, _ = c.Write(bytes.Repeat([]byte{'x'}, slowBody))
		for {
			q.left = unacknowledged(c)
			q.whole = time.Now()
			if q.left <= 0 {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		q.err = err
		return
	}
	defer resp.Body.Close()
	q.status, q.header = resp.StatusCode, resp.Header
	q.body, q.err = io.ReadAll(resp.Body)
}
