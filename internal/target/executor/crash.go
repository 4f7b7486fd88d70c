package executor

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	// probeDelay is the time after a broken connection in which an answer shows that the target has not crashed. After that
	// the node probes the target, for probeTimeout at most.
	probeDelay   = 10 * time.Millisecond
	probeTimeout = 200 * time.Millisecond
	// brokenLife is the time for which a broken request is kept, in case the target turns out to have crashed.
	brokenLife = 10 * time.Second
	// maxBroken is the maximum number of broken requests that are kept.
	maxBroken = 256
	// fewSuspects is the number of suspects of a crash up to which each of them is likely to have caused it.
	fewSuspects = 3
)

// Guard withholds requests that crash targets.
type Guard interface {
	// Enter reports whether the target, which has the given version, may run the request now, and whether that is a trial,
	// after which Leave is called.
	Enter(s quarantiner.Signature, version string) (ok, trial bool)
	Leave(s quarantiner.Signature)
	// Answered records that the target, which has the given version, has run the request with success.
	Answered(s quarantiner.Signature, version string)
	// RecordCrash records that an incarnation of the target has ended while it ran the requests. It returns the number of
	// those that are suspect.
	RecordCrash(of quarantiner.Incarnation, began []quarantiner.Run) int
}

// Signature identifies the requests that are the same to a target.
func (j *Job) Signature() quarantiner.Signature {
	if j.signature == nil {
		body, length := j.Request.Body.Buffered, int64(len(j.Request.Body.Buffered))
		if j.Request.Body.Stream != nil {
			body, length = j.Request.Body.Beginning, j.Request.Body.Length
		}
		s := quarantiner.Sign(&quarantiner.Request{
			Method: j.Request.Method, Host: j.Request.Host, URI: j.Request.URI,
			Account: j.Request.Header.Get(platform.AccountHeader), Body: body, BodyLength: length,
		})
		j.signature = &s
	}
	return *j.signature
}

// enter asks the guard whether the target may run the job. leave must be called when the job has ended.
func (e *Executor) enter(job *Job) (leave func(), ok bool) {
	if e.Guard == nil {
		return func() {}, true
	}
	s := job.Signature()
	ok, trial := e.Guard.Enter(s, e.Target().Version)
	if !trial {
		return func() {}, ok
	}
	return func() { e.Guard.Leave(s) }, true
}

// runs holds the requests that were sent to the target's incarnation and not answered.
type runs struct {
	running map[*sentRun]bool
	broken  []*sentRun
	// answeredBegan is when the latest of the requests began that the incarnation has answered.
	answeredBegan time.Time
	// crashed is set once the incarnation is known to have crashed. suspects is then the number of its suspects.
	crashed  bool
	suspects int
	// probing is closed when the probe that is under way has ended.
	probing chan struct{}
}

// sentRun is a request that was sent to the target.
type sentRun struct {
	signature quarantiner.Signature
	requestID string
	// incarnation tells the incarnations of the target apart.
	incarnation string
	began       time.Time
	brokenAt    time.Time
}

// crash is the end of an incarnation.
type crash struct {
	of    quarantiner.Incarnation
	began []quarantiner.Run
}

func (r *runs) reset() { *r = runs{} }

// few reports whether the crash has so few suspects that each of them is likely to have caused it.
func (r *runs) few() bool { return r.suspects > 0 && r.suspects <= fewSuspects }

// incarnation identifies an incarnation in the whole fleet.
func (t *Target) incarnation() string { return t.ID + "@" + strconv.FormatInt(t.StartedAtMs, 10) }

func (e *Executor) beginRun(target *Target, job *Job) *sentRun {
	if e.Guard == nil {
		return nil
	}
	sent := &sentRun{signature: job.Signature(), requestID: requestID(job), incarnation: target.incarnation(), began: time.Now()}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs.running == nil {
		e.runs.running = map[*sentRun]bool{}
	}
	e.runs.running[sent] = true
	return sent
}

// endRun records the end of a run with the answer a, which may have a body that is not read yet.
func (e *Executor) endRun(sent *sentRun, target *Target, a *transporter.Answer) *transporter.Answer {
	if sent == nil {
		return a
	}
	if a.Unknown {
		return e.endLostRun(sent, target, transporter.ErrNoAnswer, a)
	}
	if a.Body.Stream == nil {
		e.endAnswered(sent, target, a)
		return a
	}
	body := &observedBody{Reader: a.Body.Stream}
	a.Body.Stream = body
	closeBody := a.Close
	a.Close = func() {
		closeBody()
		if body.ended {
			e.endAnswered(sent, target, a)
			return
		}
		e.forget(sent)
	}
	return a
}

// observedBody tells whether a body was read to its end.
type observedBody struct {
	io.Reader
	ended bool
}

