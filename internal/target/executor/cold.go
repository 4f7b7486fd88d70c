package executor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/warmer"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/internal/route/verifier"
	"github.com/plantainwheel/plantainwheel/platform"
)

// healthTimeout is the time limit of a health request. It is shorter than the time between two of them.
const healthTimeout = 400 * time.Millisecond

// ColdTerms are what applies to cold targets of a service.
type ColdTerms struct {
	warmer.Terms
	// HealthPath is the path of health requests, or empty if there are none.
	HealthPath string
}

// MarkPossiblyCold records that the target may have become cold, for example while its data centre was evacuated. It is
// paced until a later announcement or health response states its condition. Targets of a service without a limit for
// cold targets are not affected.
func (e *Executor) MarkPossiblyCold() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateColdTerms(now)
	e.warmer.Doubt(now)
	e.askHealth(now)
}

// RecordAllClosed records that the target has closed all idle connections to the address. It has then probably been
// restarted.
func (e *Executor) RecordAllClosed(address string) {
	if e.Target().Address == address {
		e.MarkPossiblyCold()
	}
}

// recordLostConnection records that a connection to the target failed or broke. A request whose deadline has passed or
// that was cancelled does not show that.
func (e *Executor) recordLostConnection(err error, ctxDone bool) {
	if !ctxDone && !errors.Is(err, transporter.ErrWithheld) {
		e.MarkPossiblyCold()
	}
}

// updateColdTerms applies the terms of the configuration in force to the target.
func (e *Executor) updateColdTerms(now time.Time) {
	if e.ColdTerms == nil || e.target.ID == "" {
		return
	}
	terms := e.ColdTerms(e.target.Service)
	e.healthPath = terms.HealthPath
	e.warmer.SetTerms(now, terms.Terms)
}

// recordAnnouncedWarmUp applies the warm-up of an announcement. It reports whether the target has become cold or warm since
// the announcement before.
func (e *Executor) recordAnnouncedWarmUp(now time.Time, a *platform.Announcement, newIncarnation bool) bool {
	e.updateColdTerms(now)
	e.warmer.Announced(now, a.WarmUp, newIncarnation)
	before := e.announcedCold
	e.announcedCold = e.warmer.Cold(now)
	return e.announcedCold != before
}

func (e *Executor) tickCold(now time.Time) {
	e.updateColdTerms(now)
	e.warmer.Tick(now)
	e.askHealth(now)
}

// askHealth sends a health request if one is due. The caller holds the mutex.
func (e *Executor) askHealth(now time.Time) {
	if reason := e.refusalReason(now, ""); e.healthPath == "" || (reason != "" && reason != ReasonUnreachable) {
		return
	}
	if e.warmer.Ask(now) {
		go e.readHealth(now, e.target, e.healthPath)
	}
}

// readHealth sends a health request to the target and applies its response.
func (e *Executor) readHealth(asked time.Time, target Target, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	r := transporter.Request{Method: http.MethodGet, URI: path, Host: target.Address, Header: http.Header{}}
	// A connection from before the doubt may lead to an earlier incarnation, so a new one is opened.
	resp, _, err := e.Pool.Send(ctx, target.Address, &r, 0)
	if err != nil {
		return
	}
	_, err = transporter.ReadBody(resp.Body, resp.ContentLength)
	_ = resp.Body.Close()
	if err != nil || verifier.CheckHeader(resp) != nil {
		return
	}
	id, warmUp, ok := platform.DecodeHealth(resp.Header)
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	// The response of an incarnation that has not announced itself yet says nothing about the known one.
	if !ok || id != e.target.ID || target.StartedAtMs != e.target.StartedAtMs {
		return
	}
	e.warmer.Answered(now, asked, warmUp)
	e.target.WarmUpEnd = now.Add(warmUp)
	e.unreachableUntil = time.Time{}
	e.startWaiting(now)
}
