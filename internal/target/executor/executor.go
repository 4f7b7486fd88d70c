// Package executor runs requests on the target that shares the node's VM. The target receives requests from
// this node only, so the executor enforces the target's concurrency limit, queues requests above the limit,
// and stops sending when the target drains or deregisters.
package executor

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/estimator"
	"github.com/plantainwheel/plantainwheel/internal/policy/latecounter"
	"github.com/plantainwheel/plantainwheel/internal/policy/pacer"
	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
	"github.com/plantainwheel/plantainwheel/internal/policy/registrar"
	"github.com/plantainwheel/plantainwheel/internal/policy/regulator"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"github.com/plantainwheel/plantainwheel/internal/policy/warmer"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/platform"
)

// Reasons for refusing a request that has not run.
const (
	ReasonNoTarget         = "no-target"
	ReasonDraining         = "draining"
	ReasonOtherIncarnation = "other-incarnation"
	ReasonUnreachable      = "target-unreachable"
	ReasonQueueFull        = "queue-full"
	ReasonQueueTimeout     = "waited-too-long"
	ReasonRateLimited      = "target-rate-limited"
	ReasonCold             = "target-cold"
	ReasonDeadlinePassed   = "deadline-passed"
	ReasonTargetShed       = "target-shed"
	ReasonCancelled        = "caller-left"
	// ReasonQuarantined means that targets have crashed while they ran the request.
	ReasonQuarantined = "quarantined"
	// ReasonEvacuated means that the target's data centre is evacuated, ReasonEvacuationsUnknown that the node does not
	// know yet whether it is.
	ReasonEvacuated          = "evacuated"
	ReasonEvacuationsUnknown = "evacuations-unknown"
)

// Reasons for reporting an unknown outcome.
const (
	ReasonConnectionBroken = "connection-broke"
	ReasonInvalidAnswer    = "answer-garbled"
	ReasonAnswerTimeout    = "no-answer-in-time"
	// ReasonTargetCrashed means that the target has crashed while it ran the request and few others.
	ReasonTargetCrashed = "target-crashed"
)

const (
	// usableSlotShare is the share of the declared slots that is used, because some targets slow down when nearly
	// all of their slots are in use.
	usableSlotShare = 0.95
	// maxIdleIdempotent and maxIdleNonIdempotent are the maximum idle times of a connection that is reused. Targets
	// close idle connections without notice, or forget those that have been idle for 300 ms, and a non-idempotent
	// request sent on such a connection is lost.
	maxIdleIdempotent    = 5 * time.Second
	maxIdleNonIdempotent = 250 * time.Millisecond
	// unreachableBackoff is the pause after a failed connection attempt before the target is tried again.
	unreachableBackoff = 500 * time.Millisecond
	// minRemainingTime is the time to the deadline below which a request is refused instead of sent.
	minRemainingTime = 5 * time.Millisecond
	// answerGrace extends the wait for an answer beyond the deadline, because targets answer timed-out requests
	// at the deadline.
	answerGrace = 80 * time.Millisecond
	// failureWeight is the weight of the latest outcome in the moving average of failures.
	failureWeight = 0.05
	// holdTimeWeight is the weight of the latest request in the moving average of the time for which requests hold their
	// slots.
	holdTimeWeight = 0.1
	// failureHalfLife is the time without outcomes after which the failure rate has halved, so that a target
	// that no longer receives requests is tried again.
	failureHalfLife = 3 * time.Second
	// resendRefillPerAttempt and resendCapacity are the parameters of the token bucket that limits resends of
	// requests whose reused connection turned out to be closed.
	resendRefillPerAttempt = 0.02
	resendCapacity         = 2
)

// Job is a request to run on the target.
type Job struct {
	Request transporter.Request
	Route   string
	// Rank orders the queue: the lowest rank is served first.
	Rank int
	// ExpectedIncarnation is the ID of the only incarnation that may run the request; empty allows any.
	ExpectedIncarnation string
	// KnownLimit is the limit that the entry node has last seen in an answer of the incarnation, in requests per second,
	// or 0.
	KnownLimit float64
	Idempotent bool
	Deadline   time.Time
	// MaxWait is the maximum time in the queue.
	MaxWait time.Duration
	// Root is the caller's request that the job belongs to.
	Root Root

	signature *quarantiner.Signature
}

// Load is the current load and health of the target.
type Load struct {
	Running int
	Waiting int
	Limit   int
	// Mean is the average load per slot over the last regulator period. Waiting requests count less than
	// running ones.
	Mean float64
	// FailureRate is the moving average of failed runs, between 0 and 1.
	FailureRate float64
	// Rejected is the share of the requests that the target itself has rejected lately, between 0 and 1.
	Rejected float64
	// Up reports whether the target accepts requests.
	Up bool
	// Paced reports whether no request can begin at present because of the limit that the target has named. Limit is
	// then also bounded by the requests that run at once at that rate.
	Paced bool
	// Cold reports whether the target is cold or possibly cold and therefore paced.
	Cold bool
	// Late counts the running requests that have run longer than expected.
	Late int
	// CrashedAt is when the target was last found to have crashed, or zero.
	CrashedAt time.Time
}

// Occupied returns the number of slots that other nodes should take for occupied. A late request counts as two, because
// it holds its slot for longer than another one would.
func (l *Load) Occupied() int {
	if l.Paced {
		return max(l.Running+l.Late, l.Limit)
	}
	return l.Running + l.Late
}

// waiter is a queued job. admitted receives true when the job gets a slot and false when it is refused.
type waiter struct {
	route    string
	root     Root
	admitted chan bool
}

