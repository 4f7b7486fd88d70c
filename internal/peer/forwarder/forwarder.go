// Package forwarder forwards requests from the node that received them to the node beside their target.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/route/verifier"
	"github.com/plantainwheel/plantainwheel/internal/target/executor"
	"github.com/plantainwheel/plantainwheel/platform"
)

// hopHeader is the header that carries forwarding metadata on requests and responses between nodes. Its name
// and format are short because traffic between data centres is billed by volume.
const hopHeader = "Pw"

// limitHeader is the header that carries the limit that the sender has last seen in an answer of the target. It is
// separate, so that nodes of earlier builds accept the hopHeader.
const limitHeader = "Pw-Limit"

// rootHeader is the header that carries the rank and the client account of the caller's request that a child call belongs
// to. Nodes of earlier builds ignore it.
const rootHeader = "Pw-Root"

// Outcome codes in the hopHeader of a response.
const (
	outcomeAnswered = "a"
	outcomeNotRun   = "n"
	outcomeUnknown  = "u"
)

const (
	// idleTimeout is how long an idle connection between nodes is kept open.
	idleTimeout = 8 * time.Second
	// maxReuseIdle is the maximum idle time after which a connection is reused. It is below the idle timeout of
	// the other node's server, so that the server does not close a connection while it is being reused.
	maxReuseIdle = 6 * time.Second
	// unackedTimeout is short, so that the other node can still be asked again in time.
	unackedTimeout = 400 * time.Millisecond
	// answerGrace is how long past the deadline to wait for the other node's response.
	answerGrace = 120 * time.Millisecond
)

// Reasons for reporting an unknown outcome of a call that was sent again.
const (
	reasonAnswerNotKept = "answer-not-kept"
	reasonOtherProcess  = "node-restarted"
)

// reasonNodeAnswer means that the response of the other node is none of this product.
const reasonNodeAnswer = "node-answer"

// errMalformedHop is returned for a missing or malformed hopHeader.
var errMalformedHop = errors.New("malformed hop header")

// LoadTracker records the load and the reachability of other nodes, as observed while forwarding.
type LoadTracker interface {
	// RecordLoad records the load that a node reported with a response.
	RecordLoad(node string, running, waiting, limit int)
	// MarkUnreachable records that a node could not be reached, or that its connection broke during a request.
	MarkUnreachable(node string)
	// Process returns the process that the node's latest report came from, or 0 if it is unknown or does not recognise
	// calls that are sent again.
	Process(node string) int64
	// RecordRoundTrip records the time of a call to a node less the time that the node itself took.
	RecordRoundTrip(node string, d time.Duration)
}

// Forwarder forwards requests to other nodes. It is safe for concurrent use.
type Forwarder struct {
	Pool        *transporter.Pool
	LoadTracker LoadTracker
}

// NewPool returns a connection pool for traffic between nodes.
func NewPool() *transporter.Pool {
	return &transporter.Pool{IdleTimeout: idleTimeout, UnackedTimeout: unackedTimeout}
}

// Do sends the job to the node at address and returns the answer. If the connection is lost, Do asks the same process
// for the answer on another one. The caller must release an answer with Body.Stream set.
func (f *Forwarder) Do(ctx context.Context, node, address string, job *executor.Job) *transporter.Answer {
	process := f.LoadTracker.Process(node)
	id := callID{}
	if process != 0 && job.Request.Body.Repeatable() {
		id.id = newCallID()
	}
	hop := packRequestHop(job)
	ctx, cancel := context.WithDeadline(ctx, job.Deadline.Add(answerGrace))
	job.Request.BeforeSend = func() bool {
		if ctx.Err() != nil || !time.Now().Before(job.Deadline) {
			return false
		}
		// A connection may take long to open, and the other node counts the deadline from now on.
		setRequestHop(job, hop, id)
		return true
	}
	sentAt := time.Now()
	resp, _, err := f.Pool.Send(ctx, address, &job.Request, maxReuseIdle)
	if err == nil {
		f.recordRoundTrip(node, resp, time.Since(sentAt))
	}
	switch {
	case err == nil || ctx.Err() != nil || errors.Is(err, transporter.ErrWithheld):
	case errors.Is(err, transporter.ErrNotSent) && job.Request.Body.Repeatable():
		// The other node may have closed the idle connection: retry once on a new connection.
		f.Pool.CloseIdle(address)
		job.Request.Header = job.Request.Header.Clone()
		resp, _, err = f.Pool.Send(ctx, address, &job.Request, 0)
	case errors.Is(err, transporter.ErrNoAnswer):
		// Idle connections that are as old are probably lost as well.
		f.Pool.CloseIdle(address)
		if id.id == "" {
			break
		}
		id.process = process
		job.Request.Header = job.Request.Header.Clone()
		if again, _, errAgain := f.Pool.Send(ctx, address, &job.Request, 0); errAgain == nil {
			resp, err = again, nil
		}
	}
	if err != nil {
		timedOut := ctx.Err() != nil
		cancel()
		return f.answerForError(node, err, timedOut)
	}
	answer := f.readAnswer(node, resp, cancel)
	answer.Until = job.Deadline.Add(answerGrace)
	return answer
}

