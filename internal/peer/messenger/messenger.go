// Package messenger implements the RPC client and server for messages between nodes, using Twirp.
//
// The generated wire types are exported, but only this package uses them.
package messenger

import (
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/node/broker"
	"github.com/plantainwheel/plantainwheel/internal/node/follower"
	"github.com/plantainwheel/plantainwheel/internal/node/gossiper"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/platform/client"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/lender"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

const (
	// timestampHeader is the header that carries the sender's hybrid logical time.
	timestampHeader = "Plantainwheel-Time"
	// maxMessageBytes limits the size of a request message.
	maxMessageBytes = 64 << 20
	// pingIdleTimeout is how long a connection may receive nothing before a ping is sent on it.
	pingIdleTimeout = time.Second
	// pingTimeout is how long to wait for the answer to a ping before the connection is closed.
	pingTimeout = time.Second
	// unknownAge is the wire value for an unknown confirmation age.
	unknownAge = -1
)

func toHeaders(list []granter.Header) []*Header {
	out := make([]*Header, len(list))
	for i, h := range list {
		out[i] = &Header{Name: h.Name, Value: h.Value}
	}
	return out
}

func fromHeaders(list []*Header) []granter.Header {
	out := make([]granter.Header, len(list))
	for i, h := range list {
		out[i] = granter.Header{Name: h.GetName(), Value: h.GetValue()}
	}
	return out
}

func toAnswer(a granter.Answer) *Answer {
	return &Answer{Status: int32(a.Status), Headers: toHeaders(a.Headers), Body: a.Body}
}

func fromAnswer(a *Answer) granter.Answer {
	return granter.Answer{
		Status:  int(a.GetStatus()),
		Headers: fromHeaders(a.GetHeaders()),
		Body:    a.GetBody(),
	}
}

func toLoad(e roster.Entry) *MemberLoad {
	return &MemberLoad{
		Vm:            e.VM,
		Incarnation:   e.Incarnation,
		DataCentre:    e.DataCentre,
		PeerAddress:   e.PeerAddress,
		Service:       e.Service,
		Beat:          e.Heartbeat,
		InFlight:      int32(e.InFlight),
		Queued:        int32(e.Queued),
		Limit:         int32(e.Limit),
		Level:         int32(e.Level),
		ServiceMicros: e.ServiceTime.Microseconds(),
		Draining:      e.Draining,
		Left:          e.Left,
	}
}

func fromLoad(m *MemberLoad) roster.Entry {
	return roster.Entry{
		VM:          m.GetVm(),
		Incarnation: m.GetIncarnation(),
		DataCentre:  m.GetDataCentre(),
		PeerAddress: m.GetPeerAddress(),
		Service:     m.GetService(),
		Heartbeat:   m.GetBeat(),
		InFlight:    int(m.GetInFlight()),
		Queued:      int(m.GetQueued()),
		Limit:       int(m.GetLimit()),
		Level:       int(m.GetLevel()),
		ServiceTime: time.Duration(m.GetServiceMicros()) * time.Microsecond,
		Draining:    m.GetDraining(),
		Left:        m.GetLeft(),
	}
}

func toLoads(list []roster.Entry) []*MemberLoad {
	out := make([]*MemberLoad, len(list))
	for i, e := range list {
		out[i] = toLoad(e)
	}
	return out
}

func fromLoads(list []*MemberLoad) []roster.Entry {
	out := make([]roster.Entry, len(list))
	for i, m := range list {
		out[i] = fromLoad(m)
	}
	return out
}

func toAge(p follower.Position) int64 {
	if !p.HasEvidence {
		return unknownAge
	}
	// Rounded up, so that the receiver never takes the confirmation for more recent than it is.
	return p.Age.Milliseconds() + 1
}

func fromAge(ms int64) (age time.Duration, known bool) {
	return time.Duration(ms) * time.Millisecond, ms >= 0
}

func toExchangeRequest(m gossiper.Message) *ExchangeRequest {
	return &ExchangeRequest{
		From:           m.Position.Member,
		Offset:         m.Position.Offset,
		Settled:        m.Position.SettledOffset,
		ConfirmedAgeMs: toAge(m.Position),
		Members:        toLoads(m.Entries),
	}
}

func fromExchangeRequest(req *ExchangeRequest) gossiper.Message {
	age, known := fromAge(req.GetConfirmedAgeMs())
	return gossiper.Message{
		Position: follower.Position{
			Member:        req.GetFrom(),
			Offset:        req.GetOffset(),
			SettledOffset: req.GetSettled(),
			Age:           age,
			HasEvidence:   known,
		},
		Entries: fromLoads(req.GetMembers()),
	}
}

func toExchangeResponse(m gossiper.Message) *ExchangeResponse {
	resp := &ExchangeResponse{
		From:           m.Position.Member,
		Offset:         m.Position.Offset,
		Settled:        m.Position.SettledOffset,
		ConfirmedAgeMs: toAge(m.Position),
		Members:        toLoads(m.Entries),
		Snapshot:       m.Snapshot,
	}
	for _, r := range m.Records {
		resp.Records = append(resp.Records, &LogRecord{Offset: r.Offset, Data: r.Data})
	}
	return resp
}

func fromExchangeResponse(resp *ExchangeResponse) gossiper.Message {
	age, known := fromAge(resp.GetConfirmedAgeMs())
	m := gossiper.Message{
		Position: follower.Position{
			Member:        resp.GetFrom(),
			Offset:        resp.GetOffset(),
			SettledOffset: resp.GetSettled(),
			Age:           age,
			HasEvidence:   known,
		},
		Entries:  fromLoads(resp.GetMembers()),
		Snapshot: resp.GetSnapshot(),
	}
	for _, r := range resp.GetRecords() {
		m.Records = append(m.Records, client.Record{Offset: r.GetOffset(), Data: r.GetData()})
	}
	return m
}

func toForwardRequest(c broker.Call) *ForwardRequest {
	return &ForwardRequest{
		CallId:     c.ID,
		RootId:     c.RootID,
		RequestId:  c.RequestID,
		Route:      c.Route,
		Account:    c.Account,
		Method:     c.Method,
		Uri:        c.URI,
		Headers:    toHeaders(c.Headers),
		Body:       c.Body,
		TimeoutMs:  c.Timeout.Milliseconds(),
		Importance: int32(c.Importance),
		Depth:      int32(c.Depth),
		Retries:    int32(c.Retries),
		Idempotent: c.Idempotent,
		To:         c.To,
		Again:      c.Resent,
	}
}

func fromForwardRequest(req *ForwardRequest) broker.Call {
	return broker.Call{
		ID:         req.GetCallId(),
		RootID:     req.GetRootId(),
		RequestID:  req.GetRequestId(),
		Route:      req.GetRoute(),
		Account:    req.GetAccount(),
		Method:     req.GetMethod(),
		URI:        req.GetUri(),
		Headers:    fromHeaders(req.GetHeaders()),
		Body:       req.GetBody(),
		Timeout:    time.Duration(req.GetTimeoutMs()) * time.Millisecond,
		Importance: reducer.Importance(min(max(req.GetImportance(), 0), reducer.ImportanceCount-1)),
		Depth:      int(req.GetDepth()),
		Retries:    int(req.GetRetries()),
		Idempotent: req.GetIdempotent(),
		To:         req.GetTo(),
		Resent:     req.GetAgain(),
	}
}

func toForwardResponse(r broker.Reply) *ForwardResponse {
	return &ForwardResponse{
		Status:       int32(r.Status),
		Headers:      toHeaders(r.Headers),
		Body:         r.Body,
		Outcome:      int32(r.Outcome),
		Code:         string(r.Code),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		RetriesLeft:  int32(r.RetriesLeft),
		Load:         toLoad(r.Entry),
		PathLevel:    int32(r.PathLevel),
	}
}

func fromForwardResponse(resp *ForwardResponse) broker.Reply {
	return broker.Reply{
		Answer: granter.Answer{
			Status:  int(resp.GetStatus()),
			Headers: fromHeaders(resp.GetHeaders()),
			Body:    resp.GetBody(),
		},
		Outcome:     retrier.Outcome(min(max(resp.GetOutcome(), 0), int32(retrier.Unknown))),
		Code:        broker.Code(resp.GetCode()),
		RetryAfter:  time.Duration(resp.GetRetryAfterMs()) * time.Millisecond,
		RetriesLeft: int(resp.GetRetriesLeft()),
		Entry:       fromLoad(resp.GetLoad()),
		PathLevel:   int(resp.GetPathLevel()),
	}
}

func toEntries(list []granter.Entry, now time.Time) []*TableEntry {
	out := make([]*TableEntry, len(list))
	for i, e := range list {
		out[i] = &TableEntry{
			Id:       e.ID,
			Executor: e.Executor,
			Finished: e.Finished,
			Answer:   toAnswer(e.Answer),
			AgeMs:    now.Sub(e.UpdatedAt).Milliseconds(),
		}
	}
	return out
}

func fromEntries(list []*TableEntry, now time.Time) []granter.Entry {
	out := make([]granter.Entry, len(list))
	for i, e := range list {
		out[i] = granter.Entry{
			ID:        e.GetId(),
			Executor:  e.GetExecutor(),
			Finished:  e.GetFinished(),
			Answer:    fromAnswer(e.GetAnswer()),
			UpdatedAt: now.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond),
		}
	}
	return out
}

