// Package checker checks the documented guarantees against the requests, executions and responses that clients and
// targets observed.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Request is one attempt by a client. Its fields appear by name in findings.
type Request struct {
	ID      string
	Account string
	Key     string
	// Once marks a non-idempotent request, which must run at most once.
	Once bool
	// Crashing marks a request that crashes each target that runs it. All requests with the same text are the same one, and
	// have it as their body.
	Crashing string
	// Stable reports whether the key of the account is valid throughout the soak run.
	Stable bool
	// Node is the index of the node that received the request from the client.
	Node int
	// At is the time the request was sent.
	At time.Time
	// InTouch is set by the checker if the node had not been disturbed for Bounds.Contact.
	InTouch bool
}

// Run is the execution of a request by a target. Its fields appear by name in findings.
type Run struct {
	ID       string
	Instance string
	Account  string
	// Body is the request body that the target received. Clients send the ID of the request as its body, or Crashing.
	Body string
	// At is the time the execution started.
	At time.Time
}

// Response is the response that a client received. Its fields appear by name in findings.
type Response struct {
	ID string
	// Status is 0 if the connection ended without a complete response.
	Status int
	// Seal and Body are the signature and body set by the target in a successful response.
	Seal string
	Body string
}

// Limit is the rate limit of a client account: requests per second and burst size.
type Limit struct {
	Rate  float64
	Burst float64
}

// Bounds are the guaranteed times and the tolerances of the checks.
type Bounds struct {
	// KeyRevocation is how long a revoked key may still be accepted.
	KeyRevocation time.Duration
	// Drain is how long a draining target may still receive requests.
	Drain time.Duration
	// Window is the length of the window in which requests are counted. Excess is the tolerated fraction above the
	// limit, and Slack is the number of requests tolerated in addition.
	Window time.Duration
	Excess float64
	Slack  float64
	// Evacuate is the time from the store's acknowledgement of an evacuation until no request may reach a target of the
	// data centre. EvacuateSkew is added to it if the store was unstable meanwhile.
	Evacuate     time.Duration
	EvacuateSkew time.Duration
	// Contact is the time after which a target's limit must be kept.
	Contact time.Duration
	// ClockError is the tolerated error of the recorded times, which are all taken on one loaded machine.
	ClockError time.Duration
}

// Finding is a violated guarantee.
type Finding struct {
	// Rule is the code of the guarantee, such as TWICE for a non-idempotent request that ran more than once.
	Rule string
	Text string
}

// Checker records the events of a run and checks them. It is safe for concurrent use.
type Checker struct {
	Bounds Bounds
	Limits map[string]Limit

	mu        sync.Mutex
	requests  map[string]Request
	runs      []Run
	responses []Response
	// grantedAt and revokedAt are keyed by API key, drainingSince by target instance.
	grantedAt     map[string]time.Time
	revokedAt     map[string]time.Time
	drainingSince map[string]time.Time
	targets       targetRecords
	crashing      crashingRecords
	evacuations   evacuationRecords
}

// RecordRequest records a request. It is called before the request is sent.
func (c *Checker) RecordRequest(r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == nil {
		c.requests = map[string]Request{}
	}
	r.InTouch = r.At.Sub(c.crashing.disturbedAt[r.Node]) > c.Bounds.Contact
	c.requests[r.ID] = r
}

// RecordRun records that a target starts to execute a request.
func (c *Checker) RecordRun(r Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, r)
}

// RecordResponse records the response that a client received.
func (c *Checker) RecordResponse(resp Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses = append(c.responses, resp)
}

// RecordRevocation records the time at which the store acknowledged the revocation of a key.
func (c *Checker) RecordRevocation(key string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revokedAt == nil {
		c.revokedAt = map[string]time.Time{}
	}
	c.revokedAt[key] = at
}

// RecordGrant records the time at which the store acknowledged a new key.
func (c *Checker) RecordGrant(key string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.grantedAt == nil {
		c.grantedAt = map[string]time.Time{}
	}
	c.grantedAt[key] = at
}

// RecordDrain records the time at which a node acknowledged that a target is draining. Later calls for the
// same target have no effect.
func (c *Checker) RecordDrain(instance string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainingSince == nil {
		c.drainingSince = map[string]time.Time{}
	}
	if _, ok := c.drainingSince[instance]; !ok {
		c.drainingSince[instance] = at
	}
}

// SuccessRatio returns the fraction of the requests sent between from and until that succeeded, and the number of
// those requests. Requests rejected because of a rate limit or a revoked key are not counted.
func (c *Checker) SuccessRatio(from, until time.Time) (ratio float64, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	succeeded := 0
	for _, resp := range c.responses {
		q := c.requests[resp.ID]
		excluded := q.Crashing != "" || resp.Status == 429 || (resp.Status == 401 && !q.Stable)
		if q.At.Before(from) || q.At.After(until) || excluded {
			continue
		}
		n++
		if resp.Status == 200 {
			succeeded++
		}
	}
	return float64(succeeded) / float64(max(n, 1)), n
}

