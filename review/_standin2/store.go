package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store stands in for the platform's store: keyed topics with one partition each, as PROTOCOL tells.
type store struct {
	server *http.Server

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

func newStore(l net.Listener) *store {
	s := &store{topics: map[string]*topic{}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// putConfig writes op/config.
func (s *store) putConfig(config map[string]any) {
	value, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic("keyed.op").add(append([]byte("\x06config"), value...))
}

// topic returns a topic, which is created on first use. The caller holds the mutex.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]item{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add appends a record: the length of the key in one byte, the key and the value.
func (t *topic) add(record []byte) {
	n := int(record[0])
	key, value := string(record[1:1+n]), record[1+n:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = item{Key: key, Value: value, Offset: len(t.records)}
	}
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r, name)
	case "/-/log-read":
		s.read(w, r, name)
	case "/-/log-newest":
		s.mu.Lock()
		defer s.mu.Unlock()
		t := s.topic(name)
		items := []item{}
		for _, key := range slices.Sorted(maps.Keys(t.newest)) {
			if key > r.URL.Query().Get("after") {
				items = append(items, t.newest[key])
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(t.records)})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, name string) {
	raw, err := io.ReadAll(r.Body)
	if err != nil || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first := len(t.records)
	for len(raw) > 4 {
		n := int(binary.BigEndian.Uint32(raw))
		t.add(slices.Clone(raw[4 : 4+n]))
		raw = raw[4+n:]
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, first, len(t.records))
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topic(name)
		records, changed := slices.Clone(t.records[min(from, len(t.records)):]), t.changed
		end := len(t.records)
		s.mu.Unlock()
		if len(records) > 0 || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records {
				out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
				out = append(out, record...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
