// Package matcher indexes a configuration and looks up the route and the client account of a request.
package matcher

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route defines where requests with a host and a path prefix are sent and how they are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent reports whether a request may safely run more than once.
	Idempotent bool
	// Timeout is the maximum time that a caller waits for an answer.
	Timeout time.Duration
	// Objective is the response time up to which an answer has its full value.
	Objective time.Duration
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Anonymous reports whether requests are accepted without a key.
	Anonymous bool
	// MaxTargets is the maximum number of targets that one request may be sent to.
	MaxTargets int
	// Parts are the services among which the requests are split by weight. There is at least one.
	Parts []Part
}

// Part is one service's share of a route.
type Part struct {
	Service string
	Weight  float64
}

// Service describes the targets of one service.
type Service struct {
	Name     string
	MaxConns int
	// WarmUp is the time for which a target is cold after it has started during traffic.
	WarmUp time.Duration
	// ColdPerSecond is the number of requests per second that a cold target tolerates, or 0 if it is not limited.
	ColdPerSecond float64
	// HealthPath is the path of the targets' health endpoint, or empty.
	HealthPath string
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the rate limit in requests per second. 0 means no limit.
	Rate float64
	// Burst is the permitted burst in requests.
	Burst float64
}

// Limits holds the limits on the requests and connections of clients. A limit of 0 is not set.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the maximum time that the header of a request may take.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept open.
	IdleTimeout time.Duration
}

// Table looks up the routes and client accounts of one configuration. It is immutable.
type Table struct {
	Config Config

	hosts    map[string][]*Route
	names    map[string]*Route
	keys     map[[sha256.Size]byte]*Account
	services map[string]Service
}

// NewTable indexes a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Config: c, hosts: map[string][]*Route{}, names: map[string]*Route{}, keys: map[[sha256.Size]byte]*Account{},
		services: map[string]Service{},
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		t.names[r.Name] = r
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		for _, key := range a.Keys {
			t.keys[sha256.Sum256([]byte(key))] = a
		}
		a.Keys = nil
	}
	return t
}

// Route returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Named returns the route with the name, or nil.
func (t *Table) Named(name string) *Route { return t.names[name] }

// Account returns the client account that holds the key, or nil. Keys are looked up by their digest, so that the
// duration of a lookup reveals nothing about the keys of other accounts.
func (t *Table) Account(key string) *Account { return t.keys[sha256.Sum256([]byte(key))] }

// Service returns the service of this name. It is zero but for the name if the configuration has none.
func (t *Table) Service(name string) Service {
	s := t.services[name]
	s.Name = name
	return s
}

// prioritySteps is the number of distinct priorities of a route within one account priority. It is larger than any
// priority that operators use.
const prioritySteps = 16

// Rank returns the rank of the account's requests on the route. The lowest rank is served first. The account may be
// nil. An account's priority takes precedence over the route's priority, which orders the requests of accounts with
// equal priority.
func (r *Route) Rank(a *Account) int {
	priority := r.Priority
	if a != nil && a.HasPriority {
		priority = a.Priority
	}
	return priority*prioritySteps + min(r.Priority, prioritySteps-1)
}

// MayHaveRank reports whether requests of the account, on any route, may have the rank.
func (a *Account) MayHaveRank(rank int) bool {
	priority := rank / prioritySteps
	if a.HasPriority {
		return a.Priority == priority
	}
	return rank%prioritySteps == min(priority, prioritySteps-1)
}
