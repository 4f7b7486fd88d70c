// Package follower keeps a node's fold of the fleet's stream and decides whether it is recent.
package follower

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/waiter"
	"github.com/plantainwheel/plantainwheel/internal/platform/client"
	"github.com/plantainwheel/plantainwheel/internal/policy/confirmer"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// Sentinel errors of proposals.
var (
	// ErrUnavailable says that the record was not appended.
	ErrUnavailable = errors.New("platform is unavailable, nothing was recorded")
	// ErrUnknown says that the record may have been appended.
	ErrUnknown = errors.New("outcome is unknown")
)

const (
	maxPollWait  = time.Second
	pollTimeout  = 3 * time.Second
	pollRetry    = 200 * time.Millisecond
	tailCapacity = 4096
	// catchUpLimit bounds the records passed to a peer at once.
	catchUpLimit = 512
)

// Log is the platform's append-only stream.
type Log interface {
	Append(ctx context.Context, data []byte) (int64, error)
	Read(ctx context.Context, from int64, wait time.Duration) (client.Page, error)
}

// Follower folds the stream. It is safe for concurrent use. Lock order: mu is a leaf, but for the
// event ring's lock.
type Follower struct {
	// Log is the platform's stream.
	Log Log
	// Events receives what the fold does.
	Events *recorder.Ring
	// Clock returns the time.
	Clock func() time.Time
	// Window and Margin are those of confirmer.Table.
	Window time.Duration
	Margin time.Duration

	state   atomic.Pointer[reducer.State]
	mu      sync.Mutex
	table   confirmer.Table
	tail    []client.Record
	changed chan struct{}
	scan    int64
	fresh   bool
	reads   atomic.Int64
	readAt  time.Time
}

// Init prepares an empty fold. It is called once, before any other method.
func (f *Follower) Init() {
	f.state.Store(reducer.New())
	f.table.Window = f.Window
	f.table.Margin = f.Margin
	f.changed = make(chan struct{})
}

// State returns the present fold.
func (f *Follower) State() *reducer.State { return f.state.Load() }

// SetSelf tells the member ID under which this node has joined.
func (f *Follower) SetSelf(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Self = id
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.Poll(ctx, f.pollWait()); err != nil {
			waiter.Sleep(ctx, pollRetry)
		}
	}
}

// pollWait keeps a long poll well within the window, since its evidence dates from its start.
func (f *Follower) pollWait() time.Duration { return min(maxPollWait, f.Window/4) }

// Poll reads one page and folds it.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := f.Clock()
	page, err := f.Log.Read(ctx, f.from(), wait)
	if err != nil {
		return fmt.Errorf("poll: %w", err)
	}
	f.reads.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readAt = f.Clock()
	f.ingest(page)
	f.table.Head(sentAt, page.Head)
	f.update()
	return nil
}

func (f *Follower) from() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.State().Offset+1, f.scan)
}

// ingest folds a page. Where records have expired before this node read them, it looks for a snapshot.
func (f *Follower) ingest(page client.Page) {
	if page.First <= f.State().Offset+1 {
		f.scan = 0
		f.fold(page.Records)
		return
	}
	for _, r := range page.Records {
		f.scan = r.Offset + 1
		rec, err := reducer.Decode(r.Data)
		if err == nil && rec.Snapshot != nil && rec.Snapshot.AsOf >= page.First-1 {
			f.adopt(rec.Snapshot.State)
			f.scan = 0
			return
		}
	}
	if len(page.Records) == 0 {
		f.scan = 0
		f.Events.Add(recorder.Event{Kind: recorder.Lost, Reason: "records expired and no snapshot is retained"})
	}
}

func (f *Follower) fold(records []client.Record) {
	s := f.State()
	for _, r := range records {
		if r.Offset <= s.Offset {
			continue
		}
		next, out := reducer.Fold(s, r.Offset, r.Data)
		s = next
		f.keep(r)
		f.note(out)
	}
	f.state.Store(s)
}

func (f *Follower) keep(r client.Record) {
	if len(f.tail) == tailCapacity {
		f.tail = append([]client.Record(nil), f.tail[tailCapacity/2:]...)
	}
	f.tail = append(f.tail, r)
}

func (f *Follower) note(out reducer.Outcome) {
	kind := recorder.Folded
	if out.Verdict == reducer.Malformed {
		kind = recorder.Skipped
	}
	detail := fmt.Sprintf("offset %d %s", out.Offset, out.Verdict)
	f.Events.Add(recorder.Event{Kind: kind, Change: out.ID, Reason: out.Reason, Detail: detail})
}

// update weighs the evidence and wakes those who wait for the fold.
func (f *Follower) update() {
	now := f.Clock()
	f.table.Update(now, f.State())
	fresh := f.table.Confirmed(now)
	if fresh != f.fresh {
		f.fresh = fresh
		f.noteFresh(fresh)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) noteFresh(fresh bool) {
	if fresh {
		f.Events.Add(recorder.Event{Kind: recorder.Confirmed})
		return
	}
	f.Events.Add(recorder.Event{Kind: recorder.Stale})
}

// adopt replaces the fold by a snapshot that is further on.
func (f *Follower) adopt(data []byte) bool {
	s, err := reducer.Unmarshal(data)
	if err != nil || s.Offset <= f.State().Offset {
		return false
	}
	f.state.Store(s)
	f.tail = nil
	detail := fmt.Sprintf("snapshot as of offset %d", s.Offset)
	f.Events.Add(recorder.Event{Kind: recorder.Folded, Detail: detail})
	return true
}

// Confirmed says whether the fold is recent enough to act on.
func (f *Follower) Confirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Confirmed(f.Clock())
}

