// Package warmer paces the requests to a target that is cold or possibly cold, so that it gets no more requests in any
// second than a cold target tolerates.
package warmer

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// jitterFactor is the time, in seconds, in which requests may be sent that reach the target within one second.
	jitterFactor = 1.25
	// reserve is the part of the bound that is left for health requests and for the requests at both ends of a second.
	reserve = 3
	// minBoundShare is the share of a very small bound that is used as the rate.
	minBoundShare = 0.25
	// HealthInterval is the minimum time between two health requests. It is more than half a second, so that no second
	// contains three.
	HealthInterval = 510 * time.Millisecond
	// announcementDelay is the time for which an announcement may be under way, since a target gives it up after that.
	announcementDelay = time.Second
	// silenceTimeout is the time without a statement after which a target counts as silent. Announcements come every 1.5 s
	// and may be late.
	silenceTimeout = 4 * time.Second
)

// Terms are what a cold target of a service tolerates. The zero value means that the service has no such limit.
type Terms struct {
	// PerSecond is the number of requests per second that a cold target tolerates.
	PerSecond float64
	// Excess and Slack bound the requests of any one second to PerSecond x Excess + Slack.
	Excess float64
	Slack  float64
	// Unknown is set while the configuration is not known. A cold target then gets no requests.
	Unknown bool
}

// Apply reports whether cold targets of the service are paced.
func (t Terms) Apply() bool { return t.PerSecond > 0 || t.Unknown }

// Pace returns the rate in requests per second and the burst in requests that keep each second within the bound.
func (t Terms) Pace() (limit float64, burst int) {
	bound := t.PerSecond*t.Excess + t.Slack
	free := bound - reserve - jitterFactor*t.PerSecond
	if free >= 1 {
		return t.PerSecond, int(free)
	}
	return min(max((bound-reserve-1)/jitterFactor, minBoundShare*bound), t.PerSecond), 1
}

// Warmer decides how many requests may be sent to one target. Requests are reserved when they get a slot and taken when
// they are sent, because the target may turn cold in between. Its zero value paces nothing. It is not safe for concurrent
// use.
type Warmer struct {
	terms    Terms
	limiter  *rate.Limiter
	reserved int
	// coldUntil is the end of the warm-up as the target has last stated it.
	coldUntil time.Time
	// possiblyCold is set from doubtedAt on until a later statement.
	possiblyCold bool
	doubtedAt    time.Time
	statedAt     time.Time
	// askedAt is the time of the latest health request, answeredAt that of the latest health response.
	askedAt    time.Time
	answeredAt time.Time
}

// SetTerms sets the terms that apply from now on.
func (w *Warmer) SetTerms(now time.Time, t Terms) {
	if t == w.terms {
		return
	}
	w.terms = t
	if !t.Apply() {
		w.possiblyCold = false
	}
	w.empty(now)
}

// empty starts the pace without a burst. What an earlier process or an earlier state has sent within the same second is
// then within the bound too.
func (w *Warmer) empty(now time.Time) {
	w.limiter = nil
	if w.terms.PerSecond <= 0 {
		return
	}
	limit, burst := w.terms.Pace()
	w.limiter = rate.NewLimiter(rate.Limit(limit), burst)
	w.limiter.ReserveN(now, burst)
}

// Cold reports whether the target is cold or possibly cold and therefore paced.
func (w *Warmer) Cold(now time.Time) bool {
	return w.terms.Apply() && (w.possiblyCold || now.Before(w.coldUntil))
}

// PossiblyCold reports whether the target's condition is unknown.
func (w *Warmer) PossiblyCold() bool { return w.possiblyCold }

// Doubt records that the target may have become cold, for example because a connection to it broke.
func (w *Warmer) Doubt(now time.Time) {
	if !w.terms.Apply() {
		return
	}
	cold := w.Cold(now)
	w.possiblyCold, w.doubtedAt = true, now
	if !cold {
		w.empty(now)
	}
}

// Announced records an announcement that the target remains cold for warmUp. fresh is set for the first announcement of
// an incarnation. An announcement that may have been under way when the condition became doubtful, or when the target
// answered a health request, does not show that the target is warm.
func (w *Warmer) Announced(now time.Time, warmUp time.Duration, fresh bool) {
	outdated := now.Sub(w.answeredAt) < announcementDelay || (w.possiblyCold && now.Sub(w.doubtedAt) < announcementDelay)
	if !fresh && outdated && now.Add(warmUp).Before(w.coldUntil) {
		warmUp = w.coldUntil.Sub(now)
	}
	w.state(now, warmUp, fresh || !outdated)
}

// Answered records a health response that the target remains cold for warmUp. The health request was sent at asked.
func (w *Warmer) Answered(now, asked time.Time, warmUp time.Duration) {
	w.answeredAt = now
	w.state(now, warmUp, !asked.Before(w.doubtedAt))
}

func (w *Warmer) state(now time.Time, warmUp time.Duration, certain bool) {
	cold := w.Cold(now)
	w.statedAt = now
	w.coldUntil = now.Add(warmUp)
	if certain {
		w.possiblyCold = false
	}
	if !cold && w.Cold(now) {
		w.empty(now)
	}
}

// Tick makes a silent target possibly cold.
func (w *Warmer) Tick(now time.Time) {
	if !w.possiblyCold && !w.statedAt.IsZero() && now.Sub(w.statedAt) > silenceTimeout {
		w.Doubt(now)
	}
}

// Ask reports whether a health request is due, which must then be sent at once. It counts as a request.
func (w *Warmer) Ask(now time.Time) bool {
	if !w.possiblyCold || now.Sub(w.askedAt) < HealthInterval {
		return false
	}
	w.askedAt = now
	if w.limiter != nil {
		w.limiter.ReserveN(now, 1)
	}
	return true
}

// Available returns the number of requests that may begin now.
func (w *Warmer) Available(now time.Time) int {
	switch {
	case !w.Cold(now):
		return math.MaxInt
	case w.limiter == nil:
		return 0
	}
	return max(int(w.limiter.TokensAt(now))-w.reserved, 0)
}

// Reserve records that a request begins, even if none is available. Release must be called when it is sent or given up.
func (w *Warmer) Reserve() { w.reserved++ }

// Release ends a reservation.
func (w *Warmer) Release() { w.reserved = max(w.reserved-1, 0) }

// Take reports whether a request may be sent now, and records it if so.
func (w *Warmer) Take(now time.Time) bool {
	switch {
	case !w.Cold(now):
		return true
	case w.limiter == nil:
		return false
	}
	return w.limiter.AllowN(now, 1)
}

// Delay returns the time until a request may begin before which the given number of others begin.
func (w *Warmer) Delay(now time.Time, ahead int) time.Duration {
	switch {
	case !w.Cold(now):
		return 0
	case w.limiter == nil:
		return math.MaxInt64
	}
	missing := float64(ahead+1+w.reserved) - w.limiter.TokensAt(now)
	return max(time.Duration(missing/float64(w.limiter.Limit())*float64(time.Second)), 0)
}

// Slots returns the number of requests that run at once on average at the pace, at least 1 and at most slots, given how
// long a request takes.
func (w *Warmer) Slots(now time.Time, slots int, holdTime time.Duration) int {
	if !w.Cold(now) {
		return slots
	}
	return Slots(w.terms.PerSecond, slots, holdTime)
}

// Slots returns the number of requests that run at once on average at the given rate per second, at least 1 and at most
// slots.
func Slots(perSecond float64, slots int, holdTime time.Duration) int {
	return max(min(int(math.Round(perSecond*holdTime.Seconds())), slots), 1)
}
