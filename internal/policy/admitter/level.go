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
	// queueTarget is the mean queueing time above which a window counts as overloaded.
	queueTarget = 20 * time.Millisecond
	shrinkShare = 0.05
	growShare   = 0.02
	// minGrow is the least growth per window, in priorities.
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
	l.grow(min(windows, MaxLevel))
	l.window = now
	l.offered = [MaxLevel]int{}
	l.admitted, l.waited, l.starts, l.refused = 0, 0, 0, 0
}

func (l *Level) overloaded() bool {
	if l.refused > 0 && l.refused*20 > l.admitted {
		return true
	}
	return l.starts > 0 && l.waited/time.Duration(l.starts) > queueTarget
}

// shrink lowers the level until the window's admitted calls would have been fewer.
func (l *Level) shrink() {
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

func (l *Level) grow(windows int) {
	for range windows {
		if l.level >= MaxLevel {
			return
		}
		l.level = min(MaxLevel, l.nextLevel())
	}
}

// nextLevel raises the level until the window's admitted calls would have been more.
func (l *Level) nextLevel() int {
	goal := int(float64(l.admitted) * growShare)
	sum := 0
	for p := l.level; p < MaxLevel; p++ {
		sum += l.offered[p]
		if sum > goal && p-l.level >= minGrow {
			return p
		}
	}
	return MaxLevel
}
