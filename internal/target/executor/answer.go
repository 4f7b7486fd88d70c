package executor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/platform"
)

// readAnswer validates the target's answer and reads its body. Bodies above transporter.MaxBufferedBytes are
// left as streams.
func readAnswer(resp *http.Response, job *Job, cancel context.CancelFunc) *transporter.Answer {
	release := sync.OnceFunc(func() {
		_ = resp.Body.Close()
		cancel()
	})
	if !hasOwnID(resp, job) {
		release()
		return transporter.UnknownAnswer(ReasonInvalidAnswer)
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	if success && (resp.Header.Get(platform.SignatureHeader) == "" || resp.Header.Get("Content-Encoding") != "") {
		release()
		return transporter.UnknownAnswer(ReasonInvalidAnswer)
	}
	length := resp.ContentLength
	if job.Request.Method == http.MethodHead {
		length = 0
	}
	body, err := transporter.ReadBody(resp.Body, length)
	if err != nil {
		release()
		return transporter.UnknownAnswer(ReasonInvalidAnswer)
	}
	if body.Stream == nil {
		release()
	}
	if resp.Header.Get(platform.NotRunHeader) != "" {
		release()
		return transporter.NotRunAnswer(ReasonTargetShed)
	}
	transporter.StripConnection(resp.Header)
	return &transporter.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Until: job.Deadline.Add(answerGrace), Close: release}
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

// isOwnAnswer reports whether the answer belongs to the job's request and comes from the expected incarnation.
func isOwnAnswer(resp *http.Response, job *Job) bool {
	return resp.StatusCode != http.StatusMisdirectedRequest && hasOwnID(resp, job)
}

func hasOwnID(resp *http.Response, job *Job) bool {
	return resp.Header.Get(platform.RequestIDHeader) == job.Request.Header.Get(platform.RequestIDHeader)
}

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
