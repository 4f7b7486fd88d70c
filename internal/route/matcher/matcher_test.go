package matcher_test

import (
	"testing"

	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
	"gotest.tools/v3/assert"
)

func table() *matcher.Table {
	return matcher.NewTable(matcher.Config{
		Routes: []matcher.Route{
			{Name: "short", Host: "h.example", Prefix: "/a/", Priority: 2},
			{Name: "long", Host: "h.example", Prefix: "/a/b/", Priority: 0},
			{Name: "other", Host: "o.example", Prefix: "/"},
		},
		Accounts: []matcher.Account{{Name: "t", Keys: []string{"k1", "k2"}, Priority: 1, HasPriority: true}, {Name: "u", Keys: []string{"k3"}}},
	})
}

func TestRoute(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"h.example", "/a/b/x", "long"},
		{"h.example", "/a/b", "short"},
		{"H.EXAMPLE:8080", "/a/", "short"},
		{"h.example", "/a", ""},
		{"h.example", "/", ""},
		{"x.example", "/a/", ""},
		{"o.example", "/anything", "other"},
	} {
		name := ""
		if r := table().Route(c.host, c.path); r != nil {
			name = r.Name
		}
		assert.Equal(t, name, c.want, c.host+c.path)
	}
}

func TestAccount(t *testing.T) {
	tb := table()
	assert.Equal(t, tb.Account("k2").Name, "t")
	assert.Equal(t, tb.Account("k3").Name, "u")
	assert.Assert(t, tb.Account("") == nil && tb.Account("k") == nil)
}

// TestRank checks that an account's priority takes precedence over the route's priority, and that the route's priority
// orders requests of equal account priority.
func TestRank(t *testing.T) {
	tb := table()
	long, short := tb.Route("h.example", "/a/b/x"), tb.Route("h.example", "/a/x")
	ranked, plain := tb.Account("k1"), tb.Account("k3")
	assert.Assert(t, long.Rank(ranked) < short.Rank(ranked))
	assert.Assert(t, long.Rank(plain) < long.Rank(ranked))
	assert.Assert(t, short.Rank(ranked) < short.Rank(plain))
	assert.Equal(t, short.Rank(nil), short.Rank(plain))
}
