package executor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/route/verifier"
	"github.com/plantainwheel/plantainwheel/platform"
)

// Defects of a response that is no answer of the target to the request.
const (
	// DefectProtocol means another protocol than HTTP/1.
	DefectProtocol = "protocol"
	// DefectStatus means a status that is not that of a final answer, for example 000, 101 or 600.
	DefectStatus = "status"
	// DefectHeader means a name of a field that is not valid, which net/http keeps without acting on the field.
	DefectHeader = "header"
	// DefectID means the ID of another request, or none.
	DefectID = "id"
	// DefectNoSeal means a success without the target's signature.
	DefectNoSeal = "no-seal"
	// DefectEncoding means a success with an encoding, which the request did not allow.
	DefectEncoding = "encoding"
	// DefectBody means a body that ends early, or one where none is allowed.
	DefectBody = "body"
)

// Defects lists all defects.
var Defects = []string{DefectProtocol, DefectStatus, DefectHeader, DefectID, DefectNoSeal, DefectEncoding, DefectBody}

// findDefect returns why the header of a response is not that of an answer of the target to the job, or "" if it is. All
// responses of the target pass it, so that nothing else on their way has to distinguish answers from other bytes.
func findDefect(resp *http.Response, job *Job) string {
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case resp.ProtoMajor != 1:
		return DefectProtocol
	case !verifier.IsFinalStatus(resp.StatusCode):
		return DefectStatus
	case !verifier.HasValidNames(resp.Header):
		return DefectHeader
	case !hasOwnID(resp, job):
		return DefectID
	case success && resp.Header.Get(platform.SignatureHeader) == "":
		return DefectNoSeal
	case success && resp.Header.Get("Content-Encoding") != "":
		return DefectEncoding
	case resp.StatusCode == http.StatusNoContent && declaresBody(resp):
		return DefectBody
	default:
		return ""
	}
}

// declaresBody reports whether the header says that a body follows, which net/http does not read for all statuses.
func declaresBody(resp *http.Response) bool {
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) > 0 || (length != "" && length != "0")
}

// readAnswer reads the body of the target's answer, whose header has the defect or none. Bodies above transporter.MaxBufferedBytes are
// left as streams.
func (e *Executor) readAnswer(resp *http.Response, job *Job, defect string, cancel context.CancelFunc) *transporter.Answer {
	release := sync.OnceFunc(func() {
		_ = resp.Body.Close()
		cancel()
	})
	if defect != "" {
		release()
		return e.invalidAnswer(job, resp.StatusCode, defect)
	}
	refused := resp.Header.Get(platform.NotRunHeader) != ""
	if refused {
		// Before the connection can be used again.
		e.recordRefusal(requestID(job))
	}
	length := resp.ContentLength
	if job.Request.Method == http.MethodHead {
		length = 0
	}
	body, err := transporter.ReadBody(resp.Body, length)
	if err != nil {
		release()
		return e.invalidAnswer(job, resp.StatusCode, DefectBody)
	}
	if body.Stream == nil {
		release()
	}
	if refused {
		release()
		return transporter.NotRunAnswer(ReasonTargetShed)
	}
	transporter.StripConnection(resp.Header)
	return &transporter.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Until: job.Deadline.Add(answerGrace), Close: release}
}

// invalidAnswer returns the answer of a job whose response has the defect.
func (e *Executor) invalidAnswer(job *Job, status int, defect string) *transporter.Answer {
	if e.OnInvalidAnswer != nil {
		e.OnInvalidAnswer(requestID(job), status, defect)
	}
	return transporter.UnknownAnswer(ReasonInvalidAnswer)
}

// recordOutcome updates the failure rate. It skips outcomes that say nothing about the target's health: refusals
// by the node itself for reasons other than ReasonUnreachable, and requests without an answer by the deadline or
// the caller's cancellation. running is the number of requests that ran when the request began.
func (e *Executor) recordOutcome(a *transporter.Answer, running int) {
	if a.NotRun && a.Reason != ReasonTargetShed && a.Reason != ReasonUnreachable {
		return
	}
	if a.Unknown && a.Reason == ReasonAnswerTimeout {
		return
	}
	failure := 0.0
	if a.NotRun || a.Unknown || a.Status == http.StatusInternalServerError {
		failure = 1
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rejections.Observe(now, a.NotRun && a.Reason == ReasonTargetShed, running)
	rate := e.decayedFailureRate(now)
	e.failureRate = rate + failureWeight*(failure-rate)
	e.failureRateAt = now
}

// decayedFailureRate returns the failure rate divided by 1 + t/failureHalfLife, where t is the time since the latest
// outcome.
func (e *Executor) decayedFailureRate(now time.Time) float64 {
	if e.failureRateAt.IsZero() {
		return 0
	}
	age := now.Sub(e.failureRateAt).Seconds() / failureHalfLife.Seconds()
	return e.failureRate / (1 + age)
}

func hasOwnID(resp *http.Response, job *Job) bool {
	return resp.Header.Get(platform.RequestIDHeader) == requestID(job)
}

func requestID(job *Job) string { return job.Request.Header.Get(platform.RequestIDHeader) }

// learn records what an answer of the incarnation says about its state.
func (e *Executor) learn(from *Target, s platform.TargetState) {
	if e.recordState(from, s) && e.OnStateChange != nil {
		e.OnStateChange(s)
	}
}

// recordState applies the state and reports whether it has changed.
func (e *Executor) recordState(from *Target, s platform.TargetState) bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if from.ID != e.target.ID || from.StartedAtMs != e.target.StartedAtMs {
		return false
	}
	switch {
	case s.LimitNamed:
		e.pacer.Name(now, s.Limit)
	case !s.LimitMalformed:
		e.pacer.Unname(now)
	}
	if s.Leaving && !e.target.Draining {
		e.target.Draining = true
		e.refuseWaitingIfLeaving(now)
	}
	changed := s != e.state
	e.state = s
	return changed
}
