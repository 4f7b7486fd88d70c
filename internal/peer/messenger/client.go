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
	"github.com/plantainwheel/plantainwheel/internal/node/claimer"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/node/steward"
	"github.com/plantainwheel/plantainwheel/internal/node/teller"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/lender"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/twitchtv/twirp"
)

// ErrNoAddress says that the address of a member is not known.
var ErrNoAddress = errors.New("member has no known address")

// Client sends messages to other nodes. It is safe for concurrent use.
type Client struct {
	// Roster and Members give the members' addresses.
	Roster *roster.Roster
	// Members returns the fold's view of the membership.
	Members func() *reducer.State
	// Events gives hybrid logical times.
	Events *recorder.Ring
	// Token is the fleet's credential.
	Token string
	// TLS is set where nodes use mutual TLS.
	TLS *tls.Config
	// Clock returns the time.
	Clock func() time.Time
	// Control counts the bytes of messages that are not calls; nil leaves them out.
	Control *metrics.Counter

	once    sync.Once
	http    *http.Client
	mu      sync.Mutex
	clients map[string]Peer
}

// newTransport makes connections that are given up when they are silent.
func newTransport(cfg *tls.Config) *http.Transport {
	protocols := new(http.Protocols)
	if cfg == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	// The transport adds to its configuration, and the node's server has the same one.
	return &http.Transport{
		TLSClientConfig: cfg.Clone(),
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

func (c *Client) peer(address string) Peer {
	c.once.Do(func() {
		c.http = &http.Client{Transport: stamper{newTransport(c.TLS), c.Events, c.Token, c.Control}}
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

func (c *Client) member(id string) (Peer, error) {
	if m, ok := c.Members().Members[id]; ok {
		return c.peer(m.PeerAddress), nil
	}
	vm, _, err := reducer.SplitMemberID(id)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoAddress, err)
	}
	address, ok := c.Roster.Address(vm)
	if !ok {
		return nil, ErrNoAddress
	}
	return c.peer(address), nil
}

// Close ends idle connections.
func (c *Client) Close() {
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
}

// Forward implements broker.Peers.
func (c *Client) Forward(ctx context.Context, call broker.Call) (broker.Reply, error) {
	p, err := c.member(call.To)
	if err != nil {
		return broker.Reply{}, fmt.Errorf("%w: %w", broker.ErrNotSent, err)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := p.Forward(httptrace.WithClientTrace(ctx, trace), toForwardRequest(call))
	if err == nil {
		return fromForwardResponse(resp), nil
	}
	var refused twirp.Error
	denied := errors.As(err, &refused) && refused.Code() == twirp.Unauthenticated
	if denied || !connected.Load() {
		return broker.Reply{}, fmt.Errorf("%w: %w", broker.ErrNotSent, err)
	}
	return broker.Reply{}, fmt.Errorf("%w: %w", broker.ErrBroken, err)
}

// Exchange implements steward.Peers.
func (c *Client) Exchange(ctx context.Context, address string, msg steward.Message) (steward.Message, error) {
	resp, err := c.peer(address).Exchange(ctx, toExchangeRequest(msg))
	if err != nil {
		return steward.Message{}, fmt.Errorf("exchange with %s: %w", address, err)
	}
	return fromExchangeResponse(resp), nil
}

// Borrow implements teller.Peers.
func (c *Client) Borrow(ctx context.Context, member string, req teller.Request) (lender.Loan, error) {
	p, err := c.member(member)
	if err != nil {
		return lender.Loan{}, err
	}
	resp, err := p.Borrow(ctx, &BorrowRequest{
		Account: req.Account,
		Slice:   int32(req.Slice),
		Need:    int32(req.Ask.Need),
		Want:    int32(req.Ask.Want),
		Reports: toReports(req.Ask.Reports),
	})
	if err != nil {
		return lender.Loan{}, fmt.Errorf("borrow from %s: %w", member, err)
	}
	return lender.Loan{
		Granted: int(resp.GetGranted()),
		Serial:  resp.GetSerial(),
		Dry:     time.Duration(resp.GetDryMs()) * time.Millisecond,
	}, nil
}

// Grant implements claimer.Peers.
func (c *Client) Grant(ctx context.Context, member string, req granter.Ask) (granter.Vote, error) {
	p, err := c.member(member)
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

// Finish implements claimer.Peers.
func (c *Client) Finish(ctx context.Context, member string, res claimer.Result) error {
	p, err := c.member(member)
	if err != nil {
		return err
	}
	req := &FinishRequest{Id: res.ID, Executor: res.Executor, Released: res.Released, Answer: toAnswer(res.Answer)}
	if _, err := p.Finish(ctx, req); err != nil {
		return fmt.Errorf("finish at %s: %w", member, err)
	}
	return nil
}

// Handover implements claimer.Peers.
func (c *Client) Handover(ctx context.Context, member, from string, entries []granter.Entry, covers []string) error {
	p, err := c.member(member)
	if err != nil {
		return err
	}
	req := &HandoverRequest{From: from, Entries: toEntries(entries, c.Clock()), Covers: covers, To: member}
	if _, err := p.Handover(ctx, req); err != nil {
		return fmt.Errorf("hand over to %s: %w", member, err)
	}
	return nil
}
