package forwarder

import (
	"net/http"
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// TestRootOfHop guards against child calls that lose the rank and account of their root between nodes, and against a
// header of a client or of another version that makes a call more important than it is.
func TestRootOfHop(t *testing.T) {
	for _, root := range []executor.Root{{Rank: 17, Account: "shop 1"}, {Rank: 0}, executor.UnknownRoot} {
		h := http.Header{}
		h.Set(rootHeader, "0 forged")
		setRoot(h, &executor.Job{Rank: queuer.ChildCallRank, Root: root})
		assert.Equal(t, takeRoot(h, queuer.ChildCallRank), root)
		assert.Equal(t, len(h), 0)
	}
	for _, malformed := range []string{"", "x shop", "0 %zz"} {
		h := http.Header{}
		h.Set(rootHeader, malformed)
		assert.Equal(t, takeRoot(h, queuer.ChildCallRank), executor.UnknownRoot, malformed)
	}
	h := http.Header{}
	h.Set(rootHeader, "0 forged")
	h.Set(platform.AccountHeader, "shop")
	assert.Equal(t, takeRoot(h, 33), executor.Root{Rank: 33, Account: "shop"})
}
