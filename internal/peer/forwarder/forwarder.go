// Package forwarder carries requests from the node that they enter to the node beside their target.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/courier"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
)

// hopHeader carries what the nodes tell each other with a request and with its answer. It is short because
// bytes between data centres are paid for.
const hopHeader = "Pw"

// Outcomes in hopHeader of an answer.
const (
	outcomeAnswered = "a"
	outcomeNotRun   = "n"
	outcomeUnknown  = "u"
)

const (
	// keepFor is how long an idle connection between nodes is kept.
	keepFor = 8 * time.Second
	// rested bounds how long a connection may have rested when it is used; the other node keeps it longer.
	rested = 6 * time.Second
	// answerGrace is how long after the deadline the other node's answer is awaited.
	answerGrace = 120 * time.Millisecond
)

// Errors of reading hopHeader.
var errHop = errors.New("malformed hop header")

// Loads takes the load that comes with each answer.
type Loads interface {
	Loaded(node string, running, waiting, limit int)
	Unreachable(node string)
}

// Forwarder sends requests to other nodes. It is safe for concurrent use.
type Forwarder struct {
	Pool  *courier.Pool
	Loads Loads
}

// NewPool returns the pool for connections between nodes.
func NewPool() *courier.Pool { return &courier.Pool{KeepFor: keepFor} }

// Do sends the job to the node at the address.
func (f *Forwarder) Do(ctx context.Context, node, address string, job *executor.Job) *courier.Answer {
	pack(job)
	ctx, cancel := context.WithDeadline(ctx, job.Deadline.Add(answerGrace))
	resp, _, err := f.Pool.Send(ctx, address, &job.Request, rested)
	if errors.Is(err, courier.ErrNotSent) && ctx.Err() == nil && job.Request.Body.Repeatable() {
		// A kept connection may have been closed meanwhile.
		f.Pool.Forget(address)
		resp, _, err = f.Pool.Send(ctx, address, &job.Request, 0)
	}
	if err != nil {
		timedOut := ctx.Err() != nil
		cancel()
		return f.failed(node, err, timedOut)
	}
	return f.read(node, resp, cancel)
}

func (f *Forwarder) failed(node string, err error, timedOut bool) *courier.Answer {
	switch {
	case errors.Is(err, courier.ErrNotSent):
		if !timedOut {
			f.Loads.Unreachable(node)
		}
		return courier.Refuse("node-unreachable")
	case timedOut:
		return courier.Lose(executor.ReasonNoReply)
	default:
		f.Loads.Unreachable(node)
		return courier.Lose("node-lost")
	}
}

func (f *Forwarder) read(node string, resp *http.Response, cancel context.CancelFunc) *courier.Answer {
	release := func() {
		_ = resp.Body.Close()
		cancel()
	}
	hop, err := decodeHop(resp.Header.Get(hopHeader))
	if err != nil {
		release()
		return courier.Lose("node-answer")
	}
	resp.Header.Del(hopHeader)
	f.Loads.Loaded(node, hop.running, hop.waiting, hop.limit)
	body, err := courier.ReadBody(resp.Body, resp.ContentLength)
	if err != nil {
		release()
		return courier.Lose(executor.ReasonBroken)
	}
	if body.Stream == nil {
		release()
	}
	switch hop.outcome {
	case outcomeNotRun:
		release()
		return courier.Refuse(hop.reason)
	case outcomeUnknown:
		release()
		return courier.Lose(hop.reason)
	}
	courier.StripConnection(resp.Header)
	return &courier.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: release}
}

// packed are the headers whose values go into hopHeader: their names are longer than their values.
var packed = []string{
	platform.RequestIDHeader, platform.AccountHeader, platform.CallerHeader, platform.ExpectHeader,
}

// none stands for a missing value in hopHeader.
const none = "-"

// pack puts what the nodes tell each other, and the headers that a node sets, into hopHeader.
func pack(job *executor.Job) {
	kind := "o"
	if job.Idempotent {
		kind = "i"
	}
	left := time.Until(job.Deadline).Milliseconds()
	h := job.Request.Header
	h.Set(platform.ExpectHeader, job.Expect)
	h.Del(platform.DeadlineHeader)
	text := fmt.Sprintf("%s %d %d %d %s", kind, job.Rank, job.MaxWait.Milliseconds(), left, url.QueryEscape(job.Route))
	for _, name := range packed {
		value := h.Get(name)
		if value == "" || strings.ContainsAny(value, " ") {
			// Goes as it is.
			value = none
		} else {
			h.Del(name)
		}
		text += " " + value
	}
	h.Set(hopHeader, text)
}

// unpack reads hopHeader and restores the headers that were packed into it.
func unpack(h http.Header) (executor.Job, error) {
	fields := strings.Split(h.Get(hopHeader), " ")
	h.Del(hopHeader)
	if len(fields) != 5+len(packed) {
		return executor.Job{}, errHop
	}
	route, err := url.QueryUnescape(fields[4])
	if err != nil {
		return executor.Job{}, fmt.Errorf("%w: %w", errHop, err)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(fields[1+i])
		if err != nil {
			return executor.Job{}, fmt.Errorf("%w: %w", errHop, err)
		}
		numbers[i] = n
	}
	for i, name := range packed {
		if value := fields[5+i]; value != none {
			h.Set(name, value)
		}
	}
	return executor.Job{
		Idempotent: fields[0] == "i",
		Rank:       numbers[0],
		MaxWait:    time.Duration(numbers[1]) * time.Millisecond,
		Deadline:   time.Now().Add(time.Duration(numbers[2]) * time.Millisecond),
		Route:      route,
		Expect:     h.Get(platform.ExpectHeader),
	}, nil
}

// hop is what comes back with an answer.
type hop struct {
	outcome string
	running int
	waiting int
	limit   int
	reason  string
}

func encodeHop(h hop) string {
	return fmt.Sprintf("%s %d %d %d %s", h.outcome, h.running, h.waiting, h.limit, h.reason)
}

func decodeHop(text string) (hop, error) {
	fields := strings.SplitN(text, " ", 5)
	if len(fields) < 4 {
		return hop{}, errHop
	}
	h := hop{outcome: fields[0]}
	var err [3]error
	h.running, err[0] = strconv.Atoi(fields[1])
	h.waiting, err[1] = strconv.Atoi(fields[2])
	h.limit, err[2] = strconv.Atoi(fields[3])
	if len(fields) == 5 {
		h.reason = fields[4]
	}
	return h, errors.Join(err[:]...)
}
