// Package claimer obtains and gives the right to run a request id once.
package claimer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// Sentinel errors of Acquire.
var (
	// ErrTaken says that another attempt has the id and that its outcome is not known yet.
	ErrTaken = errors.New("another attempt has the request id")
	// ErrNoQuorum says that too few registrars have answered.
	ErrNoQuorum = errors.New("too few registrars have answered")
)

const (
	voteTimeout = 400 * time.Millisecond
	catchUpWait = 200 * time.Millisecond
	// acquireRounds bounds the attempts to agree on a membership.
	acquireRounds = 3
)

// Result tells the registrars what became of an id.
type Result struct {
	ID       string
	Executor string
	// Released says that the executor has not run it.
	Released bool
	Answer   granter.Answer
}

// Peers reaches the registrars.
type Peers interface {
	Grant(ctx context.Context, member string, req granter.Ask) (granter.Vote, error)
	Finish(ctx context.Context, member string, res Result) error
	Handover(ctx context.Context, member, from string, entries []granter.Entry, covers []string) error
}

// Fold is the node's view of the fleet's state.
type Fold interface {
	State() *reducer.State
	Confirmed() bool
	Expired(offset int64, extra time.Duration) bool
	WaitOffset(ctx context.Context, offset int64) error
}

// Claimer is safe for concurrent use. Its lock is a leaf.
type Claimer struct {
	// Fold gives the registrar groups.
	Fold Fold
	// Peers reaches the registrars.
	Peers Peers
	// Clock returns the time.
	Clock func() time.Time
	// Self returns the member ID of this node.
	Self func() string
	// Retention is how long ids are remembered.
	Retention time.Duration
	// Capacity bounds the registrar's table.
	Capacity int

	mu     sync.Mutex
	table  granter.Table
	closed bool
	ended  bool
	jobs   sync.WaitGroup
}

// Grant answers an executor as a registrar. The membership of both must be the same, and the
// registrar's must be recent.
func (c *Claimer) Grant(ctx context.Context, req granter.Ask) granter.Vote {
	shard := reducer.ShardOf(req.ID)
	if c.since(shard) < req.Version {
		ctx, cancel := context.WithTimeout(ctx, catchUpWait)
		defer cancel()
		_ = c.Fold.WaitOffset(ctx, req.Version)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configure()
	// The group is read after the confirmation, which then holds for it too.
	st := granter.Standing{Self: c.Self(), Confirmed: c.Fold.Confirmed(), Closed: c.closed}
	st.Since = c.since(shard)
	return c.table.Vote(c.Clock(), req, st)
}

func (c *Claimer) configure() {
	c.table.Retention = c.Retention
	c.table.Capacity = c.Capacity
}

func (c *Claimer) since(shard int) int64 { return c.Fold.State().Shards[shard].Since }

// Finish notes as a registrar what became of an id.
func (c *Claimer) Finish(res Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if res.Released {
		c.table.Release(res.ID, res.Executor)
		return
	}
	c.table.Finish(c.Clock(), res.ID, res.Executor, res.Answer)
}

// Len returns the number of ids that this registrar remembers.
func (c *Claimer) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}

// Acquire obtains the right to run an id. A stored answer is returned with replay true.
func (c *Claimer) Acquire(ctx context.Context, id, executor string) (answer granter.Answer, replay bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	for range acquireRounds {
		var decision granter.Decision
		began := c.Clock()
		decision, answer = c.round(ctx, id, executor)
		if c.Clock().Sub(began) > voteTimeout {
			// This node or a registrar was paused: the votes may rest on a fold that is no longer recent.
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

// round asks all registrars of an id once.
func (c *Claimer) round(ctx context.Context, id, executor string) (granter.Decision, granter.Answer) {
	state := c.Fold.State()
	shard := state.Shards[reducer.ShardOf(id)]
	quorums, whole := granter.Quorums(shard, c.expired)
	if !whole {
		return granter.Wait, granter.Answer{}
	}
	req := granter.Ask{ID: id, Executor: executor, Version: shard.Since}
	registrars := c.registrars(state, quorums)
	votes := make(chan granter.Vote, len(registrars))
	for _, member := range registrars {
		if !c.spawn(func() { votes <- c.ask(ctx, member, req) }) {
			votes <- granter.Vote{From: member, Status: granter.Behind}
		}
	}
	return c.collect(ctx, quorums, votes, len(registrars))
}

// expired says whether a group that was replaced at an offset can hold no grant any more.
func (c *Claimer) expired(until int64) bool { return c.Fold.Expired(until, c.Retention) }

func (c *Claimer) collect(ctx context.Context, quorums []granter.Quorum, votes <-chan granter.Vote, n int) (granter.Decision, granter.Answer) {
	var got []granter.Vote
	stale := false
	for range n {
		v := <-votes
		stale = stale || v.Status == granter.Stale
		got = append(got, v)
		if d, answer := granter.Tally(quorums, got); d != granter.Wait {
			return d, answer
		}
	}
	if stale {
		ctx, cancel := context.WithTimeout(ctx, catchUpWait)
		defer cancel()
		_ = c.Fold.WaitOffset(ctx, c.Fold.State().Offset+1)
	}
	return granter.Wait, granter.Answer{}
}

// registrars lists the members to ask: those of the quorums, or their successors.
func (c *Claimer) registrars(state *reducer.State, quorums []granter.Quorum) []string {
	var list []string
	for _, q := range quorums {
		for _, id := range q.Members {
			list = append(list, state.Holds(id))
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (c *Claimer) ask(ctx context.Context, member string, req granter.Ask) granter.Vote {
	if member == c.Self() {
		return c.Grant(ctx, req)
	}
	vote, err := c.Peers.Grant(ctx, member, req)
	if err != nil {
		return granter.Vote{From: member, Status: granter.Behind}
	}
	return vote
}

// Release tells the registrars that an id was not run.
func (c *Claimer) Release(id, executor string) {
	c.tell(Result{ID: id, Executor: executor, Released: true})
}

// Complete tells the registrars the answer of an id.
func (c *Claimer) Complete(id, executor string, answer granter.Answer) {
	c.tell(Result{ID: id, Executor: executor, Answer: answer})
}

func (c *Claimer) tell(res Result) {
	state := c.Fold.State()
	shard := state.Shards[reducer.ShardOf(res.ID)]
	quorums, _ := granter.Quorums(shard, c.expired)
	for _, member := range c.registrars(state, quorums) {
		if member == c.Self() {
			c.Finish(res)
			continue
		}
		c.spawn(func() { c.tellOne(member, res) })
	}
}

func (c *Claimer) tellOne(member string, res Result) {
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	_ = c.Peers.Finish(ctx, member, res)
}

// Merge takes over the table of a member that leaves.
func (c *Claimer) Merge(from string, entries []granter.Entry, covers []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.table.Merge(entries, append(covers, from)...)
	return true
}

// HandOver stops granting and passes the table to the first of the members that takes it.
func (c *Claimer) HandOver(ctx context.Context, members []string) (successor string) {
	c.mu.Lock()
	c.closed = true
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

// Reset empties the table for a new incarnation.
func (c *Claimer) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = granter.Table{}
	c.closed = false
}

// spawn runs a job that Close waits for. After Close it runs none.
func (c *Claimer) spawn(job func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.jobs.Go(job)
	return true
}

// Close sends no further messages and waits for those under way.
func (c *Claimer) Close() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.jobs.Wait()
}
