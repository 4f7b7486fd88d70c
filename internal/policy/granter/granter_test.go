package granter_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// model is a set of nodes, each of which has folded a prefix of one stream of membership records.
type model struct {
	states   []*reducer.State
	nodes    []*node
	serial   int64
	attempts []*attempt
}

type node struct {
	id     string
	table  granter.Table
	folded int
	alive  bool
	closed bool
}

// attempt is one executor's attempt to obtain the ID.
type attempt struct {
	executor string
	quorums  []granter.Quorum
	version  int64
	// pending lists the registrars that have not been asked yet.
	pending []string
	votes   []granter.Vote
	won     bool
}

const id = "shop/order/1"

func (m *model) latest() *reducer.State { return m.states[len(m.states)-1] }

func (m *model) append(rec reducer.Record) {
	rec.ID = fmt.Sprint(len(m.states))
	data, _ := reducer.Encode(rec)
	next, _ := reducer.Fold(m.latest(), int64(len(m.states)), data)
	m.states = append(m.states, next)
}

func (m *model) join() *node {
	m.serial++
	member := reducer.Member{
		VM: fmt.Sprintf("vm-%d", m.serial), Incarnation: m.serial, PeerAddress: "p",
		DataCentre: fmt.Sprintf("dc-%d", m.serial%3),
	}
	m.append(reducer.Record{Join: &reducer.Join{Member: member}})
	n := &node{id: member.ID(), alive: true, folded: len(m.states) - 1}
	n.table = granter.Table{Retention: time.Hour, Capacity: 100}
	m.nodes = append(m.nodes, n)
	return n
}

func (m *model) pick(t *rapid.T) *node {
	live := slices.DeleteFunc(slices.Clone(m.nodes), func(n *node) bool { return !n.alive })
	if len(live) == 0 {
		return m.join()
	}
	return rapid.SampledFrom(live).Draw(t, "node")
}

func (m *model) find(member string) *node {
	i := slices.IndexFunc(m.nodes, func(n *node) bool { return n.id == member })
	return m.nodes[i]
}

// leave removes a node. The node hands its table over to another node, as in a graceful stop, or to none.
func (m *model) leave(t *rapid.T) {
	n := m.pick(t)
	n.closed = true
	recipient := m.pick(t)
	successor := ""
	if recipient != n && !recipient.closed {
		entries, covers := n.table.Entries()
		recipient.table.Merge(entries, append(covers, n.id)...)
		successor = recipient.id
	}
	m.append(reducer.Record{Leave: &reducer.Leave{Member: n.id, Successor: successor}})
	n.alive = false
}

// expired reports whether all live nodes have folded offset until and no attempt has received a vote.
// This corresponds to the time after the retention period.
func (m *model) expired(until int64) bool {
	lagging := slices.ContainsFunc(m.nodes, func(n *node) bool { return n.alive && int64(n.folded) < until })
	voted := slices.ContainsFunc(m.attempts, func(a *attempt) bool { return len(a.votes) > 0 })
	return !lagging && !voted
}

func (m *model) begin(t *rapid.T) {
	n := m.pick(t)
	state := m.states[n.folded]
	shard := state.Shards[reducer.ShardOf(id)]
	quorums, complete := granter.Quorums(shard, m.expired)
	if !complete {
		return
	}
	a := &attempt{executor: fmt.Sprintf("%s#%d", n.id, len(m.attempts)), quorums: quorums, version: shard.Since}
	for _, q := range quorums {
		for _, member := range q.Members {
			a.pending = append(a.pending, state.TableHolder(member))
		}
	}
	m.attempts = append(m.attempts, a)
}

// deliver delivers one request and its vote, or loses the vote.
func (m *model) deliver(t *rapid.T) {
	open := slices.DeleteFunc(slices.Clone(m.attempts), func(a *attempt) bool { return len(a.pending) == 0 })
	if len(open) == 0 {
		return
	}
	a := rapid.SampledFrom(open).Draw(t, "claim")
	i := rapid.IntRange(0, len(a.pending)-1).Draw(t, "registrar")
	n := m.find(a.pending[i])
	a.pending = slices.Delete(a.pending, i, i+1)
	if !n.alive {
		return
	}
	since := m.states[n.folded].Shards[reducer.ShardOf(id)].Since
	req := granter.GrantRequest{ID: id, Executor: a.executor, Version: a.version}
	vote := n.table.Vote(time.Time{}, req, granter.RegistrarState{Self: n.id, Since: since, Confirmed: true, Closed: n.closed})
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	a.votes = append(a.votes, vote)
	decision, _ := granter.Tally(a.quorums, a.votes)
	a.won = a.won || decision == granter.Run
}

