package watcher

import (
	"fmt"
	"sync"

	"github.com/plantainwheel/plantainwheel/platform"
)

// maxRememberedInvalid bounds the invalid records of which a node remembers that it has logged them.
const maxRememberedInvalid = 1000

// invalidRecord identifies a record. A value written again has another offset.
type invalidRecord struct {
	topic, key string
	era        platform.Era
	offset     int64
}

// invalidRecords holds the invalid records that were found. The same record is read again after each restart of reading and
// from other nodes. It is safe for concurrent use.
type invalidRecords struct {
	mu    sync.Mutex
	found map[invalidRecord]bool
}

// add reports whether the record is new.
func (i *invalidRecords) add(r invalidRecord) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.found[r] {
		return false
	}
	if i.found == nil || len(i.found) >= maxRememberedInvalid {
		i.found = map[invalidRecord]bool{}
	}
	i.found[r] = true
	return true
}

// skip counts and logs a record that cannot be used, once. Reading goes on behind it.
func (w *Watcher) skip(topic string, r *platform.Record, err error) {
	era, _ := w.storeEras().current()
	if !w.invalid.add(invalidRecord{topic: topic, key: r.Key, era: era, offset: r.Offset}) {
		return
	}
	if w.Metrics != nil {
		w.Metrics.GetOrCreateCounter(fmt.Sprintf("store_invalid_records_total{topic=%q}", topic)).Inc()
	}
	w.Log.Warn().Err(err).Str("topic", topic).Str("key", r.Key).Int64("offset", r.Offset).Int("bytes", len(r.Value)).Msg("ignoring invalid record")
}
