package launcher

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/checker"
	"gotest.tools/v3/assert"
)

// TestPrefixes guards against two soaks on one machine that take ports from each other, and against relays whose addresses
// cannot replace those of the nodes.
func TestPrefixes(t *testing.T) {
	used := map[string]bool{}
	for pid := range 2500 {
		node, relay := prefixes(pid)
		assert.Assert(t, !used[node] && !used[relay] && node != relay)
		used[node], used[relay] = true, true
		assert.Equal(t, len(node), len(relay))
		assert.Assert(t, strings.HasPrefix(node, "127.") && len(node) == len("127.100.100."))
	}
}

// TestStartAwaitsDrainingTarget guards against a target that is missing to the end of a soak, because the one before still
// listened when it was started ("address already in use").
func TestStartAwaitsDrainingTarget(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	n := &Node{fleet: &Fleet{Checker: &checker.Checker{}}, targetAddress: address, announceAddress: address}
	assert.NilError(t, n.StartTarget())
	old, closed := n.detachTarget()
	assert.Assert(t, old != nil)
	time.AfterFunc(100*time.Millisecond, func() {
		old.crash()
		closed()
	})
	assert.NilError(t, n.StartTarget())
	n.CrashTarget()
}
