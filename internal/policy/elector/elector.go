// Package elector decides from where a node reads a topic of the store: at the store itself, or from another node of
// its data centre that reads the store for its neighbours.
//
// If every node reads the store, the number of calls grows with the fleet. So the nodes of a data centre are ranked by
// a hash of their names, without any agreement, and each node asks the first one that answers. A node that is asked
// reads the store itself, so nodes with different views of the members cannot wait for each other.
//
// A node that is asked may have lost the store, or may not answer, and so may the next ones. Where records must be known
// within a bound, a node therefore goes by the age of its latest proof that it knows the newest ones, over the whole chain
// of sources: at one age it gives its question up and asks the next node, which reads the store for all that do so, and at a
// second one it reads the store itself.
package elector

import (
	"slices"
	"time"
)

const (
	// maxRanked is the number of nodes that a node asks before it reads the store itself. More would all begin to read
	// the store during an outage.
	maxRanked = 3
	// maxRankedWithoutStore is the number of nodes that it asks if the store turns it away.
	maxRankedWithoutStore = 8
	// askedPeriod is how long a node reads the store itself after another node has asked it.
	askedPeriod = 3 * time.Second
	// staleBackoff is the mean time after which a node is asked again that answered but had not reached the store.
	staleBackoff = 400 * time.Millisecond
	// minNodeBackoff and maxNodeBackoff bound the mean time after which a node is asked again that did not answer.
	minNodeBackoff = 2 * time.Second
	maxNodeBackoff = 16 * time.Second
	// minReaderBackoff and maxReaderBackoff bound the mean pause between failed calls of the store by a node that reads
	// it for others, minFollowerBackoff and maxFollowerBackoff that of the others, of which there are many more.
	minReaderBackoff   = 100 * time.Millisecond
	maxReaderBackoff   = 800 * time.Millisecond
	minFollowerBackoff = time.Second
	maxFollowerBackoff = 8 * time.Second
)

// Store is the source that stands for the store itself. No node has this name.
const Store = ""

// Failure tells how a source has failed.
type Failure int

// The failures of a source.
const (
	// Silent means that no answer came, or one that cannot be used.
	Silent Failure = iota
	// Stale means that the node answered, but that its latest read of the store is too old.
	Stale
)

// Choice is a source to read from now.
type Choice struct {
	// Source is Store or the name of a node.
	Source string
	// Pause is the time to wait before the next choice if there is no source at present.
	Pause time.Duration
	// Overdue is set if the latest proof has reached its maximum age. The source must then prove what is newest at once.
	Overdue bool
	// Until, if not 0, is when a read from another node is given up.
	Until time.Duration
}

// Elector chooses the source of one topic. All times are readings of one clock. It is not safe for concurrent use.
type Elector struct {
	// Self is the name of this node.
	Self string
	// MaxAge, if not 0, is the age of the latest proof at which a question to another node is given up and the next one is
	// asked. StoreAge is that at which the store is read whatever other sources there are.
	MaxAge   time.Duration
	StoreAge time.Duration

	failures   map[string]failure
	askedUntil time.Duration
	// reading is set while the latest choice made this node a reader for others, or left it alone.
	reading bool
	// provenAt is the time of the latest proof, if there is one.
	provenAt time.Duration
	proven   bool
}

// failure is a source that has failed.
type failure struct {
	how     Failure
	at      time.Duration
	until   time.Duration
	backoff time.Duration
}

// Choose returns the source, given the names of the other nodes of the data centre that respond.
func (e *Elector) Choose(now time.Duration, others []string) Choice {
	ranked := Rank("", append(slices.Clone(others), e.Self))
	first := slices.IndexFunc(ranked, func(n string) bool { return n != e.Self && !e.failed(now, n) })
	own := slices.Index(ranked, e.Self)
	e.reading = now < e.askedUntil || own >= 0 && own < maxRanked && (first < 0 || own < first) || len(others) == 0
	storeFailed := e.failed(now, Store)
	choice := Choice{Overdue: e.Overdue(now), Until: e.until(now)}
	// Another node may have reached the store since this one failed to.
	storeDue := choice.Overdue && choice.Until == 0 && (!storeFailed || e.provenAt > e.failures[Store].at)
	switch {
	case e.reading && !storeFailed, storeDue:
		choice.Source = Store
	case first >= 0 && (e.passed(ranked[:first]) < maxRanked || storeFailed):
		choice.Source = ranked[first]
	case !storeFailed:
		choice.Source = Store
	default:
		choice.Pause = e.nextRetry(now)
	}
	return choice
}

