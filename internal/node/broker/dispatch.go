package broker

import (
	"context"
	"errors"
	"net/http"

	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/node/waiter"
	"github.com/plantainwheel/plantainwheel/internal/policy/admitter"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"github.com/plantainwheel/plantainwheel/internal/policy/router"
)

// dispatch sends a call to a target of its route's service, and again to others while that is safe,
// useful and within the request's retries.
func (b *Broker) dispatch(ctx context.Context, route reducer.Route, call Call, escrow *retrier.Escrow) Reply {
	var tried []string
	level := admitter.MaxLevel
	b.noteAttempt(route.Service)
	for attempt := 0; ; attempt++ {
		reply, member, sent := b.attempt(ctx, route, call, escrow, tried)
		level = min(level, reply.PathLevel)
		if !sent || !b.again(ctx, route, call, reply, escrow) {
			reply.PathLevel = level
			return reply
		}
		b.noteRetry(call, member, reply)
		if reply.Outcome == retrier.NotRun {
			tried = append(tried, member)
		}
		if !waiter.Sleep(ctx, retrier.Backoff(attempt, b.fraction())) {
			return b.interrupted(ctx, reply.Outcome)
		}
	}
}

// attempt picks a target and sends the call once. It says which member was tried, if any.
func (b *Broker) attempt(ctx context.Context, route reducer.Route, call Call, escrow *retrier.Escrow, tried []string) (Reply, string, bool) {
	candidates := b.Roster.Candidates(route.Service, b.Random())
	chosen, refusal := router.Choose(candidates, router.Request{
		Priority: admitter.Priority(call.Importance, call.RootID),
		Later:    call.Depth > 0 || !b.Control,
		Tried:    tried,
		Random:   b.Random(),
	})
	switch refusal {
	case router.NoTarget:
		return b.untried(CodeNoTarget, admitter.MaxLevel), "", false
	case router.Shed:
		return b.untried(CodeOverload, lowestLevel(candidates)), "", false
	}
	call.To = chosen.Member
	reply := b.send(ctx, call, escrow)
	reply.PathLevel = min(reply.PathLevel, max(reply.Load.Level, 1))
	return reply, chosen.Member, true
}

func (b *Broker) untried(code Code, level int) Reply {
	r := refuse(code, retrier.NotRun, b.retryAfter(shedRetry))
	r.PathLevel = level
	return r
}

func lowestLevel(list []router.Candidate) int {
	level := admitter.MaxLevel
	for _, c := range list {
		level = min(level, c.Level)
	}
	return level
}

// again decides whether to send a call once more, and spends a retry if so.
func (b *Broker) again(ctx context.Context, route reducer.Route, call Call, reply Reply, escrow *retrier.Escrow) bool {
	if !retryable(reply) {
		return false
	}
	deadline, _ := ctx.Deadline()
	allowed := retrier.Allowed(retrier.Attempt{
		Outcome:    reply.Outcome,
		Idempotent: call.Idempotent,
		Remaining:  deadline.Sub(b.Clock()),
		Expected:   reply.Load.ServiceTime,
	})
	if !allowed || ctx.Err() != nil {
		return false
	}
	free := reply.Code == CodeDraining || reply.Code == CodeWrongMember
	return (free || b.mayRetry(route.Service)) && escrow.Use()
}

// retryable says whether another target may do better.
func retryable(reply Reply) bool {
	switch reply.Code {
	case CodeNone:
		return reply.Status == http.StatusBadGateway || reply.Status == http.StatusServiceUnavailable
	case CodeTaken, CodeNoQuorum, CodeCancelled, CodeTimeout, CodeLate:
		return false
	default:
		return true
	}
}

func (b *Broker) noteRetry(call Call, member string, reply Reply) {
	b.Metrics.Retries.Inc()
	b.Events.Add(recorder.Event{
		Kind:    recorder.Retried,
		Request: call.RootID,
		Route:   call.Route,
		Reason:  string(reply.Code),
		Detail:  member + " " + reply.Outcome.String(),
	})
}

// interrupted is the reply to a call whose deadline has passed or whose caller has gone.
func (b *Broker) interrupted(ctx context.Context, outcome retrier.Outcome) Reply {
	code := CodeCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = CodeTimeout
	}
	r := refuse(code, outcome, b.retryAfter(shedRetry))
	r.PathLevel = admitter.MaxLevel
	return r
}

// send runs a call at the chosen member and lends it a part of the request's retries meanwhile. The
// rest stays here for the case that no answer comes back.
func (b *Broker) send(ctx context.Context, call Call, escrow *retrier.Escrow) Reply {
	lent := escrow.Lend()
	call.Retries = lent
	reply := b.deliver(ctx, call)
	escrow.Return(lent, reply.RetriesLeft)
	return reply
}

func (b *Broker) deliver(ctx context.Context, call Call) Reply {
	if call.To == b.Self() {
		return b.Execute(ctx, call)
	}
	vm, _, _ := reducer.SplitMemberID(call.To)
	b.Roster.Begin(vm)
	began := b.Clock()
	reply, err := b.forward(ctx, call)
	took := b.Clock().Sub(began)
	healthy := err == nil && reply.Code != CodeTargetDown && reply.Code != CodeTargetBroken
	if b.Roster.End(vm, healthy || errors.Is(ctx.Err(), context.Canceled), took-reply.Load.ServiceTime) {
		b.Events.Add(recorder.Event{Kind: recorder.Ejected, Detail: call.To})
	}
	if err != nil {
		return reply
	}
	b.Roster.Merge([]roster.Entry{reply.Load})
	return reply
}

// forward sends a call to another node. A message that was sent and not answered is asked for again
// over a new connection: the receiver does not run a further copy of it.
func (b *Broker) forward(ctx context.Context, call Call) (Reply, error) {
	reply, err := b.forwardOnce(ctx, call)
	for n := 0; n < asks && errors.Is(err, ErrBroken) && !call.Idempotent && ctx.Err() == nil; n++ {
		call.Again = true
		reply, err = b.forwardOnce(ctx, call)
	}
	if err == nil {
		return reply, nil
	}
	return b.failed(ctx, call, err), err
}

func (b *Broker) forwardOnce(ctx context.Context, call Call) (Reply, error) {
	if deadline, ok := ctx.Deadline(); ok {
		call.Timeout = deadline.Sub(b.Clock())
	}
	return b.Peers.Forward(ctx, call)
}

// failed is the reply to a call whose node gave no answer.
func (b *Broker) failed(ctx context.Context, call Call, err error) Reply {
	outcome := retrier.Unknown
	if errors.Is(err, ErrNotSent) && !call.Again {
		outcome = retrier.NotRun
	}
	if ctx.Err() != nil {
		return b.interrupted(ctx, outcome)
	}
	code := CodeUnreachable
	if outcome == retrier.Unknown && !call.Idempotent {
		code = CodeUnknown
	}
	r := refuse(code, outcome, b.retryAfter(shedRetry))
	r.PathLevel = admitter.MaxLevel
	if outcome == retrier.NotRun {
		r.RetriesLeft = call.Retries
	}
	return r
}
