package isolator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
)

// tell has all other nodes told of the crashes. Those that this node has learnt from another one are told to random nodes
// only. The caller holds the mutex.
func (i *Isolator) tell(now time.Duration, ids []string, learnt bool) {
	for _, id := range ids {
		i.pushes = slices.DeleteFunc(i.pushes, func(p push) bool { return p.id == id })
		i.pushes = append(i.pushes, push{id: id, learnt: learnt, since: now})
	}
}

// Messages returns the messages that are due: those for all other nodes, and those for a random node.
func (i *Isolator) Messages() (toAll, toOne [][]byte) {
	i.init()
	now := i.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	var own, learnt []quarantiner.Crash
	for k := range i.pushes {
		p := &i.pushes[k]
		if now-p.since < pushDelays[p.sent] {
			continue
		}
		p.sent++
		c, ok := i.table.Crash(p.id)
		switch {
		case !ok:
		case p.learnt:
			learnt = append(learnt, c)
		default:
			own = append(own, c)
		}
	}
	i.pushes = slices.DeleteFunc(i.pushes, func(p push) bool { return p.sent >= len(pushDelays) })
	toAll, toOne = i.encode(now, own, false), i.encode(now, learnt, false)
	interval := digestInterval
	if now-i.startedAt < startPeriod {
		interval = startInterval
	}
	if now-i.digestAt >= interval {
		i.digestAt = now
		toOne = append(toOne, i.encodeOne(nil, false))
	}
	return toAll, toOne
}

// encode returns messages with the crashes. The caller holds the mutex.
func (i *Isolator) encode(now time.Duration, crashes []quarantiner.Crash, reply bool) [][]byte {
	var raws [][]byte
	for part := range slices.Chunk(crashes, maxMessageCrashes) {
		var records []crashRecord
		for k := range part {
			records = append(records, newRecord(now, &part[k]))
		}
		raws = append(raws, i.encodeOne(records, reply))
	}
	return raws
}

func (i *Isolator) encodeOne(records []crashRecord, reply bool) []byte {
	m := message{Node: i.Self, Digest: i.table.Digest(), Reply: reply, Crashes: records}
	raw, err := m.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return raw
}

// Receive applies a message of another node. If that node knows something else, it returns the node's name and the messages
// for it. Malformed messages are ignored.
func (i *Isolator) Receive(raw []byte) (node string, replies [][]byte) {
	i.init()
	var m message
	if _, err := m.UnmarshalMsg(raw); err != nil || m.Node == i.Self {
		return "", nil
	}
	now := i.Now()
	var crashes []quarantiner.Crash
	for k := range m.Crashes {
		if c, ok := m.Crashes[k].crash(now); ok {
			crashes = append(crashes, c)
		}
	}
	i.mu.Lock()
	if changed := i.table.Merge(now, crashes); len(changed) > 0 {
		// The node that noticed a crash may end before it has told all others.
		i.tell(now, changed, true)
		i.active.Store(!i.table.Empty())
	}
	notes := i.compare(now)
	if len(m.Crashes) == 0 && m.Digest != i.table.Digest() {
		replies = i.reply(now, m.Reply)
	}
	i.mu.Unlock()
	i.logNotes(notes)
	return m.Node, replies
}

// reply returns what this node knows, a random part if that is much, and, unless the message was itself a reply, a message that lets the other node
// answer likewise. The caller holds the mutex.
func (i *Isolator) reply(now time.Duration, wasReply bool) [][]byte {
	var all []quarantiner.Crash
	ids := i.table.IDs()
	rand.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	for _, id := range ids[:min(len(ids), maxReplyCrashes)] {
		c, _ := i.table.Crash(id)
		all = append(all, c)
	}
	replies := i.encode(now, all, true)
	if !wasReply {
		replies = append(replies, i.encodeOne(nil, true))
	}
	return replies
}