// Ages says whether the evidence has used up half of its time.
func (f *Follower) Ages() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, ok := f.table.Age(f.Clock())
	return !ok || age > f.Window/2
}

// Quorum says whether a majority of the witnesses has answered of late.
func (f *Follower) Quorum() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Quorum(f.Clock(), f.State())
}

// Settled returns the highest offset known to be folded by a majority of the witnesses.
func (f *Follower) Settled() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Settled()
}

// Expired says whether no node has acted on a fold below offset for at least extra.
func (f *Follower) Expired(offset int64, extra time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Expired(f.Clock(), offset, extra)
}

// Reading says whether the platform has answered of late.
func (f *Follower) Reading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock().Sub(f.readAt) < pollTimeout
}

// Reads returns the number of pages read from the platform.
func (f *Follower) Reads() int64 { return f.reads.Load() }

// Propose appends a record and waits for the fold's verdict on it.
func (f *Follower) Propose(ctx context.Context, rec reducer.Record) (reducer.Outcome, error) {
	if rec.ID == "" {
		rec.ID = uuid.NewString()
	}
	if out, ok := f.State().Find(rec.ID); ok {
		return out, nil
	}
	data, err := reducer.Encode(rec)
	if err != nil {
		return reducer.Outcome{}, err
	}
	offset, err := f.Log.Append(ctx, data)
	switch {
	case err == nil:
		return f.await(ctx, rec.ID, offset)
	case errors.Is(err, client.ErrUnavailable):
		return reducer.Outcome{ID: rec.ID}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	default:
		return f.resolve(ctx, rec.ID, data)
	}
}

// resolve looks for a record whose append was not answered, and appends it again only after the
// stream has been read without finding it. The fold ignores a second record with the same id.
func (f *Follower) resolve(ctx context.Context, id string, data []byte) (reducer.Outcome, error) {
	for ctx.Err() == nil {
		seen := f.Reads()
		if err := f.until(ctx, func() bool { return f.known(id) || f.Reads() > seen+1 }); err != nil {
			break
		}
		if out, ok := f.State().Find(id); ok {
			return out, nil
		}
		offset, err := f.Log.Append(ctx, data)
		if err == nil {
			return f.await(ctx, id, offset)
		}
	}
	return reducer.Outcome{ID: id}, ErrUnknown
}

func (f *Follower) known(id string) bool {
	_, ok := f.State().Find(id)
	return ok
}

func (f *Follower) await(ctx context.Context, id string, offset int64) (reducer.Outcome, error) {
	if err := f.WaitOffset(ctx, offset); err != nil {
		return reducer.Outcome{ID: id, Offset: offset}, ErrUnknown
	}
	out, ok := f.State().Find(id)
	if !ok {
		return reducer.Outcome{ID: id, Offset: offset, Verdict: reducer.Accepted}, nil
	}
	return out, nil
}

// WaitOffset waits until the fold has reached an offset.
func (f *Follower) WaitOffset(ctx context.Context, offset int64) error {
	return f.until(ctx, func() bool { return f.State().Offset >= offset })
}

// WaitSettled waits until a majority of the witnesses has folded an offset.
func (f *Follower) WaitSettled(ctx context.Context, offset int64) error {
	settled := func() bool {
		return len(f.State().Witness.Members) == 0 || f.Settled() >= offset
	}
	return f.until(ctx, settled)
}

// WaitChange returns a channel that is closed by the next update of the fold or its evidence.
func (f *Follower) WaitChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *Follower) until(ctx context.Context, done func() bool) error {
	for {
		next := f.WaitChange()
		if done() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for fold: %w", ctx.Err())
		case <-next:
		}
	}
}

// Position is what two nodes compare when they exchange.
type Position struct {
	Member  string
	Offset  int64
	Settled int64
	// Age is that of the evidence; Known is false without any.
	Age   time.Duration
	Known bool
}

// Position returns this node's position.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, ok := f.table.Age(f.Clock())
	return Position{
		Member:  f.table.Self,
		Offset:  f.State().Offset,
		Settled: f.table.Settled(),
		Age:     age,
		Known:   ok && age <= f.Window,
	}
}

// Since returns the records after an offset, or a snapshot where they are no longer kept.
func (f *Follower) Since(offset int64) (records []client.Record, snapshot json.RawMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.State()
	if offset >= s.Offset {
		return nil, nil
	}
	if len(f.tail) == 0 || f.tail[0].Offset > offset+1 {
		data, err := reducer.Marshal(s)
		if err != nil {
			return nil, nil
		}
		return nil, data
	}
	for _, r := range f.tail {
		if r.Offset > offset && len(records) < catchUpLimit {
			records = append(records, r)
		}
	}
	return records, nil
}

// Learn takes in what a peer, asked at sentAt, has answered.
func (f *Follower) Learn(sentAt time.Time, peer Position, records []client.Record, snapshot json.RawMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(snapshot) > 0 {
		f.adopt(snapshot)
	}
	if len(records) > 0 && records[0].Offset <= f.State().Offset+1 {
		f.fold(records)
	}
	if peer.Member != "" {
		f.table.Ack(sentAt, peer.Member, peer.Offset)
	}
	if peer.Known {
		f.table.Peer(sentAt, peer.Age, peer.Offset)
	}
	f.table.Settle(f.Clock(), min(peer.Settled, f.State().Offset))
	f.update()
}

// Observe takes in what a peer has said of itself without having been asked.
func (f *Follower) Observe(peer Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Settle(f.Clock(), min(peer.Settled, f.State().Offset))
}
