// Package platform stands in for the platform's append-only log service.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/plantainwheel/plantainwheel/internal/node/waiter"
	"github.com/plantainwheel/plantainwheel/internal/platform/client"
)

const (
	maxRecordBytes = 16 << 20
	maxPage        = 1000
)

// Faults are switched while the service runs.
type Faults struct {
	// Outage refuses everything.
	Outage bool `json:"outage"`
	// SlowMS delays each answer, in milliseconds.
	SlowMS int `json:"slow-ms"`
	// LoseAnswers is the number of appends that take effect and are not answered.
	LoseAnswers int `json:"lose-answers"`
	// Retain is the number of records that are kept; 0 keeps all.
	Retain int `json:"retain"`
}

// Service holds the streams. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	appends int
}

type stream struct {
	// first is the offset of records[0].
	first   int64
	records [][]byte
	grown   chan struct{}
}

// Handler returns the HTTP handler.
func (s *Service) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST("/v1/streams/:stream/records", s.append)
	engine.GET("/v1/streams/:stream/records", s.read)
	engine.PUT("/v1/faults", s.setFaults)
	engine.GET("/v1/stats", s.stats)
	return engine
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		st.trim(f.Retain)
	}
}

type statsAnswer struct {
	Appends int    `json:"appends"`
	Faults  Faults `json:"faults"`
}

func (s *Service) stats(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.JSON(http.StatusOK, statsAnswer{Appends: s.appends, Faults: s.faults})
}

func (s *Service) setFaults(c *gin.Context) {
	var f Faults
	if err := json.NewDecoder(c.Request.Body).Decode(&f); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(f)
	c.Status(http.StatusNoContent)
}

// stream returns a stream. The caller holds mu.
func (s *Service) stream(name string) *stream {
	if s.streams == nil {
		s.streams = map[string]*stream{}
	}
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// hinder applies the faults that come before a request takes effect.
func (s *Service) hinder(c *gin.Context) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.SlowMS > 0 {
		waiter.Sleep(c.Request.Context(), time.Duration(f.SlowMS)*time.Millisecond)
	}
	if f.Outage {
		c.Status(http.StatusServiceUnavailable)
	}
	return f.Outage
}

type appendAnswer struct {
	Offset int64 `json:"offset"`
}

func (s *Service) append(c *gin.Context) {
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxRecordBytes))
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	if s.hinder(c) {
		return
	}
	offset, lost := s.add(c.Param("stream"), data)
	if lost {
		abort(c)
		return
	}
	c.JSON(http.StatusOK, appendAnswer{offset})
}

func (s *Service) add(name string, data []byte) (offset int64, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.records = append(st.records, data)
	offset = st.first + int64(len(st.records)) - 1
	st.trim(s.faults.Retain)
	close(st.grown)
	st.grown = make(chan struct{})
	s.appends++
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return offset, true
	}
	return offset, false
}

func (st *stream) trim(retain int) {
	extra := len(st.records) - retain
	if retain > 0 && extra > 0 {
		st.records = append([][]byte(nil), st.records[extra:]...)
		st.first += int64(extra)
	}
}

// abort ends the connection without an answer.
func abort(c *gin.Context) {
	conn, _, err := c.Writer.Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func (s *Service) read(c *gin.Context) {
	from, err1 := strconv.ParseInt(c.Query("from"), 10, 64)
	wait, err2 := strconv.Atoi(c.DefaultQuery("wait-ms", "0"))
	if err1 != nil || err2 != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	if s.hinder(c) {
		return
	}
	page, grown := s.page(c.Param("stream"), from)
	if len(page.Records) == 0 && wait > 0 {
		t := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer t.Stop()
		select {
		case <-grown:
		case <-t.C:
		case <-c.Request.Context().Done():
		}
		page, _ = s.page(c.Param("stream"), from)
	}
	if s.down() {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.JSON(http.StatusOK, page)
}

func (s *Service) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage
}

func (s *Service) page(name string, from int64) (client.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	page := client.Page{First: st.first, Head: st.first + int64(len(st.records)) - 1}
	start := max(from, st.first)
	for offset := start; offset <= page.Head && len(page.Records) < maxPage; offset++ {
		page.Records = append(page.Records, client.Record{Offset: offset, Data: st.records[offset-st.first]})
	}
	return page, st.grown
}
