package broker

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/policy/admitter"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

// NotRunHeader is the header that a target sets on a 429 or 503 answer to declare that it has not run
// the call.
const NotRunHeader = "Plantainwheel-Not-Run"

// Execute runs a call at the target beside the node.
func (b *Broker) Execute(ctx context.Context, call Call) Reply {
	reply := b.executeOnce(ctx, call)
	reply.Entry = b.Entry()
	if reply.PathLevel == 0 {
		reply.PathLevel = admitter.MaxLevel
	}
	return reply
}

// executeOnce runs a call that is addressed to this incarnation of the node. It runs a non-idempotent call
// only once, and returns the same reply to each resent copy.
func (b *Broker) executeOnce(ctx context.Context, call Call) Reply {
	if call.To != b.Self() {
		return b.refuseWrongMember(call)
	}
	if call.Idempotent {
		return b.execute(ctx, call)
	}
	c, first := b.receive(call.ID)
	if first {
		c.reply = b.execute(ctx, call)
		close(c.done)
		return c.reply
	}
	select {
	case <-c.done:
		return c.reply
	case <-ctx.Done():
		return b.interrupted(ctx, retrier.Unknown)
	}
}

// refuseWrongMember refuses a call that is addressed to another incarnation of this node. The outcome
// of a resent call is unknown, since the earlier copy may have reached that incarnation.
func (b *Broker) refuseWrongMember(call Call) Reply {
	if call.Resent {
		return refuse(CodeOutcomeUnknown, retrier.Unknown, b.retryAfter(minRetryAfter))
	}
	r := refuse(CodeWrongMember, retrier.NotRun, b.retryAfter(minRetryAfter))
	r.RetriesLeft = call.Retries
	return r
}

func (b *Broker) execute(ctx context.Context, call Call) Reply {
	deadline, _ := ctx.Deadline()
	entry := &admitter.Entry{
		ID:         call.ID,
		Account:    call.Account,
		Importance: call.Importance,
		ChildCall:  call.Depth > 0,
		Deadline:   deadline,
		Priority:   admitter.Priority(call.Importance, call.RootID),
	}
	if err := b.Limiter.Acquire(ctx, entry); err != nil {
		return b.refuseNotRun(ctx, call, err)
	}
	answer, replay, err := b.acquireRequestID(ctx, call)
	if err != nil {
		b.Limiter.Abandon()
		return b.refuseNotRun(ctx, call, err)
	}
	if replay {
		b.Limiter.Abandon()
		b.recordEvent(recorder.Replayed, call, "")
		return Reply{Answer: answer, Outcome: retrier.Ran, RetriesLeft: call.Retries}
	}
	return b.runAtTarget(ctx, call)
}

// refuseNotRun returns the reply to a call that was not sent to the target.
func (b *Broker) refuseNotRun(ctx context.Context, call Call, err error) Reply {
	code := codeOf(err)
	if code == CodeCancelled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = CodeTimeout
	}
	r := refuse(code, retrier.NotRun, b.retryAfter(minRetryAfter))
	r.RetriesLeft = call.Retries
	b.recordEvent(recorder.Refused, call, string(code))
	return r
}

// acquireRequestID acquires the right to run the caller's request ID, if the call has one. If an earlier
// attempt has run, acquireRequestID returns the stored answer and true.
func (b *Broker) acquireRequestID(ctx context.Context, call Call) (granter.Answer, bool, error) {
	if call.RequestID == "" {
		return granter.Answer{}, false, nil
	}
	return b.Deduplicator.Acquire(ctx, call.RequestID, b.executorID(call))
}

// executorID returns the ID under which the registrars record this attempt.
func (b *Broker) executorID(call Call) string { return b.Self() + "#" + call.ID }

// runAtTarget sends an admitted call to the target. The deadline is checked again because the node may
// have been paused after admission. A non-idempotent call continues when its caller disconnects.
func (b *Broker) runAtTarget(ctx context.Context, call Call) Reply {
	deadline, _ := ctx.Deadline()
	if ctx.Err() != nil || !b.Clock().Before(deadline) {
		b.Limiter.Abandon()
		b.releaseRequestID(call)
		return b.refuseNotRun(ctx, call, context.DeadlineExceeded)
	}
	runCtx, cancel := ctx, context.CancelFunc(func() {})
	if !call.Idempotent {
		runCtx, cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
	}
	defer cancel()
	token, r := b.addRun(runCtx, call)
	defer b.removeRun(token)
	b.recordEvent(recorder.RunStarted, call, "")
	started := b.Clock()
	answer, err := b.Target.Do(runCtx, call, token)
	return b.finishRun(runCtx, call, r, answer, err, b.Clock().Sub(started))
}

func (b *Broker) releaseRequestID(call Call) {
	if call.RequestID != "" {
		b.Deduplicator.Release(call.RequestID, b.executorID(call))
	}
}

// finishRun releases the concurrency slot of a run, reports a known result to the registrars if the call
// has a request ID, and returns the reply.
func (b *Broker) finishRun(ctx context.Context, call Call, r *run, answer granter.Answer, err error, took time.Duration) Reply {
	unused, childTime, level := r.totals()
	reply := b.result(ctx, call, answer, err)
	reply.RetriesLeft = unused
	reply.PathLevel = level
	switch {
	case reply.Outcome == retrier.NotRun:
		b.releaseRequestID(call)
	case reply.Outcome == retrier.Ran && call.RequestID != "":
		b.Deduplicator.Complete(call.RequestID, b.executorID(call), reply.Answer)
	}
	if errors.Is(err, ErrNotSent) {
		b.Limiter.Abandon()
	} else {
		b.Limiter.Release(took, max(took-childTime, 0), reply.Code == CodeTargetShed)
	}
	b.recordEvent(recorder.RunEnded, call, string(reply.Code))
	return reply
}

func (b *Broker) result(ctx context.Context, call Call, answer granter.Answer, err error) Reply {
	switch {
	case err == nil && refusedByTarget(answer):
		return refuse(CodeTargetShed, retrier.NotRun, b.retryAfter(minRetryAfter))
	case err == nil:
		return Reply{Answer: answer, Outcome: retrier.Ran}
	case errors.Is(err, ErrNotSent):
		return refuse(CodeTargetDown, retrier.NotRun, b.retryAfter(minRetryAfter))
	case ctx.Err() != nil:
		return b.interrupted(ctx, retrier.Unknown)
	case call.Idempotent:
		return refuse(CodeTargetNoAnswer, retrier.Unknown, b.retryAfter(minRetryAfter))
	default:
		return refuse(CodeOutcomeUnknown, retrier.Unknown, b.retryAfter(minRetryAfter))
	}
}

// refusedByTarget reports whether the target has declared that it refused the call before running it.
func refusedByTarget(answer granter.Answer) bool {
	if answer.Status != http.StatusServiceUnavailable && answer.Status != http.StatusTooManyRequests {
		return false
	}
	for _, h := range answer.Headers {
		if h.Name == NotRunHeader {
			return true
		}
	}
	return false
}

func (b *Broker) recordEvent(kind recorder.Kind, call Call, reason string) {
	b.Events.Add(recorder.Event{
		Kind:    kind,
		Request: call.RootID,
		Account: call.Account,
		Route:   call.Route,
		Reason:  reason,
	})
}
