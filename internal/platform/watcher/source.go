package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/peer/distributor"
	"github.com/plantainwheel/plantainwheel/internal/policy/elector"
)

// minInterruptInterval is the minimum time between two interruptions of a read of the store, so that many questions for
// a recent read lead to few calls of the store.
const minInterruptInterval = 200 * time.Millisecond

// Neighbours asks other nodes of the data centre for the records that they have read from the store.
type Neighbours interface {
	Read(ctx context.Context, address string, q distributor.Question) (distributor.Reading, error)
}

// source is where a topic is read: the store, or another node.
type source struct {
	name    string
	address string
	// until, if not 0, is when a read from another node is given up.
	until time.Duration
	// overdue is set if the latest proof has reached its maximum age.
	overdue bool
}

func (s source) isStore() bool { return s.name == elector.Store }

// sources chooses the source of one topic. It is safe for concurrent use. No other lock is acquired while its mutex is
// held.
type sources struct {
	now     func() time.Duration
	topic   string
	tracker *tracker.Tracker
	log     *log.Logger
	metrics *metrics.Set

	mu      sync.Mutex
	elector elector.Elector
	latest  source
	// interrupt ends the pending read. It is nil while no read is pending that waits for records.
	interrupt     context.CancelFunc
	interruptedAt time.Duration
	// hurry is set if the next read must not wait for records.
	hurry bool
}

// choose returns the source to read from now. If there is none at present, it returns the time to wait.
func (s *sources) choose() (source, time.Duration) {
	now := s.now()
	others, addresses := s.others()
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := s.elector.Choose(now, others)
	if choice.Pause > 0 {
		return source{}, choice.Pause
	}
	next := source{name: choice.Source, address: addresses[choice.Source], until: choice.Until, overdue: choice.Overdue}
	if next.overdue {
		s.countOverdue()
	}
	if next.name != s.latest.name {
		s.log.Info().Str("topic", s.topic).Str("from", s.latest.String()).Str("to", next.String()).
			Bool("store-failed", s.elector.StoreFailed(now)).Bool("overdue", next.overdue).Int("neighbours", len(others)).Msg("records read elsewhere")
	}
	s.latest = next
	return next, 0
}

// String returns the name of the source for the log.
func (s source) String() string {
	if s.isStore() {
		return "store"
	}
	return s.name
}

// hasNeighbours reports whether there are other nodes of the data centre that may read the store for this one.
func (s *sources) hasNeighbours() bool {
	others, _ := s.others()
	return len(others) > 0
}

// others returns the other nodes of the data centre that may read the store for this one, and their control addresses.
func (s *sources) others() ([]string, map[string]string) {
	if s.tracker == nil {
		return nil, nil
	}
	var members []tracker.Member
	for _, m := range s.tracker.OtherMembers() {
		if m.DataCentre == s.tracker.DataCentre && m.State == tracker.Ready {
			members = append(members, m)
		}
	}
	var names []string
	addresses := map[string]string{}
	for _, m := range s.tracker.Responsive(time.Now(), members) {
		names = append(names, m.Node)
		addresses[m.Node] = m.ControlAddress
	}
	return names, addresses
}

// store returns the store as the source, or the time to wait because it has failed.
func (s *sources) store() (source, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = source{name: elector.Store}
	return s.latest, s.elector.StorePause(s.now())
}

// begin returns the context of a read and the function that cancels it, and whether the read must not wait for records.
// end must be called when the read has ended.
func (s *sources) begin(ctx context.Context) (readCtx context.Context, cancel context.CancelFunc, hurry bool) {
	readCtx, cancel = context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	hurry, s.hurry = s.hurry, false
	if !hurry {
		s.interrupt = cancel
	}
	return readCtx, cancel, hurry
}

func (s *sources) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupt = nil
}

// asked records a question of another node. It interrupts the pending read if this node did not read the store before,
// or if the question needs a more recent read. It returns false if the store has failed recently.
func (s *sources) asked(stale bool) bool {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.elector.Asked(now)
	if first || stale && s.latest.isStore() {
		s.hurryAt(now)
	}
	return first || !s.elector.StoreFailed(now)
}

// hurryAt makes the next read return at once. It interrupts the pending one, or does so later if another has been
// interrupted recently. The caller holds the mutex.
func (s *sources) hurryAt(now time.Duration) {
	if s.hurry {
		return
	}
	s.hurry = true
	if pause := s.interruptedAt + minInterruptInterval - now; pause > 0 {
		time.AfterFunc(pause, s.interruptPending)
		return
	}
	s.cancelPending(now)
}

func (s *sources) interruptPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hurry {
		s.cancelPending(s.now())
	}
}

// cancelPending interrupts the pending read. The caller holds the mutex.
func (s *sources) cancelPending(now time.Duration) {
	s.interruptedAt = now
	if s.interrupt != nil {
		s.interrupt()
		s.interrupt = nil
	}
}

// proven records that a reading proves which records were the newest at the given time. It reports whether that is recent
// enough.
func (s *sources) proven(at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.elector.Proven(at)
	return !s.elector.Overdue(s.now())
}

// ended records the result of a read.
func (s *sources) ended(from source, err error) {
	s.count(from, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.elector.Succeeded(from.name)
		return
	}
	how := elector.Silent
	if errors.Is(err, distributor.ErrStale) || errors.Is(err, distributor.ErrBehind) {
		how = elector.Stale
	}
	s.elector.Failed(s.now(), from.name, how, rand.Float64())
}

// countOverdue counts the reads that were chosen because the latest proof had reached its maximum age.
func (s *sources) countOverdue() {
	if s.metrics != nil {
		s.metrics.GetOrCreateCounter(`record_reads_overdue_total{topic="` + s.topic + `"}`).Inc()
	}
}

func (s *sources) count(from source, err error) {
	if s.metrics == nil {
		return
	}
	kind, result := "store", "ok"
	if !from.isStore() {
		kind = "node"
	}
	if err != nil {
		result = "failed"
	}
	s.metrics.GetOrCreateCounter(`record_reads_total{topic="` + s.topic + `",from="` + kind + `",result="` + result + `"}`).Inc()
}
