package broker

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/node/waiter"
	"github.com/plantainwheel/plantainwheel/internal/policy/admitter"
	"github.com/plantainwheel/plantainwheel/internal/policy/balancer"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

// While another attempt holds the request ID of a call, the call is dispatched again at about earlierAttemptInterval,
// for at most earlierAttemptWait and half of the time to the deadline.
const (
	earlierAttemptInterval = 100 * time.Millisecond
	earlierAttemptWait     = 2 * time.Second
)

// dispatch sends a call to a target of its route's service. If another attempt holds the call's request ID, dispatch
// waits for its outcome.
func (b *Broker) dispatch(ctx context.Context, route reducer.Route, call Call, budget *retrier.Budget) Reply {
	reply := b.dispatchOnce(ctx, route, call, budget)
	if reply.Code != CodeEarlierAttemptUnknown {
		return reply
	}
	deadline, _ := ctx.Deadline()
	wait := min(earlierAttemptWait, deadline.Sub(b.Clock())/2)
	for end := b.Clock().Add(wait); b.Clock().Before(end); {
		if !waiter.Sleep(ctx, time.Duration((0.5+b.fraction())*float64(earlierAttemptInterval))) {
			return reply
		}
		// A member returns the same reply to each copy of a call.
		call.ID = uuid.NewString()
		if next := b.dispatchOnce(ctx, route, call, budget); next.Outcome != retrier.NotRun {
			return next
		}
	}
	return reply
}

// dispatchOnce sends a call to a target. It retries a failed call as long as a retry is safe, can still succeed and is
// within the retry budget. A retry excludes the members that did not run the call.
func (b *Broker) dispatchOnce(ctx context.Context, route reducer.Route, call Call, budget *retrier.Budget) Reply {
	var tried []string
	level := admitter.MaxLevel
	b.recordAttempt(route.Service)
	for attempt := 0; ; attempt++ {
		reply, member, sent := b.attempt(ctx, route, call, budget, tried)
		level = min(level, reply.PathLevel)
		if !sent || !b.acquireRetry(ctx, route, call, reply, budget) {
			reply.PathLevel = level
			return reply
		}
		b.recordRetry(call, member, reply)
		if reply.Outcome == retrier.NotRun {
			tried = append(tried, member)
		}
		if !waiter.Sleep(ctx, retrier.Backoff(attempt, b.fraction())) {
			return b.interrupted(ctx, reply.Outcome)
		}
	}
}

// attempt selects a target and sends the call to it once. It returns the member that it selected, and
// false if it selected none and sent nothing.
func (b *Broker) attempt(ctx context.Context, route reducer.Route, call Call, budget *retrier.Budget, tried []string) (Reply, string, bool) {
	candidates := b.Roster.Candidates(route.Service, b.Random())
	chosen, refusal := balancer.Choose(candidates, balancer.Request{
		Priority:  admitter.Priority(call.Importance, call.RootID),
		ChildCall: call.Depth > 0 || !b.OverloadControl,
		Tried:     tried,
		Random:    b.Random(),
	})
	switch refusal {
	case balancer.NoTarget:
		return b.refuseUnsent(CodeNoTarget, admitter.MaxLevel), "", false
	case balancer.Shed:
		return b.refuseUnsent(CodeOverload, lowestLevel(candidates)), "", false
	}
	call.To = chosen.Member
	reply := b.send(ctx, call, budget)
	reply.PathLevel = min(reply.PathLevel, max(reply.Entry.Level, 1))
	return reply, chosen.Member, true
}

func (b *Broker) refuseUnsent(code Code, level int) Reply {
	r := refuse(code, retrier.NotRun, b.retryAfter(minRetryAfter))
	r.PathLevel = level
	return r
}

func lowestLevel(list []balancer.Candidate) int {
	level := admitter.MaxLevel
	for _, c := range list {
		level = min(level, c.Level)
	}
	return level
}

// acquireRetry reports whether to retry a call. If so, it spends one retry of the request's budget and one
// token of the service's retry bucket. A retry after a refusal by a draining or restarted member takes no
// token from the bucket.
func (b *Broker) acquireRetry(ctx context.Context, route reducer.Route, call Call, reply Reply, budget *retrier.Budget) bool {
	if !retryable(reply) {
		return false
	}
	deadline, _ := ctx.Deadline()
	allowed := retrier.Allowed(retrier.FailedAttempt{
		Outcome:     reply.Outcome,
		Idempotent:  call.Idempotent,
		Remaining:   deadline.Sub(b.Clock()),
		ServiceTime: reply.Entry.ServiceTime,
	})
	if !allowed || ctx.Err() != nil {
		return false
	}
	exempt := reply.Code == CodeDraining || reply.Code == CodeWrongMember
	return (exempt || b.takeRetryToken(route.Service)) && budget.Spend()
}

