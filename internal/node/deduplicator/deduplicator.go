// Package deduplicator acquires the right to execute a request ID at most once, and grants it as a registrar.
package deduplicator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// Errors returned by Acquire.
var (
	// ErrTaken means that another attempt holds the request ID and that its outcome is not known yet.
	ErrTaken = errors.New("another attempt holds the request id")
	// ErrNoQuorum means that too few registrars answered to form a quorum.
	ErrNoQuorum = errors.New("too few registrars answered to form a quorum")
)

const (
	voteTimeout    = 400 * time.Millisecond
	catchUpTimeout = 200 * time.Millisecond
	// maxAcquireRounds bounds the attempts to agree with the registrars on a membership.
	maxAcquireRounds = 3
)

// Result reports the outcome of a request ID to the registrars.
type Result struct {
	ID       string
	Executor string
	// Released means that the executor did not run the request.
	Released bool
	Answer   granter.Answer
}

// Peers sends messages to the registrars.
type Peers interface {
	Grant(ctx context.Context, member string, req granter.GrantRequest) (granter.Vote, error)
	Finish(ctx context.Context, member string, res Result) error
	Handover(ctx context.Context, member, from string, entries []granter.Entry, covers []string) error
}

// StateView is the node's view of the replicated fleet state.
type StateView interface {
	State() *reducer.State
	Confirmed() bool
	Expired(offset int64, extra time.Duration) bool
	WaitOffset(ctx context.Context, offset int64) error
}

// Deduplicator acquires and grants request IDs. It is safe for concurrent use. No other lock is acquired while
// its lock is held, except those inside StateView.
type Deduplicator struct {
	// View provides the registrar groups.
	View StateView
	// Peers sends messages to the registrars.
	Peers Peers
	// Clock returns the current time.
	Clock func() time.Time
	// Self returns the member ID of this node.
	Self func() string
	// Retention is how long the registrar remembers an ID after its last change.
	Retention time.Duration
	// Capacity is the maximum number of IDs in the registrar's table.
	Capacity int

	mu         sync.Mutex
	table      granter.Table
	handedOver bool
	shutDown   bool
	jobs       sync.WaitGroup
}

// Grant votes as a registrar on an executor's request. It grants the ID only if both have the same
// membership and the registrar's state is confirmed to be recent.
func (c *Deduplicator) Grant(ctx context.Context, req granter.GrantRequest) granter.Vote {
	shard := reducer.ShardOf(req.ID)
	if c.groupVersion(shard) < req.Version {
		ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		defer cancel()
		_ = c.View.WaitOffset(ctx, req.Version)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configure()
	// The group is read after the confirmation, so that the confirmation covers the group too.
	st := granter.RegistrarState{Self: c.Self(), Confirmed: c.View.Confirmed(), Closed: c.handedOver}
	st.Since = c.groupVersion(shard)
	return c.table.Vote(c.Clock(), req, st)
}

func (c *Deduplicator) configure() {
	c.table.Retention = c.Retention
	c.table.Capacity = c.Capacity
}

func (c *Deduplicator) groupVersion(shard int) int64 { return c.View.State().Shards[shard].Since }

// Finish records, as a registrar, the outcome of an ID.
func (c *Deduplicator) Finish(res Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if res.Released {
		c.table.Release(res.ID, res.Executor)
		return
	}
	c.table.Finish(c.Clock(), res.ID, res.Executor, res.Answer)
}

// Len returns the number of IDs that this registrar remembers.
func (c *Deduplicator) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}

// Acquire obtains the right to run an ID. If the ID has already run, Acquire returns the stored answer and
// sets replay.
func (c *Deduplicator) Acquire(ctx context.Context, id, executor string) (answer granter.Answer, replay bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	for range maxAcquireRounds {
		var decision granter.Decision
		start := c.Clock()
		decision, answer = c.round(ctx, id, executor)
		if c.Clock().Sub(start) > voteTimeout {
			// This node or a registrar was paused, so the votes may rest on a state that is no longer recent.
			break
		}
		switch decision {
		case granter.Run:
			return granter.Answer{}, false, nil
		case granter.Replay:
			return answer, true, nil
		case granter.Deny:
			c.Release(id, executor)
			return granter.Answer{}, false, ErrTaken
		}
		if ctx.Err() != nil {
			break
		}
	}
	c.Release(id, executor)
	return granter.Answer{}, false, ErrNoQuorum
}

