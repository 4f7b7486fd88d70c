package admitter

import "time"

const (
	limitWindow    = 100 * time.Millisecond
	baselineWindow = 10 * time.Second
	// latencyTolerance is the growth of the service time that counts as overload.
	latencyTolerance = 2.0
	decreaseFactor   = 0.9
	shedFactor       = 0.8
	increaseFactor   = 0.05
	// trialWindows is the number of decreases after which their effect is judged.
	trialWindows = 3
	// helped is the most that the service time may be of what it was, for the decreases to go on.
	helped = 0.87
	// floorShare is the least share of the declared slots.
	floorShare = 0.1
	// coldShare is the share of the limit that a cold target starts with.
	coldShare = 0.2
)

// Limit adapts the concurrency of one target to its service times and refusals. It is not safe for
// concurrent use.
type Limit struct {
	// Slots is the declared bound.
	Slots int
	// Started and ColdStart describe the ramp of a target that has just started.
	Started   time.Time
	ColdStart time.Duration

	limit    float64
	window   time.Time
	sum      time.Duration
	n        int
	sheds    int
	peak     int
	baseline [2]time.Duration
	rotated  time.Time
	recent   time.Duration
	trial    trial
}

// trial is a run of decreases whose effect is not known yet.
type trial struct {
	windows int
	before  time.Duration
}

// Current returns the number of calls that may run now.
func (l *Limit) Current(now time.Time) int {
	if l.limit == 0 {
		l.limit = float64(l.Slots)
	}
	cap := min(l.limit, float64(l.Slots))
	since := now.Sub(l.Started)
	if l.ColdStart > 0 && since < l.ColdStart {
		share := coldShare + (1-coldShare)*since.Seconds()/l.ColdStart.Seconds()
		cap = min(cap, share*float64(l.Slots))
	}
	return max(int(cap), 1)
}

// Observe notes a finished call: its own service time without child calls, and whether the target
// refused it; inFlight is the concurrency at that time.
func (l *Limit) Observe(now time.Time, own time.Duration, shed bool, inFlight int) {
	l.peak = max(l.peak, inFlight)
	if shed {
		l.sheds++
	} else {
		l.sum += own
		l.n++
	}
	l.Tick(now)
}

// Tick closes the window when it is over. Without samples the limit returns to the declared slots.
func (l *Limit) Tick(now time.Time) {
	if l.window.IsZero() {
		l.window = now
		l.rotated = now
	}
	if now.Sub(l.window) < limitWindow {
		return
	}
	l.adapt(now)
	l.window = now
	l.sum, l.n, l.sheds, l.peak = 0, 0, 0, 0
}

func (l *Limit) adapt(now time.Time) {
	limit := float64(l.Current(now))
	if l.limit > limit {
		limit = l.limit
	}
	switch {
	case l.sheds > 0:
		limit *= shedFactor
	case l.n > 0 && l.slow(now) && float64(l.peak) >= limit/2:
		limit = l.decrease(limit)
	case l.n == 0 && l.peak > 0:
		// Calls run and none has ended: nothing is known.
	default:
		l.trial = trial{}
		limit += max(1, limit*increaseFactor)
	}
	floor := max(1, floorShare*float64(l.Slots))
	l.limit = min(max(limit, floor), float64(l.Slots))
}

// decrease lowers the limit as long as that shortens the service time. Where it does not, the target is
// slow for a reason of its own: the limit returns to the slots and the service time becomes the new
// normal.
func (l *Limit) decrease(limit float64) float64 {
	if l.trial.windows == 0 {
		l.trial.before = l.recent
	}
	l.trial.windows++
	if l.trial.windows <= trialWindows {
		return limit * decreaseFactor
	}
	before := l.trial.before
	l.trial = trial{}
	if float64(l.recent) < helped*float64(before) {
		return limit * decreaseFactor
	}
	l.baseline = [2]time.Duration{l.recent, l.recent}
	return float64(l.Slots)
}

// slow compares the window's mean with the least mean of the last baseline windows.
func (l *Limit) slow(now time.Time) bool {
	mean := l.sum / time.Duration(l.n)
	l.recent = mean
	if now.Sub(l.rotated) > baselineWindow {
		l.baseline[1] = l.baseline[0]
		l.baseline[0] = 0
		l.rotated = now
	}
	if l.baseline[0] == 0 || mean < l.baseline[0] {
		l.baseline[0] = mean
	}
	least := l.baseline[0]
	if l.baseline[1] > 0 {
		least = min(least, l.baseline[1])
	}
	return float64(mean) > latencyTolerance*float64(least)
}

// ServiceTime returns the mean service time of the last window with samples.
func (l *Limit) ServiceTime() time.Duration { return l.recent }