// passed counts the nodes, all of which have failed, towards maxRanked. Where the age of the latest proof bounds the time
// that is lost with nodes that do not answer, these do not count: only nodes that answer tell of an outage of the store.
func (e *Elector) passed(failed []string) int {
	if e.MaxAge == 0 {
		return len(failed)
	}
	n := 0
	for _, name := range failed {
		if name == e.Self || e.failures[name].how == Stale {
			n++
		}
	}
	return n
}

// Overdue reports whether the latest proof has reached its maximum age.
func (e *Elector) Overdue(now time.Duration) bool {
	return e.MaxAge > 0 && e.proven && now-e.provenAt >= e.MaxAge
}

// until returns when a question to another node is given up, or 0 if it is not because of the latest proof.
func (e *Elector) until(now time.Duration) time.Duration {
	if e.MaxAge == 0 || !e.proven {
		return 0
	}
	for _, age := range [...]time.Duration{e.MaxAge, e.StoreAge} {
		if now < e.provenAt+age {
			return e.provenAt + age
		}
	}
	return 0
}

// Proven records that a reading proves which records were the newest at the given time.
func (e *Elector) Proven(at time.Duration) { e.provenAt, e.proven = max(e.provenAt, at), true }

// Rank returns the first of the nodes, maxRankedWithoutStore at most, in an order by a hash of their names that is the
// same on all nodes. Each purpose has another order, so that not all work falls on the same nodes.
func Rank(purpose string, nodes []string) []string {
	first := make([]string, 0, maxRankedWithoutStore+1)
	hashes := make([]uint64, 0, maxRankedWithoutStore+1)
	for _, n := range nodes {
		h := hash(purpose, n)
		i := len(first)
		for i > 0 && (h < hashes[i-1] || h == hashes[i-1] && n < first[i-1]) {
			i--
		}
		if i == maxRankedWithoutStore {
			continue
		}
		first, hashes = slices.Insert(first, i, n), slices.Insert(hashes, i, h)
		first, hashes = first[:min(len(first), maxRankedWithoutStore)], hashes[:min(len(hashes), maxRankedWithoutStore)]
	}
	return first
}

// hash is the 64-bit FNV-1a hash of both texts.
func hash(purpose, name string) uint64 {
	h := uint64(14695981039346656037)
	for _, text := range [...]string{purpose, name} {
		for i := range len(text) {
			h = (h ^ uint64(text[i])) * 1099511628211
		}
	}
	return h
}

func (e *Elector) failed(now time.Duration, source string) bool {
	return now < e.failures[source].until
}

// nextRetry returns the time until the first failed source may be tried again.
func (e *Elector) nextRetry(now time.Duration) time.Duration {
	next := maxNodeBackoff
	for _, f := range e.failures {
		if f.until > now {
			next = min(next, f.until-now)
		}
	}
	return next
}

// Asked records that another node reads from this one. It reports whether this node did not read the store for others
// before.
func (e *Elector) Asked(now time.Duration) bool {
	first := now >= e.askedUntil && !e.reading
	e.askedUntil = now + askedPeriod
	return first
}

// StoreFailed reports whether the store has failed recently, so that this node has nothing newer to tell.
func (e *Elector) StoreFailed(now time.Duration) bool { return e.failed(now, Store) }

// StorePause returns the time until the store may be called again.
func (e *Elector) StorePause(now time.Duration) time.Duration {
	return max(e.failures[Store].until-now, 0)
}

// Succeeded records that a read from the source has succeeded.
func (e *Elector) Succeeded(source string) { delete(e.failures, source) }

// Failed records that a read from the source has failed. jitter, between 0 and 1, spreads the retries of the nodes.
func (e *Elector) Failed(now time.Duration, source string, how Failure, jitter float64) {
	if e.failures == nil {
		e.failures = map[string]failure{}
	}
	f := e.failures[source]
	lowest, highest := minNodeBackoff, maxNodeBackoff
	switch {
	case source == Store && e.reading:
		lowest, highest = minReaderBackoff, maxReaderBackoff
	case source == Store:
		lowest, highest = minFollowerBackoff, maxFollowerBackoff
	case how == Stale:
		lowest, highest = staleBackoff, staleBackoff
	}
	f.backoff = min(max(2*f.backoff, lowest), highest)
	f.how, f.at = how, now
	f.until = now + time.Duration((0.5+jitter)*float64(f.backoff))
	e.failures[source] = f
}
