package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term"] = runTerm }

const (
	termWork  = 2200 * time.Millisecond
	termEvery = 10 * time.Millisecond
	termGrace = 6 * time.Second
	// termHead is the time that each client takes from its connect to the end of its request.
	termHead = 300 * time.Millisecond
	// termAllowed is the time after SIGTERM until which a request may be sent whose instance is still at work in the last
	// sixth of the grace time.
	termAllowed = 3 * time.Second
)

type termRequest struct {
	id                 string
	sent, began, ended time.Time
	status             int
	err                error
}

// runTerm sends requests at a steady rate to one node, which passes them on to the instance beside another one. With
// trouble, that node and another one get SIGTERM, so that fewer than half of the nodes are ready and the clients go on.
func runTerm(rec *record, trouble bool) int {
	f, err := newFleet()
	if err != nil {
		return noRun
	}
	defer f.close()
	n, err := f.add("shop")
	if err != nil {
		return noRun
	}
	second, err := f.add("shop")
	if err != nil {
		return noRun
	}
	other, err := f.add("orders")
	if err != nil {
		return noRun
	}
	f.configure(1, []string{"shop", "orders"}, []route{{"r-orders", "shop.example", "/orders/", "non_idempotent", "orders", 8000, 1}})
	var mu sync.Mutex
	began := map[string]time.Time{}
	in := newInstance(other, "i-3", 2000, func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
		mu.Lock()
		began[r.Header.Get(idHeader)] = time.Now()
		mu.Unlock()
		time.Sleep(termWork)
		return answer(c, r, "accepted") == nil
	})
	if err := in.open(); err != nil {
		return noRun
	}
	defer in.close()
	for k, m := range []*node{n, second} {
		idle := newInstance(m, fmt.Sprintf("i-%d", k+1), 50, func(c net.Conn, _ *bufio.Reader, r *http.Request) bool { return answer(c, r, "") == nil })
		if err := idle.open(); err != nil {
			return noRun
		}
		defer idle.close()
	}
	for _, m := range f.nodes {
		if err := m.start(); err != nil || !m.awaitReady(20*time.Second) {
			rec.printf("node not ready: %v\n%s", err, m.log())
			return noRun
		}
	}
	time.Sleep(2 * time.Second)
	var requests []*termRequest
	var all sync.WaitGroup
	begin := time.Now()
	termAt := begin.Add(2 * time.Second)
	signalled := false
	for k := 0; time.Since(begin) < 6*time.Second; k++ {
		if !signalled && time.Now().After(termAt) {
			signalled = true
			termAt = time.Now()
			if trouble {
				n.signal(syscall.SIGTERM)
				second.signal(syscall.SIGTERM)
			}
			rec.printf("SIGTERM (trouble %v)", trouble)
		}
		q := &termRequest{id: fmt.Sprintf("term-%d", k)}
		requests = append(requests, q)
		all.Go(func() { q.send(n.outbound) })
		time.Sleep(termEvery)
	}
	all.Wait()
	lost, answered := 0, 0
	for _, q := range requests {
		mu.Lock()
		q.began = began[q.id]
		mu.Unlock()
		after := func(t time.Time) float64 { return t.Sub(termAt).Seconds() }
		if q.status != 0 {
			answered++
		}
		if q.began.IsZero() || q.status != 0 {
			continue
		}
		atWork := q.ended.Sub(termAt) >= termGrace-termGrace/6
		excused := atWork && q.sent.Sub(termAt) <= termAllowed
		if !excused {
			lost++
		}
		rec.printf("client: %s sent %.3f s after SIGTERM, begun by the instance %.3f s, connection ended %.3f s after it without an answer (%v), excused %v",
			q.id, after(q.sent), after(q.began), after(q.ended), q.err, excused)
	}
	rec.printf("requests %d, answered %d, passed on and ended without an answer and without excuse: %d", len(requests), answered, lost)
	if lost > 0 {
		return broken
	}
	if answered == 0 {
		return noRun
	}
	return held
}

// send sends the request on a new connection.
func (q *termRequest) send(address string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		q.err = err
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	time.Sleep(termHead)
	fmt.Fprintf(c, "POST /orders/2f HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\nX-Plantainwheel-Deadline-Ms: 8000\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", idHeader, q.id, apiKey)
	q.sent = time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	q.ended = time.Now()
	if err != nil {
		q.err = err
		return
	}
	resp.Body.Close()
	q.status = resp.StatusCode
}
