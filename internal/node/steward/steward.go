// Package steward keeps up a node's membership and exchanges with the other nodes.
package steward

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/follower"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/node/waiter"
	"github.com/plantainwheel/plantainwheel/internal/platform/client"
	"github.com/plantainwheel/plantainwheel/internal/policy/planner"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

const (
	planEvery       = 250 * time.Millisecond
	proposeTimeout  = 3 * time.Second
	exchangeTimeout = time.Second
	// sampleSize bounds the roster entries of one exchange.
	sampleSize = 4
	// forgetAfter is how many suspect times a silent VM without membership is remembered.
	forgetAfter = 4
)

// Message is one side of an exchange.
type Message struct {
	Position follower.Position
	Entries  []roster.Entry
	Records  []client.Record
	Snapshot json.RawMessage
}

// Peers reaches the other nodes.
type Peers interface {
	Exchange(ctx context.Context, address string, msg Message) (Message, error)
}

// Slots stops and resumes lending.
type Slots interface {
	// Close returns for how long loans of the slots may still last.
	Close(ctx context.Context, slots []int) time.Duration
	Reopen(slots []int)
}

// Steward is safe for concurrent use. Its lock is a leaf.
type Steward struct {
	// VM, DataCentre and PeerAddress describe this node.
	VM          string
	DataCentre  string
	PeerAddress string
	// Seeds are peer addresses to ask before any member is known.
	Seeds []string
	// Follower holds the fold.
	Follower *follower.Follower
	// Roster holds what is heard of other nodes.
	Roster *roster.Roster
	// Peers reaches other nodes.
	Peers Peers
	// Slots stops lending before slots are passed on.
	Slots Slots
	// Events receives proposals.
	Events *recorder.Ring
	// Clock returns the time.
	Clock func() time.Time
	// Describe fills in the target's part of the node's own entry.
	Describe func(*roster.Entry)
	// Fenced is called after this incarnation was removed and before the next one joins.
	Fenced func()
	// ExchangeEvery, SuspectAfter, SnapshotEvery and Witnesses are settings.
	ExchangeEvery time.Duration
	SuspectAfter  time.Duration
	SnapshotEvery time.Duration
	Witnesses     int

	incarnation atomic.Int64
	beat        atomic.Int64
	left        atomic.Bool
	enrolled    atomic.Int64
	mu          sync.Mutex
	joined      bool
	fenced      bool
	snapshotAs  int64
	snapshotAt  time.Time
	// uncertain says that an earlier transfer may still be recorded; only Upkeep uses it.
	uncertain bool
}

// Init chooses the first incarnation.
func (s *Steward) Init() {
	s.incarnation.Store(s.Clock().UnixMicro())
	s.snapshotAt = s.Clock()
	s.Follower.SetSelf(s.Self())
	s.Entry()
}

// Self returns the member ID of the present incarnation.
func (s *Steward) Self() string { return reducer.MemberID(s.VM, s.incarnation.Load()) }

// Entry describes this node as of now and stores the description in the roster.
func (s *Steward) Entry() roster.Entry {
	e := roster.Entry{
		VM:          s.VM,
		Incarnation: s.incarnation.Load(),
		DataCentre:  s.DataCentre,
		PeerAddress: s.PeerAddress,
		Beat:        s.beat.Add(1),
		Left:        s.left.Load(),
	}
	s.Describe(&e)
	s.Roster.Merge([]roster.Entry{e})
	return e
}

// Run exchanges and proposes until ctx ends.
func (s *Steward) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { waiter.Every(ctx, s.ExchangeEvery, s.ExchangeAll) })
	wg.Go(func() { waiter.Every(ctx, planEvery, s.Upkeep) })
	wg.Go(func() { s.push(ctx) })
	wg.Wait()
}

// push exchanges with the witnesses as soon as the fold moves, so that changes settle at once.
func (s *Steward) push(ctx context.Context) {
	offset := int64(0)
	for ctx.Err() == nil {
		next := s.Follower.WaitChange()
		if now := s.Follower.State().Offset; now != offset {
			offset = now
			s.exchangeWith(ctx, s.witnessAddresses(), 0)
			continue
		}
		select {
		case <-ctx.Done():
		case <-next:
		}
	}
}

// ExchangeAll exchanges positions with the witnesses, and samples of the roster too with the ring
// neighbours and one random peer.
func (s *Steward) ExchangeAll(ctx context.Context) {
	s.Entry()
	s.enroll()
	partners := s.partners()
	witnesses := slices.DeleteFunc(s.witnessAddresses(), func(a string) bool { return slices.Contains(partners, a) })
	var wg sync.WaitGroup
	wg.Go(func() { s.exchangeWith(ctx, partners, sampleSize) })
	wg.Go(func() { s.exchangeWith(ctx, witnesses, 0) })
	wg.Wait()
}

// enroll notes the members of the fold in the roster whenever the fold has moved.
func (s *Steward) enroll() {
	state := s.Follower.State()
	if s.enrolled.Swap(state.Offset) != state.Offset {
		s.Roster.Add(state.MemberList())
	}
}

func (s *Steward) partners() []string {
	var list []string
	for _, m := range s.Follower.State().Neighbours(s.Self(), planner.RingNeighbours) {
		list = append(list, m.PeerAddress)
	}
	if address, ok := s.Roster.Random(rand.Uint64()); ok {
		list = append(list, address)
	}
	if len(s.Seeds) > 0 && !s.Follower.Confirmed() {
		list = append(list, s.Seeds[rand.IntN(len(s.Seeds))])
	}
	return s.others(list)
}

