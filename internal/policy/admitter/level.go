package admitter

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// grades is the number of priorities within one importance.
const grades = 128

// MaxLevel admits every priority.
const MaxLevel = reducer.Importances * grades

const (
	levelWindow = 100 * time.Millisecond
	// queueTarget is the least mean queueing time that counts as overload. Where calls hold their slots
	// for longer, that time takes its place.
	queueTarget = 20 * time.Millisecond
	shrinkShare = 0.05
	// minGrow is the first growth after a shrink, in priorities. It doubles with each window.
	minGrow = 4
)

// Priority places a whole request: smaller values are shed later. All hops of a request share the
// same value, so that what one hop admits the next one does not drop.
func Priority(i reducer.Importance, rootID string) int {
	return int(i)*grades + int(xxhash.Sum64String(rootID)%grades)
}

// Level is the priority below which a node admits calls. It follows DAGOR: Zhou et al., "Overload
// Control for Scaling WeChat Microservices", SoCC 2018. It is not safe for concurrent use.
type Level struct {
	level    int
	started  bool
	window   time.Time
	offered  [MaxLevel]int
	admitted int
	waited   time.Duration
	starts   int
	refused  int
	grow     int
	// held is a smoothed time for which calls hold their slots.
	held time.Duration
}

// heldWeight is the share of a new sample in held.
const heldWeight = 0.05

// Held notes for how long a call has held its slot.
func (l *Level) Held(span time.Duration) {
	if l.held == 0 {
		l.held = span
	}
	l.held += time.Duration(heldWeight * float64(span-l.held))
}

// Current returns the level: priorities below it are admitted.
func (l *Level) Current() int {
	if !l.started {
		return MaxLevel
	}
	return l.level
}

// Offer notes a call and says whether its priority is admitted.
func (l *Level) Offer(now time.Time, priority int) bool {
	l.Tick(now)
	l.offered[priority]++
	ok := priority < l.level
	if ok {
		l.admitted++
	}
	return ok
}

// Waited notes how long a call had queued when it started.
func (l *Level) Waited(wait time.Duration) {
	l.waited += wait
	l.starts++
}

// Refused notes a call that was admitted by its priority and had to be refused all the same.
func (l *Level) Refused() { l.refused++ }

// Tick closes the window when it is over.
func (l *Level) Tick(now time.Time) {
	if !l.started {
		l.started = true
		l.level = MaxLevel
		l.window = now
	}
	elapsed := now.Sub(l.window)
	if elapsed < levelWindow {
		return
	}
	windows := int(elapsed / levelWindow)
	if l.overloaded() {
		l.shrink()
		windows--
	}
	l.raise(min(windows, MaxLevel))
	l.window = now
	l.offered = [MaxLevel]int{}
	l.admitted, l.waited, l.starts, l.refused = 0, 0, 0, 0
}

func (l *Level) overloaded() bool {
	if l.refused > 0 && l.refused*20 > l.admitted {
		return true
	}
	return l.starts > 0 && l.waited/time.Duration(l.starts) > max(queueTarget, l.held)
}

// shrink lowers the level until the window's admitted calls would have been fewer.
func (l *Level) shrink() {
	l.grow = minGrow
	served := l.admitted - l.refused
	goal := min(int(float64(l.admitted)*(1-shrinkShare)), served)
	sum := 0
	for p := range l.level {
		sum += l.offered[p]
		if sum > goal {
			l.level = max(p, 1)
			return
		}
	}
	l.level = max(l.level-minGrow, 1)
}

// raise lets the level grow. Entry nodes refuse what the level does not admit, so that nothing is known
// of the demand above it; hence growth starts small and doubles.
func (l *Level) raise(windows int) {
	for range windows {
		if l.level >= MaxLevel {
			return
		}
		l.level = min(MaxLevel, l.level+l.grow)
		l.grow = min(2*l.grow, MaxLevel)
	}
}
