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

func init() { cases["switching"] = runSwitching }

const (
	// switchingTime is how long requests are sent, one each switchingEvery, and switchingTrouble how long the trouble lasts.
	switchingTime    = 12 * time.Second
	switchingTrouble = 5500 * time.Millisecond
	switchingEvery   = 10 * time.Millisecond
	// switchingWork is how long an instance works on a request. Both instances are needed for the load.
	switchingWork = 300 * time.Millisecond
	// switchingTimeout is the route's timeout_ms.
	switchingTimeout = 2 * time.Second
	// switchingLate is the time after the route's timeout within which a request must be answered.
	switchingLate = 500 * time.Millisecond
	// switchingLimit is the client's time limit.
	switchingLimit = 10 * time.Second
)

// runSwitching sends orders to the first of two nodes. With trouble, the instance beside that node sends bytes that are no response to a
// part of them, a change of protocol that nobody asked for, and keeps the connections.
func runSwitching(rec *record, trouble bool) int {
	f, err := newFleet()
	if err != nil {
		return noRun
	}
	defer f.close()
	f.configure(1, []string{"orders"}, []route{{"r-orders", "shop.example", "/orders/", "non_idempotent", "orders", int(switchingTimeout.Milliseconds()), 1}})
	var mu sync.Mutex
	spoilt := map[string]bool{}
	arrivals := [2]int{}
	on := trouble
	for k := range 2 {
		n, err := f.add("orders")
		if err != nil {
			return noRun
		}
		in := newInstance(n, fmt.Sprintf("i-%d", k+1), 20, func(c net.Conn, _ *bufio.Reader, r *http.Request) bool {
			time.Sleep(switchingWork)
			mu.Lock()
			arrivals[k]++
			spoil := on && k == 0 && rand.Float64() < spoiltShare
			id := r.Header.Get(idHeader)
			if spoil {
				spoilt[id] = true
			}
			mu.Unlock()
			if spoil {
				_, err := fmt.Fprintf(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n%s: %s\r\n\r\n", idHeader, id)
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
	var replies []*reply
	ids := map[*reply]string{}
	begin := time.Now()
	time.AfterFunc(switchingTrouble, func() {
		mu.Lock()
		defer mu.Unlock()
		on = false
	})
	for k := 0; time.Since(begin) < switchingTime; k++ {
		r := &reply{}
		replies = append(replies, r)
		ids[r] = fmt.Sprintf("switching-%d", k)
		all.Go(func() {
			*r = send(f.nodes[0].outbound, "POST", "/orders/2f", ids[r], switchingLimit, switchingLimit)
		})
		time.Sleep(switchingEvery)
	}
	all.Wait()
	mu.Lock()
	spoiltBefore, before := len(spoilt), arrivals
	mu.Unlock()
	answers := map[int]int{}
	longer, late := 0, 0
	for _, r := range replies {
		answers[r.status]++
		if r.sent.IsZero() || r.ended.Sub(r.sent) < switchingTimeout {
			continue
		}
		longer++
		if r.status == 0 || r.ended.Sub(r.sent) > switchingTimeout+switchingLate {
			late++
			rec.printf("%s: the instance spoilt its answer: %v; after %.1f s the client has status %d, %v", ids[r], spoilt[ids[r]], r.ended.Sub(r.sent).Seconds(), r.status, r.err)
		}
	}
	rec.printf("answers by status (0: none): %v; spoilt by the instance: %d; unanswered at the route's timeout: %d, of which without an answer half a second later: %d", answers, spoiltBefore, longer, late)
	after := map[int]int{}
	for k := range 100 {
		r := send(f.nodes[0].outbound, "POST", "/orders/2f", fmt.Sprintf("after-%d", k), switchingTimeout, switchingTimeout+time.Second)
		after[r.status]++
	}
	mu.Lock()
	rec.printf("over 10 s after the last spoilt answer: 100 requests, answers by status %v, of them at the once faulty instance %d, at the other one %d", after, arrivals[0]-before[0], arrivals[1]-before[1])
	mu.Unlock()
	switch {
	case late*2 > longer:
		return broken
	case answers[http.StatusOK] == 0:
		return noRun
	}
	return held
}
