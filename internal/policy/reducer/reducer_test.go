package reducer_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

// drawRecord draws a valid, invalid or malformed record. The small ranges of IDs, versions and members make
// collisions frequent.
func drawRecord(t *rapid.T) []byte {
	member := func() reducer.Member {
		n := rapid.Int64Range(1, 6).Draw(t, "member")
		return reducer.Member{VM: fmt.Sprint("vm-", n%4), Incarnation: n, DataCentre: fmt.Sprint("dc-", n%3), PeerAddress: "p"}
	}
	rec := reducer.Record{ID: fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "id"))}
	switch rapid.IntRange(0, 7).Draw(t, "operation") {
	case 0, 1:
		rec.Change = &reducer.Change{
			Kind: reducer.KindAccount, Name: rapid.SampledFrom([]string{"a", "b", "Bad Name"}).Draw(t, "name"),
			Base: rapid.Int64Range(0, 4).Draw(t, "base"), Delete: rapid.Bool().Draw(t, "delete"),
			Spec: json.RawMessage(rapid.SampledFrom([]string{`{"rate":1,"burst":1}`, `{"rate":-1}`, `7`}).Draw(t, "spec")),
		}
	case 2, 3:
		rec.Join = &reducer.Join{Member: member()}
	case 4:
		rec.Leave = &reducer.Leave{Member: member().ID(), Successor: member().ID()}
	case 5:
		rec.Fence = &reducer.Fence{Member: member().ID()}
	case 6:
		rec.Transfer = &reducer.Transfer{From: member().ID(), Moves: []reducer.Move{
			{To: member().ID(), Slots: []int{rapid.IntRange(-1, 64).Draw(t, "slot")}},
		}}
	default:
		return []byte(rapid.SampledFrom([]string{"", "{}", `{"id":"x"}`, `{"id":"x","join":{},"leave":{}}`}).Draw(t, "junk"))
	}
	data, _ := reducer.Encode(rec)
	return data
}

// TestFold checks that each folded record advances the offset and does not modify earlier states. A state that
// was restored from a snapshot must develop like the original one. After each record, every slot must have a
// holder and every shard a full group, provided that there are enough members.
func TestFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, restored := reducer.New(), reducer.New()
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 60).Draw(t, "records")
		cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
		for i, data := range records {
			if i == cut {
				snapshot, _ := reducer.Marshal(direct)
				restored, _ = reducer.Unmarshal(snapshot)
			}
			before, _ := reducer.Marshal(direct)
			next, out := reducer.Fold(direct, int64(i+1), data)
			after, _ := reducer.Marshal(direct)
			assert.Equal(t, string(before), string(after), "an earlier state changed")
			nextRestored, outRestored := reducer.Fold(restored, int64(i+1), data)
			if i >= cut {
				assert.Equal(t, out, outRestored)
				restored = nextRestored
			}
			assert.Equal(t, next.Offset, int64(i+1))
			direct = next
			checkAssignments(t, direct)
		}
		if cut < len(records) {
			a, _ := reducer.Marshal(direct)
			b, _ := reducer.Marshal(restored)
			assert.Equal(t, string(a), string(b))
		}
	})
}

func checkAssignments(t *rapid.T, s *reducer.State) {
	for _, slot := range s.RateSlots {
		_, ok := s.Members[slot.Holder]
		assert.Assert(t, ok || len(s.Members) == 0, "a slot has no holder")
	}
	for _, shard := range s.Shards {
		sorted := slices.Sorted(slices.Values(shard.Group))
		assert.Equal(t, len(slices.Compact(sorted)), len(shard.Group))
		if len(s.Members) >= reducer.GroupSize {
			assert.Equal(t, len(shard.Group), reducer.GroupSize)
		}
	}
}

// TestEvent checks that an event raises the importance of its routes, while it lasts, for the client
// accounts that take part.
func TestEvent(t *testing.T) {
	starts := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	spec := `{"starts":"2026-12-03T08:00:00Z","ends":"2026-12-03T09:00:00Z","client-accounts":["shop"],"routes":["browse"],"importance":"high"}`
	rec := reducer.Record{ID: "1", Change: &reducer.Change{Kind: reducer.KindEvent, Name: "opening", Spec: json.RawMessage(spec)}}
	data, err := reducer.Encode(rec)
	assert.NilError(t, err)
	s, out := reducer.Fold(reducer.New(), 1, data)
	assert.Equal(t, out.Status, reducer.Accepted, out.Reason)
	route := reducer.Route{Name: "browse", Importance: reducer.Low}
	assert.Equal(t, s.ImportanceOf(route, "shop", starts), reducer.High)
	assert.Equal(t, s.ImportanceOf(route, "other", starts), reducer.Low)
	assert.Equal(t, s.ImportanceOf(route, "shop", starts.Add(time.Hour)), reducer.Low)
	assert.Equal(t, s.ImportanceOf(reducer.Route{Name: "browse"}, "shop", starts), reducer.Critical)
}

// FuzzDecode checks that any content of a record advances the offset, and that the state can always be written to
// and read from a snapshot.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"1","change":{"kind":"route","name":"a","spec":{"service":"s","method":"GET","path":"/","timeout-ms":1}}}`))
	f.Add([]byte(`{"id":"1","snapshot":{"as-of":3,"state":{}}}`))
	f.Add([]byte(`{"id":"1","transfer":{"moves":[{"slots":[-1]}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, _ := reducer.Fold(reducer.New(), 1, data)
		if s.Offset != 1 {
			t.Fatal("the record did not advance the offset")
		}
		snapshot, err := reducer.Marshal(s)
		assert.NilError(t, err)
		_, err = reducer.Unmarshal(snapshot)
		assert.NilError(t, err)
		_, _ = reducer.Unmarshal(data)
	})
}
