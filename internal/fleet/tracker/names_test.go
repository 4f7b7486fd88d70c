package tracker

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNames guards against names that alias the buffer of a datagram, and against a table that grows without bound.
func TestNames(t *testing.T) {
	var table nameTable
	raw := []byte("vm-1")
	first := table.get(raw)
	copy(raw, "vm-2")
	assert.Equal(t, first, "vm-1")
	assert.Equal(t, table.get(raw), "vm-2")
	assert.Equal(t, table.get([]byte("vm-1")), "vm-1")
	assert.Equal(t, testing.AllocsPerRun(1000, func() { table.get(raw) }), 0.0)
	for i := range 3 * maxNames {
		name := "i-" + strconv.Itoa(i)
		assert.Equal(t, table.get([]byte(name)), name)
	}
	held := func() int { return len(table.held()) + len(table.fresh) }
	before := held()
	assert.Equal(t, before, maxNames)
	long := strings.Repeat("x", maxNameBytes+1)
	assert.Equal(t, table.get([]byte(long)), long)
	assert.Equal(t, held(), before)
	// Names that are no longer used make room.
	for i := range missesToDrop + 10 {
		table.get([]byte("j-" + strconv.Itoa(i%100)))
	}
	assert.Assert(t, held() < before, "%d", held())
	assert.Equal(t, testing.AllocsPerRun(1000, func() { table.get(raw) }), 0.0)
}

// BenchmarkNames measures a name among more than are kept, as in a fleet with very many accounts.
func BenchmarkNames(b *testing.B) {
	var list [][]byte
	for i := range 2 * maxNames {
		list = append(list, []byte("account-"+strconv.Itoa(i)))
	}
	var table nameTable
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		table.get(list[i%len(list)])
		i++
	}
}
