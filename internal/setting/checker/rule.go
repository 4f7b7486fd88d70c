package checker

import (
	"slices"
	"strconv"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// checkReferences reports names that nothing declares. An incomplete file is not checked, because its invalid
// declarations may be those that are referred to.
func (c *check) checkReferences() {
	if c.incomplete {
		return
	}
	for i := range c.entries {
		e := &c.entries[i]
		switch {
		case e.key != nil:
			c.require(e, "/spec/account", reducer.KindAccount, e.key.Account)
		case e.route != nil:
			c.require(e, "/spec/service", reducer.KindService, e.route.Service)
		case e.event != nil:
			for j, name := range e.event.Accounts {
				c.require(e, "/spec/client-accounts/"+strconv.Itoa(j), reducer.KindAccount, name)
			}
			for j, name := range e.event.Routes {
				c.require(e, "/spec/routes/"+strconv.Itoa(j), reducer.KindRoute, name)
			}
		}
	}
}

func (c *check) require(e *entry, pointer string, kind reducer.Kind, name string) {
	if !c.has(kind, name) {
		c.add(e, pointer, "%s %s is not declared", kind, name)
	}
}

// checkEffects reports declarations that have no effect.
func (c *check) checkEffects(now time.Time) {
	for i := range c.entries {
		e := &c.entries[i]
		switch {
		case e.route != nil:
			c.checkHidden(e)
		case e.key != nil:
			c.checkDigest(i)
		case e.account != nil:
			used := func(o entry) bool { return o.key != nil && o.key.Account == e.id.Name }
			if !c.incomplete && !slices.ContainsFunc(c.entries, used) {
				c.add(e, "/name", "no key belongs to the client account, so that no caller can use it")
			}
		case e.service != nil:
			used := func(o entry) bool { return o.route != nil && o.route.Service == e.id.Name }
			if !c.incomplete && !slices.ContainsFunc(c.entries, used) {
				c.add(e, "/name", "no route leads to the service")
			}
		case e.event != nil:
			c.checkEvent(e, now)
		}
	}
}

// checkHidden reports a route with the method and path of another one. Of such routes, the one whose name sorts first is
// taken.
func (c *check) checkHidden(e *entry) {
	for _, o := range c.entries {
		if o.route != nil && o.id.Name < e.id.Name && o.route.Method == e.route.Method && o.route.Path == e.route.Path {
			c.add(e, "/spec/path", "never matches: route %s has the same method and path, and its name sorts first", o.id.Name)
			if e.value == nil {
				c.add(&o, "/spec/path", "hides route %s, which is in force and has the same method and path", e.id.Name)
			}
			return
		}
	}
}

// checkDigest reports a key that is declared under another name as well. The message does not contain the digest.
func (c *check) checkDigest(i int) {
	e := &c.entries[i]
	for j, o := range c.entries {
		// A key in force that the file does not declare comes later in the list, but was there first.
		earlier := j < i || o.value == nil
		if earlier && o.key != nil && o.id != e.id && o.key.Hash == e.key.Hash {
			c.add(e, "/spec/sha256", "same key as %s", o.id.Name)
			return
		}
	}
}

func (c *check) checkEvent(e *entry, now time.Time) {
	if !e.event.Ends.After(now) {
		c.add(e, "/spec/ends", "the event has ended")
	}
	if len(e.event.Accounts) == 0 {
		c.add(e, "/spec/client-accounts", "no client accounts, so that the event changes nothing")
	}
	for i, name := range e.event.Routes {
		for _, o := range c.entries {
			if o.route != nil && o.id.Name == name && e.event.Importance >= o.route.Importance {
				c.add(e, "/spec/routes/"+strconv.Itoa(i), "importance %s does not raise that of route %s, which is %s",
					e.event.Importance, name, o.route.Importance)
				break
			}
		}
	}
}

// checkLimits reports limits that contradict each other.
func (c *check) checkLimits() {
	for i := range c.entries {
		e := &c.entries[i]
		switch {
		case e.service != nil && e.service.Connections < e.service.Slots:
			c.add(e, "/spec/connections", "connections %d is below slots %d", e.service.Connections, e.service.Slots)
		case e.account != nil && e.account.Rate < 1:
			c.add(e, "/spec/rate", "rate %v is below one request a second", e.account.Rate)
		}
	}
}
