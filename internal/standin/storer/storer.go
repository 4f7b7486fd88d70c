// Package storer is an in-memory stand-in for the users' store of keyed topics, with faults that tests can set.
package storer

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Store holds keyed topics with one partition each. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	faults Faults
	reads  int
}

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
	// first is the offset of records[0].
	first   int64
	records []record
	// newest holds the newest record of each key that is not deleted.
	newest map[string]record
	// changed is closed and replaced whenever a record is appended or the topic is compacted.
	changed chan struct{}
}

type record struct {
	offset int64
	key    string
	value  []byte
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
	t := s.topic(name)
	r := record{offset: t.first + int64(len(t.records)), key: key, value: value}
	t.records = append(t.records, r)
	t.newest[key] = r
	if len(value) == 0 {
		delete(t.newest, key)
	}
	close(t.changed)
	t.changed = make(chan struct{})
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
	t.first += int64(len(t.records))
	t.records = nil
	close(t.changed)
	t.changed = make(chan struct{})
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
		s.writeNewest(w, name)
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
	s.reads++
	for {
		t := s.topic(name)
		if from < t.first {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		if from < t.first+int64(len(t.records)) {
			break
		}
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
			s.mu.Lock()
			continue
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-timeout:
		}
		s.mu.Lock()
		break
	}
	t := s.topic(name)
	raw := binary.BigEndian.AppendUint64(nil, uint64(t.first)+uint64(len(t.records)))
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.first))
	for _, rec := range t.records[min(max(from-t.first, 0), int64(len(t.records))):] {
		raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(rec.key)+len(rec.value)))
		raw = append(append(append(raw, byte(len(rec.key))), rec.key...), rec.value...)
	}
	s.mu.Unlock()
	_, _ = w.Write(raw)
}

func (s *Store) writeNewest(w http.ResponseWriter, name string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	items := []item{}
	for _, r := range t.newest {
		items = append(items, item{r.key, r.value, r.offset})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": t.first + int64(len(t.records))})
}
