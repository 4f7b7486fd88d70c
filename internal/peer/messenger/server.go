package messenger

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/node/deduplicator"
	"github.com/plantainwheel/plantainwheel/internal/node/gossiper"
	"github.com/plantainwheel/plantainwheel/internal/node/ratelimiter"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/lender"
	"github.com/twitchtv/twirp"
)

// Server handles RPCs from other nodes.
type Server struct {
	// Broker executes forwarded calls.
	Broker *broker.Broker
	// Gossiper answers gossip exchanges.
	Gossiper *gossiper.Gossiper
	// RateLimiter lends rate tokens.
	RateLimiter *ratelimiter.Limiter
	// Deduplicator grants the right to run a request ID, and stores the answer.
	Deduplicator *deduplicator.Deduplicator
	// Events provides the hybrid logical clock.
	Events *recorder.Ring
	// Token is the shared credential of the fleet.
	Token string
	// Clock returns the current time.
	Clock func() time.Time
}

// Handler returns the HTTP handler. It rejects requests without the fleet credential.
func (s *Server) Handler() http.Handler {
	inner := NewPeerServer(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) != 1 {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "fleet credential is missing or wrong"))
			return
		}
		s.Events.Observe(recorder.ParseTimestamp(r.Header.Get(timestampHeader)))
		w.Header().Set(timestampHeader, s.Events.Now().String())
		r.Body = http.MaxBytesReader(w, r.Body, maxMessageBytes)
		inner.ServeHTTP(w, r)
	})
}

// Forward implements Peer.
func (s *Server) Forward(ctx context.Context, req *ForwardRequest) (*ForwardResponse, error) {
	call := fromForwardRequest(req)
	if call.ID == "" || call.Timeout <= 0 {
		return nil, twirp.RequiredArgumentError("call_id and timeout_ms")
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	return toForwardResponse(s.Broker.Execute(ctx, call)), nil
}

// Exchange implements Peer.
func (s *Server) Exchange(_ context.Context, req *ExchangeRequest) (*ExchangeResponse, error) {
	return toExchangeResponse(s.Gossiper.HandleExchange(fromExchangeRequest(req))), nil
}

// Borrow implements Peer.
func (s *Server) Borrow(_ context.Context, req *BorrowRequest) (*BorrowResponse, error) {
	loanRequest := lender.LoanRequest{
		Need:    max(int(req.GetNeed()), 0),
		Want:    max(int(req.GetWant()), 0),
		Reports: fromReports(req.GetReports()),
	}
	loan, err := s.RateLimiter.Lend(ratelimiter.Request{Account: req.GetAccount(), Slice: int(req.GetSlice()), LoanRequest: loanRequest})
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	// Rounded up, so that the borrower does not ask again before the next token is available.
	emptyForMs := (loan.EmptyFor + time.Millisecond - 1).Milliseconds()
	return &BorrowResponse{Granted: int32(loan.Granted), Serial: loan.Serial, DryMs: emptyForMs}, nil
}

// Grant implements Peer.
func (s *Server) Grant(ctx context.Context, req *GrantRequest) (*GrantResponse, error) {
	if req.GetTo() != s.Deduplicator.Self() {
		return &GrantResponse{Status: string(granter.Behind)}, nil
	}
	vote := s.Deduplicator.Grant(ctx, granter.GrantRequest{ID: req.GetId(), Executor: req.GetExecutor(), Version: req.GetVersion()})
	return &GrantResponse{Status: string(vote.Status), Answer: toAnswer(vote.Answer), Covers: vote.Covers}, nil
}

// Finish implements Peer.
func (s *Server) Finish(_ context.Context, req *FinishRequest) (*FinishResponse, error) {
	s.Deduplicator.Finish(deduplicator.Result{
		ID:       req.GetId(),
		Executor: req.GetExecutor(),
		Released: req.GetReleased(),
		Answer:   fromAnswer(req.GetAnswer()),
	})
	return &FinishResponse{}, nil
}

// Handover implements Peer.
func (s *Server) Handover(_ context.Context, req *HandoverRequest) (*HandoverResponse, error) {
	if req.GetTo() != s.Deduplicator.Self() {
		return nil, twirp.NewError(twirp.FailedPrecondition, "meant for another incarnation")
	}
	if !s.Deduplicator.Merge(req.GetFrom(), fromEntries(req.GetEntries(), s.Clock()), req.GetCovers()) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this node leaves as well")
	}
	return &HandoverResponse{}, nil
}
