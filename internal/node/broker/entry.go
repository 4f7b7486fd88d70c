package broker

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/policy/admitter"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

// Serve processes a request from a caller and returns its final reply.
func (b *Broker) Serve(ctx context.Context, in Inbound) Reply {
	started := b.Clock()
	route, ok := b.View.State().Route(in.Method, in.Path)
	if !ok {
		return b.finishRequest(started, Call{}, refuse(CodeNoRoute, retrier.NotRun, 0))
	}
	call := b.newCall(route, in)
	if len(in.RequestID) > maxRequestIDBytes {
		return b.finishRequest(started, call, refuse(CodeRequestIDTooLong, retrier.NotRun, 0))
	}
	account, refusal := b.authenticate(route, in)
	if refusal != nil {
		return b.finishRequest(started, call, *refusal)
	}
	call.Account = account.Name
	call.Importance = b.View.State().ImportanceOf(route, account.Name, started)
	if in.RequestID != "" && !route.Idempotent {
		call.RequestID = account.Name + "/" + route.Name + "/" + in.RequestID
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	budget := retrier.NewBudget(b.RetryBudget)
	reply := b.admit(ctx, route, account, call, &budget)
	return b.finishRequest(started, call, reply)
}

// authenticate checks the key of a request. It refuses the request if the node's state is not confirmed
// to be recent, since the key may have been withdrawn.
func (b *Broker) authenticate(route reducer.Route, in Inbound) (reducer.Account, *Reply) {
	if route.Anonymous {
		return reducer.Account{}, nil
	}
	if !b.View.Confirmed() {
		r := refuse(CodeNodeStale, retrier.NotRun, b.retryAfter(minStaleRetryAfter))
		return reducer.Account{}, &r
	}
	if in.Key == "" {
		r := refuse(CodeNoKey, retrier.NotRun, 0)
		return reducer.Account{}, &r
	}
	account, ok := b.View.State().Authenticate(in.Key)
	if !ok {
		r := refuse(CodeUnknownKey, retrier.NotRun, 0)
		return reducer.Account{}, &r
	}
	return account, nil
}

func (b *Broker) newCall(route reducer.Route, in Inbound) Call {
	id := uuid.NewString()
	timeout := time.Duration(route.TimeoutMS) * time.Millisecond
	if in.Timeout > 0 {
		timeout = min(timeout, in.Timeout)
	}
	return Call{
		ID:         id,
		RootID:     id,
		Route:      route.Name,
		Method:     in.Method,
		URI:        in.URI,
		Headers:    in.Headers,
		Body:       in.Body,
		Timeout:    timeout,
		Importance: route.Importance,
		Idempotent: route.Idempotent,
	}
}

// admit takes a rate token of the client account and dispatches the call. It refuses the call if the
// route's moving average of the path level does not admit the call's priority. It returns the token if the
// call was not run.
func (b *Broker) admit(ctx context.Context, route reducer.Route, account reducer.Account, call Call, budget *retrier.Budget) Reply {
	if !b.OverloadControl {
		return b.dispatch(ctx, route, call, budget)
	}
	if !b.pathAdmits(route.Name, call) {
		return refuse(CodeOverload, retrier.NotRun, b.retryAfter(minRetryAfter))
	}
	if account.Name == "" {
		return b.dispatchAndRecord(ctx, route, call, budget)
	}
	token, retryAfter, err := b.RateLimiter.Take(ctx, account)
	if err != nil {
		return refuse(CodeRateExceeded, retrier.NotRun, b.retryAfter(retryAfter))
	}
	reply := b.dispatchAndRecord(ctx, route, call, budget)
	if reply.Outcome == retrier.NotRun {
		b.RateLimiter.Refund(account, token)
	}
	return reply
}

// dispatchAndRecord dispatches a call and records the lowest admission level among the targets that the
// call depended on.
func (b *Broker) dispatchAndRecord(ctx context.Context, route reducer.Route, call Call, budget *retrier.Budget) Reply {
	reply := b.dispatch(ctx, route, call, budget)
	b.recordPathLevel(route.Name, reply.PathLevel)
	return reply
}

// pathLevel is a moving average of the path levels of a route's replies. The path level of a reply is the
// lowest admission level among the targets that the call depended on.
type pathLevel struct {
	level     float64
	updatedAt time.Time
}

const (
	// pathLevelWeight is the weight of a new sample in the moving average.
	pathLevelWeight = 0.05
	// pathLevelRecovery is the time in which a level fully recovers without new samples.
	pathLevelRecovery = 2 * time.Second
)

func (p pathLevel) levelAt(now time.Time) float64 {
	recovered := now.Sub(p.updatedAt).Seconds() / pathLevelRecovery.Seconds() * admitter.MaxLevel
	return min(p.level+recovered, admitter.MaxLevel)
}

func (b *Broker) pathAdmits(route string, call Call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.pathLevels[route]
	if !ok {
		return true
	}
	return float64(admitter.Priority(call.Importance, call.RootID)) < p.levelAt(b.Clock())
}

func (b *Broker) recordPathLevel(route string, level int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	if b.pathLevels == nil {
		b.pathLevels = map[string]pathLevel{}
	}
	p, ok := b.pathLevels[route]
	if !ok {
		p = pathLevel{level: admitter.MaxLevel, updatedAt: now}
	}
	current := p.levelAt(now)
	b.pathLevels[route] = pathLevel{level: current + pathLevelWeight*(float64(level)-current), updatedAt: now}
}

// finishRequest updates the metrics and records the result of a request.
func (b *Broker) finishRequest(started time.Time, call Call, reply Reply) Reply {
	b.Metrics.observeRequest(&call, &reply, b.Clock().Sub(started))
	kind := recorder.Served
	if reply.Code != CodeNone {
		kind = recorder.Refused
	}
	b.Events.Add(recorder.Event{
		Kind:    kind,
		Request: call.RootID,
		Account: call.Account,
		Route:   call.Route,
		Reason:  string(reply.Code),
		Detail:  reply.Outcome.String(),
	})
	return reply
}

// ServeChild processes a child call, which the target makes while it runs the call that the token
// identifies.
func (b *Broker) ServeChild(ctx context.Context, token string, in Inbound) Reply {
	route, ok := b.View.State().Route(in.Method, in.Path)
	if !ok {
		return refuse(CodeNoRoute, retrier.NotRun, 0)
	}
	parent, ok := b.findRun(token)
	if !ok {
		return b.serveOrphan(ctx, route, in)
	}
	if parent.call.Depth+1 >= maxDepth {
		return refuse(CodeTooDeep, retrier.NotRun, 0)
	}
	call := b.newCall(route, in)
	call.RootID = parent.call.RootID
	call.Account = parent.call.Account
	call.Importance = parent.call.Importance
	call.Depth = parent.call.Depth + 1
	ctx, cancel := parent.childContext(ctx, b.Clock(), &call)
	defer cancel()
	budget, lent := parent.beginChild(b.Clock())
	reply := b.dispatch(ctx, route, call, &budget)
	parent.endChild(b.Clock(), lent, budget.Remaining(), reply.PathLevel)
	return reply
}

// serveOrphan processes a child call whose token does not identify a running call. Such a call has no
// client account and no retries, and is accepted on anonymous routes only.
func (b *Broker) serveOrphan(ctx context.Context, route reducer.Route, in Inbound) Reply {
	if !route.Anonymous {
		return refuse(CodeNoKey, retrier.NotRun, 0)
	}
	call := b.newCall(route, in)
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	budget := retrier.NewBudget(0)
	return b.dispatch(ctx, route, call, &budget)
}
