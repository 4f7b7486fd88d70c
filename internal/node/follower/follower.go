// Package follower folds the fleet's event stream into the node's copy of the fleet state, and determines
// whether that state is recent enough to act on.
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

// Errors returned by Propose.
var (
	// ErrUnavailable means that the record was not appended.
	ErrUnavailable = errors.New("platform is unavailable, nothing was recorded")
	// ErrUnknown means that the record may have been appended.
	ErrUnknown = errors.New("outcome is unknown")
)

const (
	maxPollWait    = time.Second
	pollTimeout    = 3 * time.Second
	pollRetryDelay = 200 * time.Millisecond
	// maxTailRecords is the maximum number of recent records kept for peers that are behind.
	maxTailRecords = 4096
	// maxCatchUpRecords is the maximum number of records in one reply to a peer that is behind.
	maxCatchUpRecords = 512
)

// Log is the platform's append-only event stream.
type Log interface {
	Append(ctx context.Context, data []byte) (int64, error)
	Read(ctx context.Context, from int64, wait time.Duration) (client.Page, error)
}

// Follower folds the stream into a state. It is safe for concurrent use. While mu is held, only the lock of
// the event ring may be acquired.
type Follower struct {
	// Log is the platform's event stream.
	Log Log
	// Events receives an event for each folded record, for each installed snapshot, and each time the state
	// becomes confirmed or stale.
	Events *recorder.Ring
	// Clock returns the current time.
	Clock func() time.Time
	// Window and ClockMargin configure confirmer.Evidence.
	Window      time.Duration
	ClockMargin time.Duration

	state      atomic.Pointer[reducer.State]
	mu         sync.Mutex
	evidence   confirmer.Evidence
	tail       []client.Record
	changed    chan struct{}
	scanOffset int64
	confirmed  bool
	reads      atomic.Int64
	lastReadAt time.Time
}

// Init prepares an empty state. It must be called once, before any other method.
func (f *Follower) Init() {
	f.state.Store(reducer.New())
	f.evidence.Window = f.Window
	f.evidence.ClockMargin = f.ClockMargin
	f.changed = make(chan struct{})
}

// State returns the current folded state.
func (f *Follower) State() *reducer.State { return f.state.Load() }

// SetSelf sets the member ID under which this node has joined.
func (f *Follower) SetSelf(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evidence.Self = id
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.Poll(ctx, f.pollWait()); err != nil {
			waiter.Sleep(ctx, pollRetryDelay)
		}
	}
}

// pollWait returns how long a poll waits for new records. The wait is well below the window, because the
// evidence from a poll is dated from the start of the poll.
func (f *Follower) pollWait() time.Duration { return min(maxPollWait, f.Window/4) }

// Poll reads one page of the stream and folds it.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := f.Clock()
	page, err := f.Log.Read(ctx, f.nextOffset(), wait)
	if err != nil {
		return fmt.Errorf("poll stream: %w", err)
	}
	f.reads.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReadAt = f.Clock()
	f.ingest(page)
	f.evidence.RecordHead(sentAt, page.Head)
	f.update()
	return nil
}

func (f *Follower) nextOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.State().Offset+1, f.scanOffset)
}

// ingest folds a page. If records expired before this node read them, ingest searches the page for a snapshot
// that includes them.
func (f *Follower) ingest(page client.Page) {
	if page.First <= f.State().Offset+1 {
		f.scanOffset = 0
		f.fold(page.Records)
		return
	}
	for _, r := range page.Records {
		f.scanOffset = r.Offset + 1
		rec, err := reducer.Decode(r.Data)
		if err == nil && rec.Snapshot != nil && rec.Snapshot.AsOf >= page.First-1 {
			f.installSnapshot(rec.Snapshot.State)
			f.scanOffset = 0
			return
		}
	}
	if len(page.Records) == 0 {
		f.scanOffset = 0
		f.Events.Add(recorder.Event{Kind: recorder.StateLost, Reason: "records expired and no snapshot is retained"})
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
		f.appendTail(r)
		f.recordOutcome(out)
	}
	f.state.Store(s)
}

