// Package matcher holds the configuration in force and finds the route and the client account of a
// request in it.
package matcher

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Config is one version of everything that operators declare.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route says where the requests of a host and path prefix go and how they are treated.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Open says that no key is asked for.
	Open bool
	// MaxTargets is the most targets that one request may be sent to.
	MaxTargets int
	// Parts are the services that share the requests by weight; there is at least one.
	Parts []Part
}

// Part is the share of a route that goes to one service.
type Part struct {
	Service string
	Weight  float64
}

// Service describes the targets of one name.
type Service struct {
	Name     string
	MaxConns int
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority takes the place of the route's where Ranked is set.
	Priority int
	Ranked   bool
	// Rate is in requests a second; 0 means no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Limits bound what a client may send.
type Limits struct {
	BodyBytes int64
	// Idle is how long a connection without requests is kept.
	Idle time.Duration
}

// Table finds routes and accounts of one configuration. It is immutable.
type Table struct {
	Config Config

	hosts map[string][]*Route
	keys  map[[sha256.Size]byte]*Account
}

// NewTable indexes a configuration.
func NewTable(c Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}, keys: map[[sha256.Size]byte]*Account{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
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

// Route returns the route with the longest prefix that begins the path, or nil.
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

// Account returns the client account that holds the key, or nil. Keys are looked up by their digest, so
// that the time taken tells nothing about the keys of others.
func (t *Table) Account(key string) *Account { return t.keys[sha256.Sum256([]byte(key))] }

// prioritySteps is more than the priorities that operators use.
const prioritySteps = 16

// Rank orders the requests of the account, which may be nil, on the route; lower goes first. An account's
// priority goes before the route's, which orders the requests of accounts that are alike.
func (r *Route) Rank(a *Account) int {
	first := r.Priority
	if a != nil && a.Ranked {
		first = a.Priority
	}
	return first*prioritySteps + min(r.Priority, prioritySteps-1)
}