// retryable reports whether another attempt may succeed after this reply.
func retryable(reply Reply) bool {
	switch reply.Code {
	case CodeNone:
		return reply.Status == http.StatusBadGateway || reply.Status == http.StatusServiceUnavailable
	case CodeEarlierAttemptUnknown, CodeNoQuorum, CodeCancelled, CodeTimeout, CodeDeadlineTooNear:
		return false
	default:
		return true
	}
}

func (b *Broker) recordRetry(call Call, member string, reply Reply) {
	b.Metrics.Retries.Inc()
	b.Events.Add(recorder.Event{
		Kind:    recorder.Retried,
		Request: call.RootID,
		Route:   call.Route,
		Reason:  string(reply.Code),
		Detail:  member + " " + reply.Outcome.String(),
	})
}

// interrupted returns the reply to a call whose deadline has passed or whose caller has cancelled it.
func (b *Broker) interrupted(ctx context.Context, outcome retrier.Outcome) Reply {
	code := CodeCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = CodeTimeout
	}
	r := refuse(code, outcome, b.retryAfter(minRetryAfter))
	r.PathLevel = admitter.MaxLevel
	return r
}

// send runs a call at the selected member and lends the call a part of the retry budget. The sender keeps
// the rest, so that it can still retry if it receives no answer.
func (b *Broker) send(ctx context.Context, call Call, budget *retrier.Budget) Reply {
	lent := budget.Lend()
	call.Retries = lent
	reply := b.deliver(ctx, call)
	budget.Restore(lent, reply.RetriesLeft)
	return reply
}

func (b *Broker) deliver(ctx context.Context, call Call) Reply {
	if call.To == b.Self() {
		return b.Execute(ctx, call)
	}
	vm, _, _ := reducer.SplitMemberID(call.To)
	b.Roster.BeginCall(vm)
	started := b.Clock()
	reply, err := b.forward(ctx, call)
	took := b.Clock().Sub(started)
	healthy := err == nil && reply.Code != CodeTargetDown && reply.Code != CodeTargetNoAnswer
	if b.Roster.EndCall(vm, healthy || errors.Is(ctx.Err(), context.Canceled), took-reply.Entry.ServiceTime) {
		b.Events.Add(recorder.Event{Kind: recorder.TargetEjected, Detail: call.To})
	}
	if err != nil {
		return reply
	}
	b.Roster.Merge([]roster.Entry{reply.Entry})
	return reply
}

// forward sends a call to another node. It resends a non-idempotent call that was sent but not answered,
// in order to get its result. The receiver recognizes the call ID and does not run a duplicate.
func (b *Broker) forward(ctx context.Context, call Call) (Reply, error) {
	reply, err := b.forwardOnce(ctx, call)
	for n := 0; n < maxResends && errors.Is(err, ErrNoAnswer) && !call.Idempotent && ctx.Err() == nil; n++ {
		call.Resent = true
		reply, err = b.forwardOnce(ctx, call)
	}
	if err == nil {
		return reply, nil
	}
	return b.forwardFailed(ctx, call, err), err
}

func (b *Broker) forwardOnce(ctx context.Context, call Call) (Reply, error) {
	if deadline, ok := ctx.Deadline(); ok {
		call.Timeout = deadline.Sub(b.Clock())
	}
	return b.Peers.Forward(ctx, call)
}

// forwardFailed returns the reply to a call that could not be sent to another node or that the node did not
// answer.
func (b *Broker) forwardFailed(ctx context.Context, call Call, err error) Reply {
	outcome := retrier.Unknown
	if errors.Is(err, ErrNotSent) && !call.Resent {
		outcome = retrier.NotRun
	}
	if ctx.Err() != nil {
		return b.interrupted(ctx, outcome)
	}
	code := CodeNodeUnreachable
	if outcome == retrier.Unknown && !call.Idempotent {
		code = CodeOutcomeUnknown
	}
	r := refuse(code, outcome, b.retryAfter(minRetryAfter))
	r.PathLevel = admitter.MaxLevel
	if outcome == retrier.NotRun {
		r.RetriesLeft = call.Retries
	}
	return r
}
