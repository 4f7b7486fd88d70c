// Package quarantiner decides which requests are withheld from targets, because targets have crashed while they ran them.
//
// The node beside a target that has crashed names the requests that had begun there. Most of them are innocent. A success
// of a target that ran a request clears it of all crashes of that version that are known then. A request that no success clears is
// withheld after its third crash, and tried by one target at a time before that and some time after.
//
// Crashes and clearances only accumulate until they expire, so that nodes can exchange what they know in any order and as
// often as they like.
package quarantiner

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// trialCrashes is the number of crashes from which a request is tried by one target at a time, and quarantineCrashes
	// that from which it is withheld.
	trialCrashes      = 2
	quarantineCrashes = 3
	// firstHold is how long a request is withheld after its third crash. Each further crash doubles it, up to maxHold.
	firstHold = 2 * time.Minute
	maxHold   = time.Hour
	// suspicionLife is how long a crash counts for requests that are not quarantined, and quarantineLife for the others.
	suspicionLife  = 2 * time.Minute
	quarantineLife = 2 * time.Hour
	// MaxSuspects is the maximum number of requests that a crash names.
	MaxSuspects = 128
	// maxCrashes is the maximum number of crashes that are kept.
	maxCrashes = 256
)

// Level tells how a request may be run.
type Level int

// The levels, in increasing order of suspicion.
const (
	// Free means that the request is not suspect.
	Free Level = iota
	// Suspect means that one target has crashed while it ran the request. It is run as any other.
	Suspect
	// Trial means that one target at a time may run the request, and that no node repeats it.
	Trial
	// Quarantined means that no target may run the request.
	Quarantined
)

// Incarnation is one start of a target. Version is the version of its software, if known.
type Incarnation struct {
	ID, Service, Version string
}

// Crash is the end of an incarnation of a target while it ran requests.
type Crash struct {
	Incarnation
	// Node is the node beside the target.
	Node string
	// At is when the node noticed the crash.
	At       time.Duration
	Suspects []Verdict
}

// Verdict is what is known of a request that had begun at a target that has crashed.
type Verdict struct {
	Signature Signature
	// Cleared is set if a target has answered the request since.
	Cleared bool
}

// Run is a request that had begun at a target that has crashed.
type Run struct {
	Signature Signature
	// RequestID is the ID of the attempt.
	RequestID string
}

// Entry is a quarantined request.
type Entry struct {
	Signature Signature
	// Crashes are those that the request is not cleared of, in the order in which they were noticed.
	Crashes []Crash
}

// Table holds the known crashes. Times are durations since an arbitrary start, on a clock that also runs while the VM is
// suspended. The zero value is an empty table. It is not safe for concurrent use.
type Table struct {
	crashes map[string]*Crash
	// bySignature holds the crashes that a request is not cleared of.
	bySignature map[Signature][]*Crash
}

// Empty reports whether no crash is known.
func (t *Table) Empty() bool { return len(t.crashes) == 0 }

// Level returns how a target of the given version may run a request now. A version that has not crashed yet may have been
// mended, so it may try the request.
func (t *Table) Level(now time.Duration, s Signature, version string) Level {
	crashes := t.bySignature[s]
	n := len(crashes)
	if n < quarantineCrashes {
		n = recent(now, crashes)
	}
	switch {
	case n == 0:
		return Free
	case n < trialCrashes:
		return Suspect
	case n < quarantineCrashes || now-latest(crashes) >= hold(n) || isNew(version, crashes):
		return Trial
	default:
		return Quarantined
	}
}

// recent counts the crashes that are within suspicionLife.
func recent(now time.Duration, crashes []*Crash) int {
	n := 0
	for _, c := range crashes {
		if now-c.At < suspicionLife {
			n++
		}
	}
	return n
}

// isNew reports whether the version is known not to be among those that have crashed.
func isNew(version string, crashes []*Crash) bool {
	return version != "" && !slices.ContainsFunc(crashes, func(c *Crash) bool { return c.Version == version || c.Version == "" })
}

// hold returns how long a request is withheld after its latest crash.
func hold(crashes int) time.Duration {
	return min(firstHold<<min(crashes-quarantineCrashes, 10), maxHold)
}

func latest(crashes []*Crash) time.Duration {
	at := crashes[0].At
	for _, c := range crashes {
		at = max(at, c.At)
	}
	return at
}

// Quarantined returns the requests that have crashed as many targets as it takes to withhold them, ordered by signature.
func (t *Table) Quarantined() []Entry {
	var entries []Entry
	for s, crashes := range t.bySignature {
		if len(crashes) < quarantineCrashes {
			continue
		}
		e := Entry{Signature: s}
		for _, c := range crashes {
			e.Crashes = append(e.Crashes, Crash{Incarnation: c.Incarnation, Node: c.Node, At: c.At})
		}
		slices.SortFunc(e.Crashes, byTime)
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return slices.Compare(a.Signature[:], b.Signature[:]) })
	return entries
}

func byTime(a, b Crash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) }

// Merge adds what another node, or this one, knows of crashes, and returns the IDs of those of which something was new.
// Crashes that have expired or are not valid are ignored.
func (t *Table) Merge(now time.Duration, crashes []Crash) (changed []string) {
	for i := range crashes {
		c := &crashes[i]
		c.At = min(c.At, now)
		if c.ID == "" || len(c.Suspects) > MaxSuspects || now-c.At >= quarantineLife {
			continue
		}
		if t.mergeOne(c) {
			changed = append(changed, c.ID)
		}
	}
	if len(t.crashes) > maxCrashes {
		t.Expire(now)
	}
	return changed
}

