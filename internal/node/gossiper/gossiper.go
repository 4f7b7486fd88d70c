// Package gossiper maintains a node's membership and exchanges state with the other nodes by gossip.
package gossiper

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
	planInterval    = 250 * time.Millisecond
	proposeTimeout  = 3 * time.Second
	exchangeTimeout = time.Second
	// gossipSampleSize is the maximum number of roster entries in one exchange.
	gossipSampleSize = 4
	// forgetFactor is the number of SuspectAfter periods after which a silent VM that is no longer a member is
	// forgotten.
	forgetFactor = 4
)

// Message is a request or a reply of an exchange.
type Message struct {
	Position follower.Position
	Entries  []roster.Entry
	Records  []client.Record
	Snapshot json.RawMessage
}

// Peers sends messages to the other nodes.
type Peers interface {
	Exchange(ctx context.Context, address string, msg Message) (Message, error)
}

// Slots stops and resumes lending rate tokens.
type Slots interface {
	// Close returns the time for which loans from the slots may remain valid.
	Close(ctx context.Context, slots []int) time.Duration
	Reopen(slots []int)
}

// Gossiper maintains the membership of one node. It is safe for concurrent use. While its lock is held, only
// the locks of the follower and of the Fenced callback are acquired.
type Gossiper struct {
	// VM, DataCentre and PeerAddress describe this node.
	VM          string
	DataCentre  string
	PeerAddress string
	// Seeds are peer addresses to contact before any member is known.
	Seeds []string
	// Follower provides the replicated state.
	Follower *follower.Follower
	// Roster holds the entries received from other nodes.
	Roster *roster.Roster
	// Peers sends messages to the other nodes.
	Peers Peers
	// Slots stops lending before slots are handed over.
	Slots Slots
	// Events receives an event for each proposal.
	Events *recorder.Ring
	// Clock returns the current time.
	Clock func() time.Time
	// Describe fills in the target's fields of this node's entry.
	Describe func(*roster.Entry)
	// OnFenced is called after this incarnation was removed and before the next one joins.
	OnFenced func()
	// ExchangeEvery, SuspectAfter, SnapshotEvery and Witnesses are settings.
	ExchangeEvery time.Duration
	SuspectAfter  time.Duration
	SnapshotEvery time.Duration
	Witnesses     int

	incarnation    atomic.Int64
	heartbeat      atomic.Int64
	hasLeft        atomic.Bool
	enrolledOffset atomic.Int64
	mu             sync.Mutex
	joined         bool
	fenced         bool
	snapshotOffset int64
	snapshotSeenAt time.Time
	// transferUncertain means that an earlier transfer may still be recorded. Only Reconcile uses it.
	transferUncertain bool
}

// Init chooses the first incarnation.
func (s *Gossiper) Init() {
	s.incarnation.Store(s.Clock().UnixMicro())
	s.snapshotSeenAt = s.Clock()
	s.Follower.SetSelf(s.Self())
	s.RefreshEntry()
}

// Self returns the member ID of the current incarnation.
func (s *Gossiper) Self() string { return reducer.MemberID(s.VM, s.incarnation.Load()) }

// RefreshEntry returns a new entry that describes this node and stores it in the roster.
func (s *Gossiper) RefreshEntry() roster.Entry {
	e := roster.Entry{
		VM:          s.VM,
		Incarnation: s.incarnation.Load(),
		DataCentre:  s.DataCentre,
		PeerAddress: s.PeerAddress,
		Heartbeat:   s.heartbeat.Add(1),
		Left:        s.hasLeft.Load(),
	}
	s.Describe(&e)
	s.Roster.Merge([]roster.Entry{e})
	return e
}

// Run exchanges and proposes until ctx ends.
func (s *Gossiper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { waiter.Every(ctx, s.ExchangeEvery, s.ExchangeAll) })
	wg.Go(func() { waiter.Every(ctx, planInterval, s.Reconcile) })
	wg.Go(func() { s.pushUpdates(ctx) })
	wg.Wait()
}

