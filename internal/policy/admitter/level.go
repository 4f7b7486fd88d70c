package admitter

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// prioritiesPerImportance is the number of priorities within one importance.
const prioritiesPerImportance = 128

// MaxLevel admits every priority.
const MaxLevel = reducer.ImportanceCount * prioritiesPerImportance

const (
	levelWindow = 100 * time.Millisecond
	// queueTimeThreshold is the mean queue time above which the target counts as overloaded. If the average
	// hold time of a slot is longer, that time is the threshold instead.
	queueTimeThreshold = 20 * time.Millisecond
	decreaseFraction   = 0.05
	// minStep is the first increase of the level after a decrease, in priorities. The increase doubles with each
	// window.
	minStep = 4
)

// Priority returns the priority of a request; smaller values are shed later. All hops of a request use the same
// value, so that a request admitted at one hop is not shed at the next because of a different priority.
func Priority(i reducer.Importance, rootID string) int {
	return int(i)*prioritiesPerImportance + int(xxhash.Sum64String(rootID)%prioritiesPerImportance)
}

// Level is the admission level of a node: it admits calls whose priority is below the level. It follows DAGOR
// (Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018). It is not safe for
// concurrent use.
type Level struct {
	level        int
	initialised  bool
	windowStart  time.Time
	offered      [MaxLevel]int
	admitted     int
	queueTime    time.Duration
	startedCalls int
	refused      int
	step         int
	// holdTime is the moving average of the time for which calls hold their slots.
	holdTime time.Duration
}

// holdTimeWeight is the weight of a new sample in the moving average of the hold time.
const holdTimeWeight = 0.05

// ObserveHoldTime records for how long a finished call held its slot.
func (l *Level) ObserveHoldTime(holdTime time.Duration) {
	if l.holdTime == 0 {
		l.holdTime = holdTime
	}
	l.holdTime += time.Duration(holdTimeWeight * float64(holdTime-l.holdTime))
}

// Current returns the admission level. Priorities below it are admitted.
func (l *Level) Current() int {
	if !l.initialised {
		return MaxLevel
	}
	return l.level
}

// Offer counts a call as demand and reports whether its priority is admitted.
func (l *Level) Offer(now time.Time, priority int) bool {
	l.Tick(now)
	l.offered[priority]++
	ok := priority < l.level
	if ok {
		l.admitted++
	}
	return ok
}

// ObserveQueueTime records how long a call was queued before it started.
func (l *Level) ObserveQueueTime(wait time.Duration) {
	l.queueTime += wait
	l.startedCalls++
}

// ObserveRefusal counts a call that expired in the queue or was refused because the queue was full.
func (l *Level) ObserveRefusal() { l.refused++ }

// Tick adapts the level at the end of each window.
func (l *Level) Tick(now time.Time) {
	if !l.initialised {
		l.initialised = true
		l.level = MaxLevel
		l.windowStart = now
	}
	elapsed := now.Sub(l.windowStart)
	if elapsed < levelWindow {
		return
	}
	windows := int(elapsed / levelWindow)
	if l.overloaded() {
		l.lower()
		windows--
	}
	l.raise(min(windows, MaxLevel))
	l.windowStart = now
	l.offered = [MaxLevel]int{}
	l.admitted, l.queueTime, l.startedCalls, l.refused = 0, 0, 0, 0
}

func (l *Level) overloaded() bool {
	if l.refused > 0 && l.refused*20 > l.admitted {
		return true
	}
	return l.startedCalls > 0 && l.queueTime/time.Duration(l.startedCalls) > max(queueTimeThreshold, l.holdTime)
}

// lower reduces the level, to 1 at the least. With the demand of the window, the new level would have admitted at
// most as many calls as were served, and at most 1-decreaseFraction of the calls that were admitted.
func (l *Level) lower() {
	l.step = minStep
	served := l.admitted - l.refused
	goal := min(int(float64(l.admitted)*(1-decreaseFraction)), served)
	sum := 0
	for p := range l.level {
		sum += l.offered[p]
		if sum > goal {
			l.level = max(p, 1)
			return
		}
	}
	l.level = max(l.level-minStep, 1)
}

// raise increases the level. Entry nodes refuse requests above the level, so the demand above it is unknown;
// the increase therefore starts small and doubles with each window.
func (l *Level) raise(windows int) {
	for range windows {
		if l.level >= MaxLevel {
			return
		}
		l.level = min(MaxLevel, l.level+l.step)
		l.step = min(2*l.step, MaxLevel)
	}
}
