package forwarder

import (
	"io"
	"net/http"
	"strconv"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
)

// Server handles requests that other nodes forward to the target beside this node.
type Server struct {
	Executor *executor.Executor
}

// ServeHTTP executes a forwarded request. It rejects a request without a valid hopHeader, because such a request
// cannot come from another node.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	job, err := decodeRequestHop(r.Header)
	if err != nil {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := transporter.ReadBody(r.Body, r.ContentLength)
	if err == nil {
		err = body.Peek()
	}
	if err != nil {
		// The request body could not be read in full.
		panic(http.ErrAbortHandler)
	}
	transporter.StripConnection(r.Header)
	job.Request = transporter.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Body: body}
	answer := s.Executor.Do(r.Context(), &job)
	defer answer.Release()
	s.writeAnswer(w, answer)
}

func (s *Server) writeAnswer(w http.ResponseWriter, a *transporter.Answer) {
	load := s.Executor.Load()
	h := answerHop{outcome: outcomeAnswered, running: load.Occupied(), waiting: load.Waiting, limit: load.Limit, reason: a.Reason}
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
	header[hopHeader] = []string{encodeAnswerHop(h)}
	WriteBody(w, a)
}

// WriteBody writes the status, the content length and the body. If the body stream fails, it aborts the
// connection, so that the client does not take the response for complete.
func WriteBody(w http.ResponseWriter, a *transporter.Answer) {
	header := w.Header()
	if _, ok := header["Date"]; !ok {
		// Prevents net/http from adding a Date header.
		header["Date"] = nil
	}
	if _, ok := header["Content-Type"]; !ok {
		// Prevents net/http from sniffing the content type.
		header["Content-Type"] = nil
	}
	status := a.Status
	if status == 0 {
		status = http.StatusOK
	}
	if a.Body.Stream == nil {
		header.Set("Content-Length", strconv.Itoa(len(a.Body.Buffered)))
		w.WriteHeader(status)
		_, _ = w.Write(a.Body.Buffered)
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
