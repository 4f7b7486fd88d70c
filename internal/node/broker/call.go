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
	// ID identifies the call, so that it can be resent without being run twice.
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
	// Resent is set if the message was resent, so that the receiver may already have an earlier copy.
	Resent bool
	// PathLevel is the lowest admission level that the sender knows of the targets below this call.
	PathLevel int
}

// Reply is the final result of a call.
type Reply struct {
	granter.Answer
	Outcome retrier.Outcome
	// Code is the machine-readable reason of a refusal or failure; empty for an answer of the target.
	Code Code
	// RetryAfter is the delay after which the caller should retry; 0 if none is suggested.
	RetryAfter time.Duration
	// RetriesLeft is the number of lent retries that were not used.
	RetriesLeft int
	// PathLevel is the lowest admission level of the targets that the call depended on.
	PathLevel int
	// Load is the roster entry of the node that answered.
	Load roster.Entry
}

// Code is a machine-readable reason of a refusal or failure.
type Code string

// Codes as sent to callers.
const (
	CodeNone                  Code = ""
	CodeNoRoute               Code = "no-route"
	CodeNoKey                 Code = "key-missing"
	CodeBadKey                Code = "key-unknown"
	CodeNodeStale             Code = "node-stale"
	CodeRateExceeded          Code = "rate-exceeded"
	CodeOverload              Code = "overloaded"
	CodeDeadlineTooNear       Code = "deadline-too-near"
	CodeDraining              Code = "draining"
	CodeNoTarget              Code = "no-target"
	CodeWrongMember           Code = "wrong-member"
	CodeNodeUnreachable       Code = "node-unreachable"
	CodeTargetDown            Code = "target-down"
	CodeTargetBroken          Code = "target-answer-broken"
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
	CodeBadKey:                http.StatusUnauthorized,
	CodeRateExceeded:          http.StatusTooManyRequests,
	CodeTimeout:               http.StatusGatewayTimeout,
	CodeCancelled:             statusClientClosedRequest,
	CodeEarlierAttemptUnknown: http.StatusConflict,
	CodeOutcomeUnknown:        http.StatusGatewayTimeout,
	CodeTargetBroken:          http.StatusBadGateway,
	CodeTooDeep:               http.StatusLoopDetected,
	CodeBodyTooLarge:          http.StatusRequestEntityTooLarge,
	CodeRequestIDTooLong:      http.StatusBadRequest,
}

// statusClientClosedRequest is the nonstandard status used for a request whose caller has closed the
// connection.
const statusClientClosedRequest = 499

// refuse returns a reply that the node itself generates.
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

// codeOf maps the errors of the guard and the claimer to codes; any other error means cancelled.
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
