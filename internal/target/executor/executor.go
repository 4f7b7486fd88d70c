// Package executor runs requests at the target beside the node. Only this node reaches the target, so it
// alone counts what runs there, queues what waits, and stops sending once the target leaves.
package executor

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/attributor"
	"github.com/plantainwheel/plantainwheel/internal/policy/queuer"
	"github.com/plantainwheel/plantainwheel/internal/policy/regulator"
	"github.com/plantainwheel/plantainwheel/internal/policy/retrier"
	"github.com/plantainwheel/plantainwheel/internal/route/courier"
	"github.com/plantainwheel/plantainwheel/platform"
)

// Reasons why a request has not run.
const (
	ReasonNoTarget    = "no-target"
	ReasonDraining    = "draining"
	ReasonIncarnation = "other-incarnation"
	ReasonUnreachable = "target-unreachable"
	ReasonFull        = "queue-full"
	ReasonWaited      = "waited-too-long"
	ReasonLate        = "deadline-passed"
	ReasonShed        = "target-shed"
	ReasonCancelled   = "caller-left"
)

// Reasons why an outcome is unknown.
const (
	ReasonBroken  = "connection-broke"
	ReasonGarbled = "answer-garbled"
	ReasonNoReply = "no-answer-in-time"
)

const (
	// usableSlots is the part of the declared slots that is used: some targets slow down when nearly full.
	usableSlots = 0.95
	// restedIdempotent and restedOther bound how long a kept connection may have rested before it is used:
	// targets close idle ones without notice, and a request that may run only once is lost with them.
	restedIdempotent = 5 * time.Second
	restedOther      = 250 * time.Millisecond
	// downFor is how long a target that refused a connection is left alone.
	downFor = 500 * time.Millisecond
	// leastTime is the remaining time below which sending a request is pointless.
	leastTime = 5 * time.Millisecond
	// answerGrace is how long after its deadline a request's answer is awaited: targets answer themselves at
	// the deadline.
	answerGrace = 80 * time.Millisecond
	// failureWeight is the weight of the latest outcome in the share of failures.
	failureWeight = 0.05
	// failureHalfLife is the time in which the share of failures halves without outcomes, so that a target
	// that gets no more requests is tried again.
	failureHalfLife = 3 * time.Second
	// repeatShare and repeatReserve bound the repeats after a kept connection was found closed.
	repeatShare   = 0.02
	repeatReserve = 2
)

// Job is a request for the target.
type Job struct {
	Request courier.Request
	Route   string
	Rank    int
	// Expect names the incarnation that may run the request; empty means any.
	Expect     string
	Idempotent bool
	Deadline   time.Time
	// MaxWait is the longest time in the queue.
	MaxWait time.Duration
}

// Load is what a node tells of its target.
type Load struct {
	Running int
	Waiting int
	Limit   int
	// Mean is the mean of running and waiting requests per slot of late.
	Mean float64
	// Failing is the share of the latest runs that failed.
	Failing float64
	Up      bool
}

// waiter is a job in the queue.
type waiter struct {
	route   string
	started chan bool
}

// Executor runs jobs. It is safe for concurrent use. Its lock is a leaf.
type Executor struct {
	Pool *courier.Pool

	mu        sync.Mutex
	target    Target
	stopping  bool
	downUntil time.Time
	queue     queuer.Queue
	waiters   map[*queuer.Entry]waiter
	meter     regulator.Meter
	causes    attributor.Attributor
	failing   float64
	failedAt  time.Time
	repeats   retrier.Ratio
}

// New returns an executor without a target.
func New(pool *courier.Pool) *Executor {
	return &Executor{
		Pool:    pool,
		waiters: map[*queuer.Entry]waiter{},
		repeats: retrier.Ratio{Share: repeatShare, Reserve: repeatReserve},
	}
}

