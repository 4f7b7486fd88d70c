// Package deduplicator ensures that a request ID is run at most once. A node that executes a request acquires
// the right to run its ID from the registrars, which are the members of the ID's group. Each node is also a
// registrar for the groups that it belongs to.
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
	ErrTaken = errors.New("another attempt holds the request ID")
	// ErrNoQuorum means that Acquire obtained no decision from the registrars in time.
	ErrNoQuorum = errors.New("too few registrars answered to form a quorum")
)

const (
	voteTimeout    = 400 * time.Millisecond
	catchUpTimeout = 200 * time.Millisecond
	// maxAcquireRounds is the maximum number of voting rounds. A further round is needed if the votes are
	// undecided, for example because a registrar knows another group than this node.
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

// Deduplicator acquires request IDs as an executor and grants them as a registrar. It is safe for concurrent
// use. While its lock is held, only the locks inside StateView are acquired.
type Deduplicator struct {
	// View provides the registrar groups.
	View StateView
	// Peers sends messages to the registrars.
	Peers Peers
	// Clock returns the current time.
	Clock func() time.Time
	// Self returns the member ID of this node.
	Self func() string
	// Retention is how long the registrar keeps the entry of an ID after its last change.
	Retention time.Duration
	// Capacity is the maximum number of IDs in the registrar's table.
	Capacity int

	mu         sync.Mutex
	table      granter.Table
	handedOver bool
	shutDown   bool
	jobs       sync.WaitGroup
}

// Grant votes as a registrar on an executor's request. It grants the ID only if executor and registrar know
// the same group and the registrar's state is confirmed to be recent.
func (d *Deduplicator) Grant(ctx context.Context, req granter.GrantRequest) granter.Vote {
	shard := reducer.ShardOf(req.ID)
	if d.groupVersion(shard) < req.Version {
		ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		defer cancel()
		_ = d.View.WaitOffset(ctx, req.Version)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configure()
	// The group is read after the confirmation, so that the confirmation covers the group too.
	st := granter.RegistrarState{Self: d.Self(), Confirmed: d.View.Confirmed(), Closed: d.handedOver}
	st.Since = d.groupVersion(shard)
	return d.table.Vote(d.Clock(), req, st)
}

func (d *Deduplicator) configure() {
	d.table.Retention = d.Retention
	d.table.Capacity = d.Capacity
}

func (d *Deduplicator) groupVersion(shard int) int64 { return d.View.State().Shards[shard].Since }

// Finish records the outcome of an ID as a registrar.
func (d *Deduplicator) Finish(res Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if res.Released {
		d.table.Release(res.ID, res.Executor)
		return
	}
	d.table.Finish(d.Clock(), res.ID, res.Executor, res.Answer)
}

// Len returns the number of IDs in this registrar's table.
func (d *Deduplicator) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Len()
}

// Acquire obtains the right to run an ID. If the ID has already run, Acquire returns the stored answer and
// sets replay.
func (d *Deduplicator) Acquire(ctx context.Context, id, executor string) (answer granter.Answer, replay bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	for range maxAcquireRounds {
		var decision granter.Decision
		start := d.Clock()
		decision, answer = d.round(ctx, id, executor)
		// If this node or a registrar was paused, the votes may rest on a state that is no longer recent.
		paused := d.Clock().Sub(start) > voteTimeout
		switch {
		case decision == granter.Replay:
			// Registrars that have granted the ID do not know the answer yet.
			d.Complete(id, executor, answer)
			return answer, true, nil
		case decision == granter.Deny:
			d.Release(id, executor)
			return granter.Answer{}, false, ErrTaken
		case decision == granter.Run && !paused:
			return granter.Answer{}, false, nil
		}
		if paused || ctx.Err() != nil {
			break
		}
	}
	d.Release(id, executor)
	return granter.Answer{}, false, ErrNoQuorum
}

// poll is one round of votes on an ID.
type poll struct {
	req      granter.GrantRequest
	asked    []string
	votes    chan granter.Vote
	received []granter.Vote
}

// round requests the votes of the registrars of an ID once and evaluates them. It asks former groups only with a
// majority of the present group, so that executors that ask at the same moment do not hold parts of several groups.
func (d *Deduplicator) round(ctx context.Context, id, executor string) (granter.Decision, granter.Answer) {
	state := d.View.State()
	shard := state.Shards[reducer.ShardOf(id)]
	quorums, complete := granter.Quorums(shard, d.expired)
	if !complete {
		return granter.Wait, granter.Answer{}
	}
	p := &poll{
		req:   granter.GrantRequest{ID: id, Executor: executor, Version: shard.Since},
		votes: make(chan granter.Vote, len(d.registrars(state, quorums))),
	}
	present := quorums[:1]
	decision, answer := d.ask(ctx, p, d.registrars(state, present), present)
	if decision == granter.Run && len(quorums) > 1 {
		return d.ask(ctx, p, d.registrars(state, quorums), quorums)
	}
	return decision, answer
}

// expired reports whether a group that was replaced at the given offset can no longer hold a grant.
func (d *Deduplicator) expired(until int64) bool { return d.View.Expired(until, d.Retention) }

// ask requests the votes of the registrars that have not been asked in this round, and receives votes until they
// decide. If they do not, ask denies the ID if another executor holds some of them. Otherwise, if some are from
// registrars that know a newer group, ask waits for newer state, so that the next round can use that group.
func (d *Deduplicator) ask(ctx context.Context, p *poll, registrars []string, quorums []granter.Quorum) (granter.Decision, granter.Answer) {
	for _, registrar := range registrars {
		if slices.Contains(p.asked, registrar) {
			continue
		}
		p.asked = append(p.asked, registrar)
		if !d.spawn(func() { p.votes <- d.requestVote(ctx, registrar, p.req) }) {
			p.votes <- granter.Vote{From: registrar, Status: granter.Behind}
		}
	}
	for {
		if decision, answer := granter.Tally(quorums, p.received); decision != granter.Wait {
			return decision, answer
		}
		if len(p.received) == len(p.asked) {
			break
		}
		p.received = append(p.received, <-p.votes)
	}
	if p.has(granter.Taken) {
		return granter.Deny, granter.Answer{}
	}
	if p.has(granter.Stale) {
		ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		defer cancel()
		_ = d.View.WaitOffset(ctx, d.View.State().Offset+1)
	}
	return granter.Wait, granter.Answer{}
}

// has reports whether one of the received votes has a status.
func (p *poll) has(status granter.Status) bool {
	return slices.ContainsFunc(p.received, func(v granter.Vote) bool { return v.Status == status })
}

// registrars returns the members whose votes are requested. A member of a quorum that has left is replaced by
// the member that took over its table.
func (d *Deduplicator) registrars(state *reducer.State, quorums []granter.Quorum) []string {
	var list []string
	for _, q := range quorums {
		for _, id := range q.Members {
			list = append(list, state.TableHolder(id))
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (d *Deduplicator) requestVote(ctx context.Context, member string, req granter.GrantRequest) granter.Vote {
	if member == d.Self() {
		return d.Grant(ctx, req)
	}
	vote, err := d.Peers.Grant(ctx, member, req)
	if err != nil {
		return granter.Vote{From: member, Status: granter.Behind}
	}
	return vote
}

// Release tells the registrars that the executor did not run an ID.
func (d *Deduplicator) Release(id, executor string) {
	d.notifyAll(Result{ID: id, Executor: executor, Released: true})
}

// Complete sends the answer of an ID to the registrars.
func (d *Deduplicator) Complete(id, executor string, answer granter.Answer) {
	d.notifyAll(Result{ID: id, Executor: executor, Answer: answer})
}

func (d *Deduplicator) notifyAll(res Result) {
	state := d.View.State()
	shard := state.Shards[reducer.ShardOf(res.ID)]
	quorums, _ := granter.Quorums(shard, d.expired)
	for _, member := range d.registrars(state, quorums) {
		if member == d.Self() {
			d.Finish(res)
			continue
		}
		d.spawn(func() { d.notify(member, res) })
	}
}

func (d *Deduplicator) notify(member string, res Result) {
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	_ = d.Peers.Finish(ctx, member, res)
}

// Merge takes over the table of a departing member, including the tables that this member had itself taken
// over from the members in covers. It returns false if this node has already handed over its own table.
func (d *Deduplicator) Merge(from string, entries []granter.Entry, covers []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.handedOver {
		return false
	}
	d.table.Merge(entries, append(covers, from)...)
	return true
}

// HandOver stops granting and transfers the table to the first of the members that accepts it. It returns
// the successor, or an empty string if no member accepts the table.
func (d *Deduplicator) HandOver(ctx context.Context, members []string) (successor string) {
	d.mu.Lock()
	d.handedOver = true
	entries, covers := d.table.Entries()
	d.mu.Unlock()
	for _, member := range members {
		if member == d.Self() {
			continue
		}
		if err := d.Peers.Handover(ctx, member, d.Self(), entries, covers); err == nil {
			return member
		}
	}
	return ""
}

// Reset clears the table for a new incarnation of this node.
func (d *Deduplicator) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = granter.Table{}
	d.handedOver = false
}

// spawn runs a job in the background, and Close waits for the job. After Close, spawn starts no job and
// returns false.
func (d *Deduplicator) spawn(job func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shutDown {
		return false
	}
	d.jobs.Go(job)
	return true
}

// Close stops sending messages and waits for those in flight.
func (d *Deduplicator) Close() {
	d.mu.Lock()
	d.shutDown = true
	d.mu.Unlock()
	d.jobs.Wait()
}
