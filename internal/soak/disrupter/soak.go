package disrupter

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/judge"
	"github.com/plantainwheel/plantainwheel/internal/soak/launcher"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	host = "studio.example"
	// open has no limit, bounded sends several times its limit, and the key of changing is withdrawn at times.
	open     = "open"
	bounded  = "bounded"
	changing = "changing"
	// timeout is the time limit of the routes.
	timeout = 1500 * time.Millisecond
	// calmBefore is when the faults begin, calmAfter how long the fleet is left alone at the end, and judgedAfter the
	// last part of it, in which leastServed of the requests must succeed again.
	calmBefore  = 2 * time.Second
	calmAfter   = 9 * time.Second
	judgedAfter = 2 * time.Second
	leastServed = 0.9
	// sendEvery is the pace of each of a node's clients.
	sendEvery = 40 * time.Millisecond
	// readyWithin is how long a fleet may take to serve after its start.
	readyWithin = 10 * time.Second
)

// limits of the client accounts that have one.
var limits = map[string]judge.Limit{bounded: {Rate: 20, Burst: 20}}

// Soak is one seeded run.
type Soak struct {
	Program   string
	Directory string
	Seed      uint64
	Nodes     int
	// Span is the time in which faults begin.
	Span time.Duration

	judge judge.Judge
	fleet *launcher.Fleet

	mu      sync.Mutex
	version int
	// keys holds the present key by client account, formerKey the one of changing before.
	keys      map[string]string
	formerKey string
	broken    []judge.Finding
}

// Result is what a run found.
type Result struct {
	Seed     uint64
	Steps    []Step
	Findings []judge.Finding
	// Served is the share of the requests that succeeded after the faults, of Requests.
	Served   float64
	Requests int
}

// Run carries the soak out.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	s.judge.Bounds = launcher.Bounds()
	s.judge.Limits = limits
	s.keys = map[string]string{open: "key-open", bounded: "key-bounded", changing: "key-changing-0"}
	s.formerKey = s.keys[changing]
	s.fleet = &launcher.Fleet{Program: s.Program, Directory: s.Directory, Nodes: s.Nodes, Judge: &s.judge}
	defer s.fleet.Close()
	if err := s.fleet.Open(); err != nil {
		return Result{}, err
	}
	s.declare()
	if err := s.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	load, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i := range s.Nodes {
		for account := range s.keys {
			clients.Go(func() { s.send(load, i, account) })
		}
	}
	steps := Plan(s.Seed, s.Nodes, s.Span)
	rest(ctx, calmBefore)
	d := &Disrupter{Fleet: s.fleet, Nodes: s.Nodes, Withdraw: s.withdraw, Broke: s.broke}
	d.Run(ctx, steps)
	s.mend()
	rest(ctx, calmAfter)
	stopped := time.Now()
	stop()
	clients.Wait()
	return s.result(steps, stopped), ctx.Err()
}

// rest waits for a time, or until the context ends.
func rest(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// mend starts what overlapping faults have left down.
func (s *Soak) mend() {
	for i := range s.Nodes {
		n := s.fleet.Node(i)
		n.Wake()
		n.LoseAnswers(false)
		for _, err := range []error{n.Start(), n.StartTarget()} {
			if err != nil {
				s.broke("START", err.Error())
			}
		}
	}
}

// result judges the run; stopped is when the last requests were sent.
func (s *Soak) result(steps []Step, stopped time.Time) Result {
	r := Result{Seed: s.Seed, Steps: steps, Findings: append(s.judge.Check(), s.broken...)}
	r.Served, r.Requests = s.judge.Served(stopped.Add(-judgedAfter), stopped)
	if r.Served < leastServed {
		r.Findings = append(r.Findings, judge.Finding{Rule: "RECOVER", Text: fmt.Sprintf("%.2f of %d served after the faults", r.Served, r.Requests)})
	}
	return r
}

func (s *Soak) broke(rule, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, judge.Finding{Rule: rule, Text: text})
}

// declare writes the configuration with the present keys. The caller holds the lock, unless nothing else runs yet.
func (s *Soak) declare() {
	s.version++
	var accounts []string
	for name, key := range s.keys {
		limit := limits[name]
		accounts = append(accounts, fmt.Sprintf(
			`{"resource_kind":"tenants","metadata":{"name":%q},"spec":{"api_keys":[%q],"rate_per_s":%g,"burst_size":%g}}`,
			name, key, limit.Rate, limit.Burst))
	}
	route := `{"resource_kind":"routes","metadata":{"name":%q},"spec":{"hostname":%q,"path_prefix":"/%s/","route_type":%q,"timeout_ms":%d,"slo_ms":1000,"service":"booths","max_attempts":2}}`
	text := fmt.Sprintf(`{"version":"%08x","resources":[%s,%s,%s]}`, s.version,
		fmt.Sprintf(route, "read", host, "read", "idempotent", timeout.Milliseconds()),
		fmt.Sprintf(route, "order", host, "order", "non_idempotent", timeout.Milliseconds()),
		strings.Join(accounts, ","))
	s.fleet.Store.Put(platform.ConfigTopic, platform.ConfigKey, []byte(text))
}

// withdraw replaces the key of one account.
func (s *Soak) withdraw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.formerKey = s.keys[changing]
	s.keys[changing] = fmt.Sprint("key-changing-", s.version)
	s.declare()
	s.judge.Withdrawn(s.formerKey, time.Now())
}

func (s *Soak) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range s.Nodes {
			if s.attempt(ctx, client, i, open, s.keys[open], false) == http.StatusOK {
				ready++
			}
		}
		if ready == s.Nodes {
			return nil
		}
	}
	return fmt.Errorf("the fleet does not serve %s after its start", readyWithin)
}

// send is a client that keeps its connections until they break.
func (s *Soak) send(ctx context.Context, node int, account string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 2 * timeout}
	ticker := time.NewTicker(sendEvery)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			key := s.keys[account]
			if n%4 == 0 && account == changing {
				// Some clients go on with the key that was withdrawn last.
				key = s.formerKey
			}
			s.mu.Unlock()
			running.Go(func() { s.attempt(context.WithoutCancel(ctx), client, node, account, key, n%2 == 0) })
		}
	}
}

// attempt sends one request and returns the status, or 0 where there was none.
func (s *Soak) attempt(ctx context.Context, client *http.Client, node int, account, key string, once bool) int {
	id := fmt.Sprintf("%016x", rand.Uint64())
	path := "/read/"
	if once {
		path = "/order/"
	}
	// A body that cannot be read again keeps the client library from sending it twice.
	body := io.MultiReader(strings.NewReader(id))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.fleet.Node(node).Outbound()+path+id, body)
	if err != nil {
		return 0
	}
	r.ContentLength = int64(len(id))
	r.Host = host
	r.Header.Set(platform.RequestIDHeader, id)
	r.Header.Set(platform.DeadlineHeader, fmt.Sprint(timeout.Milliseconds()))
	r.Header.Set(platform.AuthorizationHeader, platform.KeyPrefix+key)
	s.judge.Sent(judge.Request{ID: id, Account: account, Key: key, Once: once, Stable: account != changing, At: time.Now()})
	answer := judge.Answer{ID: id}
	resp, err := client.Do(r)
	if err == nil {
		answer.Status = resp.StatusCode
		answer.Seal = resp.Header.Get(platform.SignatureHeader)
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		answer.Body = string(raw)
		if err != nil {
			answer.Status = 0
		}
	}
	s.judge.Answered(answer)
	return answer.Status
}
