package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/node/deduplicator"
	"github.com/plantainwheel/plantainwheel/internal/node/gossiper"
	"github.com/plantainwheel/plantainwheel/internal/node/ratelimiter"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/lender"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/twitchtv/twirp"
)

// ErrNoAddress is returned when the address of a member is not known.
var ErrNoAddress = errors.New("member has no known address")

// Client sends messages to other nodes. It is safe for concurrent use.
type Client struct {
	// Roster provides the addresses for member IDs that the state does not contain.
	Roster *roster.Roster
	// Members returns the replicated state with the current membership.
	Members func() *reducer.State
	// Events provides the hybrid logical clock.
	Events *recorder.Ring
	// Token is the shared credential of the fleet.
	Token string
	// TLS is the client configuration for mutual TLS; nil means plaintext HTTP/2.
	TLS *tls.Config
	// Clock returns the current time.
	Clock func() time.Time
	// ControlBytes counts the approximate bytes of all messages except forwarded calls; nil disables the count.
	ControlBytes *metrics.Counter

	once    sync.Once
	http    *http.Client
	mu      sync.Mutex
	clients map[string]Peer
}

// newTransport returns an HTTP/2 transport that closes connections which do not answer pings.
func newTransport(cfg *tls.Config) *http.Transport {
	protocols := new(http.Protocols)
	if cfg == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	// Cloned because the transport modifies its TLS configuration, which the node's server shares.
	return &http.Transport{
		TLSClientConfig: cfg.Clone(),
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingIdleTimeout, PingTimeout: pingTimeout},
	}
}

// peerAt returns the cached RPC client for an address, creating it on first use.
func (c *Client) peerAt(address string) Peer {
	c.once.Do(func() {
		c.http = &http.Client{Transport: peerTransport{newTransport(c.TLS), c.Events, c.Token, c.ControlBytes}}
		c.clients = map[string]Peer{}
	})
	scheme := "http://"
	if c.TLS != nil {
		scheme = "https://"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.clients[address]
	if !ok {
		p = NewPeerProtobufClient(scheme+address, c.http)
		c.clients[address] = p
	}
	return p
}

// peerByMember returns the RPC client for a member ID. For an ID that is not a current member, it uses the
// roster's address of the VM.
func (c *Client) peerByMember(id string) (Peer, error) {
	if m, ok := c.Members().Members[id]; ok {
		return c.peerAt(m.PeerAddress), nil
	}
	vm, _, err := reducer.SplitMemberID(id)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAddress, err)
	}
	address, ok := c.Roster.Address(vm)
	if !ok {
		return nil, ErrNoAddress
	}
	return c.peerAt(address), nil
}

// Close closes idle connections.
func (c *Client) Close() {
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
}

// Forward implements broker.Peers.
func (c *Client) Forward(ctx context.Context, call broker.Call) (broker.Reply, error) {
	p, err := c.peerByMember(call.To)
	if err != nil {
		return broker.Reply{}, fmt.Errorf("%w: %w", broker.ErrNotSent, err)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := p.Forward(httptrace.WithClientTrace(ctx, trace), toForwardRequest(call))
	if err == nil {
		return fromForwardResponse(resp), nil
	}
	var twirpErr twirp.Error
	unauthenticated := errors.As(err, &twirpErr) && twirpErr.Code() == twirp.Unauthenticated
	if unauthenticated || !connected.Load() {
		return broker.Reply{}, fmt.Errorf("%w: %w", broker.ErrNotSent, err)
	}
	return broker.Reply{}, fmt.Errorf("%w: %w", broker.ErrNoAnswer, err)
}

// Exchange implements gossiper.Peers.
func (c *Client) Exchange(ctx context.Context, address string, msg gossiper.Message) (gossiper.Message, error) {
	resp, err := c.peerAt(address).Exchange(ctx, toExchangeRequest(msg))
	if err != nil {
		return gossiper.Message{}, fmt.Errorf("exchange with %s: %w", address, err)
	}
	return fromExchangeResponse(resp), nil
}

// Borrow implements ratelimiter.Peers.
func (c *Client) Borrow(ctx context.Context, member string, req ratelimiter.Request) (lender.Loan, error) {
	p, err := c.peerByMember(member)
	if err != nil {
		return lender.Loan{}, err
	}
	resp, err := p.Borrow(ctx, &BorrowRequest{
		Account: req.Account,
		Slice:   int32(req.Slice),
		Need:    int32(req.LoanRequest.Need),
		Want:    int32(req.LoanRequest.Want),
		Reports: toReports(req.LoanRequest.Reports),
	})
	if err != nil {
		return lender.Loan{}, fmt.Errorf("borrow from %s: %w", member, err)
	}
	return lender.Loan{
		Granted:  int(resp.GetGranted()),
		Serial:   resp.GetSerial(),
		EmptyFor: time.Duration(resp.GetDryMs()) * time.Millisecond,
	}, nil
}

// Grant implements deduplicator.Peers.
func (c *Client) Grant(ctx context.Context, member string, req granter.GrantRequest) (granter.Vote, error) {
	p, err := c.peerByMember(member)
	if err != nil {
		return granter.Vote{}, err
	}
	resp, err := p.Grant(ctx, &GrantRequest{Id: req.ID, Executor: req.Executor, Version: req.Version, To: member})
	if err != nil {
		return granter.Vote{}, fmt.Errorf("grant by %s: %w", member, err)
	}
	return granter.Vote{
		From:   member,
		Status: granter.Status(resp.GetStatus()),
		Answer: fromAnswer(resp.GetAnswer()),
		Covers: resp.GetCovers(),
	}, nil
}

// Finish implements deduplicator.Peers.
func (c *Client) Finish(ctx context.Context, member string, res deduplicator.Result) error {
	p, err := c.peerByMember(member)
	if err != nil {
		return err
	}
	req := &FinishRequest{Id: res.ID, Executor: res.Executor, Released: res.Released, Answer: toAnswer(res.Answer)}
	if _, err := p.Finish(ctx, req); err != nil {
		return fmt.Errorf("finish at %s: %w", member, err)
	}
	return nil
}

// Handover implements deduplicator.Peers.
func (c *Client) Handover(ctx context.Context, member, from string, entries []granter.Entry, covers []string) error {
	p, err := c.peerByMember(member)
	if err != nil {
		return err
	}
	req := &HandoverRequest{From: from, Entries: toEntries(entries, c.Clock()), Covers: covers, To: member}
	if _, err := p.Handover(ctx, req); err != nil {
		return fmt.Errorf("hand over to %s: %w", member, err)
	}
	return nil
}
