package attendant

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/peer/adviser"
	"github.com/plantainwheel/plantainwheel/internal/peer/forwarder"
	"github.com/plantainwheel/plantainwheel/platform"
)

const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than clients and other nodes keep a connection.
	idleTimeout = 60 * time.Second
	// probeEvery finds connections of clients that have gone silent.
	probeEvery  = 5 * time.Second
	closeWithin = 150 * time.Millisecond
	// closePoll is how often a server that closes looks whether requests are still served.
	closePoll  = 10 * time.Millisecond
	closeLooks = 3
	// maxAnnouncement bounds the body of an announcement.
	maxAnnouncement = 64 << 10
	// recordWithin is how long an announcement that the target leaves waits for the store, so that a later
	// process of this node knows of it too. A target takes an answer within a second.
	recordWithin = 500 * time.Millisecond
)

// server is a listening socket.
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

func (s *server) open() error {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: 2}}
	l, err := lc.Listen(context.Background(), "tcp4", s.address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", s.name, err)
	}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// close ends the server: at once where no connection is in use, else when no request is served any more or the
// time is over. Connections without a request are not waited for.
func (s *server) close(busy func() bool, latest time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	if s.http.Shutdown(ctx) == nil {
		return
	}
	// A request whose head is being read does not show yet, so one look is not enough.
	for idle := 0; idle < closeLooks && time.Now().Before(latest); idle++ {
		time.Sleep(closePoll)
		if busy() {
			idle = 0
		}
	}
	_ = s.http.Close()
}

func (a *Attendant) controlListen() string {
	return a.Settings.IP + ":" + strconv.Itoa(a.Settings.ReportPort)
}

func (a *Attendant) newServers() []*server {
	cfg := &a.Settings
	announce := http.NewServeMux()
	announce.HandleFunc("PUT "+platform.AnnouncePath+"{id}", a.announce)
	announce.HandleFunc("DELETE "+platform.AnnouncePath+"{id}", a.depart)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, a.answerReady)
	control := http.NewServeMux()
	control.Handle(adviser.AdviserPathPrefix, (&adviser.Server{Keeper: a.keeper}).Handler())
	list := []*server{
		newServer("metrics", cfg.IP+":"+strconv.Itoa(cfg.MetricsPort), http.HandlerFunc(a.writeMetrics)),
		newServer("control", a.controlListen(), control),
		newServer("announcements", cfg.AnnounceListen, announce),
		newServer("requests of nodes", cfg.InboundListen, &forwarder.Server{Executor: a.executor}),
		newServer("requests of clients", cfg.OutboundListen, a.gateway),
	}
	return append(list, newServer("readiness", cfg.ReadyListen, ready))
}

func (a *Attendant) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	a.Metrics.WritePrometheus(w)
}

func (a *Attendant) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !a.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// announce takes what the target says of itself.
func (a *Attendant) announce(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxAnnouncement))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	said, err := platform.DecodeAnnouncement(r.PathValue("id"), raw)
	if err != nil {
		a.Log.Warn().Err(err).Str("target", r.PathValue("id")).Msg("announcement is not used")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changed, used := a.executor.Announce(said)
	if changed {
		a.Log.Info().Str("target", said.ID).Int64("sequence", said.Sequence).Bool("draining", said.Draining).Msg("target announced")
		a.record(said.Draining)
	}
	if !used {
		a.Log.Info().Str("target", said.ID).Int64("sequence", said.Sequence).Msg("old announcement passed over")
	}
	acknowledge(w)
}

func (a *Attendant) depart(w http.ResponseWriter, r *http.Request) {
	if a.executor.Deregister(r.PathValue("id")) {
		a.Log.Info().Str("target", r.PathValue("id")).Msg("target has left")
		a.record(true)
	}
	acknowledge(w)
}

// record publishes the own record; leaving is a promise, so it is waited for.
func (a *Attendant) record(leaving bool) {
	written := a.publish()
	if !leaving {
		return
	}
	select {
	case <-written:
	case <-time.After(recordWithin):
		a.Log.Warn().Msg("leaving of the target is not in the store yet")
	}
}

func acknowledge(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.Copy(w, strings.NewReader("{}"))
}
