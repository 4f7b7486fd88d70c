package isolator

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/elector"
	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
)

// KeyPrefix precedes the signature in the key of a quarantined request's record in the store.
const KeyPrefix = "quarantine/"

const (
	// maxWriters is the number of nodes that may write a record, each writerDelay after the previous one if the record is
	// still missing.
	maxWriters  = 3
	writerDelay = 2 * time.Second
	// maxStored is the maximum number of records, and maxRecordCrashes that of the crashes that are read from one.
	maxStored        = 64
	maxRecordCrashes = 64
)

// storedRecord is the record of a quarantined request, from which a fleet that has lost all nodes learns of it.
type storedRecord struct {
	Crashes []storedCrash `json:"crashes"`
}

type storedCrash struct {
	ID      string `json:"id"`
	Node    string `json:"node"`
	Service string `json:"service"`
	Version string `json:"version,omitempty"`
	// AtMs is in milliseconds since the Unix epoch.
	AtMs int64 `json:"at-ms"`
}

// Record is a record that this node must write.
type Record struct {
	Key string
	// Value is empty if the record must be removed.
	Value []byte
}

// Load applies a record of the store. It ignores one that is malformed.
func (i *Isolator) Load(key string, value []byte) {
	i.init()
	s, ok := quarantiner.ParseSignature(strings.TrimPrefix(key, KeyPrefix))
	if !ok {
		return
	}
	now, wall := i.Now(), time.Now()
	var r storedRecord
	if len(value) > 0 && json.Unmarshal(value, &r) != nil {
		return
	}
	var crashes []quarantiner.Crash
	for _, c := range r.Crashes {
		if len(c.ID) > maxIDBytes || len(crashes) == maxRecordCrashes {
			continue
		}
		age := max(wall.Sub(time.UnixMilli(c.AtMs)), 0)
		crashes = append(crashes, quarantiner.Crash{
			Incarnation: quarantiner.Incarnation{ID: c.ID, Service: c.Service, Version: c.Version}, Node: c.Node, At: now - age,
			Suspects: []quarantiner.Verdict{{Signature: s}},
		})
	}
	i.mu.Lock()
	if len(value) > 0 {
		i.stored[s] = true
	} else {
		delete(i.stored, s)
	}
	i.table.Merge(now, crashes)
	i.active.Store(!i.table.Empty())
	notes := i.compare(now)
	i.mu.Unlock()
	i.logNotes(notes)
}

// Reload receives the keys of all records in the store, after it may have lost some.
func (i *Isolator) Reload(keys map[string]bool) {
	i.init()
	i.mu.Lock()
	defer i.mu.Unlock()
	for s := range i.stored {
		if !keys[KeyPrefix+s.String()] {
			delete(i.stored, s)
		}
	}
}

// Unstored returns the records that this node must write or remove now. others holds the names of the other nodes.
func (i *Isolator) Unstored(others []string) []Record {
	i.init()
	now, wall := i.Now(), time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	var records []Record
	for _, e := range i.table.Quarantined() {
		if i.stored[e.Signature] || len(i.stored)+len(records) >= maxStored || !i.writes(now, e.Signature, others) {
			continue
		}
		var r storedRecord
		for _, c := range e.Crashes {
			r.Crashes = append(r.Crashes, storedCrash{ID: c.ID, Node: c.Node, Service: c.Service, Version: c.Version, AtMs: wall.Add(c.At - now).UnixMilli()})
		}
		if raw, err := json.Marshal(r); err == nil {
			records = append(records, Record{Key: KeyPrefix + e.Signature.String(), Value: raw})
		}
	}
	for s := range i.stored {
		if !i.quarantined[s] && i.writes(now, s, others) {
			records = append(records, Record{Key: KeyPrefix + s.String()})
		}
	}
	return records
}

// writes reports whether this node writes the record of a request now.
func (i *Isolator) writes(now time.Duration, s quarantiner.Signature, others []string) bool {
	rank := slices.Index(elector.Rank(KeyPrefix+s.String(), append(slices.Clone(others), i.Self)), i.Self)
	since, ok := i.quarantinedAt[s]
	if !ok {
		since = i.startedAt
	}
	return rank >= 0 && rank < maxWriters && now-since >= time.Duration(rank)*writerDelay
}
