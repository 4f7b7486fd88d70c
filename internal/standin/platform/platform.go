// Package platform is a stand-in for the platform's append-only log service.
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
	maxPageRecords = 1000
)

// Faults are the faults that the service injects. They can be changed while it runs.
type Faults struct {
	// Outage rejects every request with status 503.
	Outage bool `json:"outage"`
	// SlowMS is the delay added to each request, in milliseconds.
	SlowMS int `json:"slow-ms"`
	// DropResponses is the number of subsequent appends that take effect but get no response.
	DropResponses int `json:"lose-answers"`
	// Retain is the number of records retained per stream. 0 retains all.
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
	// changed is closed and replaced on every append.
	changed chan struct{}
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

// SetFaults replaces the current faults and trims the streams to the new retention.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		st.trim(f.Retain)
	}
}

type statsResponse struct {
	Appends int    `json:"appends"`
	Faults  Faults `json:"faults"`
}

func (s *Service) stats(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.JSON(http.StatusOK, statsResponse{Appends: s.appends, Faults: s.faults})
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

// stream returns a stream and creates it on first use. The caller holds mu.
func (s *Service) stream(name string) *stream {
	if s.streams == nil {
		s.streams = map[string]*stream{}
	}
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// applyFaults applies the delay and the outage before a request takes effect. It returns true if it rejected the
// request.
func (s *Service) applyFaults(c *gin.Context) bool {
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

type appendResponse struct {
	Offset int64 `json:"offset"`
}

func (s *Service) append(c *gin.Context) {
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxRecordBytes))
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	if s.applyFaults(c) {
		return
	}
	offset, dropResponse := s.appendRecord(c.Param("stream"), data)
	if dropResponse {
		closeConn(c)
		return
	}
	c.JSON(http.StatusOK, appendResponse{offset})
}

// appendRecord appends a record and returns its offset. dropResponse reports whether the response must be dropped.
func (s *Service) appendRecord(name string, data []byte) (offset int64, dropResponse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.records = append(st.records, data)
	offset = st.first + int64(len(st.records)) - 1
	st.trim(s.faults.Retain)
	close(st.changed)
	st.changed = make(chan struct{})
	s.appends++
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		return offset, true
	}
	return offset, false
}

// trim removes the oldest records beyond the retention. 0 retains all.
func (st *stream) trim(retain int) {
	excess := len(st.records) - retain
	if retain > 0 && excess > 0 {
		st.records = append([][]byte(nil), st.records[excess:]...)
		st.first += int64(excess)
	}
}

// closeConn closes the connection without a response.
func closeConn(c *gin.Context) {
	conn, _, err := c.Writer.Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func (s *Service) read(c *gin.Context) {
	from, err1 := strconv.ParseInt(c.Query("from"), 10, 64)
	waitMS, err2 := strconv.Atoi(c.DefaultQuery("wait-ms", "0"))
	if err1 != nil || err2 != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	if s.applyFaults(c) {
		return
	}
	page, changed := s.page(c.Param("stream"), from)
	if len(page.Records) == 0 && waitMS > 0 {
		t := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		case <-c.Request.Context().Done():
		}
		page, _ = s.page(c.Param("stream"), from)
	}
	if s.inOutage() {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.JSON(http.StatusOK, page)
}

func (s *Service) inOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage
}

// page returns up to maxPageRecords records of a stream, starting at an offset, and a channel that is closed by the
// next append.
func (s *Service) page(name string, from int64) (client.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	page := client.Page{First: st.first, Head: st.first + int64(len(st.records)) - 1}
	start := max(from, st.first)
	for offset := start; offset <= page.Head && len(page.Records) < maxPageRecords; offset++ {
		page.Records = append(page.Records, client.Record{Offset: offset, Data: st.records[offset-st.first]})
	}
	return page, st.changed
}
