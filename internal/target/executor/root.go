package executor

import (
	"math"
	"strings"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
)

// Root describes the caller's request that a job belongs to. For a new request it is the request itself.
type Root struct {
	// Rank is the rank of the request when it entered the fleet; lower ranks are more important.
	Rank int
	// Account is the name of the client account, or "" if there is none.
	Account string
}

// UnknownRoot is the root of a call of which nothing is known.
var UnknownRoot = Root{Rank: math.MaxInt32}

// roots counts the running jobs by route and root.
type roots map[string]map[Root]int

func (r roots) add(route string, root Root) {
	if r[route] == nil {
		r[route] = map[Root]int{}
	}
	r[route][root]++
}

func (r roots) remove(route string, root Root) {
	r[route][root]--
	if r[route][root] <= 0 {
		delete(r[route], root)
	}
	if len(r[route]) == 0 {
		delete(r, route)
	}
}

// mostImportant returns the root of the best rank among the running jobs of the routes, and among those of that rank the
// one with most running jobs, or UnknownRoot if there are none.
func (r roots) mostImportant(makesCall func(route string) bool) Root {
	best, most := UnknownRoot, 0
	for route, running := range r {
		if !makesCall(route) {
			continue
		}
		for root, n := range running {
			if root.Rank < best.Rank || (root.Rank == best.Rank && (n > most || (n == most && strings.Compare(root.Account, best.Account) < 0))) {
				best, most = root, n
			}
		}
	}
	return best
}

// RunningRoot returns the root of a call that the target makes to the route callee. Targets don't report which request a
// call belongs to, so it is that of the most important running request that makes such calls, or of any running request
// while the calls are not learned yet.
func (e *Executor) RunningRoot(callee string) Root {
	e.mu.Lock()
	defer e.mu.Unlock()
	callers := e.estimator.Callers(callee)
	root := e.roots.mostImportant(func(route string) bool { return callers[route] })
	if root == UnknownRoot {
		root = e.roots.mostImportant(func(string) bool { return true })
	}
	return root
}

// newEntry returns the queue entry of a job that arrives now. The caller holds the mutex.
func (e *Executor) newEntry(now time.Time, job *Job) *queuer.Entry {
	entry := &queuer.Entry{Rank: job.Rank, LatestStart: now.Add(job.MaxWait), RootRank: job.Root.Rank, Account: job.Root.Account}
	if e.Objective == nil {
		return entry
	}
	if objective := e.Objective(job.Route); objective > 0 {
		entry.StartBy = now.Add(objective - e.holdTime)
	}
	return entry
}

// expectedWait returns how long a waiting entry waits if all slots stay in use. The caller holds the mutex.
func (e *Executor) expectedWait(entry *queuer.Entry) time.Duration {
	return e.holdTime * time.Duration(e.queue.Before(entry)) / time.Duration(max(e.queue.Limit, 1))
}

// isLate reports whether a job that has to wait would be refused or pass its deadline before it starts. Refusing it at once
// leaves time for another target. The caller holds the mutex.
func (e *Executor) isLate(now time.Time, job *Job, entry *queuer.Entry) bool {
	wait := e.expectedWait(entry)
	return wait > job.MaxWait || now.Add(wait+minRemainingTime).After(job.Deadline)
}
