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

// Serve takes a request from a caller to its final answer.
func (b *Broker) Serve(ctx context.Context, in Inbound) Reply {
	started := b.Clock()
	route, ok := b.Fold.State().Route(in.Method, in.Path)
	if !ok {
		return b.final(started, Call{}, refuse(CodeNoRoute, retrier.NotRun, 0))
	}
	call := b.newCall(route, in)
	if len(in.RequestID) > maxRequestID {
		return b.final(started, call, refuse(CodeTooLong, retrier.NotRun, 0))
	}
	account, refusal := b.authenticate(route, in)
	if refusal != nil {
		return b.final(started, call, *refusal)
	}
	call.Account = account.Name
	call.Importance = b.Fold.State().ImportanceOf(route, account.Name, started)
	if in.RequestID != "" && !route.Idempotent {
		call.RequestID = account.Name + "/" + route.Name + "/" + in.RequestID
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	escrow := retrier.Mint(b.Retries)
	reply := b.admitted(ctx, route, account, call, &escrow)
	return b.final(started, call, reply)
}

// authenticate checks the key that came with a request against a fold that is known to be recent.
func (b *Broker) authenticate(route reducer.Route, in Inbound) (reducer.Account, *Reply) {
	if route.Open {
		return reducer.Account{}, nil
	}
	if !b.Fold.Confirmed() {
		r := refuse(CodeStale, retrier.NotRun, b.retryAfter(staleRetry))
		return reducer.Account{}, &r
	}
	if in.Key == "" {
		r := refuse(CodeNoKey, retrier.NotRun, 0)
		return reducer.Account{}, &r
	}
	account, ok := b.Fold.State().Authenticate(in.Key)
	if !ok {
		r := refuse(CodeBadKey, retrier.NotRun, 0)
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

// admitted spends a token of the account and dispatches the call, unless the targets on the request's
// path are known to refuse it.
func (b *Broker) admitted(ctx context.Context, route reducer.Route, account reducer.Account, call Call, escrow *retrier.Escrow) Reply {
	if !b.Control {
		return b.dispatch(ctx, route, call, escrow)
	}
	if !b.pathAdmits(route.Name, call) {
		return refuse(CodeOverload, retrier.NotRun, b.retryAfter(shedRetry))
	}
	if account.Name == "" {
		return b.noted(ctx, route, call, escrow)
	}
	token, dry, err := b.Rates.Take(ctx, account)
	if err != nil {
		return refuse(CodeRate, retrier.NotRun, b.retryAfter(dry))
	}
	reply := b.noted(ctx, route, call, escrow)
	if reply.Outcome == retrier.NotRun {
		b.Rates.GiveBack(account, token)
	}
	return reply
}

// noted dispatches a call and notes the level of the targets that it depended on.
func (b *Broker) noted(ctx context.Context, route reducer.Route, call Call, escrow *retrier.Escrow) Reply {
	reply := b.dispatch(ctx, route, call, escrow)
	b.notePath(route.Name, reply.PathLevel)
	return reply
}

// pathLevel is a smoothed level of the targets that a route's requests depend on.
type pathLevel struct {
	level float64
	at    time.Time
}

const (
	pathWeight = 0.05
	// pathRecovery is the time in which a level recovers fully without news.
	pathRecovery = 2 * time.Second
)

func (p pathLevel) value(now time.Time) float64 {
	gain := now.Sub(p.at).Seconds() / pathRecovery.Seconds() * admitter.MaxLevel
	return min(p.level+gain, admitter.MaxLevel)
}

func (b *Broker) pathAdmits(route string, call Call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.paths[route]
	if !ok {
		return true
	}
	return float64(admitter.Priority(call.Importance, call.RootID)) < p.value(b.Clock())
}

func (b *Broker) notePath(route string, level int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	if b.paths == nil {
		b.paths = map[string]pathLevel{}
	}
	p, ok := b.paths[route]
	if !ok {
		p = pathLevel{level: admitter.MaxLevel, at: now}
	}
	current := p.value(now)
	b.paths[route] = pathLevel{level: current + pathWeight*(float64(level)-current), at: now}
}

// final counts a reply and notes a refusal.
func (b *Broker) final(started time.Time, call Call, reply Reply) Reply {
	b.Metrics.request(&call, &reply, b.Clock().Sub(started))
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

// Child takes a call that a target makes while it runs one.
func (b *Broker) Child(ctx context.Context, token string, in Inbound) Reply {
	route, ok := b.Fold.State().Route(in.Method, in.Path)
	if !ok {
		return refuse(CodeNoRoute, retrier.NotRun, 0)
	}
	parent, ok := b.run(token)
	if !ok {
		return b.orphan(ctx, route, in)
	}
	if parent.call.Depth+1 >= maxDepth {
		return refuse(CodeTooDeep, retrier.NotRun, 0)
	}
	call := b.newCall(route, in)
	call.RootID = parent.call.RootID
	call.Account = parent.call.Account
	call.Importance = parent.call.Importance
	call.Depth = parent.call.Depth + 1
	ctx, cancel := parent.bound(ctx, b.Clock(), &call)
	defer cancel()
	escrow, lent := parent.lend(b.Clock())
	reply := b.dispatch(ctx, route, call, &escrow)
	parent.settle(b.Clock(), lent, escrow.Left(), reply.PathLevel)
	return reply
}

// orphan takes a child call without a valid context: it has no account and no retries.
func (b *Broker) orphan(ctx context.Context, route reducer.Route, in Inbound) Reply {
	if !route.Open {
		return refuse(CodeNoKey, retrier.NotRun, 0)
	}
	call := b.newCall(route, in)
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	escrow := retrier.Mint(0)
	return b.dispatch(ctx, route, call, &escrow)
}
