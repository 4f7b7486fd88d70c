package isolator_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/fleet/isolator"
	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
	"gotest.tools/v3/assert"
)

func sign(uri string) quarantiner.Signature {
	return quarantiner.Sign(&quarantiner.Request{Method: "GET", Host: "h", URI: uri})
}

// fleet simulates nodes that exchange messages, some of which are lost.
type fleet struct {
	rng   *rand.Rand
	now   time.Duration
	nodes []*isolator.Isolator
	loss  float64
	// store holds the records of quarantined requests.
	store map[string][]byte
	names []string
}

func newFleet(seed uint64, n int, loss float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 26)), now: time.Hour, loss: loss, store: map[string][]byte{}}
	for i := range n {
		f.names = append(f.names, fmt.Sprint("vm-", i))
		f.nodes = append(f.nodes, nil)
		f.start(i)
	}
	return f
}

// start starts a new process of a node.
func (f *fleet) start(i int) {
	f.nodes[i] = &isolator.Isolator{
		Self: f.names[i], Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Metrics: metrics.NewSet(),
		Now: func() time.Duration { return f.now },
	}
	for key, value := range f.store {
		f.nodes[i].Load(key, value)
	}
}

// step advances the time by 50 ms and passes messages on.
func (f *fleet) step() {
	f.now += 50 * time.Millisecond
	for i, n := range f.nodes {
		toAll, toOne := n.Messages()
		for _, raw := range toAll {
			for j := range f.nodes {
				f.pass(i, j, raw)
			}
		}
		for _, raw := range toOne {
			f.pass(i, f.rng.IntN(len(f.nodes)), raw)
		}
		if f.now%time.Second == 0 {
			n.Tick()
			for _, r := range n.Unstored(slices.Concat(f.names[:i], f.names[i+1:])) {
				f.store[r.Key] = r.Value
				n.Load(r.Key, r.Value)
			}
		}
	}
}

func (f *fleet) pass(from, to int, raw []byte) {
	if from == to || f.rng.Float64() < f.loss {
		return
	}
	if _, replies := f.nodes[to].Receive(raw); len(replies) > 0 {
		for _, reply := range replies {
			if f.rng.Float64() >= f.loss {
				_, again := f.nodes[from].Receive(reply)
				for _, r := range again {
					if f.rng.Float64() >= f.loss {
						f.nodes[to].Receive(r)
					}
				}
			}
		}
	}
}

func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; {
		f.step()
	}
}

// quarantinedAt counts the nodes that withhold the request.
func (f *fleet) quarantinedAt(s quarantiner.Signature) int {
	n := 0
	for _, node := range f.nodes {
		if node.Level(s, "v1") == quarantiner.Quarantined {
			n++
		}
	}
	return n
}

func (f *fleet) crash(i, incarnation int, uris ...string) {
	var began []quarantiner.Run
	for _, uri := range uris {
		began = append(began, quarantiner.Run{Signature: sign(uri)})
	}
	f.nodes[i].RecordCrash(quarantiner.Incarnation{ID: fmt.Sprintf("i-%d-%d", i, incarnation), Service: "x", Version: "v1"}, began)
}

// TestSpread checks that all nodes know of the third crash within half of the time that they have, although a third of the
// messages is lost and the store is away.
func TestSpread(t *testing.T) {
	for seed := range uint64(20) {
		for _, n := range []int{14, 79} {
			f := newFleet(seed, n, 0.33)
			for i := range 3 {
				uris := []string{"/bad"}
				for k := range quarantiner.MaxSuspects - 1 {
					uris = append(uris, fmt.Sprint("/other/", i, "/", k))
				}
				f.crash(i, 1, uris...)
				f.run(200 * time.Millisecond)
			}
			f.run(1300 * time.Millisecond)
			assert.Equal(t, f.quarantinedAt(sign("/bad")), n, "seed %d, %d nodes", seed, n)
			assert.Equal(t, f.quarantinedAt(sign("/other/1/1")), 0)
		}
	}
}

// TestKnownAfterStart checks that a node that starts learns from the others, and that a fleet that has lost all nodes learns
// from the store, what is quarantined.
func TestKnownAfterStart(t *testing.T) {
	f := newFleet(1, 14, 0.1)
	for i := range 3 {
		f.crash(i, 1, "/bad")
	}
	f.run(3 * time.Second)
	assert.Equal(t, len(f.store), 1)
	stored := f.store
	f.store = map[string][]byte{}
	f.start(5)
	f.run(500 * time.Millisecond)
	assert.Equal(t, f.quarantinedAt(sign("/bad")), 14)
	f.store = stored
	for i := range f.nodes {
		f.start(i)
	}
	assert.Equal(t, f.quarantinedAt(sign("/bad")), 14)
	for i := range f.nodes {
		f.nodes[i].Reload(map[string]bool{})
	}
	f.store = map[string][]byte{}
	f.run(6 * time.Second)
	assert.Equal(t, len(f.store), 1, "a record that the store has lost is written again")
	f.nodes[3].Answered(sign("/bad"), "v1")
	f.run(6 * time.Second)
	assert.Equal(t, f.quarantinedAt(sign("/bad")), 0)
	for key, value := range f.store {
		assert.Equal(t, len(value), 0, key)
	}
}