func init() {
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestOneExecutor checks that at most one executor obtains an ID. It runs random orders of joins, leaves
// with and without a handover, crashes, nodes that lag behind the stream, concurrent attempts and lost
// answers.
func TestOneExecutor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{states: []*reducer.State{reducer.New()}}
		for range rapid.IntRange(1, 5).Draw(t, "nodes") {
			m.join()
		}
		t.Repeat(map[string]func(*rapid.T){
			"join":  func(*rapid.T) { m.join() },
			"leave": m.leave,
			"crash": func(t *rapid.T) {
				n := m.pick(t)
				n.alive = false
				m.append(reducer.Record{Fence: &reducer.Fence{Member: n.id}})
			},
			"fold": func(t *rapid.T) {
				n := m.pick(t)
				n.folded = min(n.folded+1, len(m.states)-1)
			},
			"begin":   m.begin,
			"deliver": m.deliver,
			"more":    m.deliver,
			"": func(t *rapid.T) {
				winners := 0
				for _, a := range m.attempts {
					if a.won {
						winners++
					}
				}
				if winners > 1 {
					t.Fatalf("%d executors obtained the ID, want at most 1", winners)
				}
			},
		})
	})
}

// TestVote checks under which conditions a registrar may grant an ID.
func TestVote(t *testing.T) {
	good := granter.RegistrarState{Self: "a/1", Since: 5, Confirmed: true}
	cases := []struct {
		name    string
		change  func(*granter.RegistrarState)
		version int64
		want    granter.Status
	}{
		{"same group", func(*granter.RegistrarState) {}, 5, granter.Granted},
		{"asker knows an older group", func(*granter.RegistrarState) {}, 4, granter.Stale},
		{"asker knows a newer group", func(*granter.RegistrarState) {}, 6, granter.Behind},
		{"registrar is not confirmed", func(s *granter.RegistrarState) { s.Confirmed = false }, 5, granter.Behind},
		{"registrar has handed over", func(s *granter.RegistrarState) { s.Closed = true }, 5, granter.Behind},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := granter.Table{Retention: time.Hour, Capacity: 1}
			st := good
			c.change(&st)
			req := granter.GrantRequest{ID: id, Executor: "x", Version: c.version}
			assert.Equal(t, table.Vote(time.Time{}, req, st).Status, c.want)
		})
	}
	table := granter.Table{Retention: time.Hour, Capacity: 1}
	table.Grant(time.Time{}, id, "x")
	status, _ := table.Grant(time.Time{}, "other", "x")
	assert.Equal(t, status, granter.Full, "a full table refuses new IDs and evicts nothing")
}

// TestSplitVote guards against two executors that ask for an ID at the same moment and are both denied.
func TestSplitVote(t *testing.T) {
	group := []granter.Quorum{{Members: []string{"a", "b", "c"}, Need: 2}}
	former := []granter.Quorum{group[0], {Members: []string{"b", "c", "d"}, Need: 2}}
	vote := func(from string, status granter.Status, covers ...string) granter.Vote {
		return granter.Vote{From: from, Status: status, Covers: covers}
	}
	cases := []struct {
		name    string
		quorums []granter.Quorum
		votes   []granter.Vote
		want    granter.Decision
	}{
		{"one taken, others missing", group, []granter.Vote{vote("a", granter.Taken)}, granter.Wait},
		{"one taken, a majority granted", group, []granter.Vote{vote("a", granter.Taken), vote("b", granter.Granted), vote("c", granter.Granted)}, granter.Run},
		{"two taken", group, []granter.Vote{vote("a", granter.Taken), vote("c", granter.Taken)}, granter.Deny},
		{"former group taken", former, []granter.Vote{vote("a", granter.Granted), vote("b", granter.Granted), vote("c", granter.Taken), vote("d", granter.Taken)}, granter.Deny},
		{"taken along with a table taken over", group, []granter.Vote{vote("a", granter.Taken, "b")}, granter.Deny},
		{"granted along with a table taken over", group, []granter.Vote{vote("b", granter.Granted, "c")}, granter.Run},
		{"granted with a table taken over, another taken", group, []granter.Vote{vote("a", granter.Taken), vote("b", granter.Granted, "c")}, granter.Wait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, _ := granter.Tally(c.quorums, c.votes)
			assert.Equal(t, got, c.want)
		})
	}
}
