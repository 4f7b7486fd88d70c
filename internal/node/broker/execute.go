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

// NotRunHeader is set by targets on an answer to say that they have not run the call.
const NotRunHeader = "Plantainwheel-Not-Run"

// Execute runs a call at the target beside the node.
func (b *Broker) Execute(ctx context.Context, call Call) Reply {
	reply := b.executeOnce(ctx, call)
	reply.Load = b.Entry()
	if reply.PathLevel == 0 {
		reply.PathLevel = admitter.MaxLevel
	}
	return reply
}

func (b *Broker) executeOnce(ctx context.Context, call Call) Reply {
	if call.To != b.Self() {
		return b.notHere(call)
	}
	if call.Idempotent {
		return b.execute(ctx, call)
	}
	s, first := b.arrive(call.ID)
	if first {
		s.reply = b.execute(ctx, call)
		close(s.done)
		return s.reply
	}
	select {
	case <-s.done:
		return s.reply
	case <-ctx.Done():
		return b.interrupted(ctx, retrier.Unknown)
	}
}

// notHere refuses a call that was meant for another incarnation. A call that may have reached that
// one has an unknown outcome.
func (b *Broker) notHere(call Call) Reply {
	if call.Again {
		return refuse(CodeUnknown, retrier.Unknown, b.retryAfter(shedRetry))
	}
	r := refuse(CodeWrongMember, retrier.NotRun, b.retryAfter(shedRetry))
	r.RetriesLeft = call.Retries
	return r
}

func (b *Broker) execute(ctx context.Context, call Call) Reply {
	deadline, _ := ctx.Deadline()
	entry := &admitter.Entry{
		ID:         call.ID,
		Account:    call.Account,
		Importance: call.Importance,
		Later:      call.Depth > 0,
		Deadline:   deadline,
		Priority:   admitter.Priority(call.Importance, call.RootID),
	}
	if err := b.Guard.Enter(ctx, entry); err != nil {
		return b.unrun(ctx, call, err)
	}
	answer, replay, err := b.claim(ctx, call)
	if err != nil {
		b.Guard.Abandon()
		return b.unrun(ctx, call, err)
	}
	if replay {
		b.Guard.Abandon()
		b.note(recorder.Replayed, call, "")
		return Reply{Answer: answer, Outcome: retrier.Ran, RetriesLeft: call.Retries}
	}
	return b.start(ctx, call)
}

// unrun refuses a call that was not sent to the target.
func (b *Broker) unrun(ctx context.Context, call Call, err error) Reply {
	code := codeOf(err)
	if code == CodeCancelled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = CodeTimeout
	}
	r := refuse(code, retrier.NotRun, b.retryAfter(shedRetry))
	r.RetriesLeft = call.Retries
	b.note(recorder.Refused, call, string(code))
	return r
}

// claim obtains the right to run a caller's request id.
func (b *Broker) claim(ctx context.Context, call Call) (granter.Answer, bool, error) {
	if call.RequestID == "" {
		return granter.Answer{}, false, nil
	}
	return b.Claims.Acquire(ctx, call.RequestID, b.executor(call))
}

// executor names this attempt to the registrars.
func (b *Broker) executor(call Call) string { return b.Self() + "#" + call.ID }

// start sends an admitted call to the target. The deadline is checked once more, since the node may
// have been paused after the call was admitted. A non-idempotent run goes on when its caller goes.
func (b *Broker) start(ctx context.Context, call Call) Reply {
	deadline, _ := ctx.Deadline()
	if ctx.Err() != nil || !b.Clock().Before(deadline) {
		b.Guard.Abandon()
		b.release(call)
		return b.unrun(ctx, call, context.DeadlineExceeded)
	}
	runCtx, cancel := ctx, context.CancelFunc(func() {})
	if !call.Idempotent {
		runCtx, cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
	}
	defer cancel()
	token, r := b.begin(runCtx, call)
	defer b.end(token)
	b.note(recorder.Started, call, "")
	began := b.Clock()
	answer, err := b.Target.Do(runCtx, call, token)
	return b.ended(runCtx, call, r, answer, err, b.Clock().Sub(began))
}

func (b *Broker) release(call Call) {
	if call.RequestID != "" {
		b.Claims.Release(call.RequestID, b.executor(call))
	}
}

// ended makes the reply of a run and frees its slot.
func (b *Broker) ended(ctx context.Context, call Call, r *run, answer granter.Answer, err error, took time.Duration) Reply {
	unused, waited, level := r.sums()
	reply := b.result(ctx, call, answer, err)
	reply.RetriesLeft = unused
	reply.PathLevel = level
	switch {
	case reply.Outcome == retrier.NotRun:
		b.release(call)
	case reply.Outcome == retrier.Ran && call.RequestID != "":
		b.Claims.Complete(call.RequestID, b.executor(call), reply.Answer)
	}
	if errors.Is(err, ErrNotSent) {
		b.Guard.Abandon()
	} else {
		b.Guard.Leave(took, max(took-waited, 0), reply.Code == CodeTargetShed)
	}
	b.note(recorder.Ended, call, string(reply.Code))
	return reply
}

func (b *Broker) result(ctx context.Context, call Call, answer granter.Answer, err error) Reply {
	switch {
	case err == nil && notRun(answer):
		return refuse(CodeTargetShed, retrier.NotRun, b.retryAfter(shedRetry))
	case err == nil:
		return Reply{Answer: answer, Outcome: retrier.Ran}
	case errors.Is(err, ErrNotSent):
		return refuse(CodeTargetDown, retrier.NotRun, b.retryAfter(shedRetry))
	case ctx.Err() != nil:
		return b.interrupted(ctx, retrier.Unknown)
	case call.Idempotent:
		return refuse(CodeTargetBroken, retrier.Unknown, b.retryAfter(shedRetry))
	default:
		return refuse(CodeUnknown, retrier.Unknown, b.retryAfter(shedRetry))
	}
}

// notRun says whether a target has declared that it refused the call before running it.
func notRun(answer granter.Answer) bool {
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

func (b *Broker) note(kind recorder.Kind, call Call, reason string) {
	b.Events.Add(recorder.Event{
		Kind:    kind,
		Request: call.RootID,
		Account: call.Account,
		Route:   call.Route,
		Reason:  reason,
	})
}
