package checker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/checker"
	"gotest.tools/v3/assert"
)

// TestViolations checks that a violation of each guarantee is reported and that allowed behaviour is not.
func TestViolations(t *testing.T) {
	t0 := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	at := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	order := checker.Request{ID: "1", Account: "shop", Key: "k", Once: true, Stable: true, At: t0}
	run := checker.Run{ID: "1", Account: "shop", Instance: "i", Body: "1", At: t0}
	for _, tc := range []struct {
		name string
		do   func(*checker.Checker)
		want string
	}{
		{"served", func(c *checker.Checker) {
			c.RecordRun(run)
			c.RecordResponse(checker.Response{ID: "1", Status: 200, Seal: "seal-1", Body: "done 1"})
		}, ""},
		{"refused", func(c *checker.Checker) { c.RecordResponse(checker.Response{ID: "1", Status: 503}) }, ""},
		{"twice", func(c *checker.Checker) { c.RecordRun(run); c.RecordRun(run) }, "TWICE"},
		{"refused although it ran", func(c *checker.Checker) { c.RecordRun(run); c.RecordResponse(checker.Response{ID: "1", Status: 503}) }, "REFUSED"},
		{"response lost after the run", func(c *checker.Checker) { c.RecordRun(run); c.RecordResponse(checker.Response{ID: "1", Status: 502}) }, ""},
		{"success without a run", func(c *checker.Checker) {
			c.RecordResponse(checker.Response{ID: "1", Status: 200, Seal: "seal-1", Body: "done 1"})
		}, "MIXED"},
		{"response to another request", func(c *checker.Checker) {
			c.RecordRun(run)
			c.RecordResponse(checker.Response{ID: "1", Status: 200, Seal: "seal-1", Body: "done 2"})
		}, "MIXED"},
		{"never sent", func(c *checker.Checker) { c.RecordRun(checker.Run{ID: "2"}) }, "UNASKED"},
		{"other account", func(c *checker.Checker) { r := run; r.Account = "other"; c.RecordRun(r) }, "UNASKED"},
		{"valid key denied", func(c *checker.Checker) { c.RecordResponse(checker.Response{ID: "1", Status: 401}) }, "DENIED"},
		{"run within the revocation time", func(c *checker.Checker) { c.RecordRevocation("k", at(-4)); c.RecordRun(run) }, ""},
		{"run after the revocation time", func(c *checker.Checker) { c.RecordRevocation("k", at(-6)); c.RecordRun(run) }, "CONFIG"},
		{"run within the drain time", func(c *checker.Checker) { c.RecordDrain("i", at(-1)); c.RecordRun(run) }, ""},
		{"run after the drain time", func(c *checker.Checker) { c.RecordDrain("i", at(-3)); c.RecordRun(run) }, "DRAIN"},
		{"key denied that was just granted", func(c *checker.Checker) { granted(c, at(-4)) }, ""},
		{"key denied that was granted long ago", func(c *checker.Checker) { granted(c, at(-6)) }, "DENIED"},
		{"key denied that was revoked meanwhile", func(c *checker.Checker) { granted(c, at(-6)); c.RecordRevocation("new", at(1)) }, ""},
		{"at the bound of a cold target", func(c *checker.Checker) { arriveCold(c, 30, at(4)) }, ""},
		{"over the bound of a cold target", func(c *checker.Checker) { arriveCold(c, 31, at(4)) }, "COLD"},
		{"at the target's limit", func(c *checker.Checker) { arrive(c, 17, at(4)) }, ""},
		{"over the target's limit", func(c *checker.Checker) { arrive(c, 18, at(4)) }, "LIMIT"},
		{"over the limit just after it was named", func(c *checker.Checker) { arrive(c, 18, at(1)) }, ""},
		{"over the limit from a node that was restarted", func(c *checker.Checker) { c.RecordDisturbance(0); arrive(c, 18, at(4)) }, ""},
		{"at a leaving target", func(c *checker.Checker) { c.RecordTold(0, "i", false, true, at(-1)); c.RecordArrival("1", "i", t0) }, ""},
		{"at a target that left", func(c *checker.Checker) { c.RecordTold(0, "i", false, true, at(-3)); c.RecordArrival("1", "i", t0) }, "DRAIN"},
		{"at its rate", func(c *checker.Checker) { flood(c, 42, t0) }, ""},
		{"over its rate", func(c *checker.Checker) { flood(c, 43, t0) }, "QUOTA"},
		{"sent before the window and run in it", func(c *checker.Checker) {
			flood(c, 42, t0)
			c.RecordRequest(checker.Request{ID: "held", Account: "shop", At: t0.Add(-time.Second)})
			c.RecordRun(checker.Run{ID: "held", Account: "shop", Body: "held", At: t0.Add(4 * time.Second)})
		}, ""},
	} {
		c := &checker.Checker{
			Bounds: checker.Bounds{KeyRevocation: 5 * time.Second, Drain: 2 * time.Second, Window: 5 * time.Second, Excess: 0.1, Slack: 20, Contact: 3 * time.Second},
			Limits: map[string]checker.Limit{"shop": {Rate: 2, Burst: 10}},
		}
		c.RecordRequest(order)
		c.RecordTold(0, "i", true, false, t0)
		c.RecordLimit("i", 2, t0)
		tc.do(c)
		found := c.Check()
		if tc.want == "" {
			assert.Equal(t, len(found), 0, "%s: %v", tc.name, found)
			continue
		}
		assert.Assert(t, len(found) > 0 && found[0].Rule == tc.want, "%s: %v", tc.name, found)
	}
}

// flood records n requests of the account "shop", sent 100 ms apart from the given time, and their runs.
func flood(c *checker.Checker, n int, at time.Time) {
	for k := range n {
		id := fmt.Sprint("f", k)
		sent := at.Add(time.Duration(k) * 100 * time.Millisecond)
		c.RecordRequest(checker.Request{ID: id, Account: "shop", At: sent})
		c.RecordRun(checker.Run{ID: id, Account: "shop", Body: id, At: sent.Add(10 * time.Millisecond)})
	}
}

// granted records that the key "new" was granted at the given time and refused at the time of the requests.
func granted(c *checker.Checker, at time.Time) {
	c.RecordGrant("new", at)
	c.RecordRequest(checker.Request{ID: "new", Account: "shop", Key: "new", At: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)})
	c.RecordResponse(checker.Response{ID: "new", Status: 401})
}

// arrive records n requests that reach the instance "i" 100 ms apart from the given time on.
func arrive(c *checker.Checker, n int, at time.Time) {
	for k := range n {
		id := fmt.Sprint("a", k)
		sent := at.Add(time.Duration(k) * 100 * time.Millisecond)
		c.RecordRequest(checker.Request{ID: id, Account: "other", At: sent})
		c.RecordArrival(id, "i", sent)
	}
}

// arriveCold records n requests to a cold target in one second, and as many in the next.
func arriveCold(c *checker.Checker, n int, from time.Time) {
	c.Bounds.ColdPerSecond = 30.5
	for i := range 2 * n {
		c.RecordColdArrival("i", from.Add(time.Duration(i)*time.Second/time.Duration(n)))
	}
}
