// Package gossiper maintains a node's membership in the fleet and exchanges state with the other nodes by gossip.
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
	// gossipSampleSize is the maximum number of roster entries in one message.
	gossipSampleSize = 4
	// forgetFactor is the number of SuspectAfter periods after which a silent VM that is not a member is removed
	// from the roster.
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

// Lender stops and resumes lending rate tokens from the slots that this node holds.
type Lender interface {
	// CloseSlots stops lending and returns the time for which loans from the slots may remain valid.
	CloseSlots(ctx context.Context, slots []int) time.Duration
	// ReopenSlots resumes lending.
	ReopenSlots(slots []int)
}

// Gossiper maintains the membership of one node. It is safe for concurrent use. While its lock is held, only
// the locks of the follower and of the OnFenced callback are acquired.
type Gossiper struct {
	// VM, DataCentre and PeerAddress describe this node.
	VM          string
	DataCentre  string
	PeerAddress string
	// Seeds are the peer addresses that this node contacts while its state is not confirmed.
	Seeds []string
	// Follower provides the replicated state.
	Follower *follower.Follower
	// Roster holds the entries received from other nodes.
	Roster *roster.Roster
	// Peers sends messages to the other nodes.
	Peers Peers
	// Lender stops lending from the slots that this node transfers to another member.
	Lender Lender
	// Events receives an event for each proposed record.
	Events *recorder.Ring
	// Clock returns the current time.
	Clock func() time.Time
	// Describe fills in the target's fields of this node's entry.
	Describe func(*roster.Entry)
	// OnFenced is called after this incarnation was removed and before the next one joins.
	OnFenced func()
	// ExchangeEvery is the interval between periodic exchanges.
	ExchangeEvery time.Duration
	// SuspectAfter is the silence after which a VM is suspected to have failed.
	SuspectAfter time.Duration
	// SnapshotEvery is the desired interval between snapshots of the fleet state.
	SnapshotEvery time.Duration
	// Witnesses is the desired number of witnesses.
	Witnesses int

	incarnation    atomic.Int64
	heartbeat      atomic.Int64
	hasLeft        atomic.Bool
	enrolledOffset atomic.Int64
	mu             sync.Mutex
	joined         bool
	fenced         bool
	snapshotOffset int64
	snapshotSeenAt time.Time
	// transferUncertain means that the outcome of an earlier transfer record is unknown. Only the goroutine
	// that runs Reconcile accesses it.
	transferUncertain bool
}

// Init chooses the first incarnation.
func (g *Gossiper) Init() {
	g.incarnation.Store(g.Clock().UnixMicro())
	g.snapshotSeenAt = g.Clock()
	g.Follower.SetSelf(g.Self())
	g.RefreshEntry()
}

// Self returns the member ID of the current incarnation.
func (g *Gossiper) Self() string { return reducer.MemberID(g.VM, g.incarnation.Load()) }

// RefreshEntry returns a new entry that describes this node and stores it in the roster.
func (g *Gossiper) RefreshEntry() roster.Entry {
	e := roster.Entry{
		VM:          g.VM,
		Incarnation: g.incarnation.Load(),
		DataCentre:  g.DataCentre,
		PeerAddress: g.PeerAddress,
		Heartbeat:   g.heartbeat.Add(1),
		Left:        g.hasLeft.Load(),
	}
	g.Describe(&e)
	g.Roster.Merge([]roster.Entry{e})
	return e
}

// Run exchanges messages with other nodes and proposes records until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { waiter.Every(ctx, g.ExchangeEvery, g.ExchangeAll) })
	wg.Go(func() { waiter.Every(ctx, planInterval, g.Reconcile) })
	wg.Go(func() { g.pushUpdates(ctx) })
	wg.Wait()
}

