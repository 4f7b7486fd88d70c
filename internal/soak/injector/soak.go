package injector

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/checker"
	"github.com/plantainwheel/plantainwheel/internal/soak/launcher"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	host = "studio.example"
	// unlimitedAccount has no rate limit, limitedAccount sends several times its limit, and the key of rotatingAccount
	// is revoked at times.
	unlimitedAccount = "open"
	limitedAccount   = "bounded"
	rotatingAccount  = "changing"
	// routeTimeout is the timeout of the routes.
	routeTimeout = 1500 * time.Millisecond
	// warmUpTime is the time before the first fault and recoveryTime the time without faults at the end. At least
	// minSuccessRatio of the requests sent in the last evaluationTime of recoveryTime must succeed.
	warmUpTime      = 2 * time.Second
	recoveryTime    = 9 * time.Second
	evaluationTime  = 2 * time.Second
	minSuccessRatio = 0.9
	// sendInterval is the time between two requests of a client. Each node has one client per client account.
	sendInterval = 40 * time.Millisecond
	// recentKeys is the number of the latest revoked keys that are tried more often than the others.
	recentKeys = 3
	// startupTimeout is the maximum time until all nodes of a started fleet serve requests.
	startupTimeout = 10 * time.Second
)

// accountLimits holds the rate limits by client account. Accounts without an entry have none.
var accountLimits = map[string]checker.Limit{limitedAccount: {Rate: 20, Burst: 20}}

// Soak is one run of the soak test with a given seed.
type Soak struct {
	// Program is the path of the node program. Directory receives the settings and output of the nodes.
	Program   string
	Directory string
	Seed      uint64
	Nodes     int
	// FaultPeriod is the period in which faults begin.
	FaultPeriod time.Duration
	// Kinds are the kinds of faults that the plan draws from.
	Kinds []Kind

	checker checker.Checker
	fleet   *launcher.Fleet

	mu      sync.Mutex
	version int
	// keys holds the current key by client account, revokedKeys the previous keys of rotatingAccount.
	keys        map[string]string
	revokedKeys []string
	reported    []checker.Finding
}

// Result is the outcome of a run. It is written as JSON, so its field names are part of the output.
type Result struct {
	Seed     uint64
	Steps    []Step
	Findings []checker.Finding
	// Served is the fraction of the Requests sent in the evaluation time that succeeded.
	Served   float64
	Requests int
	// LongestPause is the longest time for which this process did not run. The clients, the targets, the store and the
	// operator are in it, so that findings right after a pause of seconds may be its own.
	LongestPause time.Duration
}

// Run starts the fleet, injects the planned faults under load and checks the guarantees.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	s.checker.Bounds = launcher.Bounds()
	s.checker.Limits = accountLimits
	s.keys = map[string]string{unlimitedAccount: "key-open", limitedAccount: "key-bounded", rotatingAccount: "key-changing-0"}
	s.revokedKeys = []string{"key-never-granted"}
	s.fleet = &launcher.Fleet{Program: s.Program, Directory: s.Directory, Nodes: s.Nodes, Checker: &s.checker}
	defer s.fleet.Close()
	if err := s.fleet.Open(); err != nil {
		return Result{}, err
	}
	s.writeConfig()
	if err := s.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i := range s.Nodes {
		for account := range s.keys {
			clients.Go(func() { s.runClient(loadCtx, i, account) })
		}
	}
	var pause time.Duration
	clients.Go(func() { pause = longestPause(loadCtx) })
	steps := Plan(s.Seed, s.Nodes, s.FaultPeriod, s.Kinds)
	sleep(ctx, warmUpTime)
	inj := &Injector{
		Fleet: s.fleet, Nodes: s.Nodes, RevokeKey: s.revokeKey, SendCrashing: s.sendCrashing, Report: s.report, Disturbed: s.checker.RecordDisturbance,
		Evacuated: s.checker.RecordEvacuation, Unstable: s.checker.RecordUnstableStore,
	}
	inj.Run(ctx, steps)
	s.restore()
	sleep(ctx, recoveryTime)
	loadEnd := time.Now()
	stopLoad()
	clients.Wait()
	r := s.result(steps, loadEnd)
	r.LongestPause = pause
	return r, ctx.Err()
}

// pauseInterval is the interval at which longestPause checks whether the process runs.
const pauseInterval = 20 * time.Millisecond

// longestPause returns the longest time for which the process did not run until ctx is done.
func longestPause(ctx context.Context) time.Duration {
	longest, last := time.Duration(0), time.Now()
	for ctx.Err() == nil {
		sleep(ctx, pauseInterval)
		now := time.Now()
		longest = max(longest, now.Sub(last)-pauseInterval)
		last = now
	}
	return longest
}

// sleep waits for the duration or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// restore ends the faults that overlapping steps have left in place: it resumes frozen nodes, stops the dropping of
// responses and starts stopped nodes and targets.
func (s *Soak) restore() {
	for i := range s.Nodes {
		n := s.fleet.Node(i)
		n.Resume()
		n.DropResponses(false)
		n.LimitTarget(0)
		for _, err := range []error{n.Start(), n.StartTarget()} {
			if err != nil {
				s.report("START", err.Error())
			}
		}
	}
}

