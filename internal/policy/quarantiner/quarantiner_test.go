package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
	"gotest.tools/v3/assert"
)

func sign(uri string) quarantiner.Signature {
	return quarantiner.Sign(&quarantiner.Request{Method: "GET", Host: "h", URI: uri, Account: "shop"})
}

func crash(id string, at time.Duration, uris ...string) quarantiner.Crash {
	c := quarantiner.Crash{Incarnation: quarantiner.Incarnation{ID: id, Service: "x", Version: "v1"}, Node: "vm-" + id, At: at}
	for _, uri := range uris {
		c.Suspects = append(c.Suspects, quarantiner.Verdict{Signature: sign(uri)})
	}
	return c
}

// TestSignature checks that each part of a request tells it from others, and that parts cannot run into each other.
func TestSignature(t *testing.T) {
	base := quarantiner.Request{Method: "GET", Host: "h", URI: "/a?b=%2f", Account: "shop", Body: []byte("body"), BodyLength: 4}
	seen := map[quarantiner.Signature]string{}
	for name, change := range map[string]func(r *quarantiner.Request){
		"none":    func(*quarantiner.Request) {},
		"method":  func(r *quarantiner.Request) { r.Method = "DELETE" },
		"host":    func(r *quarantiner.Request) { r.Host = "g" },
		"query":   func(r *quarantiner.Request) { r.URI = "/a?b=/" },
		"account": func(r *quarantiner.Request) { r.Account = "shop2" },
		"body":    func(r *quarantiner.Request) { r.Body = []byte("bode") },
		"length":  func(r *quarantiner.Request) { r.BodyLength = 5 },
		"shift":   func(r *quarantiner.Request) { r.Method, r.Host = "GETh", "" },
	} {
		r := base
		change(&r)
		s := quarantiner.Sign(&r)
		assert.Equal(t, seen[s], "", name)
		seen[s] = name
		parsed, ok := quarantiner.ParseSignature(s.String())
		assert.Assert(t, ok && parsed == s)
	}
	_, ok := quarantiner.ParseSignature("zz")
	assert.Assert(t, !ok)
}

// TestLevels checks how a request may be run after each crash, and again after some time.
func TestLevels(t *testing.T) {
	var table quarantiner.Table
	now := time.Hour
	s := sign("/bad")
	for i, level := range []quarantiner.Level{quarantiner.Suspect, quarantiner.Trial, quarantiner.Quarantined} {
		table.Merge(now, []quarantiner.Crash{crash(fmt.Sprint(i), now, "/bad", fmt.Sprint("/other/", i))})
		assert.Equal(t, table.Level(now, s, "v1"), level)
		now += time.Second
	}
	assert.Equal(t, table.Level(now, sign("/other/1"), "v1"), quarantiner.Suspect)
	assert.Equal(t, table.Level(now, s, "v2"), quarantiner.Trial, "a version that may have been mended")
	assert.Equal(t, table.Level(now, s, ""), quarantiner.Quarantined)
	assert.Equal(t, len(table.Quarantined()), 1)
	now += 2 * time.Minute
	table.Expire(now)
	assert.Equal(t, table.Level(now, s, "v1"), quarantiner.Trial)
	assert.Equal(t, table.Level(now, sign("/other/1"), "v1"), quarantiner.Free)
	table.Merge(now, []quarantiner.Crash{crash("trial", now, "/bad")})
	assert.Equal(t, table.Level(now+3*time.Minute, s, "v1"), quarantiner.Quarantined)
	assert.Equal(t, table.Level(now+4*time.Minute, s, "v1"), quarantiner.Trial)
	table.Expire(now + 3*time.Hour)
	assert.Assert(t, table.Empty())
}

// TestAnswerClears checks that an answer clears a request of the crashes known then, of which late news makes no suspect
// again, and not of later ones.
func TestAnswerClears(t *testing.T) {
	var table quarantiner.Table
	now := time.Hour
	s := sign("/popular")
	late := []quarantiner.Crash{crash("0", now, "/popular"), crash("1", now, "/popular")}
	table.Merge(now, late)
	assert.Equal(t, len(table.Clear(s, "v2")), 0)
	assert.Equal(t, len(table.Clear(s, "v1")), 2)
	assert.Equal(t, table.Level(now, s, "v1"), quarantiner.Free)
	assert.Equal(t, len(table.Merge(now, late)), 0)
	table.Merge(now, []quarantiner.Crash{crash("2", now, "/popular")})
	assert.Equal(t, table.Level(now, s, "v1"), quarantiner.Suspect)
}

// TestManyBodies guards against a client whose many different requests through crashing targets push the real one out.
func TestManyBodies(t *testing.T) {
	var table quarantiner.Table
	now := time.Hour
	for i := range 3 {
		table.Merge(now, []quarantiner.Crash{crash(fmt.Sprint("real", i), now, "/bad")})
	}
	for i := range 500 {
		now += 50 * time.Millisecond
		c := crash(fmt.Sprint("flood", i), now)
		for j := range quarantiner.MaxSuspects {
			c.Suspects = append(c.Suspects, quarantiner.Verdict{Signature: sign(fmt.Sprint(i, j))})
		}
		table.Merge(now, []quarantiner.Crash{c})
	}
	assert.Equal(t, table.Level(now, sign("/bad"), "v1"), quarantiner.Quarantined)
	assert.Assert(t, len(table.IDs()) <= 256)
	c := crash("too many", now)
	c.Suspects = make([]quarantiner.Verdict, quarantiner.MaxSuspects+1)
	assert.Equal(t, len(table.Merge(now, []quarantiner.Crash{c})), 0)
}

// TestMergeOrder checks that tables that received the same crashes and clearances, in any order, twice or partly through
// others, know the same.
func TestMergeOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 26))
		now := time.Hour
		var facts []quarantiner.Crash
		for i := range 12 {
			c := crash(fmt.Sprint(i), now-time.Duration(rng.IntN(60))*time.Second)
			for j := range rng.IntN(6) {
				c.Suspects = append(c.Suspects, quarantiner.Verdict{Signature: sign(fmt.Sprint(j)), Cleared: rng.IntN(3) == 0})
			}
			facts = append(facts, c, crash(c.ID, c.At, "1", "2"))
		}
		var a, b quarantiner.Table
		for _, i := range rng.Perm(len(facts)) {
			a.Merge(now, []quarantiner.Crash{facts[i]})
		}
		for _, i := range rng.Perm(len(facts)) {
			b.Merge(now, []quarantiner.Crash{facts[i], facts[rng.IntN(len(facts))]})
		}
		assert.Equal(t, a.Digest(), b.Digest())
		for j := range 6 {
			assert.Equal(t, a.Level(now, sign(fmt.Sprint(j)), "v1"), b.Level(now, sign(fmt.Sprint(j)), "v1"))
		}
		var c quarantiner.Table
		for _, id := range a.IDs() {
			known, _ := a.Crash(id)
			c.Merge(now, []quarantiner.Crash{known})
		}
		assert.Equal(t, c.Digest(), a.Digest())
	}
}

func TestMemory(t *testing.T) {
	var m quarantiner.Memory
	assert.Assert(t, !m.Answered(sign("/1")))
	m.Remember(time.Hour, sign("/1"))
	m.Remember(time.Hour+90*time.Second, sign("/2"))
	assert.Assert(t, m.Answered(sign("/1")) && m.Answered(sign("/2")))
	m.Remember(time.Hour+3*time.Minute, sign("/3"))
	assert.Assert(t, !m.Answered(sign("/1")) && m.Answered(sign("/3")))
}
