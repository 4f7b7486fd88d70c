package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

var errNoAck = errors.New("a heartbeat was not acknowledged")

// errQuiet is returned if requests were not served before the disruption.
var errQuiet = errors.New("the deployment does not serve")

// serves checks that a request is served.
func (w *world) serves(v *vm, method, target string) error {
	for n := range 20 {
		if w.ask(v, method, target, fmt.Sprintf("first-%s-%d", v.name, n), 2*time.Second) == http.StatusOK {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return errQuiet
}

// forgedBeat: another writer sends a heartbeat with fields missing. It names no instance to use.
func forgedBeat(w *world, trouble bool) (bool, error) {
	const orders, catalogue = "wuno96b", "huvo11a"
	config := desired(
		[]string{orders, catalogue},
		route("r-order", "/puka111/", "non_idempotent", orders, 1000), route("r-look", "/leny950/", "idempotent", catalogue, 800),
	)
	if err := w.open(config, orders, catalogue, "kafi81c"); err != nil {
		return false, err
	}
	entry := w.vms[2]
	if err := errors.Join(w.serves(entry, "POST", "/puka111/2f"), w.serves(entry, "GET", "/leny950/2f")); err != nil {
		return false, err
	}
	if trouble {
		i := w.vms[0].instance
		// zone, version and warmup_ms are missing.
		forged := map[string]any{
			"service": catalogue, "address": w.vms[0].address(appPort), "concurrency": 99, "state": "ready", "sequence": 1000, "born": i.born,
		}
		w.note("another writer's heartbeat follows")
		i.send(forged)
	}
	time.Sleep(2 * time.Second)
	for n := range 200 {
		w.ask(w.vms[2*(n%2)], "GET", "/leny950/2f", fmt.Sprintf("look-%d", n), 2*time.Second)
		if n%20 == 0 {
			w.ask(entry, "POST", "/puka111/2f", fmt.Sprintf("order-%d", n), 2*time.Second)
		}
	}
	foreign := 0
	for _, a := range w.arrivals() {
		if strings.HasPrefix(a.uri, "/leny950/") && a.service != catalogue {
			foreign++
		}
	}
	w.note("ROUTE: %d requests of the route to %s were run by an instance of %s", foreign, catalogue, orders)
	return foreign > 0, nil
}

// lateBeat: a node is stopped and started again. Its instance deregisters before its next heartbeat, and the heartbeat
// that it sent before that arrives 1.5 s late.
func lateBeat(w *world, trouble bool) (bool, error) {
	const service = "huvo11a"
	config := desired([]string{service}, route("r-order", "/puka111/", "non_idempotent", service, 1000))
	if err := w.open(config, service, service, "kafi81c"); err != nil {
		return false, err
	}
	entry, leaving := w.vms[2], w.vms[0]
	if err := w.serves(entry, "POST", "/puka111/2f"); err != nil {
		return false, err
	}
	leaving.instance.work, w.vms[1].instance.work = 200*time.Millisecond, 200*time.Millisecond
	// The instance's last heartbeat before it leaves is on its way.
	leaving.instance.stop()
	late := leaving.instance.statement()
	if trouble {
		leaving.kill()
		w.note("node    %s killed", leaving.name)
		if err := leaving.start(); err != nil {
			return false, err
		}
	}
	restarted := time.Now()
	if err := leaving.awaitReady(); err != nil {
		return false, err
	}
	if !leaving.instance.leave() {
		return false, errNoAck
	}
	acked := time.Now()
	w.note("the departure of %s is acknowledged", leaving.instance.id)
	time.Sleep(beatPeriod)
	w.note("the late heartbeat arrives")
	leaving.instance.send(late)
	return w.countAfterDeparture(entry, leaving, acked, restarted)
}

// countAfterDeparture sends orders from when all machines are in touch and the bound has passed, and counts those that still
// reach the instance. The instance exits 0.3 s later.
func (w *world) countAfterDeparture(entry, leaving *vm, acked, disturbed time.Time) (bool, error) {
	from := acked.Add(drainTime)
	if calm := disturbed.Add(contactTime); calm.After(from) {
		from = calm
	}
	from = from.Add(500 * time.Millisecond)
	time.Sleep(time.Until(from))
	time.AfterFunc(300*time.Millisecond, func() {
		w.note("%s exits", leaving.instance.id)
		_ = leaving.app.Close()
	})
	answers := make([]int, 200)
	var asking sync.WaitGroup
	for n := range answers {
		asking.Go(func() { answers[n] = w.ask(entry, "POST", "/puka111/2f", fmt.Sprintf("order-%d", n), 2*time.Second) })
		time.Sleep(10 * time.Millisecond)
	}
	asking.Wait()
	after, lost := 0, 0
	for _, a := range w.arrivals() {
		if a.instance != leaving.instance.id || a.at.Before(from) {
			continue
		}
		after++
		if n, err := strconv.Atoi(strings.TrimPrefix(a.id, "order-")); err == nil && answers[n] != http.StatusOK {
			lost++
		}
	}
	w.note("DRAIN: %d orders reached the instance later than %v after the ack, %d of them were lost with it", after, drainTime, lost)
	return after > 0, nil
}

// resend: an instance that leaves breaks a connection, and the node sends the request to it once more.
func resend(w *world, trouble bool) (bool, error) {
	const service, id = "huvo11a", "slow-lookup"
	config := desired([]string{service}, route("r-look", "/leny950/", "idempotent", service, 2500))
	if err := w.open(config, service, "kafi81c"); err != nil {
		return false, err
	}
	leaving, entry := w.vms[0], w.vms[1]
	if err := w.serves(entry, "GET", "/leny950/2f"); err != nil {
		return false, err
	}
	const hold = 2250 * time.Millisecond
	held := make(chan struct{}, 4)
	leaving.instance.intercept = func(rw http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("X-Plantainwheel-Request-Id") != id {
			return false
		}
		held <- struct{}{}
		time.Sleep(hold)
		if trouble {
			w.note("%s breaks off the connection of %s", leaving.instance.id, id)
			panic(http.ErrAbortHandler)
		}
		return false
	}
	done := make(chan int, 1)
	go func() { done <- w.ask(entry, "GET", "/leny950/2f", id, 5*time.Second) }()
	<-held
	if !leaving.instance.drain() {
		return false, errNoAck
	}
	acked := time.Now()
	w.note("%s has said that it leaves, and the node has acknowledged it", leaving.instance.id)
	<-done
	after := 0
	for _, a := range w.arrivals() {
		if a.instance == leaving.instance.id && a.at.Sub(acked) > drainTime {
			w.note("%s reached %s %d ms after the ack", a.id, a.instance, a.at.Sub(acked).Milliseconds())
			after++
		}
	}
	w.note("DRAIN: %d requests reached the instance later than %v after the ack", after, drainTime)
	return after > 0, nil
}

// clockBack: the time of day of a machine jumps back by 2 s while its instance goes down and up by turns, under the same id.
func clockBack(w *world, trouble bool) (bool, error) {
	const service, down, flap = "huvo11a", 300 * time.Millisecond, 1400 * time.Millisecond
	config := desired([]string{service}, route("r-order", "/puka111/", "non_idempotent", service, 1000))
	if err := w.open(config, service, service, "kafi81c"); err != nil {
		return false, err
	}
	entry, leaving := w.vms[2], w.vms[0]
	leaving.instance.work, w.vms[1].instance.work = 200*time.Millisecond, 200*time.Millisecond
	if err := w.serves(entry, "POST", "/puka111/2f"); err != nil {
		return false, err
	}
	if err := leaving.replaceInstance(down, 0); err != nil {
		return false, err
	}
	time.Sleep(flap)
	jump := time.Duration(0)
	if trouble {
		jump = -2 * time.Second
		w.note("the time of day of %s jumps by %v", leaving.name, jump)
	}
	if err := leaving.replaceInstance(down, jump); err != nil {
		return false, err
	}
	disturbed := time.Now()
	time.Sleep(beatPeriod)
	leaving.instance.stop()
	if !leaving.instance.drain() {
		return false, errNoAck
	}
	w.note("the departure of %s is acknowledged", leaving.instance.id)
	return w.countAfterDeparture(entry, leaving, time.Now(), disturbed)
}