// pushUpdates exchanges with the witnesses as soon as the state changes, so that new records settle without
// waiting for the next periodic exchange.
func (g *Gossiper) pushUpdates(ctx context.Context) {
	offset := int64(0)
	for ctx.Err() == nil {
		changed := g.Follower.Changed()
		if current := g.Follower.State().Offset; current != offset {
			offset = current
			g.exchangeWith(ctx, g.witnessAddresses(), 0)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// ExchangeAll exchanges positions with the witnesses, and positions and roster samples with the ring
// neighbours, with one random peer and, while the state is not confirmed, with one seed.
func (g *Gossiper) ExchangeAll(ctx context.Context) {
	g.RefreshEntry()
	g.enrollMembers()
	peers := g.gossipPeers()
	witnesses := slices.DeleteFunc(g.witnessAddresses(), func(a string) bool { return slices.Contains(peers, a) })
	var wg sync.WaitGroup
	wg.Go(func() { g.exchangeWith(ctx, peers, gossipSampleSize) })
	wg.Go(func() { g.exchangeWith(ctx, witnesses, 0) })
	wg.Wait()
}

// enrollMembers adds the members of the state to the roster if the state has changed.
func (g *Gossiper) enrollMembers() {
	state := g.Follower.State()
	if g.enrolledOffset.Swap(state.Offset) != state.Offset {
		g.Roster.AddMembers(state.MemberList())
	}
}

func (g *Gossiper) gossipPeers() []string {
	var list []string
	for _, m := range g.Follower.State().Neighbours(g.Self(), planner.RingNeighbours) {
		list = append(list, m.PeerAddress)
	}
	if address, ok := g.Roster.RandomPeer(rand.Uint64()); ok {
		list = append(list, address)
	}
	if len(g.Seeds) > 0 && !g.Follower.Confirmed() {
		list = append(list, g.Seeds[rand.IntN(len(g.Seeds))])
	}
	return g.excludeSelf(list)
}

// witnessAddresses returns the witnesses that this node contacts. A node contacts them only if it is itself a
// witness or if its evidence is aging.
func (g *Gossiper) witnessAddresses() []string {
	state := g.Follower.State()
	self := g.Self()
	ids := slices.Concat(state.Witness.Members, state.Witness.Previous)
	if !slices.Contains(ids, self) && !g.Follower.EvidenceAging() {
		return nil
	}
	var list []string
	for _, id := range ids {
		if m, ok := state.Members[id]; ok {
			list = append(list, m.PeerAddress)
		}
	}
	return g.excludeSelf(list)
}

func (g *Gossiper) excludeSelf(list []string) []string {
	slices.Sort(list)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(a string) bool { return a == g.PeerAddress })
}

// exchangeWith exchanges positions and up to sampleSize roster entries with nodes.
func (g *Gossiper) exchangeWith(ctx context.Context, addresses []string, sampleSize int) {
	var wg sync.WaitGroup
	for _, a := range addresses {
		wg.Go(func() { g.exchange(ctx, a, sampleSize) })
	}
	wg.Wait()
}

func (g *Gossiper) exchange(ctx context.Context, address string, sampleSize int) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := g.Clock()
	reply, err := g.Peers.Exchange(ctx, address, g.newMessage(sampleSize))
	if err != nil {
		return
	}
	g.Roster.Merge(reply.Entries)
	g.Follower.ApplyReply(sentAt, reply.Position, reply.Records, reply.Snapshot)
}

func (g *Gossiper) newMessage(sampleSize int) Message {
	return Message{Position: g.Follower.Position(), Entries: g.Roster.Sample(sampleSize, rand.Uint64())}
}

// HandleExchange applies the request of a peer that started an exchange, and returns this node's reply.
func (g *Gossiper) HandleExchange(msg Message) Message {
	g.Roster.Merge(msg.Entries)
	g.Follower.Observe(msg.Position)
	g.RefreshEntry()
	reply := g.newMessage(len(msg.Entries))
	reply.Records, reply.Snapshot = g.Follower.RecordsAfter(msg.Position.Offset)
	return reply
}

// Reconcile starts a new incarnation if this node was fenced, and proposes the next record that the state
// requires, if there is one. It proposes nothing while the state is stale or the platform is unreachable, or after
// Leave.
func (g *Gossiper) Reconcile(ctx context.Context) {
	state := g.Follower.State()
	g.rejoin(state)
	if g.hasLeft.Load() || !g.Follower.Confirmed() || !g.Follower.PlatformReachable() {
		return
	}
	g.forgetSilent(state)
	rec, ok := planner.Plan(state, g.planInput(state))
	if !ok {
		return
	}
	if rec.Transfer != nil {
		g.transferSlots(ctx, rec)
		return
	}
	_ = g.propose(ctx, rec)
}

// transferSlots stops lending from slots and proposes their transfer. The slots stay closed if this or an
// earlier transfer may still be recorded. Otherwise they are reopened. If the transfer was accepted, the state
// assigns them to another member by then, so this node does not lend from them.
func (g *Gossiper) transferSlots(ctx context.Context, rec reducer.Record) {
	slots := rec.Transfer.Slots()
	rec.Transfer.LoanMS = g.Lender.CloseSlots(ctx, slots).Milliseconds()
	err := g.propose(ctx, rec)
	if errors.Is(err, follower.ErrUnknown) {
		g.transferUncertain = true
		return
	}
	if err == nil {
		g.transferUncertain = false
	}
	if !g.transferUncertain {
		g.Lender.ReopenSlots(slots)
	}
}

func (g *Gossiper) propose(ctx context.Context, rec reducer.Record) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, err := g.Follower.Propose(ctx, rec)
	e := recorder.Event{Kind: recorder.Proposed, Change: rec.ID, Detail: string(out.Status)}
	if err != nil {
		e.Reason = err.Error()
	}
	g.Events.Add(e)
	return err
}