// Check returns the violated guarantees.
func (c *Checker) Check() []Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	var findings []Finding
	runsByID := map[string][]Run{}
	for _, r := range c.runs {
		runsByID[r.ID] = append(runsByID[r.ID], r)
		findings = append(findings, c.checkRun(r)...)
	}
	for id, runs := range runsByID {
		if c.requests[id].Once && len(runs) > 1 {
			findings = append(findings, Finding{"TWICE", fmt.Sprintf("%s ran %d times: %v", id, len(runs), runs)})
		}
	}
	for _, resp := range c.responses {
		findings = append(findings, c.checkResponse(resp, runsByID[resp.ID])...)
	}
	findings = append(findings, c.checkTargets()...)
	findings = append(findings, c.checkCrashing()...)
	findings = append(findings, c.checkEvacuations()...)
	for account, limit := range c.Limits {
		findings = append(findings, c.checkRate(account, limit)...)
	}
	slices.SortFunc(findings, func(a, b Finding) int { return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Text, b.Text)) })
	return findings
}

func (c *Checker) checkRun(r Run) []Finding {
	var findings []Finding
	q, sent := c.requests[r.ID]
	switch {
	case !sent:
		return []Finding{{"UNASKED", fmt.Sprintf("%+v was never sent", r)}}
	case r.Account != q.Account || r.Body != cmp.Or(q.Crashing, q.ID):
		findings = append(findings, Finding{"UNASKED", fmt.Sprintf("%+v was sent as %+v", r, q)})
	}
	if at, ok := c.revokedAt[q.Key]; ok && q.At.Sub(at) > c.Bounds.KeyRevocation+c.Bounds.ClockError {
		findings = append(findings, Finding{"CONFIG", fmt.Sprintf("%s ran, sent %s after its key was revoked", r.ID, q.At.Sub(at))})
	}
	if at, ok := c.drainingSince[r.Instance]; ok && r.At.Sub(at) > c.Bounds.Drain+c.Bounds.ClockError {
		findings = append(findings, Finding{"DRAIN", fmt.Sprintf("%s reached %s %s after it began to drain", r.ID, r.Instance, r.At.Sub(at))})
	}
	return findings
}

func (c *Checker) checkResponse(resp Response, runs []Run) []Finding {
	switch resp.Status {
	case 200:
		if len(runs) == 0 || resp.Body != "done "+resp.ID || resp.Seal != Seal(resp.ID) {
			return []Finding{{"MIXED", fmt.Sprintf("%+v after runs %v", resp, runs)}}
		}
	case 408, 421, 429, 503:
		if c.requests[resp.ID].Once && len(runs) > 0 {
			return []Finding{{"REFUSED", fmt.Sprintf("%s was answered %d and ran: %v", resp.ID, resp.Status, runs)}}
		}
	case 401, 403, 404:
		if q := c.requests[resp.ID]; q.Stable || c.inForce(q) {
			return []Finding{{"DENIED", fmt.Sprintf("%s was answered %d with a valid key", resp.ID, resp.Status)}}
		}
	}
	return nil
}

// revocationMargin is the time after a request was sent within which its key may be revoked before the answer.
const revocationMargin = 3 * time.Second

// inForce reports whether the key of a request had been granted for so long that a node may accept no older
// configuration, and was not revoked before the answer.
func (c *Checker) inForce(q Request) bool {
	granted, ok := c.grantedAt[q.Key]
	if !ok || q.At.Sub(granted) <= c.Bounds.KeyRevocation+c.Bounds.ClockError {
		return false
	}
	revoked, ok := c.revokedAt[q.Key]
	return !ok || revoked.After(q.At.Add(revocationMargin))
}

// Seal returns the signature that the soak's targets set in the response to a request.
func Seal(id string) string { return "seal-" + id }

// checkRate counts, for a window starting at each request, the requests that were both sent and run within the
// window. The documented rate guarantee covers only these requests.
func (c *Checker) checkRate(account string, limit Limit) []Finding {
	allowed := (limit.Rate*c.Bounds.Window.Seconds()+limit.Burst)*(1+c.Bounds.Excess) + c.Bounds.Slack
	var runs []Run
	for _, r := range c.runs {
		if r.Account == account {
			runs = append(runs, r)
		}
	}
	for _, first := range runs {
		from := c.requests[first.ID].At
		n := 0
		for _, r := range runs {
			if !c.requests[r.ID].At.Before(from) && !r.At.After(from.Add(c.Bounds.Window)) {
				n++
			}
		}
		if float64(n) > allowed {
			return []Finding{{"QUOTA", fmt.Sprintf("%s: %d in the window from %s, %.0f allowed", account, n, from, allowed)}}
		}
	}
	return nil
}