// recordRoundTrip records the round trip of an answered call. Nodes of earlier versions don't tell how long they took.
func (f *Forwarder) recordRoundTrip(node string, resp *http.Response, took time.Duration) {
	hop, err := decodeAnswerHop(resp.Header.Get(hopHeader))
	if err != nil || hop.outcome != outcomeAnswered {
		return
	}
	if us, err := strconv.ParseInt(hop.reason, 10, 64); err == nil && us > 0 {
		f.LoadTracker.RecordRoundTrip(node, took-time.Duration(us)*time.Microsecond)
	}
}

// answerForError returns the answer for a failed send, and records the node as unreachable unless the request
// merely timed out.
func (f *Forwarder) answerForError(node string, err error, timedOut bool) *transporter.Answer {
	switch {
	case errors.Is(err, transporter.ErrWithheld):
		return transporter.NotRunAnswer(executor.ReasonDeadlinePassed)
	case errors.Is(err, transporter.ErrNotSent):
		if !timedOut {
			f.LoadTracker.MarkUnreachable(node)
		}
		return transporter.NotRunAnswer("node-unreachable")
	case timedOut:
		return transporter.UnknownAnswer(executor.ReasonAnswerTimeout)
	default:
		f.LoadTracker.MarkUnreachable(node)
		return transporter.UnknownAnswer("node-lost")
	}
}

// readAnswer converts the response of the other node and records the load reported with it.
func (f *Forwarder) readAnswer(node string, resp *http.Response, cancel context.CancelFunc) *transporter.Answer {
	release := func() {
		_ = resp.Body.Close()
		cancel()
	}
	hop, err := decodeAnswerHop(resp.Header.Get(hopHeader))
	if err != nil || verifier.CheckHeader(resp) != nil {
		// Nodes of earlier versions pass on any status.
		release()
		return transporter.UnknownAnswer(reasonNodeAnswer)
	}
	resp.Header.Del(hopHeader)
	f.LoadTracker.RecordLoad(node, hop.running, hop.waiting, hop.limit)
	body, err := transporter.ReadBody(resp.Body, resp.ContentLength)
	if err != nil {
		release()
		return transporter.UnknownAnswer(executor.ReasonConnectionBroken)
	}
	if body.Stream == nil {
		release()
	}
	switch hop.outcome {
	case outcomeAnswered:
		transporter.StripConnection(resp.Header)
		return &transporter.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: release}
	case outcomeNotRun:
		release()
		return transporter.NotRunAnswer(hop.reason)
	case outcomeUnknown:
		release()
		return transporter.UnknownAnswer(hop.reason)
	default:
		release()
		return transporter.UnknownAnswer(reasonNodeAnswer)
	}
}

// packedHeaders are the headers whose values are moved into hopHeader, because their names are usually longer
// than their values.
var packedHeaders = []string{
	platform.RequestIDHeader, platform.AccountHeader, platform.CallerServiceHeader, platform.ExpectIncarnationHeader,
}

// absentValue encodes a missing value in hopHeader.
const absentValue = "-"

// callID identifies a call between nodes. process is set in a copy, which only this process may answer.
type callID struct {
	id      string
	process int64
}

// newCallID returns an ID that no other call has.
func newCallID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// packRequestHop moves the values of packedHeaders out of the job's headers and returns the fields of hopHeader that do
// not depend on the time.
func packRequestHop(job *executor.Job) string {
	h := job.Request.Header
	h.Set(platform.ExpectIncarnationHeader, job.ExpectedIncarnation)
	h.Del(platform.DeadlineHeader)
	text := make([]byte, 0, hopBytes)
	text = append(text, escapeRoute(job.Route)...)
	for _, name := range packedHeaders {
		value := h.Get(name)
		if value == "" || strings.IndexByte(value, ' ') >= 0 {
			// An empty value or a value with a space cannot be packed. The header is left as it is.
			value = absentValue
		} else {
			h.Del(name)
		}
		text = append(append(text, ' '), value...)
	}
	h.Del(limitHeader)
	if job.KnownLimit > 0 {
		h.Set(limitHeader, strconv.FormatFloat(job.KnownLimit, 'g', -1, 64))
	}
	setRoot(h, job)
	return string(text)
}

// hopBytes is the usual size of hopHeader.
const hopBytes = 160

// escapeRoute escapes the name of a route, which seldom needs it.
func escapeRoute(name string) string {
	for i := range len(name) {
		if c := name[i]; !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return url.QueryEscape(name)
		}
	}
	return name
}

