package distributor

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/peer/connector"
	"github.com/plantainwheel/plantainwheel/platform"
	"github.com/twitchtv/twirp"
)

const (
	// maxWait bounds the wait that a question may ask for.
	maxWait = 5 * time.Second
	// answerMargin is added to the wait of a question to obtain the timeout of the call.
	answerMargin = 500 * time.Millisecond
	// maxReplyBytes bounds a reply.
	maxReplyBytes = 4 << 20
	// maxIdleConns is the number of kept connections to a node. Each followed topic uses one.
	maxIdleConns = 2
)

// Server answers the questions of other nodes from this node's copy.
type Server struct {
	Copy *Copy
	// Topics holds the names of the topics that may be asked for.
	Topics []string
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler { return NewDistributorServer(s) }

// Read implements Distributor.
func (s *Server) Read(ctx context.Context, req *ReadRequest) (*ReadReply, error) {
	receivedAt := s.Copy.Now()
	known := false
	for _, topic := range s.Topics {
		known = known || topic == req.Topic
	}
	if !known {
		return nil, twirp.InvalidArgumentError("topic", "is not passed on")
	}
	r, err := s.Copy.Read(ctx, receivedAt, Question{
		Topic: req.Topic, Era: platform.Era(req.Era), From: max(req.From, FromNewest),
		MaxAge: milliseconds(req.MaxAgeMs, 1<<40), Wait: milliseconds(req.WaitMs, maxWait.Milliseconds()),
	})
	switch {
	case errors.Is(err, ErrStale):
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "records are too old"), err)
	case err != nil:
		return nil, twirp.WrapError(twirp.NewError(twirp.OutOfRange, "records end before the wanted offset"), err)
	}
	reply := &ReadReply{
		Era: int64(r.Era), Next: r.Next, Complete: r.Complete,
		// Rounded down, so that the asking node never takes the records for more recent than they are.
		ProvenAfterUs: (r.ProvenAt - receivedAt).Microseconds() - 1,
	}
	for _, record := range r.Records {
		reply.Records = append(reply.Records, &Record{Offset: record.Offset, Key: record.Key, Value: record.Value})
	}
	return reply, nil
}

// milliseconds converts a number of milliseconds, which is taken for the nearest one between 0 and most.
func milliseconds(n, most int64) time.Duration {
	return time.Duration(min(max(n, 0), most)) * time.Millisecond
}

// Client asks other nodes.
type Client struct {
	HTTP *http.Client
	// Now reads a clock that includes the time during which the VM is suspended.
	Now func() time.Duration
}

// NewClient returns a client that bounds the size of replies.
func NewClient(now func() time.Duration) *Client {
	return &Client{Now: now, HTTP: connector.NewHTTPClient(maxIdleConns, maxReplyBytes)}
}

// Read asks the node with the given control address, as "IP:port". It returns ErrStale or ErrBehind if the node answers
// that it cannot tell, and ErrNode if there is no usable answer.
//
// The node cannot have read its clock before the question was sent, so the time from the receipt of the question to the
// read of the store, added to the time at which the question was sent, is not after that read.
func (c *Client) Read(ctx context.Context, address string, q Question) (Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+answerMargin)
	defer cancel()
	sentAt := c.Now()
	reply, err := NewDistributorProtobufClient("http://"+address, c.HTTP).Read(ctx, &ReadRequest{
		Topic: q.Topic, Era: int64(q.Era), From: q.From, WaitMs: q.Wait.Milliseconds(), MaxAgeMs: q.MaxAge.Milliseconds(),
	})
	if err != nil {
		return Reading{}, readError(err)
	}
	r := Reading{
		Batch:    platform.Batch{Next: reply.Next, End: reply.Next, Era: platform.Era(reply.Era)},
		Complete: reply.Complete,
		// A reading cannot be from the future.
		ProvenAt: min(sentAt+time.Duration(reply.ProvenAfterUs)*time.Microsecond, c.Now()),
	}
	for _, record := range reply.Records {
		r.Records = append(r.Records, platform.Record{Offset: record.Offset, Key: record.Key, Value: record.Value})
	}
	return r, nil
}

// readError maps the error of a call to the errors of this package.
func readError(err error) error {
	var answer twirp.Error
	if errors.As(err, &answer) {
		switch answer.Code() {
		case twirp.Unavailable:
			return ErrStale
		case twirp.OutOfRange:
			return ErrBehind
		}
	}
	return fmt.Errorf("%w: %w", ErrNode, err)
}