// witnessAddresses lists the witnesses that a node asks: all of them where it is one itself or its
// evidence ages.
func (s *Steward) witnessAddresses() []string {
	state := s.Follower.State()
	self := s.Self()
	ids := slices.Concat(state.Witness.Members, state.Witness.Previous)
	if !slices.Contains(ids, self) && !s.Follower.Ages() {
		return nil
	}
	var list []string
	for _, id := range ids {
		if m, ok := state.Members[id]; ok {
			list = append(list, m.PeerAddress)
		}
	}
	return s.others(list)
}

func (s *Steward) others(list []string) []string {
	slices.Sort(list)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(a string) bool { return a == s.PeerAddress })
}

// exchangeWith exchanges positions with nodes, and with them a sample of the roster.
func (s *Steward) exchangeWith(ctx context.Context, addresses []string, sample int) {
	var wg sync.WaitGroup
	for _, a := range addresses {
		wg.Go(func() { s.exchange(ctx, a, sample) })
	}
	wg.Wait()
}

func (s *Steward) exchange(ctx context.Context, address string, sample int) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := s.Clock()
	answer, err := s.Peers.Exchange(ctx, address, s.message(sample))
	if err != nil {
		return
	}
	s.Roster.Merge(answer.Entries)
	s.Follower.Learn(sentAt, answer.Position, answer.Records, answer.Snapshot)
}

func (s *Steward) message(sample int) Message {
	return Message{Position: s.Follower.Position(), Entries: s.Roster.Sample(sample, rand.Uint64())}
}

// Answer takes in a peer's side of an exchange and returns this node's.
func (s *Steward) Answer(msg Message) Message {
	s.Roster.Merge(msg.Entries)
	s.Follower.Observe(msg.Position)
	s.Entry()
	out := s.message(len(msg.Entries))
	out.Records, out.Snapshot = s.Follower.Since(msg.Position.Offset)
	return out
}

// Upkeep proposes the next record that the membership calls for.
func (s *Steward) Upkeep(ctx context.Context) {
	state := s.Follower.State()
	s.rejoin(state)
	if s.left.Load() || !s.Follower.Confirmed() || !s.Follower.Reading() {
		return
	}
	s.forget(state)
	rec, ok := planner.Plan(state, s.view(state))
	if !ok {
		return
	}
	if rec.Transfer != nil {
		s.transfer(ctx, rec)
		return
	}
	_ = s.propose(ctx, rec)
}

// transfer stops lending from slots and passes them on. It lends from them again where it is certain
// that no transfer was recorded.
func (s *Steward) transfer(ctx context.Context, rec reducer.Record) {
	slots := rec.Transfer.Slots()
	rec.Transfer.LoanMS = s.Slots.Close(ctx, slots).Milliseconds()
	err := s.propose(ctx, rec)
	if errors.Is(err, follower.ErrUnknown) {
		s.uncertain = true
		return
	}
	if err == nil {
		s.uncertain = false
	}
	if !s.uncertain {
		s.Slots.Reopen(slots)
	}
}

func (s *Steward) propose(ctx context.Context, rec reducer.Record) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, err := s.Follower.Propose(ctx, rec)
	e := recorder.Event{Kind: recorder.Proposed, Change: rec.ID, Detail: string(out.Verdict)}
	if err != nil {
		e.Reason = err.Error()
	}
	s.Events.Add(e)
	return err
}

func (s *Steward) view(state *reducer.State) planner.View {
	return planner.View{
		Self: reducer.Member{
			VM:          s.VM,
			Incarnation: s.incarnation.Load(),
			DataCentre:  s.DataCentre,
			PeerAddress: s.PeerAddress,
		},
		Fenced:        s.wasFenced(),
		Silent:        s.Roster.Silent(s.SuspectAfter),
		Quorum:        s.Follower.Quorum(),
		Settled:       s.Follower.Settled(),
		WitnessCount:  s.Witnesses,
		SnapshotAge:   s.snapshotAge(state),
		SnapshotEvery: s.SnapshotEvery,
	}
}

func (s *Steward) snapshotAge(state *reducer.State) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock()
	if state.SnapshotAsOf != s.snapshotAs {
		s.snapshotAs = state.SnapshotAsOf
		s.snapshotAt = now
	}
	return now.Sub(s.snapshotAt)
}

func (s *Steward) wasFenced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fenced
}

// rejoin starts a new incarnation after the present one was fenced.
func (s *Steward) rejoin(state *reducer.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, member := state.Members[s.Self()]
	if member || !s.joined || s.left.Load() {
		s.joined = s.joined || member
		return
	}
	s.joined = false
	s.fenced = true
	s.Fenced()
	s.incarnation.Store(max(s.Clock().UnixMicro(), s.incarnation.Load()+1))
	s.Follower.SetSelf(s.Self())
}

// forget drops silent VMs that are no longer members.
func (s *Steward) forget(state *reducer.State) {
	for _, vm := range s.Roster.Silent(forgetAfter * s.SuspectAfter) {
		member := slices.ContainsFunc(state.MemberList(), func(m reducer.Member) bool { return m.VM == vm })
		if !member {
			s.Roster.Forget(vm)
		}
	}
}

// Leave tells the peers that this node leaves and proposes the record. The node must have stopped
// granting and lending before; its loans may last for a span more.
func (s *Steward) Leave(ctx context.Context, successor string, loans time.Duration) {
	s.left.Store(true)
	s.ExchangeAll(ctx)
	if _, ok := s.Follower.State().Members[s.Self()]; ok {
		leave := &reducer.Leave{Member: s.Self(), Successor: successor, LoanMS: loans.Milliseconds()}
		_ = s.propose(ctx, reducer.Record{ID: "leave-" + s.Self(), Leave: leave})
	}
}
