package admitter

import "time"

const (
	limitWindow    = 100 * time.Millisecond
	baselineWindow = 10 * time.Second
	// latencyTolerance is the ratio of the service time to its baseline above which a target counts as slow.
	latencyTolerance = 2.0
	decreaseFactor   = 0.9
	shedFactor       = 0.8
	increaseFactor   = 0.05
	// trialWindows is the number of decreases in a row after which their effect is checked.
	trialWindows = 3
	// effectiveRatio is the ratio of the current to the initial service time below which the decreases of a
	// trial count as effective and the limit is decreased further.
	effectiveRatio = 0.87
	// minLimitShare is the lower bound of the limit as a share of the declared slots.
	minLimitShare = 0.1
	// coldStartShare is the share of the declared slots that bounds the limit at the start of the warm-up.
	coldStartShare = 0.2
)

// Limit is an adaptive concurrency limit for one target, driven by service times and refusals. It is not safe
// for concurrent use.
type Limit struct {
	// Slots is the declared number of slots, the upper bound of the limit.
	Slots int
	// Started and WarmUp are the start and the duration of the target's warm-up.
	Started time.Time
	WarmUp  time.Duration

	limit         float64
	windowStart   time.Time
	sum           time.Duration
	n             int
	sheds         int
	peakInFlight  int
	baseline      [2]time.Duration
	baselineStart time.Time
	lastMean      time.Duration
	trial         trial
}

// trial is a series of decreases whose effect on the service time has not been checked yet.
type trial struct {
	windows     int
	initialMean time.Duration
}

// Current returns the number of calls that may run concurrently.
func (l *Limit) Current(now time.Time) int {
	if l.limit == 0 {
		l.limit = float64(l.Slots)
	}
	limit := min(l.limit, float64(l.Slots))
	since := now.Sub(l.Started)
	if l.WarmUp > 0 && since < l.WarmUp {
		share := coldStartShare + (1-coldStartShare)*since.Seconds()/l.WarmUp.Seconds()
		limit = min(limit, share*float64(l.Slots))
	}
	return max(int(limit), 1)
}

// Observe records a finished call. serviceTime excludes child calls, shed reports whether the target refused
// the call, and inFlight is the number of running calls.
func (l *Limit) Observe(now time.Time, serviceTime time.Duration, shed bool, inFlight int) {
	l.peakInFlight = max(l.peakInFlight, inFlight)
	if shed {
		l.sheds++
	} else {
		l.sum += serviceTime
		l.n++
	}
	l.Tick(now)
}

// Tick adapts the limit at the end of each window. Without samples the limit grows back to the declared slots.
func (l *Limit) Tick(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
		l.baselineStart = now
	}
	if now.Sub(l.windowStart) < limitWindow {
		return
	}
	l.adapt(now)
	l.windowStart = now
	l.sum, l.n, l.sheds, l.peakInFlight = 0, 0, 0, 0
}

func (l *Limit) adapt(now time.Time) {
	limit := float64(l.Current(now))
	if l.limit > limit {
		limit = l.limit
	}
	switch {
	case l.sheds > 0:
		limit *= shedFactor
	case l.n > 0 && l.slow(now) && float64(l.peakInFlight) >= limit/2:
		limit = l.decrease(limit)
	case l.n == 0 && l.peakInFlight > 0:
	default:
		l.trial = trial{}
		limit += max(1, limit*increaseFactor)
	}
	floor := max(1, minLimitShare*float64(l.Slots))
	l.limit = min(max(limit, floor), float64(l.Slots))
}

// decrease lowers the limit as long as this shortens the service time. Otherwise the target is slow for a
// reason other than concurrency: the limit returns to the declared slots and the current service time becomes
// the baseline.
func (l *Limit) decrease(limit float64) float64 {
	if l.trial.windows == 0 {
		l.trial.initialMean = l.lastMean
	}
	l.trial.windows++
	if l.trial.windows <= trialWindows {
		return limit * decreaseFactor
	}
	before := l.trial.initialMean
	l.trial = trial{}
	if float64(l.lastMean) < effectiveRatio*float64(before) {
		return limit * decreaseFactor
	}
	l.baseline = [2]time.Duration{l.lastMean, l.lastMean}
	return float64(l.Slots)
}

// slow reports whether the mean service time of the window exceeds the tolerance over the lowest mean in the
// current and the previous baseline window.
func (l *Limit) slow(now time.Time) bool {
	mean := l.sum / time.Duration(l.n)
	l.lastMean = mean
	if now.Sub(l.baselineStart) > baselineWindow {
		l.baseline[1] = l.baseline[0]
		l.baseline[0] = 0
		l.baselineStart = now
	}
	if l.baseline[0] == 0 || mean < l.baseline[0] {
		l.baseline[0] = mean
	}
	minMean := l.baseline[0]
	if l.baseline[1] > 0 {
		minMean = min(minMean, l.baseline[1])
	}
	return float64(mean) > latencyTolerance*float64(minMean)
}

// ServiceTime returns the mean service time of the last window with samples.
func (l *Limit) ServiceTime() time.Duration { return l.lastMean }
