// Package adviser lets nodes tell each other how recent their configuration is, for those that the store
// turns away.
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
	// callTimeout bounds a question to another node.
	callTimeout = 600 * time.Millisecond
	// checkEvery is the time between two looks at the age.
	checkEvery = 250 * time.Millisecond
	// peersAsked is the number of nodes that are asked at a time: some of them may be cut off as well.
	peersAsked = 3
)

// Server answers other nodes.
type Server struct {
	Keeper *keeper.Keeper
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler { return NewAdviserServer(s) }

// Advise tells version and age, and the configuration where it is newer than the asked one. The age is read
// before the record, so that it is not too young for it.
func (s *Server) Advise(_ context.Context, req *AdviseRequest) (*AdviseReply, error) {
	age := s.Keeper.Age(timekeeper.Now())
	record, version := s.Keeper.Record()
	reply := &AdviseReply{Version: version, AgeMs: age.Milliseconds() + 1}
	if version > req.Version {
		reply.Record = record
	}
	return reply, nil
}

// Asker asks other nodes while the store does not answer.
type Asker struct {
	Keeper  *keeper.Keeper
	Tracker *tracker.Tracker
	HTTP    *http.Client
	Log     *log.Logger
	// AskAfter is the age of the configuration from which other nodes are asked.
	AskAfter time.Duration
}

// Run asks until the context ends.
func (a *Asker) Run(ctx context.Context) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if a.Keeper.Age(timekeeper.Now()) > a.AskAfter {
			a.askSome(ctx)
		}
	}
}

func (a *Asker) askSome(ctx context.Context) {
	others := a.Tracker.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	done := make(chan struct{}, peersAsked)
	n := min(peersAsked, len(others))
	for _, m := range others[:n] {
		go func() {
			a.ask(ctx, m)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
}

func (a *Asker) ask(ctx context.Context, m tracker.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, version := a.Keeper.Record()
	asked := timekeeper.Now()
	reply, err := NewAdviserProtobufClient("http://"+m.ControlAddress, a.HTTP).Advise(ctx, &AdviseRequest{Version: version})
	if err != nil {
		return
	}
	if err := a.take(asked, reply); err != nil {
		a.Log.Warn().Err(err).Str("node", m.Node).Msg("configuration of another node is not used")
	}
}

// take counts the age from when the question was sent: the answer cannot have been made before.
func (a *Asker) take(asked time.Duration, reply *AdviseReply) error {
	if len(reply.Record) > 0 {
		if _, err := a.Keeper.Apply(reply.Record); err != nil {
			return fmt.Errorf("apply version %d: %w", reply.Version, err)
		}
	}
	if _, version := a.Keeper.Record(); version == reply.Version && version > 0 {
		a.Keeper.Confirm(asked - time.Duration(reply.AgeMs)*time.Millisecond)
	}
	return nil
}