// setRoot sets rootHeader for a child call. The root of a new request follows from its other headers.
func setRoot(h http.Header, job *executor.Job) {
	h.Del(rootHeader)
	if job.Rank == queuer.ChildCallRank && job.Root != executor.UnknownRoot {
		h.Set(rootHeader, strconv.Itoa(job.Root.Rank)+" "+url.QueryEscape(job.Root.Account))
	}
}

// takeRoot removes rootHeader and returns the root of a job of the given rank.
func takeRoot(h http.Header, rank int) executor.Root {
	text := h.Get(rootHeader)
	h.Del(rootHeader)
	if rank != queuer.ChildCallRank {
		return executor.Root{Rank: rank, Account: h.Get(platform.AccountHeader)}
	}
	number, account, _ := strings.Cut(text, " ")
	rootRank, err := strconv.Atoi(number)
	if err != nil {
		return executor.UnknownRoot
	}
	account, err = url.QueryUnescape(account)
	if err != nil {
		return executor.UnknownRoot
	}
	return executor.Root{Rank: rootRank, Account: account}
}

// setRequestHop sets hopHeader. The fields of the call ID follow the others, so that nodes of earlier builds reject a
// copy instead of running it.
func setRequestHop(job *executor.Job, packed string, id callID) {
	kind := "o"
	if job.Idempotent {
		kind = "i"
	}
	remainingMs := time.Until(job.Deadline).Milliseconds()
	text := append(make([]byte, 0, hopBytes), kind...)
	for _, n := range [...]int64{int64(job.Rank), job.MaxWait.Milliseconds(), remainingMs} {
		text = strconv.AppendInt(append(text, ' '), n, 10)
	}
	text = append(append(text, ' '), packed...)
	if id.id != "" {
		text = append(append(text, ' '), id.id...)
	}
	if id.process != 0 {
		text = strconv.AppendInt(append(text, ' '), id.process, 36)
	}
	job.Request.Header.Set(hopHeader, string(text))
}

// decodeRequestHop parses hopHeader, removes it, and restores the headers that were packed into it.
func decodeRequestHop(h http.Header) (executor.Job, callID, error) {
	fields := strings.Split(h.Get(hopHeader), " ")
	h.Del(hopHeader)
	fixed := 5 + len(packedHeaders)
	if len(fields) < fixed || len(fields) > fixed+2 {
		return executor.Job{}, callID{}, errMalformedHop
	}
	var id callID
	var err error
	if len(fields) > fixed {
		id.id = fields[fixed]
	}
	if len(fields) > fixed+1 {
		if id.process, err = strconv.ParseInt(fields[fixed+1], 36, 64); err != nil {
			return executor.Job{}, callID{}, fmt.Errorf("%w: %w", errMalformedHop, err)
		}
	}
	// Without a readable value, no limit is known.
	knownLimit, _ := strconv.ParseFloat(h.Get(limitHeader), 64)
	h.Del(limitHeader)
	route, err := url.QueryUnescape(fields[4])
	if err != nil {
		return executor.Job{}, callID{}, fmt.Errorf("%w: %w", errMalformedHop, err)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(fields[1+i])
		if err != nil {
			return executor.Job{}, callID{}, fmt.Errorf("%w: %w", errMalformedHop, err)
		}
		numbers[i] = n
	}
	for i, name := range packedHeaders {
		if value := fields[5+i]; value != absentValue {
			h.Set(name, value)
		}
	}
	return executor.Job{
		Idempotent:          fields[0] == "i",
		Rank:                numbers[0],
		MaxWait:             time.Duration(numbers[1]) * time.Millisecond,
		Deadline:            time.Now().Add(time.Duration(numbers[2]) * time.Millisecond),
		Route:               route,
		ExpectedIncarnation: h.Get(platform.ExpectIncarnationHeader),
		KnownLimit:          knownLimit,
		Root:                takeRoot(h, numbers[0]),
	}, id, nil
}

// answerHop is the forwarding metadata of a response.
type answerHop struct {
	outcome string
	running int
	waiting int
	limit   int
	// reason is the reason code of an outcome other than outcomeAnswered, which has the time that the node took instead,
	// in microseconds. Nodes of earlier versions ignore it there.
	reason string
}

func encodeAnswerHop(h answerHop) string {
	text := append(make([]byte, 0, hopBytes), h.outcome...)
	for _, n := range [...]int{h.running, h.waiting, h.limit} {
		text = strconv.AppendInt(append(text, ' '), int64(n), 10)
	}
	return string(append(append(text, ' '), h.reason...))
}

func decodeAnswerHop(text string) (answerHop, error) {
	fields := strings.SplitN(text, " ", 5)
	if len(fields) < 4 {
		return answerHop{}, errMalformedHop
	}
	h := answerHop{outcome: fields[0]}
	var errs [3]error
	h.running, errs[0] = strconv.Atoi(fields[1])
	h.waiting, errs[1] = strconv.Atoi(fields[2])
	h.limit, errs[2] = strconv.Atoi(fields[3])
	if len(fields) == 5 {
		h.reason = fields[4]
	}
	return h, errors.Join(errs[:]...)
}
