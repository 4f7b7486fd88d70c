// Package settler decides from when on a read of the store proves which record is the newest.
//
// A store that was restored from a copy lacks the records acknowledged since the copy was made. Their authors write
// them again within a known period. Until then a read proves nothing, because a newer record may be missing. A
// process that starts cannot know how old the present era is, so it treats the first era that it sees like a new one,
// unless another node has found it settled.
package settler

import "time"

// Settler tracks the eras of the store. All times are readings of one clock. It is not safe for concurrent use.
type Settler struct {
	// Period is the time after a restore within which lost records are written again.
	Period time.Duration
	// MaxPeriod replaces Period while the store is known to lack a record. It bounds the time without proofs if the
	// record is never written again.
	MaxPeriod time.Duration

	known      bool
	era        int64
	observedAt time.Duration
	// vouched is set if another node has found the era settled, at the time vouchedAt.
	vouched   bool
	vouchedAt time.Duration
	behind    bool
}

// Observe records that the store has answered in the era, and reports whether the era is a new one.
func (s *Settler) Observe(now time.Duration, era int64) bool {
	if s.known && era <= s.era {
		return false
	}
	s.known, s.era, s.observedAt = true, era, now
	s.vouched, s.behind = false, false
	return true
}

// Vouch records that another node has found the era settled.
func (s *Settler) Vouch(now time.Duration, era int64) {
	if s.known && s.era == era && !s.vouched {
		s.vouched, s.vouchedAt = true, now
	}
}

// Vouched reports whether another node has found the present era settled.
func (s *Settler) Vouched() bool { return s.vouched }

// SetBehind records whether the store lacks a record that is known to have been acknowledged.
func (s *Settler) SetBehind(behind bool) { s.behind = behind }

// settledAt returns the time from which on reads prove what is newest.
func (s *Settler) settledAt() time.Duration {
	switch {
	case !s.known:
		return 0
	case s.behind:
		return s.observedAt + s.MaxPeriod
	case s.vouched:
		return min(s.vouchedAt, s.observedAt+s.Period)
	default:
		return s.observedAt + s.Period
	}
}

// Remaining returns the time until the present era is settled.
func (s *Settler) Remaining(now time.Duration) time.Duration { return max(s.settledAt()-now, 0) }

// Proves reports whether a read that was sent at the given time and answered in the era proves what is newest.
func (s *Settler) Proves(sentAt time.Duration, era int64) bool {
	return (!s.known || era == s.era) && sentAt >= s.settledAt()
}
