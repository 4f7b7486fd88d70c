package matcher_test

import (
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
	"gotest.tools/v3/assert"
)

// TestMayHaveRank checks that an account may have exactly the ranks that its requests get on routes of some priority.
func TestMayHaveRank(t *testing.T) {
	accounts := []matcher.Account{{}, {HasPriority: true, Priority: 2}, {HasPriority: true}}
	for i := range accounts {
		a := &accounts[i]
		ranks := map[int]bool{}
		for priority := range 16 {
			ranks[(&matcher.Route{Priority: priority}).Rank(a)] = true
		}
		for rank := range 16 * 16 {
			assert.Equal(t, a.MayHaveRank(rank), ranks[rank], "%+v, rank %d", a, rank)
		}
	}
}
