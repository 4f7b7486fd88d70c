package rescheduler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/prioritizer"
	"github.com/plantainwheel/plantainwheel/internal/policy/rescheduler"
	"gotest.tools/v3/assert"
)

var (
	t0    = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	class = prioritizer.Class{Route: "browse", Rank: 16}
)

func scheduler(seed uint64) *rescheduler.Scheduler {
	return &rescheduler.Scheduler{Random: rand.New(rand.NewPCG(seed, 1)).Float64}
}

func refusal(key int, rate float64) *rescheduler.Refusal {
	return &rescheduler.Refusal{
		Class: class, Key: rescheduler.Key(key), AdmittedRate: rate,
		Useful: 1100 * time.Millisecond, MaxDelay: 1600 * time.Millisecond,
	}
}

// TestFirstRefusedReturnsFirst guards against requests that wait longer than others refused after them, and against delays
// beyond what the caller waits.
func TestFirstRefusedReturnsFirst(t *testing.T) {
	s := scheduler(1)
	var reserved []time.Duration
	for i := range 200 {
		delay, ok := s.Refuse(t0, refusal(i, 100))
		assert.Assert(t, delay >= rescheduler.MinDelay && delay <= 1600*time.Millisecond, delay)
		if ok {
			reserved = append(reserved, delay)
		}
	}
	assert.Assert(t, slices.IsSorted(reserved))
	// Half of 100 requests a second, between 0.15 s and 1.1 s.
	assert.Equal(t, len(reserved), 48)
}

// TestReservation guards against a request that returns at its time and is treated as a new one, against a reservation that
// is used twice, early, late or by another class.
func TestReservation(t *testing.T) {
	s := scheduler(1)
	delay, ok := s.Refuse(t0, refusal(7, 100))
	assert.Assert(t, ok)
	at := t0.Add(delay)
	other := prioritizer.Class{Route: "order", Rank: 0}
	assert.Assert(t, !s.Return(at, class, 8))
	assert.Assert(t, !s.Return(at, other, 7))
	assert.Assert(t, !s.Return(at.Add(-100*time.Millisecond), class, 7))
	assert.Assert(t, s.Return(at, class, 7))
	assert.Assert(t, !s.Return(at, class, 7))

	delay, ok = s.Refuse(at, refusal(9, 100))
	assert.Assert(t, ok)
	assert.Assert(t, !s.Return(at.Add(delay+2*time.Second), class, 9))
}

// TestNothingAdmitted guards against reservations that cannot be honoured: while nothing of the class is admitted, nobody
// gets one.
func TestNothingAdmitted(t *testing.T) {
	s := scheduler(1)
	for i := range 100 {
		_, ok := s.Refuse(t0, refusal(i, 0))
		assert.Assert(t, !ok)
	}
	// A caller that leaves soon is not told a longer delay than it waits.
	delay, ok := s.Refuse(t0, &rescheduler.Refusal{Class: class, Key: 1, AdmittedRate: 10, Useful: time.Second, MaxDelay: 50 * time.Millisecond})
	assert.Assert(t, !ok && delay == 50*time.Millisecond, delay)
}

// TestReservationsAreBounded guards against memory that grows with refusals, and against reservations that are kept for
// callers that never return.
func TestReservationsAreBounded(t *testing.T) {
	s := scheduler(1)
	for i := range 100_000 {
		s.Refuse(t0, refusal(i, 1e6))
	}
	assert.Assert(t, s.Reservations() <= 4096, s.Reservations())
	s.Refuse(t0.Add(10*time.Second), refusal(-1, 1))
	assert.Equal(t, s.Reservations(), 1)
}

// TestReturningWave replays a burst of 2.5 times the capacity of 100 requests a second for 3 s, with callers that return
// once. It guards against callers that are told a time at which they are refused again although it was reserved, against a
// returning wave that takes more than the capacity, and against one that goes on after the burst. Without
// reservations, more callers are refused twice.
func TestReturningWave(t *testing.T) {
	planned, random := replayBurst(true), replayBurst(false)
	assert.Equal(t, planned.brokenReservations, 0)
	assert.Assert(t, planned.admitted <= 302, planned.admitted)
	// Callers that are refused in the burst return within 1.6 s of its end, and those that these displace 1.6 s later.
	assert.Assert(t, planned.last <= 3*time.Second+2*1600*time.Millisecond, planned.last)
	assert.Assert(t, planned.refusedTwice < random.refusedTwice, "refused twice: %d with reservations, %d at random", planned.refusedTwice, random.refusedTwice)
}

type outcome struct {
	// admitted counts the requests admitted during the burst.
	admitted, refusedTwice, brokenReservations int
	// last is when the last caller returned.
	last time.Duration
}

func replayBurst(reserve bool) outcome {
	const capacity, step, burst = 100.0, time.Millisecond, 3 * time.Second
	s := scheduler(3)
	random := rand.New(rand.NewPCG(5, 5))
	type caller struct {
		key      int
		reserved bool
	}
	returning := map[time.Duration][]caller{}
	var out outcome
	credit, arrivals, id := 0.0, 0.0, 0
	admit := func(now time.Duration, key int) bool {
		switch {
		case reserve && s.Return(t0.Add(now), class, rescheduler.Key(key)):
		case credit < 1:
			return false
		}
		credit--
		if now < burst {
			out.admitted++
		}
		return true
	}
	for now := time.Duration(0); now < 6*time.Second; now += step {
		credit = min(credit+capacity*step.Seconds(), 2)
		load := 0.5
		if now < burst {
			load = 2.5
		}
		for arrivals += load * capacity * step.Seconds(); arrivals >= 1; arrivals-- {
			id++
			if admit(now, id) {
				continue
			}
			delay, reserved := s.Refuse(t0.Add(now), refusal(id, capacity))
			if !reserve {
				delay, reserved = time.Duration((0.4+0.4*random.Float64())*float64(time.Second)), false
			}
			// Callers round the delay to hundredths of a second.
			back := (now + delay).Round(10 * time.Millisecond)
			returning[back] = append(returning[back], caller{id, reserved})
			out.last = max(out.last, back)
		}
		for _, c := range returning[now] {
			if admit(now, c.key) {
				continue
			}
			out.refusedTwice++
			if c.reserved {
				out.brokenReservations++
			}
		}
	}
	return out
}

func BenchmarkRefuseAndReturn(b *testing.B) {
	s := scheduler(1)
	b.ReportAllocs()
	now := t0
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		delay, _ := s.Refuse(now, refusal(i, 300))
		s.Return(now.Add(delay), class, rescheduler.Key(i))
	}
}