func (g *Gossiper) planInput(state *reducer.State) planner.Input {
	return planner.Input{
		Self: reducer.Member{
			VM:          g.VM,
			Incarnation: g.incarnation.Load(),
			DataCentre:  g.DataCentre,
			PeerAddress: g.PeerAddress,
		},
		Fenced:        g.wasFenced(),
		Suspects:      g.Roster.SilentVMs(g.SuspectAfter),
		HasQuorum:     g.Follower.HasQuorum(),
		SettledOffset: g.Follower.SettledOffset(),
		WitnessCount:  g.Witnesses,
		SnapshotAge:   g.snapshotAge(state),
		SnapshotEvery: g.SnapshotEvery,
	}
}

func (g *Gossiper) snapshotAge(state *reducer.State) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock()
	if state.SnapshotAsOf != g.snapshotOffset {
		g.snapshotOffset = state.SnapshotAsOf
		g.snapshotSeenAt = now
	}
	return now.Sub(g.snapshotSeenAt)
}

func (g *Gossiper) wasFenced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fenced
}

// rejoin starts a new incarnation if the current one had joined and is no longer a member, that is, if it was
// fenced.
func (g *Gossiper) rejoin(state *reducer.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, isMember := state.Members[g.Self()]
	if isMember || !g.joined || g.hasLeft.Load() {
		g.joined = g.joined || isMember
		return
	}
	g.joined = false
	g.fenced = true
	g.OnFenced()
	g.incarnation.Store(max(g.Clock().UnixMicro(), g.incarnation.Load()+1))
	g.Follower.SetSelf(g.Self())
}

// forgetSilent removes silent VMs that are not members from the roster.
func (g *Gossiper) forgetSilent(state *reducer.State) {
	for _, vm := range g.Roster.SilentVMs(forgetFactor * g.SuspectAfter) {
		isMember := slices.ContainsFunc(state.MemberList(), func(m reducer.Member) bool { return m.VM == vm })
		if !isMember {
			g.Roster.Forget(vm)
		}
	}
}

// Leave announces to the peers that this node is leaving and proposes the leave record. Granting request IDs
// and lending rate tokens must have stopped before the call. loanLifetime is the time for which loans from this
// node may remain valid.
func (g *Gossiper) Leave(ctx context.Context, successor string, loanLifetime time.Duration) {
	g.hasLeft.Store(true)
	g.ExchangeAll(ctx)
	if _, ok := g.Follower.State().Members[g.Self()]; ok {
		leave := &reducer.Leave{Member: g.Self(), Successor: successor, LoanMS: loanLifetime.Milliseconds()}
		_ = g.propose(ctx, reducer.Record{ID: "leave-" + g.Self(), Leave: leave})
	}
}