// Do runs the job and returns its answer.
func (e *Executor) Do(ctx context.Context, job *Job) *courier.Answer {
	reason := e.enter(ctx, job)
	if reason != "" {
		return courier.Refuse(reason)
	}
	leave := sync.OnceFunc(func() { e.leave(job.Route) })
	answer := e.run(ctx, job)
	e.judge(answer)
	if answer.Body.Stream == nil {
		leave()
		return answer
	}
	closeBody := answer.Close
	answer.Close = func() {
		closeBody()
		leave()
	}
	return answer
}

// enter waits for a slot. It returns the reason where the job does not get one.
func (e *Executor) enter(ctx context.Context, job *Job) string {
	entry := &queuer.Entry{Rank: job.Rank, LatestStart: time.Now().Add(job.MaxWait)}
	wait, reason := e.offer(job, entry)
	if reason != "" || wait == nil {
		return reason
	}
	timer := time.NewTimer(job.MaxWait)
	defer timer.Stop()
	select {
	case started := <-wait:
		if !started {
			return ReasonFull
		}
		return ""
	case <-timer.C:
		return e.giveUp(job, entry, wait, ReasonWaited)
	case <-ctx.Done():
		return e.giveUp(job, entry, wait, ReasonCancelled)
	}
}

func (e *Executor) offer(job *Job, entry *queuer.Entry) (chan bool, string) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.unusable(now, job.Expect); reason != "" {
		return nil, reason
	}
	started, refused := e.queue.Offer(entry)
	defer e.observe(now)
	if started {
		e.causes.Started(now, job.Route)
		return nil, ""
	}
	if refused == entry {
		return nil, ReasonFull
	}
	if refused != nil {
		e.tell(now, refused, false)
	}
	w := waiter{route: job.Route, started: make(chan bool, 1)}
	e.waiters[entry] = w
	return w.started, ""
}

func (e *Executor) unusable(now time.Time, expect string) string {
	switch {
	case e.target.ID == "" || e.target.Gone:
		return ReasonNoTarget
	case e.target.Draining || e.stopping:
		return ReasonDraining
	case expect != "" && expect != e.target.ID:
		return ReasonIncarnation
	case now.Before(e.downUntil):
		return ReasonUnreachable
	default:
		return ""
	}
}

// tell ends the wait of a job. A job that starts counts as running from now on.
func (e *Executor) tell(now time.Time, entry *queuer.Entry, started bool) {
	w := e.waiters[entry]
	delete(e.waiters, entry)
	if started {
		e.causes.Started(now, w.route)
	}
	w.started <- started
}

// giveUp takes the job out of the queue. A slot that it got meanwhile is given back.
func (e *Executor) giveUp(job *Job, entry *queuer.Entry, wait chan bool, reason string) string {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue.Remove(entry) {
		delete(e.waiters, entry)
		e.observe(now)
		return reason
	}
	if <-wait {
		e.causes.Ended(now, job.Route)
		e.release(now)
	}
	return reason
}

func (e *Executor) leave(route string) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.causes.Ended(now, route)
	e.release(now)
}

// release gives a slot to the next job.
func (e *Executor) release(now time.Time) {
	e.queue.Done()
	e.next(now)
}

func (e *Executor) next(now time.Time) {
	started, late := e.queue.Next(now)
	for _, entry := range started {
		e.tell(now, entry, true)
	}
	for _, entry := range late {
		e.tell(now, entry, false)
	}
	e.observe(now)
}

func (e *Executor) observe(now time.Time) {
	e.meter.Observe(now, e.queue.Running(), e.queue.Waiting(), e.queue.Limit)
}

