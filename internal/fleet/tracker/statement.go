package tracker

import "time"

// statementLifetime is the time after which what a target has said is forgotten. A target that leaves is gone long before.
const statementLifetime = time.Hour

// incarnation identifies one lifetime of a target.
type incarnation struct {
	target      string
	startedAtMs int64
}

func (m *Member) incarnation() incarnation { return incarnation{m.Target, m.StartedAtMs} }

// statement is what an incarnation has said about itself in answers that this node passed on.
type statement struct {
	// limit is the number of requests per second that the target takes, or 0.
	limit float64
	// leaving is never reset.
	leaving bool
	at      time.Time
}

// RecordStatement records what an answer of the member's target says: its limit in requests per second, or 0, and
// whether it leaves. It returns true if the target says for the first time that it leaves.
func (t *Tracker) RecordStatement(m *Member, limit float64, leaving bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.statements[m.incarnation()]
	if !known && limit == 0 && !leaving {
		return false
	}
	now := time.Now()
	if t.statements == nil {
		t.statements = map[incarnation]statement{}
	}
	if !known {
		t.forgetStatements(now)
	}
	t.statements[m.incarnation()] = statement{limit: limit, leaving: leaving || old.leaving, at: now}
	return leaving && !old.leaving
}

func (t *Tracker) forgetStatements(now time.Time) {
	for key, s := range t.statements {
		if now.Sub(s.at) > statementLifetime {
			delete(t.statements, key)
		}
	}
}

// Limit returns the limit that the member's target named in the latest answer that this node passed on, in requests per
// second, or 0.
func (t *Tracker) Limit(m *Member) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statements[m.incarnation()].limit
}
