package executor

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/platform"
)

// sending is a job that has a slot and is sent to the target, once or again.
type sending struct {
	executor *Executor
	job      *Job
	// target is the incarnation that was chosen when the job got its slot.
	target Target
	// reserved is set while the job counts as one that is about to be sent to a cold target.
	reserved bool
	// withheld is why the job was not sent at the latest attempt, or "".
	withheld string
}

// newSending prepares to send a job that has got a slot. It returns the reason if the target has left or become unreachable
// while the job was queued. end must be called when the job has ended.
func (e *Executor) newSending(ctx context.Context, job *Job) (s *sending, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s = &sending{executor: e, job: job, target: e.target, reserved: e.ColdTerms != nil}
	if reason = e.refusalReason(time.Now(), job.ExpectedIncarnation); reason != "" {
		return s, reason
	}
	e.resendBudget.RecordAttempt()
	job.Request.Header.Set(platform.ExpectIncarnationHeader, e.target.ID)
	job.Request.BeforeSend = func() bool { return s.begin(ctx) }
	return s, ""
}

// send sends the job once. It returns transporter.ErrWithheld, together with transporter.ErrNotSent, if the target must
// not get the job any more.
func (s *sending) send(ctx context.Context, maxIdle time.Duration) (resp *http.Response, reused bool, err error) {
	if !s.mayBegin(ctx) {
		return nil, false, fmt.Errorf("%w: %w", transporter.ErrNotSent, transporter.ErrWithheld)
	}
	return s.executor.Pool.Send(ctx, s.target.Address, &s.job.Request, maxIdle)
}

// sendAndResend sends the job, and once more if its reused connection turned out to be closed.
func (s *sending) sendAndResend(ctx context.Context, maxIdle time.Duration) (*http.Response, error) {
	e := s.executor
	resp, reused, err := s.send(ctx, maxIdle)
	if err == nil || !reused || ctx.Err() != nil || errors.Is(err, transporter.ErrWithheld) || !e.canResend(s.job, err) {
		return resp, err
	}
	e.recordLostConnection(err, false)
	// The first connection may still read the header.
	s.job.Request.Header = s.job.Request.Header.Clone()
	resp, _, again := s.send(ctx, 0)
	if errors.Is(again, transporter.ErrNotSent) && !errors.Is(err, transporter.ErrNotSent) {
		// The target may have run the request when it was sent first.
		if ctx.Err() == nil && !errors.Is(again, transporter.ErrWithheld) {
			e.markUnreachable()
		}
		return nil, err
	}
	return resp, again
}

// mayBegin reports whether the target may get the job now, and sets withheld if it may not. It is called before a connection
// is chosen, so that none is opened for nothing.
func (s *sending) mayBegin(ctx context.Context) bool {
	s.executor.mu.Lock()
	defer s.executor.mu.Unlock()
	return s.check(ctx)
}

// begin is called right before the job's first byte is sent, because the answer of mayBegin may have changed while the
// connection was opened. It reports whether the job may be sent, charges the pace of a cold target, and tells the target the
// time that is left.
func (s *sending) begin(ctx context.Context) bool {
	e := s.executor
	e.mu.Lock()
	defer e.mu.Unlock()
	s.releasePace()
	if !s.check(ctx) {
		return false
	}
	if !e.warmer.Take(time.Now()) {
		s.withheld = ReasonCold
		return false
	}
	remaining := time.Until(s.job.Deadline)
	s.job.Request.Header.Set(platform.DeadlineHeader, strconv.FormatInt(remaining.Milliseconds(), 10))
	if e.OnSend != nil {
		e.OnSend()
	}
	return true
}

// check sets withheld, and reports whether it is "". The caller holds the executor's mutex.
func (s *sending) check(ctx context.Context) bool {
	switch {
	case time.Until(s.job.Deadline) < minRemainingTime:
		s.withheld = ReasonDeadlinePassed
	case ctx.Err() != nil:
		s.withheld = ReasonCancelled
	default:
		s.withheld = s.executor.blockReason(&s.target)
	}
	return s.withheld == ""
}

// releasePace ends the job's reservation of the pace of a cold target. The caller holds the executor's mutex.
func (s *sending) releasePace() {
	if s.reserved {
		s.executor.warmer.Release()
		s.reserved = false
	}
}

// end ends the sending.
func (s *sending) end() {
	s.executor.mu.Lock()
	defer s.executor.mu.Unlock()
	s.releasePace()
}
