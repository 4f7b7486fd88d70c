// Package adviser lets nodes that cannot reach the configuration store obtain the latest configuration from other
// nodes, together with the time since the store last confirmed that configuration as the latest.
package adviser

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/peer/connector"
	"github.com/plantainwheel/plantainwheel/internal/policy/evacuator"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
)

const (
	// callTimeout limits one call to another node.
	callTimeout = 600 * time.Millisecond
	// checkInterval is how often the age of the configuration is checked.
	checkInterval = 250 * time.Millisecond
	// fanOut is the number of nodes queried in parallel. Several are queried, because some of them may be unable
	// to reach the store as well.
	fanOut = 3
	// maxReplyBytes bounds a reply. A configuration is at most as large as a record of the store.
	maxReplyBytes = 1 << 20
	// maxAgeMs bounds the age in a reply, so that its conversion to nanoseconds does not overflow.
	maxAgeMs = 1 << 40
)

// NewHTTPClient returns an HTTP client for Poller that bounds the size of replies.
func NewHTTPClient() *http.Client { return connector.NewHTTPClient(1, maxReplyBytes) }

// Server answers queries from other nodes about the configuration.
type Server struct {
	Keeper *keeper.Keeper
	// Evacuations, if not nil, holds the evacuated data centres, which are returned with the configuration.
	Evacuations *keeper.Evacuations
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler { return NewAdviserServer(s) }

// Advise returns the version and age of the configuration in force, and the configuration itself if it is newer
// than the version in the request. The age is read before the record, so that a concurrent update cannot pair an
// older record with the age of a newer one. The age is rounded up, so that the receiver never takes the
// configuration for more recently confirmed than it is.
func (s *Server) Advise(_ context.Context, req *AdviseRequest) (*AdviseReply, error) {
	age := s.Keeper.Age(timekeeper.SinceBoot())
	record, version := s.Keeper.Record()
	reply := &AdviseReply{Version: version, AgeMs: age.Milliseconds() + 1}
	if version > req.Version {
		reply.Record = record
	}
	if list, age, ok := s.Evacuations.Proven(timekeeper.SinceBoot()); ok {
		reply.Evacuations = &Evacuations{AgeMs: age.Milliseconds() + 1}
		for _, e := range list {
			reply.Evacuations.List = append(reply.Evacuations.List, &Evacuation{DataCentre: e.DataCentre, Offset: e.Offset})
		}
	}
	return reply, nil
}

// Poller queries other nodes when the store has not confirmed the configuration for longer than PollAfter.
type Poller struct {
	Keeper  *keeper.Keeper
	Tracker *tracker.Tracker
	HTTP    *http.Client
	Log     *log.Logger
	// PollAfter is the age of the configuration above which other nodes are queried.
	PollAfter time.Duration
	// Evacuations, if not nil, holds the evacuated data centres. Other nodes are also queried when the set has not been
	// confirmed for longer than PollEvacuationsAfter.
	Evacuations          *keeper.Evacuations
	PollEvacuationsAfter time.Duration
	// Wake requests a query regardless of the age. It is sent a value when the store has been restored, because other
	// nodes may know of a configuration that the store has lost.
	Wake <-chan struct{}

	// polledAt is the time at which the latest round of queries ended, in nanoseconds since the boot.
	polledAt atomic.Int64
}

// PolledAt returns the time since the boot at which the latest round of queries ended, or 0 before the first one.
func (p *Poller) PolledAt() time.Duration { return time.Duration(p.polledAt.Load()) }

// Run checks the age periodically until the context is done.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Wake:
			p.pollPeers(ctx)
		case <-ticker.C:
			now := timekeeper.SinceBoot()
			if p.Keeper.Age(now) > p.PollAfter || (p.Evacuations != nil && p.Evacuations.Age(now) > p.PollEvacuationsAfter) {
				p.pollPeers(ctx)
			}
		}
	}
}

// pollPeers queries up to fanOut random nodes in parallel and waits for all of them.
func (p *Poller) pollPeers(ctx context.Context) {
	others := slices.Clone(p.Tracker.OtherMembers())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	done := make(chan struct{}, fanOut)
	n := min(fanOut, len(others))
	for _, m := range others[:n] {
		go func() {
			p.pollPeer(ctx, m)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
	p.polledAt.Store(int64(timekeeper.SinceBoot()))
}

func (p *Poller) pollPeer(ctx context.Context, m tracker.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, version := p.Keeper.Record()
	sentAt := timekeeper.SinceBoot()
	reply, err := NewAdviserProtobufClient("http://"+m.ControlAddress, p.HTTP).Advise(ctx, &AdviseRequest{Version: version})
	if err != nil {
		return
	}
	p.adoptEvacuations(sentAt, reply.Evacuations)
	applied, err := p.applyReply(sentAt, reply)
	switch {
	case err != nil:
		p.Log.Warn().Err(err).Str("node", m.Node).Msg("rejected configuration received from peer")
	case applied:
		p.Log.Info().Str("from", m.Node).Uint64("version", reply.Version).Int64("age-ms", reply.AgeMs).Msg("configuration in force")
	}
}

// adoptEvacuations adopts the evacuated data centres in a reply to a query sent at the given time. Nodes of earlier
// versions, and those that have no proof of their own, send none.
func (p *Poller) adoptEvacuations(sentAt time.Duration, reply *Evacuations) {
	if reply == nil {
		return
	}
	list := make([]evacuator.Evacuation, 0, len(reply.List))
	for _, e := range reply.List {
		list = append(list, evacuator.Evacuation{DataCentre: e.GetDataCentre(), Offset: e.GetOffset()})
	}
	age := time.Duration(min(max(reply.AgeMs, 0), maxAgeMs)) * time.Millisecond
	p.Evacuations.Adopt(timekeeper.SinceBoot(), sentAt-age, list)
}

// applyReply applies the configuration in the reply if that is newer. If the version in force is then the one in
// the reply, applyReply confirms it. The reported age counts back from the time at which the request was sent, because
// the other node cannot have read the age before then. It reports whether the configuration in force was replaced.
func (p *Poller) applyReply(sentAt time.Duration, reply *AdviseReply) (applied bool, err error) {
	if len(reply.Record) > 0 {
		if _, applied, err = p.Keeper.Apply(reply.Record); err != nil {
			return false, fmt.Errorf("apply version %d: %w", reply.Version, err)
		}
	}
	if _, version := p.Keeper.Record(); version == reply.Version && version > 0 {
		p.Keeper.Confirm(sentAt - time.Duration(reply.AgeMs)*time.Millisecond)
	}
	return applied, nil
}
