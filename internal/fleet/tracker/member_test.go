package tracker_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"gotest.tools/v3/assert"
)

const member = `{"node":"vm-1","address":"10.0.0.1:80","control-address":"10.0.0.1:81","report-address":"10.0.0.1:82","data-centre":"a","service":"x","target":"i-1","born":5,"slots":9,"state":"ready","warm-at":0}`

// oddMembers are replacements in member that other writers may leave.
var oddMembers = []struct{ old, new string }{
	{`"slots":9`, `"slots":1e400`},
	{`"slots":9`, `"slots":9223372036854775808`},
	{`"slots":9`, `"slots":9223372036854775807`},
	{`"slots":9`, `"slots":-1`},
	{`"slots":9`, `"slots":9,"slots":-9`},
	{`"slots":9`, `"slots":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)},
	{`"slots":9`, `"else":` + strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000)},
	{`"born":5`, `"born":-5`},
	{`"born":5`, `"born":5.5`},
	{`"state":"ready"`, `"state":"asleep"`},
	{`"node":"vm-1"`, `"node":"vm-2"`},
	{`"node":"vm-1"`, `"node":""`},
	{`"10.0.0.1:80"`, `"10.0.0.1:0"`},
	{`"10.0.0.1:80"`, `"10.0.0.1:65536"`},
	{`"10.0.0.1:80"`, `"10.0.0.1:-1"`},
	{`"10.0.0.1:80"`, `"10.0.0.1:http"`},
	{`"10.0.0.1:80"`, `"10.0.0.1"`},
	{`"10.0.0.1:80"`, `"[::1]:80"`},
	{`"10.0.0.1:80"`, `"0.0.0.0:80"`},
	{`"10.0.0.1:80"`, `7`},
	{`"10.0.0.1:81"`, `"%zz:81"`},
	{`"10.0.0.1:82"`, `"10.0.0.1:99999"`},
	{member, ``},
	{member, `null`},
	{member, `[]`},
	{member, strings.Repeat("x", 4<<20)},
}

// TestOddMembers guards against records of another writer that are taken for members.
func TestOddMembers(t *testing.T) {
	m, err := tracker.DecodeMember("vm-1", []byte(member))
	assert.NilError(t, err)
	assert.Equal(t, m.Slots, 9)
	for _, c := range oddMembers {
		raw := strings.Replace(member, c.old, c.new, 1)
		_, err := tracker.DecodeMember("vm-1", []byte(raw))
		assert.Assert(t, errors.Is(err, tracker.ErrMember), "%.60s", c.new)
	}
}

func FuzzDecodeMember(f *testing.F) {
	f.Add("vm-1", []byte(member))
	for _, c := range oddMembers {
		if len(c.new) < 1<<20 {
			f.Add("vm-1", []byte(strings.Replace(member, c.old, c.new, 1)))
		}
	}
	f.Fuzz(func(t *testing.T, key string, raw []byte) {
		m, err := tracker.DecodeMember(key, raw)
		if err != nil {
			return
		}
		assert.Assert(t, m.Node == key && m.Slots >= 0 && m.Slots <= 1<<20)
	})
}

// TestOddCosts guards against stored costs that make no sense and reach the executor.
func TestOddCosts(t *testing.T) {
	const costs = `{"node":"vm-1","service":"x","rows":[{"Route":"r","HoldMs":30,"Calls":{"c":4}}]}`
	for _, c := range []struct{ old, new string }{{`30`, `-30`}, {`30`, `1e400`}, {`:4`, `:-4`}, {`:4`, `:1e38`}, {`"vm-1"`, `"vm-2"`}, {costs, `{"rows":`}} {
		_, err := tracker.DecodeNodeCosts("vm-1", []byte(strings.Replace(costs, c.old, c.new, 1)))
		assert.Assert(t, errors.Is(err, tracker.ErrCosts), c.new)
	}
}
