package executor

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

// TestAdmittedAsWaitEnds guards against a job that gets its slot at the moment its wait ends, takes one request of the
// limit that the target names and is refused all the same, so that the target gets fewer requests than its limit.
func TestAdmittedAsWaitEnds(t *testing.T) {
	for _, c := range []struct {
		reason, want       string
		running, available int
	}{
		{ReasonQueueTimeout, "", 1, 0},
		{ReasonCancelled, ReasonCancelled, 0, 1},
	} {
		t.Run(c.reason, func(t *testing.T) {
			e := New(&transporter.Pool{})
			e.Announce(platform.Announcement{ID: "i-1", Service: "print", Address: "target:80", Slots: 1, Sequence: 1, StartedAtMs: 1000})
			job := &Job{Route: "r", MaxWait: time.Minute, Deadline: time.Now().Add(time.Hour)}
			_, wait, reason := e.enqueue(job)
			assert.Assert(t, wait == nil && reason == "", reason)
			entry, wait, reason := e.enqueue(job)
			assert.Assert(t, wait != nil && reason == "", reason)
			// The limit is so low that no request becomes available during the test.
			now := time.Now()
			e.pacer.Name(now, 0)
			e.pacer.Release(now)
			e.finish(job, now)
			assert.Equal(t, e.abandonWait(job, entry, wait, c.reason), c.want)
			assert.Equal(t, e.queue.Running(), c.running)
			assert.Equal(t, e.pacer.Available(now), c.available)
		})
	}
}
