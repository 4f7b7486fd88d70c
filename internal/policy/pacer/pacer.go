// Package pacer limits the requests that begin at a target to the rate that the target names in its answers.
package pacer

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstPeriod is the time over which unused requests accumulate. It keeps the requests of any few seconds close to
	// the limit.
	burstPeriod = 250 * time.Millisecond
	// minBurst keeps the time between the last request and the next check for waiting ones from being lost.
	minBurst = 2
	// minLimit keeps some requests flowing, because only an answer can lift or raise a limit.
	minLimit = 0.5
	// maxLimit is the limit from which on none is applied.
	maxLimit = 100_000
	// liftDelay is the time since the latest answer with a limit after which an answer without one lifts it. Answers
	// that were produced before the limit was named may arrive later.
	liftDelay = time.Second
)

// Pacer applies the limit of one incarnation of a target. Its zero value applies none. It is not safe for concurrent
// use.
type Pacer struct {
	// limiter is nil while no limit is named.
	limiter *rate.Limiter
	namedAt time.Time
	// answered is set once an answer of the incarnation has told whether there is a limit.
	answered bool
}

// Name applies the limit, in requests per second, that an answer names.
func (p *Pacer) Name(now time.Time, limit float64) {
	p.answered = true
	p.apply(now, limit)
}

func (p *Pacer) apply(now time.Time, limit float64) {
	p.namedAt = now
	if limit >= maxLimit {
		p.limiter = nil
		return
	}
	limit = max(limit, minLimit)
	burst := max(int(limit*burstPeriod.Seconds()), minBurst)
	if p.limiter == nil {
		p.limiter = rate.NewLimiter(rate.Limit(limit), burst)
		// Requests that have begun before count as the first burst.
		p.limiter.ReserveN(now, burst)
		return
	}
	p.limiter.SetLimitAt(now, rate.Limit(limit))
	p.limiter.SetBurstAt(now, burst)
}

// Adopt applies a limit that another node knows, unless an answer has told whether there is one.
func (p *Pacer) Adopt(now time.Time, limit float64) {
	if !p.answered && p.limiter == nil {
		p.apply(now, limit)
	}
}

// Unname records an answer that names no limit.
func (p *Pacer) Unname(now time.Time) {
	p.answered = true
	if p.limiter != nil && now.Sub(p.namedAt) >= liftDelay {
		p.limiter = nil
	}
}

// Limit returns the limit that is applied, in requests per second, and whether there is one.
func (p *Pacer) Limit() (float64, bool) {
	if p.limiter == nil {
		return 0, false
	}
	return float64(p.limiter.Limit()), true
}

// Available returns the number of requests that may begin now.
func (p *Pacer) Available(now time.Time) int {
	if p.limiter == nil {
		return math.MaxInt
	}
	return max(int(p.limiter.TokensAt(now)), 0)
}

// Take records that a request begins, even if none is available.
func (p *Pacer) Take(now time.Time) {
	if p.limiter != nil {
		p.limiter.ReserveN(now, 1)
	}
}

// Release takes back a Take whose request was not sent.
func (p *Pacer) Release(now time.Time) {
	if p.limiter != nil {
		p.limiter.ReserveN(now, -1)
	}
}

// Delay returns the time until a request may begin before which the given number of others begin.
func (p *Pacer) Delay(now time.Time, ahead int) time.Duration {
	if p.limiter == nil {
		return 0
	}
	missing := float64(ahead+1) - p.limiter.TokensAt(now)
	return max(time.Duration(missing/float64(p.limiter.Limit())*float64(time.Second)), 0)
}

// Slots returns the number of requests that run at once on average at the limit, at least 1 and at most slots, given
// how long a request takes.
func (p *Pacer) Slots(slots int, holdTime time.Duration) int {
	limit, limited := p.Limit()
	if !limited {
		return slots
	}
	return max(min(int(math.Round(limit*holdTime.Seconds())), slots), 1)
}
