package quarantiner_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
)

// BenchmarkSign measures the signature of a request without and with a long body.
func BenchmarkSign(b *testing.B) {
	for _, size := range []int{0, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := quarantiner.Request{Method: "GET", Host: "shop.example", URI: "/patterns/5?colour=blue", Account: "shop", Body: bytes.Repeat([]byte("x"), size)}
			for b.Loop() {
				quarantiner.Sign(&r)
			}
		})
	}
}

// BenchmarkLevel measures the decision on one request while many crashes are known.
func BenchmarkLevel(b *testing.B) {
	var table quarantiner.Table
	now := time.Hour
	for i := range 200 {
		c := crash(fmt.Sprint(i), now)
		for j := range 100 {
			c.Suspects = append(c.Suspects, quarantiner.Verdict{Signature: sign(fmt.Sprint(i, j))})
		}
		table.Merge(now, []quarantiner.Crash{c})
	}
	s := sign("1 1")
	for b.Loop() {
		table.Level(now, s, "v1")
	}
}
