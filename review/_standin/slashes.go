package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["slashes"] = runSlashes }

const slashesRequests = 20

// runSlashes sends requests to one node. With trouble, their paths begin with two slashes.
func runSlashes(rec *record, trouble bool) int {
	f, err := newFleet()
	if err != nil {
		return noRun
	}
	defer f.close()
	f.configure(1, []string{"orders"}, []route{{"r-orders", "shop.example", "/", "non_idempotent", "orders", 4000, 1}})
	n, err := f.add("orders")
	if err != nil {
		return noRun
	}
	target := "/drafts/orders/2f"
	if trouble {
		target = "//drafts/orders/2f"
	}
	var mu sync.Mutex
	runs, changed := 0, 0
	in := newInstance(n, "i-1", 50, func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
		mu.Lock()
		runs++
		if r.URL.Path != target {
			changed++
		}
		mu.Unlock()
		rec.printf("instance: %s: request line %q, Host %q, so it runs %s of path %q", r.Header.Get(idHeader), r.Method+" "+r.RequestURI, r.Host, r.Method, r.URL.Path)
		return answer(c, r, "deleted "+r.URL.Path) == nil
	})
	if err := in.open(); err != nil {
		return noRun
	}
	defer in.close()
	if !f.startAll(rec) {
		return noRun
	}
	answers := map[int]int{}
	for k := range slashesRequests {
		id := fmt.Sprintf("slashes-%d", k)
		r := send(n.outbound, "DELETE", target, id, 4*time.Second, 6*time.Second)
		answers[r.status]++
		rec.printf("client: %s: DELETE of path %q: status %d, body %q, %v", id, target, r.status, r.body, r.err)
	}
	rec.printf("answers by status: %v; runs %d, of which of another path than was sent: %d", answers, runs, changed)
	switch {
	case changed > 0:
		return broken
	case runs == 0:
		return noRun
	}
	return held
}
