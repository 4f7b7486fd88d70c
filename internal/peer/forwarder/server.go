package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
)

// Server handles requests that other nodes forward to the target beside this node.
type Server struct {
	Executor *executor.Executor
	// Process returns the identity of this process in the node's reports.
	Process func() int64

	calls calls
}

// ServeHTTP executes a forwarded request. It rejects a request without a valid hopHeader, because such a request
// cannot come from another node.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	job, id, err := decodeRequestHop(r.Header)
	if err != nil {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if r.ContentLength != 0 {
		// Writers of tests have no deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(job.Deadline)
	}
	body, err := transporter.ReadBody(r.Body, r.ContentLength)
	if err == nil {
		err = body.Peek()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.writeAnswer(w, transporter.NotRunAnswer(executor.ReasonDeadlinePassed), time.Since(start))
		return
	}
	if err != nil {
		// The request body could not be read in full.
		panic(http.ErrAbortHandler)
	}
	transporter.StripConnection(r.Header)
	job.Request = transporter.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Body: body}
	answer := s.run(r.Context(), &job, id)
	if answer == nil {
		panic(http.ErrAbortHandler)
	}
	defer answer.Release()
	s.writeAnswer(w, answer, time.Since(start))
}

// run runs the job, or waits for the answer of the call that it is a copy of. It returns nil if the sender of the copy
// left meanwhile.
func (s *Server) run(ctx context.Context, job *executor.Job, id callID) *transporter.Answer {
	switch {
	case id.id == "":
		return s.Executor.Do(ctx, job)
	case id.process != 0 && id.process != s.Process():
		// An earlier process of this node may have run the call.
		return transporter.UnknownAnswer(reasonOtherProcess)
	}
	callCtx, k, n := s.calls.receive(time.Now(), id)
	if n == 1 {
		stop := context.AfterFunc(ctx, func() { s.calls.leave(k, n) })
		answer := s.Executor.Do(callCtx, job)
		s.calls.end(time.Now(), k, answer)
		if answer.Body.Stream == nil {
			stop()
		}
		return answer
	}
	select {
	case <-k.done:
		return s.calls.result(k)
	case <-ctx.Done():
		s.calls.leave(k, n)
		return nil
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, a *transporter.Answer, took time.Duration) {
	load := s.Executor.Load()
	h := answerHop{outcome: outcomeAnswered, running: load.Occupied(), waiting: load.Waiting, limit: load.Limit, reason: a.Reason}
	switch {
	case a.NotRun:
		h.outcome = outcomeNotRun
		a = hopAnswer
	case a.Unknown:
		h.outcome = outcomeUnknown
		a = hopAnswer
	default:
		h.reason = strconv.FormatInt(took.Microseconds(), 10)
	}
	header := w.Header()
	for k, v := range a.Header {
		header[k] = v
	}
	header[hopHeader] = []string{encodeAnswerHop(h)}
	WriteBody(w, a)
}

// WriteRefusal answers a forwarded request that has not run, before anything of it is looked at.
func WriteRefusal(w http.ResponseWriter, reason string) {
	w.Header()[hopHeader] = []string{encodeAnswerHop(answerHop{outcome: outcomeNotRun, reason: reason})}
	WriteBody(w, hopAnswer)
}

// hopAnswer carries an outcome that is not an answer of the target to the other node.
var hopAnswer = &transporter.Answer{Status: http.StatusOK}

// WriteBody writes the status, which must be that of a final answer, the content length and the body. If the body stream
// fails, or the client has not taken all of it at a.Until, it aborts the connection, so that the client does not take the
// response for complete.
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
	if a.Body.Stream == nil {
		header.Set("Content-Length", strconv.Itoa(len(a.Body.Buffered)))
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body.Buffered)
		return
	}
	if a.Body.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.Body.Length, 10))
	}
	// A client that stops reading would otherwise block the copy, which holds a slot of the target, without end.
	// Writers of tests have no deadlines.
	conn := http.NewResponseController(w)
	if !a.Until.IsZero() {
		_ = conn.SetWriteDeadline(a.Until)
	}
	w.WriteHeader(a.Status)
	if _, err := io.Copy(w, a.Body.Stream); err != nil {
		panic(http.ErrAbortHandler)
	}
	if !a.Until.IsZero() {
		if err := conn.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			panic(http.ErrAbortHandler)
		}
		_ = conn.SetWriteDeadline(time.Time{})
	}
}
