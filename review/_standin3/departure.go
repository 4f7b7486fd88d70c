package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() {
	cases["departure"] = func(rec *record, trouble bool) (int, error) { return departure(rec, trouble, false) }
	cases["late-record"] = func(rec *record, trouble bool) (int, error) { return departure(rec, trouble, true) }
}

const (
	// outageTime is how long the store is down, and lateTime the delay of a write whose answer is lost.
	outageTime = 4500 * time.Millisecond
	lateTime   = 3 * time.Second
	drainTime  = 2 * time.Second
	// contactTime is contact_ms.
	contactTime = 3 * time.Second
	// slack is left after all bounds before the orders are sent.
	slack     = 500 * time.Millisecond
	orderTime = 1500 * time.Millisecond
)

// departure lets an instance leave while the store is down, and its node's process end before the store is back. If late is set,
// the store is not down: it does the write of the departure later, and its answer is lost.
func departure(rec *record, trouble, late bool) (int, error) {
	f, err := newFleet(rec, trouble, "orders", "orders", "entry")
	if err != nil {
		return failed, err
	}
	defer f.close()
	leaving, entry := f.nodes[0], f.nodes[2]
	f.configure(route{Name: "r-order", Prefix: "/puka111/", Type: "non_idempotent", Service: "orders", TimeoutMS: 1000})
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return failed, err
		}
	}
	if err := f.awaitReady(f.nodes...); err != nil {
		return failed, err
	}
	var lives []*lifetime
	var instances []*orderInstance
	for i, n := range f.nodes[:2] {
		life := newLifetime(n, fmt.Sprintf("i-7f3a91c%d", i+1))
		s, err := startOrders(rec, n, life.id)
		if err != nil {
			return failed, err
		}
		go life.beats()
		lives, instances = append(lives, life), append(instances, s)
	}
	time.Sleep(4 * time.Second)
	life, instance := lives[0], instances[0]
	down, kill := trouble && os.Getenv("OUTAGE") != "0", trouble && os.Getenv("KILL") != "0"
	begin := time.Now()
	switch {
	case down && late:
		rec.log("the store loses the answers to writes of the record of %s, and does them %v later", leaving.name, lateTime)
		f.store.setLate(leaving.name, lateTime, func(value []byte) { rec.log("the store does the late write: %s", value) })
	case down:
		rec.log("the store is down")
		f.store.setDown(true)
	}
	close(life.stop)
	time.Sleep(200 * time.Millisecond)
	rec.log("%s sends a heartbeat that is late", life.id)
	time.Sleep(100 * time.Millisecond)
	if status := life.call(http.MethodDelete, nil); status != http.StatusOK {
		return failed, fmt.Errorf("the departure got status %d", status)
	}
	acked := time.Now()
	rec.log("the departure of %s is acknowledged", life.id)
	time.Sleep(200 * time.Millisecond)
	if down && late {
		rec.log("the store answers all writes again")
		f.store.setLate("", 0, nil)
	}
	if kill {
		leaving.signal(os.Kill)
		<-leaving.exited
		time.Sleep(100 * time.Millisecond)
		if err := leaving.start(); err != nil {
			return failed, err
		}
	}
	time.Sleep(800 * time.Millisecond)
	rec.log("the late heartbeat of %s arrives: status %d", life.id, life.beat())
	time.Sleep(time.Until(begin.Add(outageTime)))
	if down && !late {
		rec.log("the store is back")
		f.store.setDown(false)
	}
	// From now on no machine was disturbed, and the store was stable, for contact_ms.
	time.Sleep(contactTime + slack)
	first := time.Now()
	if first.Sub(acked) < drainTime+slack {
		return failed, fmt.Errorf("too early")
	}
	statuses := map[string]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := 0; time.Since(first) < orderTime; i++ {
		id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+i)
		clients.Go(func() {
			status, err := request(entry.outbound(), id, "POST", "/puka111/2f")
			rec.log("client on %s: order %s: status %d, %v", entry.name, id, status, err)
			mu.Lock()
			statuses[id] = status
			mu.Unlock()
		})
		time.Sleep(20 * time.Millisecond)
	}
	rec.log("%s exits, %.1f s after the ack", life.id, time.Since(acked).Seconds())
	instance.exit()
	clients.Wait()
	reached, lost := 0, 0
	instance.mu.Lock()
	for id, at := range instance.arrived {
		if at.Before(first) {
			continue
		}
		reached++
		if statuses[id] != http.StatusOK {
			lost++
		}
	}
	instance.mu.Unlock()
	served := 0
	for _, status := range statuses {
		if status == http.StatusOK {
			served++
		}
	}
	rec.log("%d of %d orders were served; %d reached %s later than drain_ms after the ack of its departure, %d of them are lost", served, len(statuses), reached, life.id, lost)
	switch {
	case reached > 0:
		return broken, nil
	case served < len(statuses)/2:
		return failed, fmt.Errorf("only %d orders were served", served)
	default:
		return held, nil
	}
}
