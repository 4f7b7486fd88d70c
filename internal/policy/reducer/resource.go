package reducer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"time"
)

// ErrInvalid reports a declaration that fails validation.
var ErrInvalid = errors.New("invalid declaration")

// Kind names a type of declared resource.
type Kind string

// The kinds of resources that operators declare.
const (
	KindAccount Kind = "client-account"
	KindKey     Kind = "key"
	KindService Kind = "service"
	KindRoute   Kind = "route"
	KindEvent   Kind = "event"
)

// Kinds lists all kinds in the order in which declarations are applied.
var Kinds = []Kind{KindService, KindAccount, KindKey, KindRoute, KindEvent}

// Importance orders calls for load shedding: calls with a smaller value are shed after those with a larger one.
type Importance int

// The importances, from the last to be shed to the first.
const (
	Critical Importance = iota
	High
	Normal
	Low
)

// ImportanceCount is the number of Importance values.
const ImportanceCount = 4

var importanceNames = [ImportanceCount]string{"critical", "high", "normal", "low"}

// String returns the name that is used in declarations.
func (i Importance) String() string {
	if i < 0 || i >= ImportanceCount {
		return fmt.Sprintf("importance(%d)", int(i))
	}
	return importanceNames[i]
}

// MarshalText implements encoding.TextMarshaler.
func (i Importance) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *Importance) UnmarshalText(text []byte) error {
	for n, name := range importanceNames {
		if name == string(text) {
			*i = Importance(n)
			return nil
		}
	}
	return fmt.Errorf("%w: importance %q, allowed: critical, high, normal, low", ErrInvalid, text)
}

// Account is a client account with its fleet-wide rate.
type Account struct {
	Name string `json:"-"`
	// Rate is in requests per second over all VMs.
	Rate float64 `json:"rate"`
	// Burst is in requests over all VMs.
	Burst int `json:"burst"`
}

// Key authenticates callers as a client account.
type Key struct {
	Name    string `json:"-"`
	Account string `json:"account"`
	// Hash is the lower-case hexadecimal SHA-256 digest of the key.
	Hash string `json:"sha256"`
}

// Service declares a set of interchangeable targets.
type Service struct {
	Name string `json:"-"`
	// Slots is the number of requests that each target may run concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections per target.
	Connections int `json:"connections"`
}

// Route maps callers' requests to a service and declares how they are handled.
type Route struct {
	Name    string `json:"-"`
	Service string `json:"service"`
	Method  string `json:"method"`
	// Path is matched as a prefix at segment boundaries; the longest match is taken.
	Path string `json:"path"`
	// Anonymous routes accept requests without a key.
	Anonymous  bool       `json:"open,omitempty"`
	Idempotent bool       `json:"idempotent,omitempty"`
	Importance Importance `json:"importance"`
	// TimeoutMS bounds the whole request, in milliseconds.
	TimeoutMS int `json:"timeout-ms"`
}

// Event raises the importance of routes for the listed accounts, from Starts (inclusive) to Ends
// (exclusive).
type Event struct {
	Name       string     `json:"-"`
	Starts     time.Time  `json:"starts"`
	Ends       time.Time  `json:"ends"`
	Accounts   []string   `json:"client-accounts"`
	Routes     []string   `json:"routes"`
	Importance Importance `json:"importance"`
}

// Resource is a declared resource with the offset of its last accepted change.
type Resource struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Spec    json.RawMessage `json:"spec"`
}

// ResourceID identifies a resource.
type ResourceID struct {
	Kind Kind
	Name string
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	maxTimeoutMS = 600_000
	maxPerTarget = 100_000
	maxRate      = 10_000_000
)

// Validate checks a declaration's name, decodes its spec and checks each field. Unknown fields are errors.
func Validate(kind Kind, name string, spec json.RawMessage) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%w: name %q, allowed: kebab case, at most 63 characters", ErrInvalid, name)
	}
	_, err := parse(kind, name, spec)
	return err
}

type checker interface{ check() error }

func parse(kind Kind, name string, spec json.RawMessage) (any, error) {
	var decl checker
	switch kind {
	case KindAccount:
		decl = &Account{Name: name}
	case KindKey:
		decl = &Key{Name: name}
	case KindService:
		decl = &Service{Name: name}
	case KindRoute:
		decl = &Route{Name: name}
	case KindEvent:
		decl = &Event{Name: name}
	default:
		return nil, fmt.Errorf("%w: kind %q, allowed: %v", ErrInvalid, kind, Kinds)
	}
	dec := json.NewDecoder(bytes.NewReader(spec))
	dec.DisallowUnknownFields()
	if err := dec.Decode(decl); err != nil {
		return nil, fmt.Errorf("%w: %s %s: %w", ErrInvalid, kind, name, err)
	}
	if err := decl.check(); err != nil {
		return nil, fmt.Errorf("%w: %s %s: %w", ErrInvalid, kind, name, err)
	}
	return decl, nil
}

func (a *Account) check() error {
	if !(a.Rate > 0 && a.Rate <= maxRate) {
		return fmt.Errorf("rate %v, allowed: above 0, at most %d", a.Rate, maxRate)
	}
	if a.Burst < 1 || a.Burst > maxRate {
		return fmt.Errorf("burst %d, allowed: 1 to %d", a.Burst, maxRate)
	}
	return nil
}

func (k *Key) check() error {
	if k.Account == "" {
		return errors.New("account is missing")
	}
	if !hashPattern.MatchString(k.Hash) {
		return errors.New("sha256, allowed: 64 lower-case hexadecimal digits")
	}
	return nil
}

func (s *Service) check() error {
	if s.Slots < 1 || s.Slots > maxPerTarget {
		return fmt.Errorf("slots %d, allowed: 1 to %d", s.Slots, maxPerTarget)
	}
	if s.Connections < 1 || s.Connections > maxPerTarget {
		return fmt.Errorf("connections %d, allowed: 1 to %d", s.Connections, maxPerTarget)
	}
	return nil
}

var methods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

func (r *Route) check() error {
	if r.Service == "" {
		return errors.New("service is missing")
	}
	if !methods[r.Method] {
		return fmt.Errorf("method %q, allowed: GET, HEAD, POST, PUT, PATCH, DELETE", r.Method)
	}
	if r.Path == "" || r.Path[0] != '/' {
		return fmt.Errorf("path %q, allowed: starts with /", r.Path)
	}
	if r.TimeoutMS < 1 || r.TimeoutMS > maxTimeoutMS {
		return fmt.Errorf("timeout-ms %d, allowed: 1 to %d", r.TimeoutMS, maxTimeoutMS)
	}
	if r.Importance < Critical || r.Importance > Low {
		return fmt.Errorf("importance %d is out of range", r.Importance)
	}
	return nil
}

func (e *Event) check() error {
	if !e.Ends.After(e.Starts) {
		return errors.New("ends must be after starts")
	}
	if len(e.Routes) == 0 {
		return errors.New("routes is empty")
	}
	return nil
}
