package executor

import "time"

// maxRefusedIDs is the number of latest refusals after which an earlier one may be forgotten.
const maxRefusedIDs = 2048

// refusedIDs holds the IDs of the requests that the target has refused lately. A copy of such a refusal may arrive later on
// the same connection, where a request with the same ID would take it for its own answer. The zero value is empty.
type refusedIDs struct {
	recent, former map[string]bool
}

func (r *refusedIDs) add(id string) {
	if r.recent == nil || len(r.recent) >= maxRefusedIDs {
		r.recent, r.former = map[string]bool{}, r.recent
	}
	r.recent[id] = true
}

func (r *refusedIDs) contains(id string) bool { return r.recent[id] || r.former[id] }

// recordRefusal records that the target has refused the request with the ID.
func (e *Executor) recordRefusal(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused.add(id)
}

// maxIdle returns the maximum idle time of a connection that the job may be sent on, or 0 if it needs a new one.
func (e *Executor) maxIdle(job *Job) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.refused.contains(requestID(job)):
		return 0
	case job.Idempotent:
		return maxIdleIdempotent
	default:
		return maxIdleNonIdempotent
	}
}