// Executor runs jobs. It is safe for concurrent use. No other lock is acquired while its mutex is held.
type Executor struct {
	Pool *transporter.Pool
	// OnStateChange, if set, is called when the target's answers name another limit, lift it, or say for the first time
	// that the target leaves. OnSend, if set, is called right before a request is sent to the target, while the mutex is held.
	OnStateChange func(platform.TargetState)
	OnSend        func()
	// OnInvalidAnswer, if set, is called for each response of the target that is no answer to its request, with the
	// request's ID, the status of the response and its defect.
	OnInvalidAnswer func(requestID string, status int, defect string)
	// Guard, if set, withholds requests that crash targets.
	Guard Guard
	// Withhold, if set, returns why the target gets no requests at present, or "" if it does. It is called while the
	// mutex is held.
	Withhold func() string
	// ColdTerms, if set, returns what applies to cold targets of a service. It must not block.
	ColdTerms func(service string) ColdTerms
	// Objective, if set, returns the response-time objective of a route, or 0 if it has none.
	Objective func(route string) time.Duration

	mu               sync.Mutex
	target           Target
	departures       registrar.Registrar
	state            platform.TargetState
	stopping         bool
	unreachableUntil time.Time
	queue            queuer.Queue
	pacer            pacer.Pacer
	warmer           warmer.Warmer
	healthPath       string
	announcedCold    bool
	holdTime         time.Duration
	waiters          map[*queuer.Entry]waiter
	roots            roots
	meter            regulator.Meter
	rejections       regulator.Rejections
	estimator        estimator.Estimator
	failureRate      float64
	failureRateAt    time.Time
	resendBudget     retrier.TokenBucket
	late             latecounter.Counter
	runs             runs
	crashedAt        time.Time
	refused          refusedIDs
}

// New returns an executor without a target.
func New(pool *transporter.Pool) *Executor {
	return &Executor{
		Pool:         pool,
		waiters:      map[*queuer.Entry]waiter{},
		roots:        roots{},
		resendBudget: retrier.TokenBucket{RefillPerAttempt: resendRefillPerAttempt, Capacity: resendCapacity},
	}
}

// Do runs the job and returns its answer. The job holds its slot until a streamed answer body is closed.
func (e *Executor) Do(ctx context.Context, job *Job) *transporter.Answer {
	leave, ok := e.enter(job)
	if !ok {
		return transporter.NotRunAnswer(ReasonQuarantined)
	}
	if reason := e.acquireSlot(ctx, job); reason != "" {
		leave()
		return transporter.NotRunAnswer(reason)
	}
	began := time.Now()
	lateAt, running := e.beginLate(began, job.Route)
	finish := sync.OnceFunc(func() {
		e.endLate(job.Route, time.Since(began), lateAt)
		e.finish(job, began)
		leave()
	})
	answer := e.run(ctx, job)
	e.recordOutcome(answer, running)
	if answer.Body.Stream == nil {
		finish()
		return answer
	}
	closeBody := answer.Close
	answer.Close = func() {
		closeBody()
		finish()
	}
	return answer
}

// run sends the job to the target.
func (e *Executor) run(ctx context.Context, job *Job) *transporter.Answer {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline.Add(answerGrace))
	s, reason := e.newSending(ctx, job)
	defer s.end()
	if reason != "" {
		cancel()
		return transporter.NotRunAnswer(reason)
	}
	sent := e.beginRun(&s.target, job)
	resp, err := s.sendAndResend(ctx, e.maxIdle(job))
	if err != nil {
		ctxDone := ctx.Err() != nil
		cancel()
		e.recordLostConnection(err, ctxDone)
		return e.endLostRun(sent, &s.target, err, e.failureAnswer(err, ctxDone, s.withheld))
	}
	defect := findDefect(resp, job)
	if defect == "" && resp.StatusCode != http.StatusMisdirectedRequest {
		e.learn(&s.target, platform.DecodeTargetState(resp.Header))
	}
	answer := e.readAnswer(resp, job, defect, cancel)
	if answer.Unknown {
		e.recordLostConnection(transporter.ErrNoAnswer, time.Now().After(job.Deadline))
	}
	return e.endRun(sent, &s.target, answer)
}

// canResend reports whether a request whose reused connection failed may be sent again.
func (e *Executor) canResend(job *Job, err error) bool {
	if !job.Request.Body.Repeatable() {
		return false
	}
	if errors.Is(err, transporter.ErrNotSent) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !job.Idempotent || !e.resendBudget.Take() {
		return false
	}
	e.pacer.Take(time.Now())
	return true
}

// failureAnswer returns the answer for a failed send. ctxDone is true if the deadline had passed or the caller
// had cancelled, and withheld is why the job was not sent, if it was withheld.
func (e *Executor) failureAnswer(err error, ctxDone bool, withheld string) *transporter.Answer {
	if errors.Is(err, transporter.ErrWithheld) {
		return transporter.NotRunAnswer(withheld)
	}
	if errors.Is(err, transporter.ErrNotSent) {
		if !ctxDone {
			e.markUnreachable()
		}
		return transporter.NotRunAnswer(ReasonUnreachable)
	}
	if ctxDone {
		return transporter.UnknownAnswer(ReasonAnswerTimeout)
	}
	return transporter.UnknownAnswer(ReasonConnectionBroken)
}

// markUnreachable starts the back-off after a failed connection attempt and refuses all queued jobs.
func (e *Executor) markUnreachable() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.unreachableUntil = now.Add(unreachableBackoff)
	for _, entry := range e.queue.Clear() {
		e.notify(now, entry, false)
	}
}