// result checks the run. loadEnd is the time at which the load was stopped.
func (s *Soak) result(steps []Step, loadEnd time.Time) Result {
	r := Result{Seed: s.Seed, Steps: steps, Findings: append(s.checker.Check(), s.reported...)}
	r.Served, r.Requests = s.checker.SuccessRatio(loadEnd.Add(-evaluationTime), loadEnd)
	if r.Served < minSuccessRatio {
		r.Findings = append(r.Findings, checker.Finding{Rule: "RECOVER", Text: fmt.Sprintf("%.2f of %d requests succeeded after the faults", r.Served, r.Requests)})
	}
	return r
}

func (s *Soak) report(rule, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported = append(s.reported, checker.Finding{Rule: rule, Text: text})
}

// writeConfig writes the configuration with the current keys. The caller holds mu, unless no other goroutine has been
// started yet.
func (s *Soak) writeConfig() {
	s.version++
	var accounts []string
	for name, key := range s.keys {
		limit := accountLimits[name]
		accounts = append(accounts, fmt.Sprintf(
			`{"resource_kind":"tenants","metadata":{"name":%q},"spec":{"api_keys":[%q],"rate_per_s":%g,"burst_size":%g}}`,
			name, key, limit.Rate, limit.Burst))
	}
	route := `{"resource_kind":"routes","metadata":{"name":%q},"spec":{"hostname":%q,"path_prefix":"/%s/","route_type":%q,"timeout_ms":%d,"slo_ms":1000,"service":"booths","max_attempts":2}}`
	text := fmt.Sprintf(`{"version":"%08x","resources":[%s,%s,%s]}`, s.version,
		fmt.Sprintf(route, "read", host, "read", "idempotent", routeTimeout.Milliseconds()),
		fmt.Sprintf(route, "order", host, "order", "non_idempotent", routeTimeout.Milliseconds()),
		strings.Join(accounts, ","))
	s.fleet.Store.Put(platform.ConfigTopic, platform.ConfigKey, []byte(text))
}

// revokeKey replaces the key of rotatingAccount.
func (s *Soak) revokeKey() {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.keys[rotatingAccount]
	s.keys[rotatingAccount] = fmt.Sprint("key-changing-", s.version)
	s.writeConfig()
	now := time.Now()
	s.revokedKeys = append(s.revokedKeys, previous)
	s.checker.RecordRevocation(previous, now)
	s.checker.RecordGrant(s.keys[rotatingAccount], now)
}

func (s *Soak) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startupTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range s.Nodes {
			if s.sendRequest(ctx, client, i, unlimitedAccount, s.keys[unlimitedAccount], false) == http.StatusOK {
				ready++
			}
		}
		if ready == s.Nodes {
			return nil
		}
	}
	return fmt.Errorf("fleet not ready within %s of its start", startupTimeout)
}

// runClient sends requests of one client account to a node until ctx is done. It keeps its connections alive.
func (s *Soak) runClient(ctx context.Context, node int, account string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 2 * routeTimeout}
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			key := s.keys[account]
			if n%4 == 0 && account == rotatingAccount {
				// A quarter of the requests use a revoked key: one of the latest and any of them by turns.
				recent := s.revokedKeys
				if n%8 == 0 {
					recent = recent[max(len(recent)-recentKeys, 0):]
				}
				key = recent[rand.IntN(len(recent))]
			}
			s.mu.Unlock()
			wg.Go(func() { s.sendRequest(context.WithoutCancel(ctx), client, node, account, key, n%2 == 0) })
		}
	}
}

// sendRequest sends one request and returns its status, or 0 if there was no complete response.
func (s *Soak) sendRequest(ctx context.Context, client *http.Client, node int, account, key string, nonIdempotent bool) int {
	id := newID()
	path := "/read/"
	if nonIdempotent {
		path = "/order/"
	}
	return s.send(ctx, client, path+id, id, checker.Request{ID: id, Account: account, Key: key, Once: nonIdempotent, Stable: account != rotatingAccount, Node: node})
}

// sendCrashing sends a request that crashes its target.
func (s *Soak) sendCrashing(node int, request string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * routeTimeout}
	s.mu.Lock()
	key := s.keys[unlimitedAccount]
	s.mu.Unlock()
	s.send(context.Background(), client, "/read/"+request, request, checker.Request{
		ID: newID(), Account: unlimitedAccount, Key: key, Stable: true, Node: node, Crashing: request,
	})
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends and records a request.
func (s *Soak) send(ctx context.Context, client *http.Client, path, text string, q checker.Request) int {
	// A body that cannot be rewound keeps the HTTP client from resending the request on its own.
	body := io.MultiReader(strings.NewReader(text))
	node := q.Node
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.fleet.Node(node).Outbound()+path, body)
	if err != nil {
		return 0
	}
	r.ContentLength = int64(len(text))
	r.Host = host
	r.Header.Set(platform.RequestIDHeader, q.ID)
	r.Header.Set(platform.DeadlineHeader, fmt.Sprint(routeTimeout.Milliseconds()))
	r.Header.Set(platform.AuthorizationHeader, platform.BearerPrefix+q.Key)
	q.At = time.Now()
	s.checker.RecordRequest(q)
	response := checker.Response{ID: q.ID}
	resp, err := client.Do(r)
	if err == nil {
		response.Status = resp.StatusCode
		response.Seal = resp.Header.Get(platform.SignatureHeader)
		s.checker.RecordTold(node, resp.Header.Get(launcher.InstanceHeader), resp.Header.Get(platform.LimitHeader) != "",
			resp.Header.Get(platform.LeavingHeader) != "", time.Now())
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		response.Body = string(raw)
		if err != nil {
			response.Status = 0
		}
	}
	s.checker.RecordResponse(response)
	return response.Status
}
