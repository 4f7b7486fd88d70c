package broker

import (
	"errors"
	"net/http"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/claimer"
	"github.com/plantainwheel/plantainwheel/internal/node/guard"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

// Inbound is a request as a caller or a target sent it.
type Inbound struct {
	Method string
	// Path selects the route; URI also holds the query.
	Path    string
	URI     string
	Headers []granter.Header
	Body    []byte
	// Key is the caller's credential; empty without one.
	Key string
	// RequestID is the caller's own id of a non-idempotent request; empty without one.
	RequestID string
	// Timeout is the caller's own bound; 0 without one.
	Timeout time.Duration
}

// Call is one hop of a whole request.
type Call struct {
	// ID identifies the call, so that it can be sent again without being run again.
	ID string
	// RootID identifies the whole request.
	RootID string
	// RequestID identifies a non-idempotent request over the attempts of its caller.
	RequestID  string
	Route      string
	Account    string
	Method     string
	URI        string
	Headers    []granter.Header
	Body       []byte
	Timeout    time.Duration
	Importance reducer.Importance
	// Depth counts the hops before this one.
	Depth int
	// Retries are lent from the whole request.
	Retries    int
	Idempotent bool
	// To is the member that is to run the call.
	To string
	// Again says that an earlier copy of this message may have arrived.
	Again bool
	// PathLevel is the lowest level that the sender knows below this call.
	PathLevel int
}

// Reply is the final answer of a call.
type Reply struct {
	granter.Answer
	Outcome retrier.Outcome
	// Code is machine-readable; empty for an answer of the target.
	Code Code
	// RetryAfter is when to come back; 0 without advice.
	RetryAfter time.Duration
	// RetriesLeft are those of the lent retries that were not used.
	RetriesLeft int
	// PathLevel is the lowest level of the targets that the call depended on.
	PathLevel int
	// Load describes the node that answered.
	Load roster.Entry
}

// Code is a machine-readable reason.
type Code string

// The codes.
const (
	CodeNone         Code = ""
	CodeNoRoute      Code = "no-route"
	CodeNoKey        Code = "key-missing"
	CodeBadKey       Code = "key-unknown"
	CodeStale        Code = "node-stale"
	CodeRate         Code = "rate-exceeded"
	CodeOverload     Code = "overloaded"
	CodeLate         Code = "deadline-too-near"
	CodeDraining     Code = "draining"
	CodeNoTarget     Code = "no-target"
	CodeWrongMember  Code = "wrong-member"
	CodeUnreachable  Code = "node-unreachable"
	CodeTargetDown   Code = "target-down"
	CodeTargetBroken Code = "target-answer-broken"
	CodeTargetShed   Code = "target-shed"
	CodeTimeout      Code = "timeout"
	CodeCancelled    Code = "cancelled"
	CodeTaken        Code = "earlier-attempt-unknown"
	CodeNoQuorum     Code = "registrars-unreachable"
	CodeUnknown      Code = "outcome-unknown"
	CodeTooDeep      Code = "too-deep"
	CodeTooLarge     Code = "body-too-large"
	CodeTooLong      Code = "request-id-too-long"
)

var statusOf = map[Code]int{
	CodeNoRoute:      http.StatusNotFound,
	CodeNoKey:        http.StatusUnauthorized,
	CodeBadKey:       http.StatusUnauthorized,
	CodeRate:         http.StatusTooManyRequests,
	CodeTimeout:      http.StatusGatewayTimeout,
	CodeCancelled:    statusClientClosed,
	CodeTaken:        http.StatusConflict,
	CodeUnknown:      http.StatusGatewayTimeout,
	CodeTargetBroken: http.StatusBadGateway,
	CodeTooDeep:      http.StatusLoopDetected,
	CodeTooLarge:     http.StatusRequestEntityTooLarge,
	CodeTooLong:      http.StatusBadRequest,
}

// statusClientClosed is the customary status of a request whose caller has gone.
const statusClientClosed = 499

// refuse makes a reply of the system itself.
func refuse(code Code, outcome retrier.Outcome, retryAfter time.Duration) Reply {
	status, ok := statusOf[code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return Reply{
		Answer:     granter.Answer{Status: status},
		Outcome:    outcome,
		Code:       code,
		RetryAfter: retryAfter,
	}
}

// codeOf maps the errors of the guard and the claimer to codes.
func codeOf(err error) Code {
	switch {
	case errors.Is(err, guard.ErrDraining):
		return CodeDraining
	case errors.Is(err, guard.ErrNoTarget):
		return CodeNoTarget
	case errors.Is(err, guard.ErrLate):
		return CodeLate
	case errors.Is(err, claimer.ErrTaken):
		return CodeTaken
	case errors.Is(err, claimer.ErrNoQuorum):
		return CodeNoQuorum
	case errors.Is(err, guard.ErrLevel), errors.Is(err, guard.ErrFull):
		return CodeOverload
	default:
		return CodeCancelled
	}
}