func toReports(list []lender.Report) []*LoanReport {
	out := make([]*LoanReport, len(list))
	for i, r := range list {
		out[i] = &LoanReport{Serial: r.Serial, Spent: int32(r.Spent), Returned: int32(r.Returned)}
	}
	return out
}

func fromReports(list []*LoanReport) []lender.Report {
	out := make([]lender.Report, len(list))
	for i, r := range list {
		out[i] = lender.Report{
			Serial:   r.GetSerial(),
			Spent:    max(int(r.GetSpent()), 0),
			Returned: max(int(r.GetReturned()), 0),
		}
	}
	return out
}

// peerTransport adds the hybrid logical time and the fleet credential to each request, and advances the
// local clock to the time in the response.
type peerTransport struct {
	next   http.RoundTripper
	events *recorder.Ring
	token  string
	// controlBytes counts the approximate bytes of all messages except forwarded calls, in both directions; nil
	// disables the count.
	controlBytes *metrics.Counter
}

// headerBytes is the assumed size of the compressed headers of one message, including framing.
const headerBytes = 100

func (t peerTransport) count(req *http.Request, resp *http.Response) {
	if t.controlBytes == nil || strings.HasSuffix(req.URL.Path, "/Forward") {
		return
	}
	t.controlBytes.AddInt64(2*headerBytes + max(req.ContentLength, 0) + max(resp.ContentLength, 0))
}

// RoundTrip implements http.RoundTripper.
func (t peerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set(timestampHeader, t.events.Now().String())
	req.Header.Set("Authorization", "Bearer "+t.token)
	resp, err := t.next.RoundTrip(req)
	if err == nil {
		t.count(req, resp)
		t.events.Observe(recorder.ParseTimestamp(resp.Header.Get(timestampHeader)))
	}
	return resp, err
}
