package regulator

import "time"

const (
	// minRejections is the number of rejections from which on their share counts.
	minRejections = 3
	// minRejectedShare is the share of rejected requests from which on the correction follows it.
	minRejectedShare = 0.02
	// maxRejectedShare bounds the share that one change of the correction follows.
	maxRejectedShare = 0.5
	// rejectionPeriod is the time between two changes of the correction that follow rejections. Requests admitted before
	// the first change go on arriving for about as long.
	rejectionPeriod = 300 * time.Millisecond
	// rejectionHold is the time after rejections in which the correction does not rise. A target that rejects requests looks
	// idle.
	rejectionHold = time.Second
)

// Rejections counts the requests that one target rejects. It is not safe for concurrent use.
type Rejections struct {
	periodStart       time.Time
	current, previous rejectionCounts
}

type rejectionCounts struct{ answered, rejected int }

// Observe records an answer of the target, or its rejection of a request.
func (r *Rejections) Observe(now time.Time, rejected bool) {
	r.advance(now)
	r.current.answered++
	if rejected {
		r.current.rejected++
	}
}

func (r *Rejections) advance(now time.Time) {
	if now.Sub(r.periodStart) < Period {
		return
	}
	r.previous = r.current
	if now.Sub(r.periodStart) >= 2*Period {
		r.previous = rejectionCounts{}
	}
	r.current, r.periodStart = rejectionCounts{}, now
}

// Share returns the share of the requests that the target has rejected within the last one or two periods, or 0 if there are
// too few rejections to tell.
func (r *Rejections) Share(now time.Time) float64 {
	r.advance(now)
	rejected := r.current.rejected + r.previous.rejected
	if rejected < minRejections {
		return 0
	}
	return float64(rejected) / float64(r.current.answered+r.previous.answered)
}

// Reject lowers the factor by the share of the requests that the node's target rejects, since its capacity is smaller than its
// slots tell.
func (c *Correction) Reject(now time.Time, share float64) {
	if share < minRejectedShare {
		return
	}
	c.rejectedAt = now
	if now.Sub(c.loweredAt) < rejectionPeriod {
		return
	}
	c.loweredAt = now
	c.value = max(c.Value()*(1-min(share, maxRejectedShare)), minCorrection)
}