func (t *Table) mergeOne(c *Crash) bool {
	known := t.crashes[c.ID]
	if known == nil {
		if t.crashes == nil {
			t.crashes, t.bySignature = map[string]*Crash{}, map[Signature][]*Crash{}
		}
		known = &Crash{Incarnation: c.Incarnation, Node: c.Node, At: c.At}
		t.crashes[c.ID] = known
	}
	changed := false
	for _, v := range c.Suspects {
		changed = t.mergeVerdict(known, v) || changed
	}
	return changed
}

// mergeVerdict adds a verdict to a known crash and reports whether it was new.
func (t *Table) mergeVerdict(c *Crash, v Verdict) bool {
	i := slices.IndexFunc(c.Suspects, func(o Verdict) bool { return o.Signature == v.Signature })
	switch {
	case i < 0 && len(c.Suspects) >= MaxSuspects:
		return false
	case i < 0:
		c.Suspects = append(c.Suspects, v)
		if !v.Cleared {
			t.bySignature[v.Signature] = append(t.bySignature[v.Signature], c)
		}
		return true
	case v.Cleared && !c.Suspects[i].Cleared:
		c.Suspects[i].Cleared = true
		t.unlink(c, v.Signature)
		return true
	default:
		return false
	}
}

// unlink removes a crash from those that a request is not cleared of.
func (t *Table) unlink(c *Crash, s Signature) {
	rest := slices.DeleteFunc(t.bySignature[s], func(o *Crash) bool { return o == c })
	if len(rest) == 0 {
		delete(t.bySignature, s)
		return
	}
	t.bySignature[s] = rest
}

// Clear records that a target of the given version has run the request with success. It returns the IDs of the crashes that
// the request is thereby cleared of: those of the same version, since another one may still crash.
func (t *Table) Clear(s Signature, version string) (changed []string) {
	for _, c := range slices.Clone(t.bySignature[s]) {
		if version != "" && c.Version != "" && c.Version != version {
			continue
		}
		t.mergeVerdict(c, Verdict{Signature: s, Cleared: true})
		changed = append(changed, c.ID)
	}
	return changed
}

// Expire drops the crashes that no longer count, and the oldest ones above the maximum number. Those of quarantined
// requests are kept longest.
func (t *Table) Expire(now time.Duration) {
	type kept struct {
		*Crash
		quarantined bool
	}
	var rest []kept
	for _, c := range t.crashes {
		k := kept{c, t.supportsQuarantine(c)}
		life := suspicionLife
		if k.quarantined {
			life = quarantineLife
		}
		if now-c.At >= life {
			t.drop(c)
			continue
		}
		rest = append(rest, k)
	}
	if len(rest) <= maxCrashes {
		return
	}
	slices.SortFunc(rest, func(a, b kept) int {
		switch {
		case a.quarantined == b.quarantined:
			return byTime(*a.Crash, *b.Crash)
		case a.quarantined:
			return 1
		default:
			return -1
		}
	})
	for _, k := range rest[:len(rest)-maxCrashes] {
		t.drop(k.Crash)
	}
}

// supportsQuarantine reports whether a request is quarantined because of the crash.
func (t *Table) supportsQuarantine(c *Crash) bool {
	return slices.ContainsFunc(c.Suspects, func(v Verdict) bool {
		return !v.Cleared && len(t.bySignature[v.Signature]) >= quarantineCrashes
	})
}

func (t *Table) drop(c *Crash) {
	delete(t.crashes, c.ID)
	for _, v := range c.Suspects {
		if !v.Cleared {
			t.unlink(c, v.Signature)
		}
	}
}

// Crash returns a copy of the crash with the ID, or false if it is not known.
func (t *Table) Crash(id string) (Crash, bool) {
	c := t.crashes[id]
	if c == nil {
		return Crash{}, false
	}
	out := *c
	out.Suspects = slices.Clone(c.Suspects)
	return out, true
}

// IDs returns the IDs of all known crashes, in order.
func (t *Table) IDs() []string {
	ids := make([]string, 0, len(t.crashes))
	for id := range t.crashes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Digest returns a number that is the same for tables that know the same.
func (t *Table) Digest() uint64 {
	var digest uint64
	for id, c := range t.crashes {
		for _, v := range c.Suspects {
			h := fnv.New64a()
			_, _ = h.Write([]byte(id))
			_, _ = h.Write(v.Signature[:])
			if v.Cleared {
				_, _ = h.Write([]byte{1})
			}
			digest ^= h.Sum64()
		}
	}
	return digest
}

const (
	// memoryPeriod is the time after which the older half of the answered requests is forgotten.
	memoryPeriod = time.Minute
	// maxRemembered is the maximum number of answered requests in each half.
	maxRemembered = 8192
)

// Memory remembers the requests that a target has lately answered. It is not safe for concurrent use.
type Memory struct {
	recent, older map[uint64]struct{}
	turnedAt      time.Duration
}

// Remember records that the target has answered the request.
func (m *Memory) Remember(now time.Duration, s Signature) {
	if m.recent == nil || now-m.turnedAt >= memoryPeriod || len(m.recent) >= maxRemembered {
		m.recent, m.older = make(map[uint64]struct{}), m.recent
		m.turnedAt = now
	}
	m.recent[key(s)] = struct{}{}
}

// Answered reports whether the target has lately answered the request.
func (m *Memory) Answered(s Signature) bool {
	_, recent := m.recent[key(s)]
	_, older := m.older[key(s)]
	return recent || older
}

// Forget drops a request, which then has to be answered again to count as answered.
func (m *Memory) Forget(s Signature) {
	delete(m.recent, key(s))
	delete(m.older, key(s))
}

func key(s Signature) uint64 { return binary.BigEndian.Uint64(s[:8]) }
