package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: keyed topics with one partition, as PROTOCOL.md tells.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// down is set while the store rejects all calls with 503.
	down bool
	// lateBy, if not 0, is the delay of the appends of the key lateKey, which get no answer.
	lateKey string
	lateBy  time.Duration
	// onLate is called when such an append is done.
	onLate func(value []byte)
}

type topic struct {
	records []keyed
	newest  map[string]keyed
	changed chan struct{}
}

type keyed struct {
	offset int64
	key    string
	value  []byte
}

func (s *store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record. It returns its offset.
func (s *store) put(name, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	k := keyed{int64(len(t.records)), key, value}
	t.records = append(t.records, k)
	t.newest[key] = k
	if len(value) == 0 {
		delete(t.newest, key)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return k.offset
}

// setDown begins or ends an outage. Calls that wait are rejected as well.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, t := range s.topics {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// setLate makes the appends of a key late by the delay, without an answer. A delay of 0 ends that.
func (s *store) setLate(key string, by time.Duration, done func(value []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateKey, s.lateBy, s.onLate = key, by, done
}

// isLate reports whether an append is late, and does it then.
func (s *store) isLate(name, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lateBy == 0 || key != s.lateKey {
		return false
	}
	done := s.onLate
	time.AfterFunc(s.lateBy, func() {
		s.put(name, key, value)
		done(value)
	})
	return true
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	name := q.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		raw, err := io.ReadAll(r.Body)
		if err != nil || len(raw) < 5 || len(raw) < 5+int(raw[4]) || name == "keyed.op" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		n := 5 + int(raw[4])
		if s.isLate(name, string(raw[5:n]), raw[n:]) {
			<-r.Context().Done()
			return
		}
		offset := s.put(name, string(raw[5:n]), raw[n:])
		writeJSON(w, map[string]any{"offset": offset, "end": offset + 1})
	case "GET /-/log-read":
		from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.read(w, r, name, from, time.Duration(wait)*time.Millisecond)
	case "GET /-/log-newest":
		s.writeNewest(w, name, q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string, from int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		t := s.topic(name)
		end, changed := int64(len(t.records)), t.changed
		s.mu.Unlock()
		if from < end {
			break
		}
		select {
		case <-changed:
			if s.isDown() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			continue
		case <-r.Context().Done():
			return
		case <-timeout:
		}
		break
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := int64(len(t.records))
	raw := binary.BigEndian.AppendUint64(nil, uint64(end))
	raw = binary.BigEndian.AppendUint64(raw, 0)
	for _, k := range t.records[min(max(from, 0), end):] {
		raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(k.key)+len(k.value)))
		raw = append(append(append(raw, byte(len(k.key))), k.key...), k.value...)
	}
	_, _ = w.Write(raw)
}

func (s *store) writeNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	items := []item{}
	for key, k := range t.newest {
		if key > after {
			items = append(items, item{key, k.value, k.offset})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, map[string]any{"items": items, "more": false, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
