package forwarder

import (
	"io"
	"net/http"
	"strconv"

	"github.com/plantainwheel/plantainwheel/internal/route/courier"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
)

// Server takes requests from other nodes for the target beside this one.
type Server struct {
	Executor *executor.Executor
}

// ServeHTTP runs a request of another node. A request without the nodes' own header did not come from one.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	job, err := unpack(r.Header)
	if err != nil {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := courier.ReadBody(r.Body, r.ContentLength)
	if err != nil {
		// The sender has gone before its body was here.
		panic(http.ErrAbortHandler)
	}
	courier.StripConnection(r.Header)
	job.Request = courier.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Body: body}
	answer := s.Executor.Do(r.Context(), &job)
	defer answer.Release()
	s.reply(w, answer)
}

func (s *Server) reply(w http.ResponseWriter, a *courier.Answer) {
	load := s.Executor.Load()
	h := hop{outcome: outcomeAnswered, running: load.Running, waiting: load.Waiting, limit: load.Limit, reason: a.Reason}
	switch {
	case a.NotRun:
		h.outcome = outcomeNotRun
	case a.Unknown:
		h.outcome = outcomeUnknown
	}
	header := w.Header()
	for k, v := range a.Header {
		header[k] = v
	}
	header[hopHeader] = []string{encodeHop(h)}
	WriteBody(w, a)
}

// WriteBody writes the status, the length and the body. It breaks the connection off where the body ends
// early, so that the answer cannot look complete.
func WriteBody(w http.ResponseWriter, a *courier.Answer) {
	header := w.Header()
	if _, ok := header["Date"]; !ok {
		// Keeps net/http from adding one of its own.
		header["Date"] = nil
	}
	if _, ok := header["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		header["Content-Type"] = nil
	}
	status := a.Status
	if status == 0 {
		status = http.StatusOK
	}
	if a.Body.Stream == nil {
		header.Set("Content-Length", strconv.Itoa(len(a.Body.Whole)))
		w.WriteHeader(status)
		_, _ = w.Write(a.Body.Whole)
		return
	}
	if a.Body.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.Body.Length, 10))
	}
	w.WriteHeader(status)
	if _, err := io.Copy(w, a.Body.Stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}
