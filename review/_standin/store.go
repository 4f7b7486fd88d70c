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

// store stands in for the platform's metadata store of PROTOCOL.md. It keeps keyed topics with one partition each.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records [][]byte
	newest  map[string]item
	changed chan struct{}
}

type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]item{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	s.add(name, append(content, value...))
}

func (s *store) add(name string, content []byte) int {
	t := s.topic(name)
	n := int(content[0])
	offset := len(t.records)
	t.records = append(t.records, content)
	key := string(content[1 : 1+n])
	if len(content) > 1+n {
		t.newest[key] = item{key, content[1+n:], offset}
	} else {
		delete(t.newest, key)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/-/log-append":
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		first := -1
		for len(raw) >= 4 {
			n := int(binary.BigEndian.Uint32(raw))
			if n == 0 || n > len(raw)-4 || int(raw[4]) > n-1 {
				break
			}
			if offset := s.add(name, append([]byte(nil), raw[4:4+n]...)); first < 0 {
				first = offset
			}
			raw = raw[4+n:]
		}
		end := len(s.topic(name).records)
		s.mu.Unlock()
		writeJSON(w, map[string]any{"offset": first, "end": end})
	case "/-/log-read":
		s.read(w, r, name)
	case "/-/log-newest":
		s.mu.Lock()
		t := s.topic(name)
		items := []item{}
		for _, it := range t.newest {
			items = append(items, it)
		}
		end := len(t.records)
		s.mu.Unlock()
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		writeJSON(w, map[string]any{"items": items, "more": false, "end": end})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		t := s.topic(name)
		changed, end := t.changed, len(t.records)
		s.mu.Unlock()
		if from < end {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	raw := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	raw = binary.BigEndian.AppendUint64(raw, 0)
	for i := from; i < len(t.records); i++ {
		raw = binary.BigEndian.AppendUint32(raw, uint32(len(t.records[i])))
		raw = append(raw, t.records[i]...)
	}
	_, _ = w.Write(raw)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
