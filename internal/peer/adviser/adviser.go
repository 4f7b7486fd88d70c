// Package adviser lets nodes that cannot read the configuration store learn from other nodes which configuration
// is the latest and how recently it was confirmed.
package adviser

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
)

const (
	// callTimeout limits one call to another node.
	callTimeout = 600 * time.Millisecond
	// checkInterval is how often the age of the configuration is checked.
	checkInterval = 250 * time.Millisecond
	// fanOut is the number of nodes asked at a time; several, because some may be cut off from the store
	// as well.
	fanOut = 3
)

// Server answers queries from other nodes.
type Server struct {
	Keeper *keeper.Keeper
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler { return NewAdviserServer(s) }

// Advise returns the version and age of the configuration in force, and the configuration itself if it is newer
// than the requested version. The age is read before the record, so that a concurrent update cannot pair an older
// record with the age of a newer one.
func (s *Server) Advise(_ context.Context, req *AdviseRequest) (*AdviseReply, error) {
	age := s.Keeper.Age(timekeeper.SinceBoot())
	record, version := s.Keeper.Record()
	reply := &AdviseReply{Version: version, AgeMs: age.Milliseconds() + 1}
	if version > req.Version {
		reply.Record = record
	}
	return reply, nil
}

// Poller queries other nodes while the store does not confirm the configuration.
type Poller struct {
	Keeper  *keeper.Keeper
	Tracker *tracker.Tracker
	HTTP    *http.Client
	Log     *log.Logger
	// PollAfter is the age of the configuration above which other nodes are queried.
	PollAfter time.Duration
}

// Run checks the age periodically until the context is done.
func (a *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if a.Keeper.Age(timekeeper.SinceBoot()) > a.PollAfter {
			a.askPeers(ctx)
		}
	}
}

// askPeers queries up to fanOut random nodes in parallel and waits for all of them.
func (a *Poller) askPeers(ctx context.Context) {
	others := a.Tracker.OtherMembers()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	done := make(chan struct{}, fanOut)
	n := min(fanOut, len(others))
	for _, m := range others[:n] {
		go func() {
			a.askPeer(ctx, m)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
}

func (a *Poller) askPeer(ctx context.Context, m tracker.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, version := a.Keeper.Record()
	sentAt := timekeeper.SinceBoot()
	reply, err := NewAdviserProtobufClient("http://"+m.ControlAddress, a.HTTP).Advise(ctx, &AdviseRequest{Version: version})
	if err != nil {
		return
	}
	if err := a.applyReply(sentAt, reply); err != nil {
		a.Log.Warn().Err(err).Str("node", m.Node).Msg("rejected configuration received from peer")
	}
}

// applyReply applies a newer configuration and confirms the one in force. The reported age counts back from the
// time the request was sent, because the reply cannot have been produced before then.
func (a *Poller) applyReply(sentAt time.Duration, reply *AdviseReply) error {
	if len(reply.Record) > 0 {
		if _, err := a.Keeper.Apply(reply.Record); err != nil {
			return fmt.Errorf("apply version %d: %w", reply.Version, err)
		}
	}
	if _, version := a.Keeper.Record(); version == reply.Version && version > 0 {
		a.Keeper.Confirm(sentAt - time.Duration(reply.AgeMs)*time.Millisecond)
	}
	return nil
}