// pushUpdates exchanges with the witnesses as soon as the state changes, so that new records settle without
// waiting for the next periodic exchange.
func (s *Gossiper) pushUpdates(ctx context.Context) {
	offset := int64(0)
	for ctx.Err() == nil {
		changed := s.Follower.Changed()
		if current := s.Follower.State().Offset; current != offset {
			offset = current
			s.exchangeWith(ctx, s.witnessAddresses(), 0)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// ExchangeAll exchanges positions with the witnesses, and positions and roster samples with the ring
// neighbours and one random peer.
func (s *Gossiper) ExchangeAll(ctx context.Context) {
	s.RefreshEntry()
	s.enrollMembers()
	peers := s.gossipPeers()
	witnesses := slices.DeleteFunc(s.witnessAddresses(), func(a string) bool { return slices.Contains(peers, a) })
	var wg sync.WaitGroup
	wg.Go(func() { s.exchangeWith(ctx, peers, gossipSampleSize) })
	wg.Go(func() { s.exchangeWith(ctx, witnesses, 0) })
	wg.Wait()
}

// enrollMembers adds the members of the state to the roster if the state has changed.
func (s *Gossiper) enrollMembers() {
	state := s.Follower.State()
	if s.enrolledOffset.Swap(state.Offset) != state.Offset {
		s.Roster.AddMembers(state.MemberList())
	}
}

func (s *Gossiper) gossipPeers() []string {
	var list []string
	for _, m := range s.Follower.State().Neighbours(s.Self(), planner.RingNeighbours) {
		list = append(list, m.PeerAddress)
	}
	if address, ok := s.Roster.RandomPeer(rand.Uint64()); ok {
		list = append(list, address)
	}
	if len(s.Seeds) > 0 && !s.Follower.Confirmed() {
		list = append(list, s.Seeds[rand.IntN(len(s.Seeds))])
	}
	return s.excludeSelf(list)
}

// witnessAddresses returns the witnesses that this node contacts. A node contacts them only if it is itself a
// witness or if its evidence is aging.
func (s *Gossiper) witnessAddresses() []string {
	state := s.Follower.State()
	self := s.Self()
	ids := slices.Concat(state.Witness.Members, state.Witness.Previous)
	if !slices.Contains(ids, self) && !s.Follower.EvidenceAging() {
		return nil
	}
	var list []string
	for _, id := range ids {
		if m, ok := state.Members[id]; ok {
			list = append(list, m.PeerAddress)
		}
	}
	return s.excludeSelf(list)
}

func (s *Gossiper) excludeSelf(list []string) []string {
	slices.Sort(list)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(a string) bool { return a == s.PeerAddress })
}

// exchangeWith exchanges positions and up to sampleSize roster entries with nodes.
func (s *Gossiper) exchangeWith(ctx context.Context, addresses []string, sampleSize int) {
	var wg sync.WaitGroup
	for _, a := range addresses {
		wg.Go(func() { s.exchange(ctx, a, sampleSize) })
	}
	wg.Wait()
}

func (s *Gossiper) exchange(ctx context.Context, address string, sampleSize int) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := s.Clock()
	reply, err := s.Peers.Exchange(ctx, address, s.newMessage(sampleSize))
	if err != nil {
		return
	}
	s.Roster.Merge(reply.Entries)
	s.Follower.ApplyReply(sentAt, reply.Position, reply.Records, reply.Snapshot)
}

func (s *Gossiper) newMessage(sampleSize int) Message {
	return Message{Position: s.Follower.Position(), Entries: s.Roster.Sample(sampleSize, rand.Uint64())}
}

// HandleExchange applies a peer's request and returns this node's reply.
func (s *Gossiper) HandleExchange(msg Message) Message {
	s.Roster.Merge(msg.Entries)
	s.Follower.Observe(msg.Position)
	s.RefreshEntry()
	reply := s.newMessage(len(msg.Entries))
	reply.Records, reply.Snapshot = s.Follower.RecordsAfter(msg.Position.Offset)
	return reply
}

// Reconcile proposes the next record that the membership requires.
func (s *Gossiper) Reconcile(ctx context.Context) {
	state := s.Follower.State()
	s.rejoin(state)
	if s.hasLeft.Load() || !s.Follower.Confirmed() || !s.Follower.PlatformReachable() {
		return
	}
	s.forgetSilent(state)
	rec, ok := planner.Plan(state, s.view(state))
	if !ok {
		return
	}
	if rec.Transfer != nil {
		s.transferSlots(ctx, rec)
		return
	}
	_ = s.propose(ctx, rec)
}

// transferSlots stops lending from slots and proposes their transfer. Lending resumes only if no transfer can
// have been recorded.
func (s *Gossiper) transferSlots(ctx context.Context, rec reducer.Record) {
	slots := rec.Transfer.Slots()
	rec.Transfer.LoanMS = s.Slots.Close(ctx, slots).Milliseconds()
	err := s.propose(ctx, rec)
	if errors.Is(err, follower.ErrUnknown) {
		s.transferUncertain = true
		return
	}
	if err == nil {
		s.transferUncertain = false
	}
	if !s.transferUncertain {
		s.Slots.Reopen(slots)
	}
}

func (s *Gossiper) propose(ctx context.Context, rec reducer.Record) error {
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

func (s *Gossiper) view(state *reducer.State) planner.Input {
	return planner.Input{
		Self: reducer.Member{
			VM:          s.VM,
			Incarnation: s.incarnation.Load(),
			DataCentre:  s.DataCentre,
			PeerAddress: s.PeerAddress,
		},
		Fenced:        s.wasFenced(),
		Suspects:      s.Roster.SilentVMs(s.SuspectAfter),
		HasQuorum:     s.Follower.HasQuorum(),
		SettledOffset: s.Follower.Settled(),
		WitnessCount:  s.Witnesses,
		SnapshotAge:   s.snapshotAge(state),
		SnapshotEvery: s.SnapshotEvery,
	}
}

func (s *Gossiper) snapshotAge(state *reducer.State) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock()
	if state.SnapshotAsOf != s.snapshotOffset {
		s.snapshotOffset = state.SnapshotAsOf
		s.snapshotSeenAt = now
	}
	return now.Sub(s.snapshotSeenAt)
}

func (s *Gossiper) wasFenced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fenced
}

