package broker

import (
	"errors"
	"net/http"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/deduplicator"
	"github.com/plantainwheel/plantainwheel/internal/node/limiter"
	"github.com/plantainwheel/plantainwheel/internal/node/roster"
	"github.com/plantainwheel/plantainwheel/internal/policy/granter"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
)

// Inbound is a request as received from a caller or a target.
type Inbound struct {
	Method string
	// Path selects the route; URI includes the query.
	Path    string
	URI     string
	Headers []granter.Header
	Body    []byte
	// Key is the caller's API key; empty if none was sent.
	Key string
	// RequestID is the ID that the caller set for a non-idempotent request; empty if none was set.
	RequestID string
	// Timeout is the timeout that the caller set; 0 if none was set.
	Timeout time.Duration
}

// Call is one hop of a request.
type Call struct {
	// ID identifies the call. The receiver uses it to recognize a resent copy and not run it again.
	ID string
	// RootID identifies the request that the call belongs to, across all hops.
	RootID string
	// RequestID identifies a non-idempotent request across the attempts of its caller.
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
	// Retries is the part of the request's retry budget that is lent to this call.
	Retries    int
	Idempotent bool
	// To is the ID of the member that runs the call.
	To string
	// Resent is set on a resent copy of the call. The receiver may already have received an earlier copy.
	Resent bool
	// PathLevel is the lowest admission level that the sender knows among the targets that this call
	// depends on.
	PathLevel int
}

// Reply is the final result of a call.
type Reply struct {
	granter.Answer
	Outcome retrier.Outcome
	// Code is the machine-readable reason for a refusal or failure; empty for an answer of the target.
	Code Code
	// RetryAfter is the delay after which the caller should retry; 0 if none is suggested.
	RetryAfter time.Duration
	// RetriesLeft is the number of lent retries that were not used.
	RetriesLeft int
	// PathLevel is the lowest admission level among the targets that the call depended on.
	PathLevel int
	// Entry is the roster entry of the node that answered.
	Entry roster.Entry
}

// Code is a machine-readable reason for a refusal or failure.
type Code string

// Codes as sent to callers.
const (
	CodeNone                  Code = ""
	CodeNoRoute               Code = "no-route"
	CodeNoKey                 Code = "key-missing"
	CodeUnknownKey            Code = "key-unknown"
	CodeNodeStale             Code = "node-stale"
	CodeRateExceeded          Code = "rate-exceeded"
	CodeOverload              Code = "overloaded"
	CodeDeadlineTooNear       Code = "deadline-too-near"
	CodeDraining              Code = "draining"
	CodeNoTarget              Code = "no-target"
	CodeWrongMember           Code = "wrong-member"
	CodeNodeUnreachable       Code = "node-unreachable"
	CodeTargetDown            Code = "target-down"
	CodeTargetNoAnswer        Code = "target-answer-broken"
	CodeTargetShed            Code = "target-shed"
	CodeTimeout               Code = "timeout"
	CodeCancelled             Code = "cancelled"
	CodeEarlierAttemptUnknown Code = "earlier-attempt-unknown"
	CodeNoQuorum              Code = "registrars-unreachable"
	CodeOutcomeUnknown        Code = "outcome-unknown"
	CodeTooDeep               Code = "too-deep"
	CodeBodyTooLarge          Code = "body-too-large"
	CodeRequestIDTooLong      Code = "request-id-too-long"
)

var statusOf = map[Code]int{
	CodeNoRoute:               http.StatusNotFound,
	CodeNoKey:                 http.StatusUnauthorized,
	CodeUnknownKey:            http.StatusUnauthorized,
	CodeRateExceeded:          http.StatusTooManyRequests,
	CodeTimeout:               http.StatusGatewayTimeout,
	CodeCancelled:             statusClientClosedRequest,
	CodeEarlierAttemptUnknown: http.StatusConflict,
	CodeOutcomeUnknown:        http.StatusGatewayTimeout,
	CodeTargetNoAnswer:        http.StatusBadGateway,
	CodeTooDeep:               http.StatusLoopDetected,
	CodeBodyTooLarge:          http.StatusRequestEntityTooLarge,
	CodeRequestIDTooLong:      http.StatusBadRequest,
}

// statusClientClosedRequest is the nonstandard status used for a request whose caller has closed the
// connection.
const statusClientClosedRequest = 499

// refuse returns a reply with the given code that the node generates itself, without an answer of a target.
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

// codeOf maps the errors of the limiter and the deduplicator to codes. It maps any other error to
// CodeCancelled.
func codeOf(err error) Code {
	switch {
	case errors.Is(err, limiter.ErrDraining):
		return CodeDraining
	case errors.Is(err, limiter.ErrNoTarget):
		return CodeNoTarget
	case errors.Is(err, limiter.ErrDeadline):
		return CodeDeadlineTooNear
	case errors.Is(err, deduplicator.ErrTaken):
		return CodeEarlierAttemptUnknown
	case errors.Is(err, deduplicator.ErrNoQuorum):
		return CodeNoQuorum
	case errors.Is(err, limiter.ErrPriority), errors.Is(err, limiter.ErrQueueFull):
		return CodeOverload
	default:
		return CodeCancelled
	}
}