// TestAnsweredRequestTurnsBad guards against a request that was answered before it crashes each target, as after a release,
// and is excused each time.
func TestAnsweredRequestTurnsBad(t *testing.T) {
	f := newFleet(1, 3, 0)
	for i := range 3 {
		f.nodes[i].Answered(sign("/turns"), "v1")
		f.crash(i, 1, "/turns")
	}
	f.run(time.Second)
	assert.Equal(t, f.quarantinedAt(sign("/turns")), 0)
	for i := range 3 {
		f.crash(i, 2, "/turns")
	}
	f.run(time.Second)
	assert.Equal(t, f.quarantinedAt(sign("/turns")), 3)
}

// TestNewsOfEndedNode checks that a crash is passed on by the nodes that have heard of it, within the time that they have,
// although the node that noticed it ends after its first messages, most of which are lost.
func TestNewsOfEndedNode(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 40, 0.8)
		for i := range 3 {
			f.crash(i, 1, "/bad")
		}
		f.step()
		f.loss = 0
		for i := range 3 {
			f.start(i)
		}
		f.run(1200 * time.Millisecond)
		assert.Equal(t, f.quarantinedAt(sign("/bad")), 40, "seed %d", seed)
	}
}

// TestTrials checks that only one request at a time is tried by a target after two crashes.
func TestTrials(t *testing.T) {
	f := newFleet(1, 2, 0)
	f.crash(0, 1, "/bad")
	ok, trial := f.nodes[0].Enter(sign("/bad"), "v1")
	assert.Assert(t, ok && !trial)
	f.crash(0, 2, "/bad")
	ok, trial = f.nodes[0].Enter(sign("/bad"), "v1")
	assert.Assert(t, ok && trial)
	ok, _ = f.nodes[0].Enter(sign("/bad"), "v1")
	assert.Assert(t, !ok)
	f.nodes[0].Leave(sign("/bad"))
	ok, _ = f.nodes[0].Enter(sign("/bad"), "v1")
	assert.Assert(t, ok)
	f.crash(0, 3, "/bad")
	ok, _ = f.nodes[0].Enter(sign("/bad"), "v1")
	assert.Assert(t, !ok)
}

// TestBothErrors plays a day of many crashes with one request that crashes its targets, and counts how often that reaches
// a target after its third crash could be known, and how many innocent requests are withheld.
func TestBothErrors(t *testing.T) {
	const n, inFlight, span = 40, 12, 60 * time.Second
	for _, crashesPerMinute := range []int{20, 80} {
		late, withheld, offered, bad := 0, 0, 0, 0
		for seed := range uint64(5) {
			f := newFleet(seed, n, 0.05)
			incarnations := make([]int, n)
			end := func(i int, extra ...string) {
				uris := extra
				for range inFlight {
					uris = append(uris, f.popular())
				}
				incarnations[i]++
				f.crash(i, incarnations[i], uris...)
			}
			var ended []time.Duration
			for stop := f.now + span; f.now < stop; {
				f.step()
				if f.rng.Float64() < float64(crashesPerMinute)/60*0.05 {
					end(f.rng.IntN(n))
				}
				if f.rng.IntN(5) == 0 {
					if i := f.rng.IntN(n); f.nodes[i].Level(sign("/bad"), "v1") < quarantiner.Quarantined {
						end(i, "/bad")
						bad++
						ended = append(ended, f.now)
						if len(ended) > 3 && f.now-ended[2] > 3*time.Second {
							late++
						}
					}
				}
				for range 40 {
					i, s := f.rng.IntN(n), sign(f.popular())
					offered++
					if f.nodes[i].Level(s, "v1") == quarantiner.Quarantined {
						withheld++
						continue
					}
					f.nodes[i].Answered(s, "v1")
				}
			}
		}
		t.Logf("%d crashes a minute: %d crashes by the request in 5 days, %d late; %d of %d innocent requests withheld", crashesPerMinute, bad, late, withheld, offered)
		assert.Equal(t, late, 0)
		assert.Check(t, withheld*1000 <= offered, "%d of %d innocent requests withheld", withheld, offered)
	}
}

// popular returns a request, some of which are far more frequent than others.
func (f *fleet) popular() string { return fmt.Sprint("/popular/", int(f.rng.ExpFloat64()*30)) }

// TestMalformedMessages checks that malformed messages and records change nothing.
func TestMalformedMessages(t *testing.T) {
	f := newFleet(1, 2, 0)
	f.crash(0, 1, "/bad")
	toAll, _ := f.nodes[0].Messages()
	for _, raw := range toAll {
		for k := range raw {
			for _, b := range []byte{0, 0x7f, 0xc0, 0xdd, 0xff} {
				broken := slices.Clone(raw)
				broken[k] = b
				f.nodes[1].Receive(broken)
				f.nodes[1].Receive(raw[:k])
			}
		}
	}
	for _, value := range []string{"", "{", "[]", `{"crashes":[{}]}`, `{"crashes":[{"id":"x","at-ms":-1}]}`} {
		f.nodes[1].Load(isolator.KeyPrefix+"zz", []byte(value))
		f.nodes[1].Load(isolator.KeyPrefix+sign("/y").String(), []byte(value))
	}
	assert.Equal(t, f.quarantinedAt(sign("/y")), 0)
}

// FuzzReceive checks that no message ends the process.
func FuzzReceive(f *testing.F) {
	fl := newFleet(1, 2, 0)
	fl.crash(0, 1, "/bad")
	toAll, toOne := fl.nodes[0].Messages()
	for _, raw := range slices.Concat(toAll, toOne) {
		f.Add(raw)
	}
	f.Fuzz(func(_ *testing.T, raw []byte) { fl.nodes[1].Receive(raw) })
}