// rejoin starts a new incarnation after the current one was fenced.
func (s *Gossiper) rejoin(state *reducer.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, isMember := state.Members[s.Self()]
	if isMember || !s.joined || s.hasLeft.Load() {
		s.joined = s.joined || isMember
		return
	}
	s.joined = false
	s.fenced = true
	s.OnFenced()
	s.incarnation.Store(max(s.Clock().UnixMicro(), s.incarnation.Load()+1))
	s.Follower.SetSelf(s.Self())
}

// forgetSilent removes silent VMs that are no longer members from the roster.
func (s *Gossiper) forgetSilent(state *reducer.State) {
	for _, vm := range s.Roster.SilentVMs(forgetFactor * s.SuspectAfter) {
		isMember := slices.ContainsFunc(state.MemberList(), func(m reducer.Member) bool { return m.VM == vm })
		if !isMember {
			s.Roster.Forget(vm)
		}
	}
}

// Leave announces to the peers that this node leaves and proposes the record. Granting and lending must have
// stopped before; loans may remain valid for loanLifetime.
func (s *Gossiper) Leave(ctx context.Context, successor string, loanLifetime time.Duration) {
	s.hasLeft.Store(true)
	s.ExchangeAll(ctx)
	if _, ok := s.Follower.State().Members[s.Self()]; ok {
		leave := &reducer.Leave{Member: s.Self(), Successor: successor, LoanMS: loanLifetime.Milliseconds()}
		_ = s.propose(ctx, reducer.Record{ID: "leave-" + s.Self(), Leave: leave})
	}
}