func (f *Follower) appendTail(r client.Record) {
	if len(f.tail) == maxTailRecords {
		f.tail = append([]client.Record(nil), f.tail[maxTailRecords/2:]...)
	}
	f.tail = append(f.tail, r)
}

func (f *Follower) recordOutcome(out reducer.Outcome) {
	kind := recorder.RecordApplied
	if out.Status == reducer.Malformed {
		kind = recorder.RecordSkipped
	}
	detail := fmt.Sprintf("offset %d %s", out.Offset, out.Status)
	f.Events.Add(recorder.Event{Kind: kind, Change: out.ID, Reason: out.Reason, Detail: detail})
}

// update evaluates the evidence and wakes all callers that wait for a change.
func (f *Follower) update() {
	now := f.Clock()
	f.evidence.Update(now, f.State())
	confirmed := f.evidence.Confirmed(now)
	if confirmed != f.confirmed {
		f.confirmed = confirmed
		f.recordConfirmation(confirmed)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) recordConfirmation(confirmed bool) {
	if confirmed {
		f.Events.Add(recorder.Event{Kind: recorder.Confirmed})
		return
	}
	f.Events.Add(recorder.Event{Kind: recorder.Stale})
}

// installSnapshot replaces the state by a snapshot with a higher offset.
func (f *Follower) installSnapshot(data []byte) bool {
	s, err := reducer.Unmarshal(data)
	if err != nil || s.Offset <= f.State().Offset {
		return false
	}
	f.state.Store(s)
	f.tail = nil
	detail := fmt.Sprintf("snapshot as of offset %d", s.Offset)
	f.Events.Add(recorder.Event{Kind: recorder.RecordApplied, Detail: detail})
	return true
}

// Confirmed reports whether the state is recent enough to act on.
func (f *Follower) Confirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.Confirmed(f.Clock())
}

// EvidenceAging reports whether the evidence is missing or older than half of the window.
func (f *Follower) EvidenceAging() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, ok := f.evidence.Age(f.Clock())
	return !ok || age > f.Window/2
}

// HasQuorum reports whether a majority of the witnesses has answered within the window.
func (f *Follower) HasQuorum() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.HasQuorum(f.Clock(), f.State())
}

// SettledOffset returns the highest offset known to be folded by a majority of the witnesses.
func (f *Follower) SettledOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.Settled()
}

// Expired reports whether every node that has not folded offset stopped acting on its state at least extra ago.
func (f *Follower) Expired(offset int64, extra time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.Expired(f.Clock(), offset, extra)
}

// PlatformReachable reports whether the platform has answered a read within the last pollTimeout.
func (f *Follower) PlatformReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock().Sub(f.lastReadAt) < pollTimeout
}

// Reads returns the number of pages read from the platform.
func (f *Follower) Reads() int64 { return f.reads.Load() }

// Propose appends a record and waits for the outcome of folding it.
func (f *Follower) Propose(ctx context.Context, rec reducer.Record) (reducer.Outcome, error) {
	if rec.ID == "" {
		rec.ID = uuid.NewString()
	}
	if out, ok := f.State().FindOutcome(rec.ID); ok {
		return out, nil
	}
	data, err := reducer.Encode(rec)
	if err != nil {
		return reducer.Outcome{}, err
	}
	offset, err := f.Log.Append(ctx, data)
	switch {
	case err == nil:
		return f.awaitOutcome(ctx, rec.ID, offset)
	case errors.Is(err, client.ErrUnavailable):
		return reducer.Outcome{ID: rec.ID}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	default:
		return f.resolve(ctx, rec.ID, data)
	}
}

