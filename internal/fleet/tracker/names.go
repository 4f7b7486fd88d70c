package tracker

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/tinylib/msgp/msgp"
)

const (
	// maxNames is the number of names that are kept. Names of targets change, so when there are more, all are dropped after
	// missesToDrop look-ups of names that are not kept.
	maxNames     = 8192
	missesToDrop = 16 * maxNames
	// maxNameBytes is the length above which a string is not kept, so that the kept ones take at most 2 MB.
	maxNameBytes = 256
)

// names holds the strings of received reports. Reports of a fleet name the same nodes, routes, services and accounts
// hundreds of times a second, and without this two thirds of the allocations of a report were names. It is shared by all
// trackers of a process.
var names nameTable

// nameTable is a set of strings. It is safe for concurrent use.
type nameTable struct {
	// known is replaced, never changed, so that it can be read without a lock.
	known atomic.Pointer[map[string]string]
	mu    sync.Mutex
	// fresh holds the names that known lacks, and misses counts the look-ups since then of names that
	// known lacks. Copying known when these are as many as it holds costs a constant time for each.
	fresh  map[string]string
	misses int
}

// get returns raw as a string.
func (t *nameTable) get(raw []byte) string {
	if name, ok := t.held()[string(raw)]; ok {
		return name
	}
	if len(raw) > maxNameBytes {
		return string(raw)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.misses++
	name, ok := t.fresh[string(raw)]
	if !ok {
		name = string(raw)
		t.add(name)
	}
	t.publish()
	return name
}

// add keeps a name unless there are too many. t.mu must be held.
func (t *nameTable) add(name string) {
	if len(t.held())+len(t.fresh) >= maxNames {
		return
	}
	if t.fresh == nil {
		t.fresh = map[string]string{}
	}
	t.fresh[name] = name
}

// held returns the known names, which must not be changed.
func (t *nameTable) held() map[string]string {
	if known := t.known.Load(); known != nil {
		return *known
	}
	return nil
}

// publish adds the fresh names to the known ones once they have been looked up often. t.mu must be held.
func (t *nameTable) publish() {
	known := t.held()
	switch {
	case len(t.fresh) > 0 && t.misses > len(known):
		next := make(map[string]string, len(known)+len(t.fresh))
		maps.Copy(next, known)
		maps.Copy(next, t.fresh)
		t.known.Store(&next)
	case len(t.fresh) == 0 && t.misses > missesToDrop:
		t.known.Store(nil)
	default:
		return
	}
	t.fresh, t.misses = nil, 0
}

// readName reads a string of a report. The generated decoders call it instead of msgp.ReadStringBytes.
func readName(raw []byte) (name string, rest []byte, err error) {
	text, rest, err := msgp.ReadStringZC(raw)
	if err != nil {
		return "", raw, err
	}
	return names.get(text), rest, nil
}
