package generator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
)

// ErrInvalid reports a plan that fails validation.
var ErrInvalid = errors.New("invalid plan")

// Class is one class of requests in the mix.
type Class struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Share is the weight of the class in the mix; the shares need not add up to 1.
	Share      float64 `json:"share"`
	Account    string  `json:"client-account"`
	Key        string  `json:"key"`
	Importance string  `json:"importance"`
	// WithIdempotencyKey sends an Idempotency-Key, the same for all attempts of a request.
	WithIdempotencyKey bool `json:"with-id"`
	// Timeout bounds a whole request with all its attempts.
	Timeout loader.Duration `json:"timeout"`
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int `json:"attempts"`
	// Backoff is the wait before each retry. Only RespectRetryAfter can make the wait longer.
	Backoff loader.Duration `json:"backoff"`
	// RespectRetryAfter makes the client wait at least as long as the last response asks for.
	RespectRetryAfter bool `json:"obedient"`
}

// Phase sets the arrival rate from a time until the next phase.
type Phase struct {
	At loader.Duration `json:"at"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Surge marks the phase at whose end the recovery time starts.
	Surge bool `json:"surge"`
}

// Fault is a PUT request that sets the faults of a stand-in at a given time.
type Fault struct {
	At   loader.Duration `json:"at"`
	URL  string          `json:"url"`
	Body string          `json:"body"`
}

// AccountRate is the rate and burst to which a client account is entitled.
type AccountRate struct {
	Account string  `json:"client-account"`
	Rate    float64 `json:"rate"`
	Burst   int     `json:"burst"`
}

// Plan describes a load run.
type Plan struct {
	// Entries are the URLs on which the entry nodes accept requests from callers.
	Entries  []string        `json:"entries"`
	Duration loader.Duration `json:"duration"`
	Seed     uint64          `json:"seed"`
	Classes  []Class         `json:"classes"`
	Phases   []Phase         `json:"phases"`
	Faults   []Fault         `json:"faults"`
	Rates    []AccountRate   `json:"rates"`
	// MaxInFlight bounds the requests in flight; further ones are dropped. 0 means defaultMaxInFlight.
	MaxInFlight int `json:"max-open"`
}

const (
	defaultMaxInFlight = 20_000
	maxDuration        = 10 * time.Minute
	maxRate            = 100_000
)

// Validate checks a plan and sets the defaults.
func (p *Plan) Validate() error {
	if len(p.Entries) == 0 || len(p.Classes) == 0 || len(p.Phases) == 0 {
		return fmt.Errorf("%w: entries, classes and phases must not be empty", ErrInvalid)
	}
	if p.Duration.Duration <= 0 || p.Duration.Duration > maxDuration {
		return fmt.Errorf("%w: duration %s, allowed: above 0, at most %s", ErrInvalid, p.Duration, maxDuration)
	}
	for _, ph := range p.Phases {
		if ph.Rate < 0 || ph.Rate > maxRate {
			return fmt.Errorf("%w: rate %v, allowed: 0 to %d", ErrInvalid, ph.Rate, maxRate)
		}
	}
	for i := range p.Classes {
		if err := p.Classes[i].validate(); err != nil {
			return err
		}
	}
	if p.MaxInFlight == 0 {
		p.MaxInFlight = defaultMaxInFlight
	}
	return nil
}

func (c *Class) validate() error {
	if c.Share <= 0 {
		return fmt.Errorf("%w: class %s: share must be above 0", ErrInvalid, c.Name)
	}
	if c.Timeout.Duration <= 0 {
		return fmt.Errorf("%w: class %s: timeout must be above 0", ErrInvalid, c.Name)
	}
	c.MaxAttempts = max(c.MaxAttempts, 1)
	return nil
}

// arrival is a scheduled request. class and entry are indexes into the plan's Classes and Entries.
type arrival struct {
	at    time.Duration
	class int
	entry int
	// withinRate reports that the client account's rate and burst cover the request.
	withinRate bool
}

// schedule draws all arrivals in advance, from a Poisson process with the rates of the phases.
func (p *Plan) schedule() []arrival {
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	var list []arrival
	for i, ph := range p.Phases {
		end := p.Duration.Duration
		if i+1 < len(p.Phases) {
			end = p.Phases[i+1].At.Duration
		}
		if ph.Rate == 0 {
			continue
		}
		for at := ph.At.Duration; ; {
			at += time.Duration(rng.ExpFloat64() / ph.Rate * float64(time.Second))
			if at >= end {
				break
			}
			list = append(list, arrival{at: at, class: p.pickClass(rng), entry: rng.IntN(len(p.Entries))})
		}
	}
	p.markWithinRate(list)
	return list
}

func (p *Plan) pickClass(rng *rand.Rand) int {
	sum := 0.0
	for _, c := range p.Classes {
		sum += c.Share
	}
	x := rng.Float64() * sum
	for i, c := range p.Classes {
		x -= c.Share
		if x < 0 {
			return i
		}
	}
	return len(p.Classes) - 1
}

// markWithinRate runs each client account's arrivals through a token bucket with its rate and burst. All
// arrivals of an account without a rate are within the rate.
func (p *Plan) markWithinRate(list []arrival) {
	type bucket struct {
		AccountRate
		tokens float64
		at     time.Duration
	}
	buckets := map[string]*bucket{}
	for _, r := range p.Rates {
		buckets[r.Account] = &bucket{AccountRate: r, tokens: float64(r.Burst)}
	}
	for i := range list {
		b, ok := buckets[p.Classes[list[i].class].Account]
		if !ok {
			list[i].withinRate = true
			continue
		}
		b.tokens = min(float64(b.Burst), b.tokens+b.AccountRate.Rate*(list[i].at-b.at).Seconds())
		b.at = list[i].at
		if b.tokens >= 1 {
			b.tokens--
			list[i].withinRate = true
		}
	}
}
