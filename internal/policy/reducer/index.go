package reducer

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"
)

// index holds the decoded declarations, arranged for look-ups on the hot path.
type index struct {
	accounts map[string]Account
	services map[string]Service
	keys     map[string]Key
	routes   map[routeKey][]Route
	byName   map[string]Route
	events   map[string][]Event
}

type routeKey struct {
	method  string
	segment string
}

func newIndex(resources map[ResourceID]Resource) *index {
	x := &index{
		accounts: map[string]Account{},
		services: map[string]Service{},
		keys:     map[string]Key{},
		routes:   map[routeKey][]Route{},
		byName:   map[string]Route{},
		events:   map[string][]Event{},
	}
	for _, r := range resources {
		x.put(r)
	}
	return x
}

// with returns a copy of the index that also holds a resource. The index itself is not modified.
func (x *index) with(r Resource) *index {
	next := x.cloneFor(r.Kind)
	next.put(r)
	return next
}

// without returns a copy of the index that no longer holds a resource. The index itself is not modified.
func (x *index) without(r Resource) *index {
	next := x.cloneFor(r.Kind)
	next.remove(r)
	return next
}

// cloneFor returns a copy of the index in which the maps that hold resources of a kind are cloned.
func (x *index) cloneFor(kind Kind) *index {
	next := *x
	switch kind {
	case KindAccount:
		next.accounts = maps.Clone(x.accounts)
	case KindService:
		next.services = maps.Clone(x.services)
	case KindKey:
		next.keys = maps.Clone(x.keys)
	case KindRoute:
		next.routes = maps.Clone(x.routes)
		next.byName = maps.Clone(x.byName)
	case KindEvent:
		next.events = maps.Clone(x.events)
	}
	return &next
}

func (x *index) put(r Resource) {
	v, err := parse(r.Kind, r.Name, r.Spec)
	if err != nil {
		return
	}
	switch v := v.(type) {
	case *Account:
		x.accounts[v.Name] = *v
	case *Service:
		x.services[v.Name] = *v
	case *Key:
		x.keys[v.Hash] = *v
	case *Route:
		x.putRoute(*v)
	case *Event:
		for _, route := range v.Routes {
			x.events[route] = append(slices.Clone(x.events[route]), *v)
		}
	}
}

// putRoute adds a route. The routes of a method and first path segment are ordered by path length, longest first.
func (x *index) putRoute(r Route) {
	k := routeKey{r.Method, firstSegment(r.Path)}
	list := append(slices.Clone(x.routes[k]), r)
	slices.SortFunc(list, func(a, b Route) int {
		return cmp.Or(cmp.Compare(len(b.Path), len(a.Path)), cmp.Compare(a.Name, b.Name))
	})
	x.routes[k] = list
	x.byName[r.Name] = r
}

func (x *index) remove(r Resource) {
	v, err := parse(r.Kind, r.Name, r.Spec)
	if err != nil {
		return
	}
	switch v := v.(type) {
	case *Account:
		delete(x.accounts, v.Name)
	case *Service:
		delete(x.services, v.Name)
	case *Key:
		x.removeKey(*v)
	case *Route:
		k := routeKey{v.Method, firstSegment(v.Path)}
		x.routes[k] = slices.DeleteFunc(slices.Clone(x.routes[k]), func(o Route) bool { return o.Name == v.Name })
		delete(x.byName, v.Name)
	case *Event:
		for _, route := range v.Routes {
			x.events[route] = slices.DeleteFunc(slices.Clone(x.events[route]), func(o Event) bool { return o.Name == v.Name })
		}
	}
}

// removeKey removes a key's hash unless another key resource holds the same hash.
func (x *index) removeKey(k Key) {
	if x.keys[k.Hash].Name == k.Name {
		delete(x.keys, k.Hash)
	}
}

func firstSegment(path string) string {
	path = strings.TrimPrefix(path, "/")
	segment, _, _ := strings.Cut(path, "/")
	return segment
}

// List returns the resources of a kind, or of all kinds, ordered by kind and name.
func (s *State) List(kind Kind) []Resource {
	list := slices.Collect(maps.Values(s.Resources))
	list = slices.DeleteFunc(list, func(r Resource) bool { return kind != "" && r.Kind != kind })
	slices.SortFunc(list, func(a, b Resource) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// Account returns a declared client account.
func (s *State) Account(name string) (Account, bool) {
	a, ok := s.index.accounts[name]
	return a, ok
}

// Service returns a declared service.
func (s *State) Service(name string) (Service, bool) {
	v, ok := s.index.services[name]
	return v, ok
}

// RouteNamed returns a declared route.
func (s *State) RouteNamed(name string) (Route, bool) {
	r, ok := s.index.byName[name]
	return r, ok
}

// Route returns the declared route for a request. If several paths match, the longest one is taken.
func (s *State) Route(method, path string) (Route, bool) {
	for _, segment := range [...]string{firstSegment(path), ""} {
		for _, r := range s.index.routes[routeKey{method, segment}] {
			if matches(r.Path, path) {
				return r, true
			}
		}
	}
	return Route{}, false
}

func matches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}

// Authenticate returns the client account that a key belongs to.
func (s *State) Authenticate(key string) (Account, bool) {
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	k, ok := s.index.keys[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hash)) != 1 {
		return Account{}, false
	}
	return s.Account(k.Account)
}

// ImportanceOf returns a route's importance for an account, raised by the events in progress at now.
func (s *State) ImportanceOf(r Route, account string, now time.Time) Importance {
	imp := r.Importance
	for _, e := range s.index.events[r.Name] {
		during := !now.Before(e.Starts) && now.Before(e.Ends)
		if during && e.Importance < imp && slices.Contains(e.Accounts, account) {
			imp = e.Importance
		}
	}
	return imp
}
