package executor

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestMaxConnections checks the bound on idle connections against what the target declares and the VM bears.
func TestMaxConnections(t *testing.T) {
	for _, c := range []struct {
		slots, maxConns, memoryMB int
		files                     uint64
		idle, open                int
	}{
		{201, 0, 0, 20000, 201, 0},
		{310, 256, 0, 20000, 256, 256},
		{310, 0, 128, 20000, 245, 0},
		{310, 0, 1, 20000, 16, 0},
		{310, 0, 512, 1024, 256, 0},
		{310, 0, 512, 8, 16, 0},
		{4, 0, 512, 20000, 4, 0},
	} {
		idle, open := maxConnections(c.slots, c.maxConns, c.memoryMB, c.files)
		assert.Equal(t, idle, c.idle)
		assert.Equal(t, open, c.open)
	}
	idle, _ := MaxConnections(0, 0, 0)
	assert.Equal(t, idle, 0)
}