// round asks all registrars of an ID once and evaluates their votes.
func (c *Deduplicator) round(ctx context.Context, id, executor string) (granter.Decision, granter.Answer) {
	state := c.View.State()
	shard := state.Shards[reducer.ShardOf(id)]
	quorums, complete := granter.Quorums(shard, c.expired)
	if !complete {
		return granter.Wait, granter.Answer{}
	}
	req := granter.GrantRequest{ID: id, Executor: executor, Version: shard.Since}
	registrars := c.registrars(state, quorums)
	votes := make(chan granter.Vote, len(registrars))
	for _, registrar := range registrars {
		if !c.spawn(func() { votes <- c.ask(ctx, registrar, req) }) {
			votes <- granter.Vote{From: registrar, Status: granter.Behind}
		}
	}
	return c.collect(ctx, quorums, votes, len(registrars))
}

// expired reports whether a group that was replaced at the given offset can no longer hold a grant.
func (c *Deduplicator) expired(until int64) bool { return c.View.Expired(until, c.Retention) }

func (c *Deduplicator) collect(ctx context.Context, quorums []granter.Quorum, votes <-chan granter.Vote, n int) (granter.Decision, granter.Answer) {
	var received []granter.Vote
	sawStale := false
	for range n {
		v := <-votes
		sawStale = sawStale || v.Status == granter.Stale
		received = append(received, v)
		if d, answer := granter.Tally(quorums, received); d != granter.Wait {
			return d, answer
		}
	}
	if sawStale {
		ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		defer cancel()
		_ = c.View.WaitOffset(ctx, c.View.State().Offset+1)
	}
	return granter.Wait, granter.Answer{}
}

// registrars returns the members to ask: those of the quorums, or their successors.
func (c *Deduplicator) registrars(state *reducer.State, quorums []granter.Quorum) []string {
	var list []string
	for _, q := range quorums {
		for _, id := range q.Members {
			list = append(list, state.TableHolder(id))
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (c *Deduplicator) ask(ctx context.Context, member string, req granter.GrantRequest) granter.Vote {
	if member == c.Self() {
		return c.Grant(ctx, req)
	}
	vote, err := c.Peers.Grant(ctx, member, req)
	if err != nil {
		return granter.Vote{From: member, Status: granter.Behind}
	}
	return vote
}

// Release tells the registrars that an ID was not run.
func (c *Deduplicator) Release(id, executor string) {
	c.notifyAll(Result{ID: id, Executor: executor, Released: true})
}

// Complete sends the answer of an ID to the registrars.
func (c *Deduplicator) Complete(id, executor string, answer granter.Answer) {
	c.notifyAll(Result{ID: id, Executor: executor, Answer: answer})
}

func (c *Deduplicator) notifyAll(res Result) {
	state := c.View.State()
	shard := state.Shards[reducer.ShardOf(res.ID)]
	quorums, _ := granter.Quorums(shard, c.expired)
	for _, member := range c.registrars(state, quorums) {
		if member == c.Self() {
			c.Finish(res)
			continue
		}
		c.spawn(func() { c.notify(member, res) })
	}
}

func (c *Deduplicator) notify(member string, res Result) {
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	_ = c.Peers.Finish(ctx, member, res)
}

// Merge takes over the table of a departing member. It returns false if this node has already handed over
// its own table.
func (c *Deduplicator) Merge(from string, entries []granter.Entry, covers []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handedOver {
		return false
	}
	c.table.Merge(entries, append(covers, from)...)
	return true
}

// HandOver stops granting and transfers the table to the first of the members that accepts it. It returns
// an empty string if none does.
func (c *Deduplicator) HandOver(ctx context.Context, members []string) (successor string) {
	c.mu.Lock()
	c.handedOver = true
	entries, covers := c.table.Entries()
	c.mu.Unlock()
	for _, member := range members {
		if member == c.Self() {
			continue
		}
		if err := c.Peers.Handover(ctx, member, c.Self(), entries, covers); err == nil {
			return member
		}
	}
	return ""
}

// Reset clears the table for a new incarnation of this node.
func (c *Deduplicator) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = granter.Table{}
	c.handedOver = false
}

// spawn runs a job in the background; Close waits for it. After Close it starts no job and returns false.
func (c *Deduplicator) spawn(job func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shutDown {
		return false
	}
	c.jobs.Go(job)
	return true
}

// Close stops sending messages and waits for those in flight.
func (c *Deduplicator) Close() {
	c.mu.Lock()
	c.shutDown = true
	c.mu.Unlock()
	c.jobs.Wait()
}
