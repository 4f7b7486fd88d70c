package attendant

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/peer/adviser"
	"github.com/plantainwheel/plantainwheel/internal/peer/distributor"
	"github.com/plantainwheel/plantainwheel/internal/peer/forwarder"
	"github.com/plantainwheel/plantainwheel/internal/platform/watcher"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than the time for which clients and other nodes keep an idle connection.
	idleTimeout = 60 * time.Second
	// keepAliveInterval is the interval of the TCP keep-alive probes that detect lost clients.
	keepAliveInterval = 5 * time.Second
	shutdownTimeout   = 150 * time.Millisecond
	// shutdownPollInterval is the interval at which a closing server checks for requests in flight.
	shutdownPollInterval = 10 * time.Millisecond
	shutdownIdlePolls    = 3
	// maxAnnouncementBytes is the maximum size of an announcement's body.
	maxAnnouncementBytes = 64 << 10
	// maxControlBytes is the maximum size of the body of a control call, and controlTimeout the maximum time to read it.
	maxControlBytes = 64 << 10
	controlTimeout  = 5 * time.Second
	// recordTimeout is how long the answer to a leaving target is delayed until the departure is stored, so that a
	// later process of this node also knows of the departure. A target waits up to a second for the answer.
	recordTimeout = 500 * time.Millisecond
)

// server is an HTTP server on one listening socket.
type server struct {
	name    string
	address string
	http    *http.Server
}

func newServer(name, address string, h http.Handler) *server {
	return &server{name: name, address: address, http: &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
	}}
}

// newControlServer returns a server for small requests, which bounds their size and the time to read them.
func newControlServer(name, address string, h http.Handler) *server {
	s := newServer(name, address, http.MaxBytesHandler(h, maxControlBytes))
	s.http.ReadTimeout = controlTimeout
	return s
}

func (s *server) open() error {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2}}
	l, err := lc.Listen(context.Background(), "tcp4", s.address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", s.name, err)
	}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// close shuts the server down at once if no connection is in use, and otherwise when no request is in flight or
// the deadline has passed. Idle connections do not delay it.
func (s *server) close(busy func() bool, deadline time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) == nil {
		return
	}
	// busy does not count a request whose header is still being read, so a single idle check is not enough.
	for idle := 0; idle < shutdownIdlePolls && time.Now().Before(deadline); idle++ {
		time.Sleep(shutdownPollInterval)
		if busy() {
			idle = 0
		}
	}
	_ = s.http.Close()
}

func (a *Attendant) controlAddress() string {
	return a.Settings.IP + ":" + strconv.Itoa(a.Settings.ReportPort)
}

func (a *Attendant) newServers() []*server {
	cfg := &a.Settings
	announce := http.NewServeMux()
	announce.HandleFunc("PUT "+platform.AnnouncePath+"{id}", a.handleAnnounce)
	announce.HandleFunc("DELETE "+platform.AnnouncePath+"{id}", a.handleDeregister)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, a.handleReady)
	control := http.NewServeMux()
	control.Handle(adviser.AdviserPathPrefix, (&adviser.Server{Keeper: a.keeper, Evacuations: a.evacuations}).Handler())
	control.Handle(distributor.DistributorPathPrefix, (&distributor.Server{Copy: a.copy, Topics: watcher.Topics}).Handler())
	figures := http.NewServeMux()
	figures.HandleFunc("/", a.writeMetrics)
	figures.HandleFunc("GET "+quarantinePath, a.writeQuarantine)
	list := []*server{
		newControlServer("metrics", cfg.IP+":"+strconv.Itoa(cfg.MetricsPort), figures),
		newControlServer("control", a.controlAddress(), control),
		newControlServer("announcements", cfg.AnnounceListen, announce),
		newServer("peer requests", cfg.InboundListen, &forwarder.Server{Executor: a.executor, Process: a.reporter.Started}),
		newServer("client requests", cfg.OutboundListen, a.gateway),
	}
	return append(list, newControlServer("readiness", cfg.ReadyListen, ready))
}

func (a *Attendant) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	a.Metrics.WritePrometheus(w)
}

// quarantinePath is the path at which the metrics server lists the quarantined requests.
const quarantinePath = "/quarantine"

// quarantinedRequest describes a quarantined request to an operator.
type quarantinedRequest struct {
	Signature string           `json:"signature"`
	Crashes   []describedCrash `json:"crashes"`
}

type describedCrash struct {
	Target  string    `json:"target"`
	Node    string    `json:"node"`
	Service string    `json:"service"`
	Version string    `json:"version,omitempty"`
	At      time.Time `json:"at"`
}

// writeQuarantine lists the quarantined requests with the crashes that they are not cleared of.
func (a *Attendant) writeQuarantine(w http.ResponseWriter, _ *http.Request) {
	now, wall := timekeeper.SinceBoot(), time.Now()
	list := []quarantinedRequest{}
	for _, e := range a.isolator.Entries() {
		q := quarantinedRequest{Signature: e.Signature.String()}
		for _, c := range e.Crashes {
			q.Crashes = append(q.Crashes, describedCrash{Target: c.ID, Node: c.Node, Service: c.Service, Version: c.Version, At: wall.Add(c.At - now)})
		}
		list = append(list, q)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (a *Attendant) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !a.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handleAnnounce handles an announcement of the target.
func (a *Attendant) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxAnnouncementBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	announcement, err := platform.DecodeAnnouncement(r.PathValue("id"), raw)
	if err != nil {
		a.Log.Warn().Err(err).Str("target", r.PathValue("id")).Msg("invalid announcement rejected")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changed, accepted := a.executor.Announce(announcement)
	if changed {
		a.Log.Info().Str("target", announcement.ID).Int64("sequence", announcement.Sequence).Bool("draining", announcement.Draining).Msg("target announced")
		a.publishTarget(announcement.Draining)
	}
	if !accepted {
		a.Log.Info().Str("target", announcement.ID).Int64("sequence", announcement.Sequence).Msg("outdated announcement ignored")
	}
	acknowledge(w)
}

// handleDeregister handles the deregistration of the target.
func (a *Attendant) handleDeregister(w http.ResponseWriter, r *http.Request) {
	if a.executor.Deregister(r.PathValue("id")) {
		a.Log.Info().Str("target", r.PathValue("id")).Msg("target deregistered")
		a.publishTarget(true)
	}
	acknowledge(w)
}

// publishTarget publishes this node's member record. If the target is leaving, publishTarget waits up to
// recordTimeout until the record is stored, because a departure must survive a restart of the node.
func (a *Attendant) publishTarget(leaving bool) {
	written := a.publish()
	if !leaving {
		return
	}
	select {
	case <-written:
	case <-time.After(recordTimeout):
		a.Log.Warn().Msg("target departure not stored within the time limit")
	}
}

func acknowledge(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.Copy(w, strings.NewReader("{}"))
}
