package generator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
)

// ErrInvalid reports a plan that does not pass its checks.
var ErrInvalid = errors.New("invalid plan")

// Class is one kind of request in the mix.
type Class struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Share is the class's part of all requests; the shares need not add up to 1.
	Share      float64 `json:"share"`
	Account    string  `json:"client-account"`
	Key        string  `json:"key"`
	Importance string  `json:"importance"`
	// WithID sends an Idempotency-Key that stays the same over the attempts.
	WithID bool `json:"with-id"`
	// Timeout bounds a whole request with all its attempts.
	Timeout loader.Duration `json:"timeout"`
	// Attempts bounds the attempts of one request.
	Attempts int `json:"attempts"`
	// Backoff is the wait before each further attempt. Without Obedient it is all the client waits.
	Backoff loader.Duration `json:"backoff"`
	// Obedient clients come back no sooner than they are told.
	Obedient bool `json:"obedient"`
}

// Phase sets the arrival rate from a time on.
type Phase struct {
	At loader.Duration `json:"at"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Surge marks the phase that the recovery is counted from.
	Surge bool `json:"surge"`
}

// Fault switches the faults of a stand-in at a time.
type Fault struct {
	At   loader.Duration `json:"at"`
	URL  string          `json:"url"`
	Body string          `json:"body"`
}

// Rate is what a client account is entitled to.
type Rate struct {
	Account string  `json:"client-account"`
	Rate    float64 `json:"rate"`
	Burst   int     `json:"burst"`
}

// Plan is a whole experiment.
type Plan struct {
	// Entries are the addresses of nodes for callers.
	Entries  []string        `json:"entries"`
	Duration loader.Duration `json:"duration"`
	Seed     uint64          `json:"seed"`
	Classes  []Class         `json:"classes"`
	Phases   []Phase         `json:"phases"`
	Faults   []Fault         `json:"faults"`
	Rates    []Rate          `json:"rates"`
	// MaxOpen bounds the requests under way.
	MaxOpen int `json:"max-open"`
}

const (
	defaultMaxOpen = 20_000
	maxDuration    = 10 * time.Minute
	maxRate        = 100_000
)

// Check validates a plan and fills in its defaults.
func (p *Plan) Check() error {
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
		if err := p.Classes[i].check(); err != nil {
			return err
		}
	}
	if p.MaxOpen == 0 {
		p.MaxOpen = defaultMaxOpen
	}
	return nil
}

func (c *Class) check() error {
	if c.Share <= 0 {
		return fmt.Errorf("%w: class %s: share must be above 0", ErrInvalid, c.Name)
	}
	if c.Timeout.Duration <= 0 {
		return fmt.Errorf("%w: class %s: timeout must be above 0", ErrInvalid, c.Name)
	}
	c.Attempts = max(c.Attempts, 1)
	return nil
}

// arrival is one request with its intended start.
type arrival struct {
	at    time.Duration
	class int
	entry int
	// within says that the account's rate and burst cover the request.
	within bool
}

// schedule fixes all arrivals in advance: a Poisson process with the rates of the phases.
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
			list = append(list, arrival{at: at, class: p.draw(rng), entry: rng.IntN(len(p.Entries))})
		}
	}
	p.entitle(list)
	return list
}

func (p *Plan) draw(rng *rand.Rand) int {
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

// entitle replays each account's arrivals against its rate and burst.
func (p *Plan) entitle(list []arrival) {
	type bucket struct {
		Rate
		level float64
		at    time.Duration
	}
	buckets := map[string]*bucket{}
	for _, r := range p.Rates {
		buckets[r.Account] = &bucket{Rate: r, level: float64(r.Burst)}
	}
	for i := range list {
		b, ok := buckets[p.Classes[list[i].class].Account]
		if !ok {
			list[i].within = true
			continue
		}
		b.level = min(float64(b.Burst), b.level+b.Rate.Rate*(list[i].at-b.at).Seconds())
		b.at = list[i].at
		if b.level >= 1 {
			b.level--
			list[i].within = true
		}
	}
}
