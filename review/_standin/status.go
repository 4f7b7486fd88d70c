package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["status"] = runStatus }

const (
	// statusRequests are sent within 5 s.
	statusRequests = 1000
	// spoiltShare is the share of the answers that the faulty one of the two instances spoils.
	spoiltShare = 0.05
)

// runStatus sends orders to two nodes. With trouble, one of the two instances fails a part of the orders and spoils the
// status line of these answers.
func runStatus(rec *record, trouble bool) int {
	f, err := newFleet()
	if err != nil {
		return noRun
	}
	defer f.close()
	f.configure(1, []string{"orders"}, []route{{"r-orders", "shop.example", "/orders/", "non_idempotent", "orders", 4000, 1}})
	var mu sync.Mutex
	spoilt := map[string]bool{}
	for k := range 2 {
		n, err := f.add("orders")
		if err != nil {
			return noRun
		}
		in := newInstance(n, fmt.Sprintf("i-%d", k+1), 50, func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
			time.Sleep(10 * time.Millisecond)
			if trouble && k == 0 && rand.Float64() < spoiltShare {
				id := r.Header.Get(idHeader)
				mu.Lock()
				spoilt[id] = true
				mu.Unlock()
				_, err := fmt.Fprintf(c, "HTTP/1.1 000 Failed\r\n%s: %s\r\nContent-Length: 6\r\n\r\nfailed", idHeader, id)
				return err == nil
			}
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
	var all sync.WaitGroup
	answers := map[int]int{}
	wrong := 0
	for k := range statusRequests {
		all.Go(func() {
			id := fmt.Sprintf("status-%d", k)
			r := send(f.nodes[k%2].outbound, "POST", "/orders/2f", id, 4*time.Second, 6*time.Second)
			mu.Lock()
			defer mu.Unlock()
			answers[r.status]++
			success := r.status >= 200 && r.status < 300
			if bad := success && r.header.Get(sealHeader) == ""; bad || spoilt[id] {
				rec.printf("%s: the instance spoilt its answer: %v; the client got %d, seal %q, body %q, %v", id, spoilt[id], r.status, r.header.Get(sealHeader), r.body, r.err)
				if bad {
					wrong++
				}
			}
		})
		time.Sleep(4500 * time.Microsecond)
	}
	all.Wait()
	rec.printf("answers by status: %v; spoilt by the instance: %d; successes without a seal: %d", answers, len(spoilt), wrong)
	switch {
	case wrong > 0:
		return broken
	case answers[http.StatusOK] == 0:
		return noRun
	}
	return held
}