// run sends the job to the target.
func (e *Executor) run(ctx context.Context, job *Job) *courier.Answer {
	left := time.Until(job.Deadline)
	if left < leastTime {
		return courier.Refuse(ReasonLate)
	}
	target, reason := e.prepare(job, left)
	if reason != "" {
		return courier.Refuse(reason)
	}
	ctx, cancel := context.WithDeadline(ctx, job.Deadline.Add(answerGrace))
	rested := restedOther
	if job.Idempotent {
		rested = restedIdempotent
	}
	resp, reused, err := e.Pool.Send(ctx, target.Address, &job.Request, rested)
	if err != nil && reused && ctx.Err() == nil && e.repeatable(job, err) {
		resp, _, err = e.Pool.Send(ctx, target.Address, &job.Request, 0)
	}
	if err != nil {
		ended := ctx.Err() != nil
		cancel()
		return e.failed(err, ended)
	}
	return read(resp, job, cancel)
}

// prepare sets the headers that the target expects from its node, and checks once more that it may be sent
// to: it may have left while the job waited.
func (e *Executor) prepare(job *Job, left time.Duration) (Target, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.unusable(time.Now(), job.Expect); reason != "" {
		return Target{}, reason
	}
	e.repeats.Attempt()
	job.Request.Header.Set(platform.ExpectHeader, e.target.ID)
	job.Request.Header.Set(platform.DeadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
	return e.target, ""
}

// repeatable says whether a request that met a closed kept connection may be sent again.
func (e *Executor) repeatable(job *Job, err error) bool {
	if !job.Request.Body.Repeatable() {
		return false
	}
	if errors.Is(err, courier.ErrNotSent) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return job.Idempotent && e.repeats.Retry()
}

// failed tells what became of a request without an answer; ended says that its time was over or its caller had
// left.
func (e *Executor) failed(err error, ended bool) *courier.Answer {
	if errors.Is(err, courier.ErrNotSent) {
		if !ended {
			e.down()
		}
		return courier.Refuse(ReasonUnreachable)
	}
	if ended {
		return courier.Lose(ReasonNoReply)
	}
	return courier.Lose(ReasonBroken)
}

func (e *Executor) down() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.downUntil = now.Add(downFor)
	for _, entry := range e.queue.Clear() {
		e.tell(now, entry, false)
	}
}

// read checks the target's answer and takes its body.
func read(resp *http.Response, job *Job, cancel context.CancelFunc) *courier.Answer {
	release := sync.OnceFunc(func() {
		_ = resp.Body.Close()
		cancel()
	})
	if resp.Header.Get(platform.RequestIDHeader) != job.Request.Header.Get(platform.RequestIDHeader) {
		release()
		return courier.Lose(ReasonGarbled)
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	if success && (resp.Header.Get(platform.SignatureHeader) == "" || resp.Header.Get("Content-Encoding") != "") {
		release()
		return courier.Lose(ReasonGarbled)
	}
	length := resp.ContentLength
	if job.Request.Method == http.MethodHead {
		length = 0
	}
	body, err := courier.ReadBody(resp.Body, length)
	if err != nil {
		release()
		return courier.Lose(ReasonGarbled)
	}
	if body.Stream == nil {
		release()
	}
	if resp.Header.Get(platform.NotRunHeader) != "" {
		release()
		return courier.Refuse(ReasonShed)
	}
	courier.StripConnection(resp.Header)
	return &courier.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: release}
}

// judge counts an outcome for the share of failures.
func (e *Executor) judge(a *courier.Answer) {
	if a.NotRun && a.Reason != ReasonShed && a.Reason != ReasonUnreachable {
		return
	}
	if a.Unknown && a.Reason == ReasonNoReply {
		return
	}
	outcome := 0.0
	if a.NotRun || a.Unknown || a.Status == http.StatusInternalServerError {
		outcome = 1
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	share := e.failureShare(now)
	e.failing = share + failureWeight*(outcome-share)
	e.failedAt = now
}

func (e *Executor) failureShare(now time.Time) float64 {
	if e.failedAt.IsZero() {
		return 0
	}
	age := now.Sub(e.failedAt).Seconds() / failureHalfLife.Seconds()
	return e.failing / (1 + age)
}
