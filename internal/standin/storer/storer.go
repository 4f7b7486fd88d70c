// Package storer is an in-memory stand-in for the users' store of keyed topics, with faults that tests can set.
package storer

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/platform"
)

// Store holds keyed topics with one partition each. It is safe for concurrent use.
type Store struct {
	// PageSize is the maximum number of records in an answer to log-newest; 0 means no maximum. It is set before the
	// first request.
	PageSize int

	mu     sync.Mutex
	topics map[string]*topic
	faults Faults
	reads  int
	// restores counts the calls of Restore, writes those of put.
	restores int64
	writes   int64
}

// firstEra is the era before the first restore.
const firstEra = 1

// Faults are the faults that the store injects. They can be changed while it runs.
type Faults struct {
	// Unavailable rejects every request with status 503.
	Unavailable bool
	// Hang leaves every request without a response until the client gives up.
	Hang bool
	// DropResponses is the number of subsequent appends that get no response but take effect after AppendDelay.
	DropResponses int
	// AppendDelay is the delay after which the appends counted by DropResponses take effect.
	AppendDelay time.Duration
}

type topic struct {
	// records holds all records since the topic was created, by offset. Those before first have expired.
	records []record
	first   int64
	// newest holds the newest record of each key that is not deleted.
	newest map[string]record
	// changed is closed and replaced whenever the records change.
	changed chan struct{}
}

type record struct {
	offset int64
	key    string
	value  []byte
	at     time.Time
	// order is the position of the write among all writes. A record that is written again keeps it.
	order int64
}

// end returns the offset after the last record.
func (t *topic) end() int64 { return int64(len(t.records)) }

// notify wakes the reads that wait for a change.
func (t *topic) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// add appends a record.
func (t *topic) add(r record) {
	r.offset = t.end()
	t.records = append(t.records, r)
	t.newest[r.key] = r
	if len(r.value) == 0 {
		delete(t.newest, r.key)
	}
}

// truncate drops the records that were appended after the given time and returns them.
func (t *topic) truncate(at time.Time) []record {
	n := slices.IndexFunc(t.records, func(r record) bool { return r.at.After(at) })
	if n < 0 {
		return nil
	}
	kept, lost := t.records[:n], slices.Clone(t.records[n:])
	t.records = nil
	t.newest = map[string]record{}
	for _, r := range kept {
		t.add(r)
	}
	t.first = min(t.first, t.end())
	return lost
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Reads returns the number of log-read requests received, except those that failed because of a fault.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Put appends a record directly, regardless of the faults. An empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(name, key, value)
}

func (s *Store) put(name, key string, value []byte) {
	s.writes++
	s.add(name, record{key: key, value: value, order: s.writes})
}

func (s *Store) add(name string, r record) {
	t := s.topic(name)
	r.at = time.Now()
	t.add(r)
	t.notify()
}

// Lost is a record of the operator that a restore has lost.
type Lost struct {
	topic  string
	record record
}

// Restore replaces the contents by a copy made at the given time and begins a new era. Records appended since are
// lost, and their offsets are given out again. Waiting reads are broken off. It returns the lost records of the
// operator, for WriteAgain.
func (s *Store) Restore(at time.Time) []Lost {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restores++
	var lost []Lost
	for name, t := range s.topics {
		for _, r := range t.truncate(at) {
			if name == platform.ConfigTopic {
				lost = append(lost, Lost{topic: name, record: r})
			}
		}
		t.notify()
	}
	return lost
}

// WriteAgain appends the lost records, except those whose key has a newer value.
func (s *Store) WriteAgain(lost []Lost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range lost {
		if s.topic(l.topic).newest[l.record.key].order < l.record.order {
			s.add(l.topic, l.record)
		}
	}
}

// Newest returns the newest value of a key, or nil if the key is absent or deleted.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

// Compact removes all records from the log of a topic. The newest values stay available through log-newest.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = t.end()
	t.notify()
}

// topic returns a topic and creates it on first use. The caller holds mu.
func (s *Store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// ServeHTTP implements the HTTP API of the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	w.Header().Set(platform.EraHeader, strconv.FormatInt(firstEra+s.restores, 10))
	s.mu.Unlock()
	switch {
	case f.Hang:
		// net/http cancels the context on a client disconnect only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r, name)
	case "/-/log-read":
		s.read(w, r, name)
	case "/-/log-newest":
		s.writeNewest(w, name, r.URL.Query().Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// append appends the record in the request body: a length of 4 bytes, which it ignores, the key length in one byte, the
// key and the value.
func (s *Store) append(w http.ResponseWriter, r *http.Request, name string) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || len(raw) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n := int(raw[4])
	key, value := string(raw[5:5+n]), raw[5+n:]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		time.AfterFunc(s.faults.AppendDelay, func() { s.Put(name, key, value) })
		panic(http.ErrAbortHandler)
	}
	s.put(name, key, value)
	_, _ = w.Write([]byte(`{"offset":0,"end":1}`))
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	restores := s.restores
	t := s.topic(name)
	for waiting := true; waiting && from == t.end(); t = s.topic(name) {
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-timeout:
			waiting = false
		}
		s.mu.Lock()
		if r.Context().Err() != nil || s.restores != restores {
			panic(http.ErrAbortHandler)
		}
	}
	if from < t.first || from > t.end() {
		w.WriteHeader(http.StatusGone)
		return
	}
	raw := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.first))
	for _, rec := range t.records[from:] {
		raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(rec.key)+len(rec.value)))
		raw = append(append(append(raw, byte(len(rec.key))), rec.key...), rec.value...)
	}
	_, _ = w.Write(raw)
}

// writeNewest writes the page of the newest records whose keys follow the given one.
func (s *Store) writeNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	items := []item{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if after != "" && key <= after {
			continue
		}
		if s.PageSize > 0 && len(items) == s.PageSize {
			more = true
			break
		}
		items = append(items, item{key, t.newest[key].value, t.newest[key].offset})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "end": t.end()})
}
