package executor

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRefusedIDsBounded guards against memory that grows with the refusals of a target, and against forgetting the latest.
func TestRefusedIDsBounded(t *testing.T) {
	var r refusedIDs
	assert.Assert(t, !r.contains(""))
	for i := range 10 * maxRefusedIDs {
		r.add(strconv.Itoa(i))
		assert.Assert(t, r.contains(strconv.Itoa(max(i-maxRefusedIDs+1, 0))))
		assert.Assert(t, len(r.recent)+len(r.former) <= 2*maxRefusedIDs)
	}
	assert.Assert(t, !r.contains("0"))
}
