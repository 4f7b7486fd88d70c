package reducer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// build returns a state with n client accounts, n keys and n routes.
func build(n int) *reducer.State {
	s := reducer.New()
	put := func(kind reducer.Kind, name, spec string) {
		change := &reducer.Change{Kind: kind, Name: name, Spec: json.RawMessage(spec)}
		data, _ := reducer.Encode(reducer.Record{ID: string(kind) + name, Change: change})
		s, _ = reducer.Fold(s, s.Offset+1, data)
	}
	for i := range n {
		name := fmt.Sprintf("n-%d", i)
		sum := sha256.Sum256([]byte(name))
		put(reducer.KindAccount, name, `{"rate":1,"burst":1}`)
		put(reducer.KindKey, name, fmt.Sprintf(`{"account":%q,"sha256":%q}`, name, hex.EncodeToString(sum[:])))
		put(reducer.KindRoute, name, fmt.Sprintf(`{"service":"s","method":"GET","path":"/%s/a","timeout-ms":1,"importance":"low"}`, name))
	}
	return s
}

func BenchmarkAuthenticate(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		s := build(n)
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Authenticate("n-5")
			}
		})
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		s := build(n)
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Route("GET", "/n-5/a/b")
			}
		})
	}
}

func BenchmarkFoldChange(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		s := build(n)
		change := &reducer.Change{Kind: reducer.KindAccount, Name: "new", Spec: json.RawMessage(`{"rate":1,"burst":1}`)}
		data, _ := reducer.Encode(reducer.Record{ID: "new", Change: change})
		b.Run(fmt.Sprintf("resources=%d", 3*n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				reducer.Fold(s, s.Offset+1, data)
			}
		})
	}
}

func members(n int) *reducer.State {
	s := reducer.New()
	for i := range n {
		m := reducer.Member{VM: fmt.Sprintf("vm-%d", i), Incarnation: 1, DataCentre: fmt.Sprint(i % 26), PeerAddress: "p"}
		s.Members[m.ID()] = m
	}
	m := reducer.Member{VM: "first", Incarnation: 1, DataCentre: "1", PeerAddress: "p"}
	data, _ := reducer.Encode(reducer.Record{ID: "first", Join: &reducer.Join{Member: m}})
	s, _ = reducer.Fold(s, 1, data)
	return s
}

func BenchmarkFoldMembership(b *testing.B) {
	for _, n := range []int{16, 1000, 17000} {
		s := members(n)
		m := reducer.Member{VM: "new", Incarnation: 1, DataCentre: "2", PeerAddress: "p"}
		join, _ := reducer.Encode(reducer.Record{ID: "j", Join: &reducer.Join{Member: m}})
		fence, _ := reducer.Encode(reducer.Record{ID: "f", Fence: &reducer.Fence{Member: "vm-3/1"}})
		b.Run(fmt.Sprintf("join/members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				reducer.Fold(s, 2, join)
			}
		})
		b.Run(fmt.Sprintf("fence/members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				reducer.Fold(s, 2, fence)
			}
		})
		b.Run(fmt.Sprintf("snapshot/members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				data, _ := reducer.Marshal(s)
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}