// resolve handles an append whose outcome is unknown. It appends the record again only after it has read the
// stream without finding the record. If both appends succeeded, folding ignores the second record with the
// same ID.
func (f *Follower) resolve(ctx context.Context, id string, data []byte) (reducer.Outcome, error) {
	for ctx.Err() == nil {
		readsBefore := f.Reads()
		if err := f.waitUntil(ctx, func() bool { return f.hasOutcome(id) || f.Reads() > readsBefore+1 }); err != nil {
			break
		}
		if out, ok := f.State().FindOutcome(id); ok {
			return out, nil
		}
		offset, err := f.Log.Append(ctx, data)
		if err == nil {
			return f.awaitOutcome(ctx, id, offset)
		}
	}
	return reducer.Outcome{ID: id}, ErrUnknown
}

func (f *Follower) hasOutcome(id string) bool {
	_, ok := f.State().FindOutcome(id)
	return ok
}

func (f *Follower) awaitOutcome(ctx context.Context, id string, offset int64) (reducer.Outcome, error) {
	if err := f.WaitOffset(ctx, offset); err != nil {
		return reducer.Outcome{ID: id, Offset: offset}, ErrUnknown
	}
	out, ok := f.State().FindOutcome(id)
	if !ok {
		return reducer.Outcome{ID: id, Offset: offset, Status: reducer.Accepted}, nil
	}
	return out, nil
}

// WaitOffset waits until the state includes the record at offset.
func (f *Follower) WaitOffset(ctx context.Context, offset int64) error {
	return f.waitUntil(ctx, func() bool { return f.State().Offset >= offset })
}

// WaitSettled waits until a majority of the witnesses is known to have folded offset. It does not wait while
// there are no witnesses.
func (f *Follower) WaitSettled(ctx context.Context, offset int64) error {
	settled := func() bool {
		return len(f.State().Witness.Members) == 0 || f.SettledOffset() >= offset
	}
	return f.waitUntil(ctx, settled)
}

// Changed returns a channel that is closed by the next update of the state or of its evidence.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *Follower) waitUntil(ctx context.Context, done func() bool) error {
	for {
		changed := f.Changed()
		if done() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for state: %w", ctx.Err())
		case <-changed:
		}
	}
}

// Position describes how far a node has followed the stream. Nodes send each other their positions in an
// exchange.
type Position struct {
	Member        string
	Offset        int64
	SettledOffset int64
	// Age is the age of the evidence. HasEvidence is false if there is no evidence within the window.
	Age         time.Duration
	HasEvidence bool
}

// Position returns this node's position.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, ok := f.evidence.Age(f.Clock())
	return Position{
		Member:        f.evidence.Self,
		Offset:        f.State().Offset,
		SettledOffset: f.evidence.Settled(),
		Age:           age,
		HasEvidence:   ok && age <= f.Window,
	}
}

// RecordsAfter returns up to maxCatchUpRecords records after an offset, or a snapshot if this node no longer
// keeps those records.
func (f *Follower) RecordsAfter(offset int64) (records []client.Record, snapshot json.RawMessage) {
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
		if r.Offset > offset && len(records) < maxCatchUpRecords {
			records = append(records, r)
		}
	}
	return records, nil
}

// ApplyReply applies a peer's reply to an exchange that was sent at sentAt.
func (f *Follower) ApplyReply(sentAt time.Time, peer Position, records []client.Record, snapshot json.RawMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(snapshot) > 0 {
		f.installSnapshot(snapshot)
	}
	if len(records) > 0 && records[0].Offset <= f.State().Offset+1 {
		f.fold(records)
	}
	if peer.Member != "" {
		f.evidence.RecordAck(sentAt, peer.Member, peer.Offset)
	}
	if peer.HasEvidence {
		f.evidence.RecordPeer(sentAt, peer.Age, peer.Offset)
	}
	f.evidence.RecordSettled(f.Clock(), min(peer.SettledOffset, f.State().Offset))
	f.update()
}

// Observe applies the settled offset of a peer that started an exchange with this node.
func (f *Follower) Observe(peer Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evidence.RecordSettled(f.Clock(), min(peer.SettledOffset, f.State().Offset))
}
