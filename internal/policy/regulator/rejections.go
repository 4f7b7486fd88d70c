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
	// maxOverlap is the share of the accepted requests that may have begun while as many ran as when another was rejected. A
	// target without room rejects only above some number of running requests; one that rejects at any load has not less room.
	maxOverlap = 0.25
	// rejectionHold is the time after rejections in which the correction does not rise. A target that rejects requests looks
	// idle.
	rejectionHold = time.Second
)

// Rejections counts the requests that one target rejects for want of room. It is not safe for concurrent use.
type Rejections struct {
	periodStart       time.Time
	current, previous rejectionCounts
}

// rejectionCounts counts the answers of a period, the rejections among them, and the accepted requests that began while at
// least as many ran as when another was rejected. fewest is the smallest number that ran when a request was rejected, or 0.
type rejectionCounts struct{ answered, rejected, overlapping, fewest int }

// Observe records an answer of the target, or its rejection of a request. running is the number of requests that ran when
// the request began, including itself.
func (r *Rejections) Observe(now time.Time, rejected bool, running int) {
	r.advance(now)
	r.current.answered++
	fewest := fewer(r.current.fewest, r.previous.fewest)
	switch {
	case rejected:
		r.current.rejected++
		r.current.fewest = fewer(r.current.fewest, running)
	case fewest > 0 && running >= fewest:
		r.current.overlapping++
	}
}

// fewer returns the smaller of two numbers of which 0 stands for none.
func fewer(a, b int) int {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
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
// too few rejections or other answers to tell, or if they do not depend on the load: admitting less would not avoid them.
func (r *Rejections) Share(now time.Time) float64 {
	r.advance(now)
	rejected := r.current.rejected + r.previous.rejected
	answered := r.current.answered + r.previous.answered
	overlapping := r.current.overlapping + r.previous.overlapping
	if rejected < minRejections || float64(overlapping) >= maxOverlap*float64(answered-rejected) {
		return 0
	}
	return float64(rejected) / float64(answered)
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