func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// endAnswered records that a run has ended with a whole answer.
func (e *Executor) endAnswered(sent *sentRun, target *Target, a *transporter.Answer) {
	e.mu.Lock()
	delete(e.runs.running, sent)
	if sent.incarnation == e.target.incarnation() {
		e.runs.answeredBegan = latest(e.runs.answeredBegan, sent.began)
	}
	e.mu.Unlock()
	// A target that fails may answer without having run the request.
	if !a.NotRun && a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices {
		e.Guard.Answered(sent.signature, target.Version)
	}
}

func (e *Executor) forget(sent *sentRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs.running, sent)
}

// endLostRun records that a run has ended without an answer, and finds out whether the target has crashed.
func (e *Executor) endLostRun(sent *sentRun, target *Target, err error, a *transporter.Answer) *transporter.Answer {
	switch {
	case sent == nil:
		return a
	case errors.Is(err, transporter.ErrNotSent):
		e.forget(sent)
		if errors.Is(err, syscall.ECONNREFUSED) {
			e.handleRefused(sent.incarnation)
		}
		return a
	case a.Reason == ReasonAnswerTimeout:
		// A target that crashes may fall silent, which only its next incarnation shows.
		e.recordBroken(sent)
		return a
	}
	e.recordBroken(sent)
	if e.hasCrashed(sent, target) {
		return transporter.UnknownAnswer(ReasonTargetCrashed)
	}
	return a
}

// recordBroken records that a run has ended without an answer.
func (e *Executor) recordBroken(sent *sentRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs.running, sent)
	sent.brokenAt = time.Now()
	e.runs.broken = slices.DeleteFunc(e.runs.broken, func(r *sentRun) bool { return sent.brokenAt.Sub(r.brokenAt) > brokenLife })
	if len(e.runs.broken) < maxBroken && sent.incarnation == e.target.incarnation() {
		e.runs.broken = append(e.runs.broken, sent)
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// hasCrashed reports whether the target has crashed while it ran few requests, among them the given one.
func (e *Executor) hasCrashed(sent *sentRun, target *Target) bool {
	time.Sleep(probeDelay)
	e.mu.Lock()
	current := sent.incarnation == e.target.incarnation()
	if !current || e.runs.crashed || e.runs.answeredBegan.After(sent.brokenAt) {
		defer e.mu.Unlock()
		return current && e.runs.crashed && e.runs.few()
	}
	probing := e.runs.probing
	if probing == nil {
		probing = make(chan struct{})
		e.runs.probing = probing
		e.mu.Unlock()
		e.probe(sent.incarnation, target.Address)
		e.mu.Lock()
		if e.runs.probing == probing {
			e.runs.probing = nil
		}
		close(probing)
	}
	e.mu.Unlock()
	<-probing
	e.mu.Lock()
	defer e.mu.Unlock()
	return sent.incarnation == e.target.incarnation() && e.runs.crashed && e.runs.few()
}

// probe finds out whether the target still accepts connections.
func (e *Executor) probe(incarnation, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if err := e.Pool.Probe(ctx, address); errors.Is(err, syscall.ECONNREFUSED) {
		e.handleRefused(incarnation)
	}
}

// handleRefused records that the target has refused a connection. An incarnation that has not left has then crashed.
func (e *Executor) handleRefused(incarnation string) {
	e.mu.Lock()
	var ended *crash
	if incarnation == e.target.incarnation() {
		ended = e.collectCrash(&e.target)
	}
	e.mu.Unlock()
	if ended != nil {
		e.markUnreachable()
	}
	e.reportCrash(ended)
}

// collectCrash returns the crash of an incarnation with the requests that had begun there, or nil if the incarnation has
// left or its crash is known. Requests that broke before another one began that it has answered are not among them. The
// caller holds the mutex.
func (e *Executor) collectCrash(target *Target) *crash {
	if target.ID == "" || target.Draining || target.Gone || e.runs.crashed {
		return nil
	}
	var sent []*sentRun
	for r := range e.runs.running {
		sent = append(sent, r)
	}
	for _, r := range e.runs.broken {
		if r.brokenAt.After(e.runs.answeredBegan) {
			sent = append(sent, r)
		}
	}
	e.runs.broken = nil
	e.runs.crashed = true
	e.crashedAt = time.Now()
	if len(sent) == 0 {
		return nil
	}
	// The latest are most likely to have caused the crash.
	slices.SortFunc(sent, func(a, b *sentRun) int { return cmp.Compare(b.began.UnixNano(), a.began.UnixNano()) })
	c := &crash{of: quarantiner.Incarnation{ID: target.incarnation(), Service: target.Service, Version: target.Version}}
	for _, r := range sent {
		if r.incarnation == c.of.ID {
			c.began = append(c.began, quarantiner.Run{Signature: r.signature, RequestID: r.requestID})
		}
	}
	return c
}

// reportCrash passes a crash on to the guard.
func (e *Executor) reportCrash(c *crash) {
	if c == nil || e.Guard == nil {
		return
	}
	suspects := e.Guard.RecordCrash(c.of, c.began)
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.of.ID == e.target.incarnation() {
		e.runs.suspects = suspects
	}
}
