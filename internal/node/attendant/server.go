package attendant

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/acceptor"
	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/peer/adviser"
	"github.com/plantainwheel/plantainwheel/internal/peer/distributor"
	"github.com/plantainwheel/plantainwheel/internal/peer/forwarder"
	"github.com/plantainwheel/plantainwheel/internal/platform/watcher"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"github.com/plantainwheel/plantainwheel/platform"
	"golang.org/x/sys/unix"
)

const (
	// maxHeaderBytes bounds any header limit that an operator sets.
	maxHeaderBytes = 1 << 20
	// defaultHeaderBytes and defaultHeaderTimeout apply where the operator's limits are not known.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than the time for which clients and other nodes keep an idle connection.
	idleTimeout = 60 * time.Second
	// keepAliveInterval is the interval of the TCP keep-alive probes that detect lost clients.
	keepAliveInterval = 5 * time.Second
	// sendBytes is the size of the kernel's send buffer of a connection, which would otherwise grow to several MB for each
	// download that the caller reads slowly.
	sendBytes = 256 << 10
	// shutdownPollInterval is the interval at which a closing server checks for requests in flight.
	shutdownPollInterval = 10 * time.Millisecond
	// newConnGrace is the age up to which a closing server waits for the first request of a connection. A client on
	// a busy machine may take that long from its connect to its request.
	newConnGrace = 500 * time.Millisecond
	// maxAcceptDelay bounds the wait of a closing server for the moment at which all established connections are accepted.
	// There may be none while clients keep connecting.
	maxAcceptDelay = 200 * time.Millisecond
	// maxAnnouncementBytes is the maximum size of an announcement's body.
	maxAnnouncementBytes = 64 << 10
	// maxControlBytes is the maximum size of the body of a control call, maxControlHeaderBytes that of its header, and
	// controlTimeout the maximum time to read either.
	maxControlBytes       = 64 << 10
	maxControlHeaderBytes = 16 << 10
	controlTimeout        = 5 * time.Second
	// controlCloseTime is how long a closing server waits for control calls. Other nodes wait for records of the store in
	// calls that take seconds, and a stop must not wait for them.
	controlCloseTime = 150 * time.Millisecond
	// recordTimeout is how long the answer to a leaving target is delayed until the departure is stored, so that a
	// later process of this node also knows of the departure. A target waits up to a second for the answer.
	recordTimeout = 500 * time.Millisecond
)

// server is an HTTP server on one listening socket.
type server struct {
	name    string
	address string
	http    *http.Server
	// acceptor bounds what the clients take up, and receiveBytes is the size of the kernel's receive buffer of a connection, or
	// 0 for its default.
	acceptor     *acceptor.Acceptor
	receiveBytes int
	// listener is the listening socket, and accepted is closed when no further connection of it is accepted.
	listener net.Listener
	accepted chan struct{}
	// maxCloseTime, if not 0, bounds how long a closing server waits for its connections.
	maxCloseTime time.Duration
	// lastRequests is set once each connection is to be closed after its next answer. closed is set once no request begins any
	// more.
	lastRequests, closed atomic.Bool

	mu sync.Mutex
	// conns holds the connections that are not idle: the time of its acceptance for one without a request yet, and zero for
	// one whose request is not completely answered.
	conns map[net.Conn]time.Time
}

func newServer(name, address string, h http.Handler) *server {
	s := &server{name: name, address: address, accepted: make(chan struct{}), conns: map[net.Conn]time.Time{}}
	s.acceptor = &acceptor.Acceptor{
		MaxConns: math.MaxInt32, MaxBytes: math.MaxInt64, Limits: defaultLimits, Refuse: refuse,
		BufferedBytes: func() int64 { return transporter.MaxBufferedBytes },
	}
	s.http = &http.Server{
		Handler:        s.acceptor.Handler(s.whileOpen(h)),
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       stdlog.New(io.Discard, "", 0),
		ConnState:      s.recordState,
		ConnContext:    s.acceptor.ConnContext,
	}
	return s
}

// defaultLimits returns the limits where those of the operator are not known.
func defaultLimits() acceptor.Limits {
	return acceptor.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: idleTimeout}
}

// controlLimits returns the limits on control calls.
func controlLimits() acceptor.Limits {
	return acceptor.Limits{HeaderBytes: maxControlHeaderBytes, HeaderTimeout: controlTimeout, IdleTimeout: idleTimeout}
}

// refuse answers a control call for which there is no room.
func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// whileOpen serves requests with h until the server closes its connections. A request that is read only then is given up
// before anything is done for it.
func (s *server) whileOpen(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closed.Load() {
			panic(http.ErrAbortHandler)
		}
		if s.lastRequests.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// recordState records that the connection has changed its state.
func (s *server) recordState(c net.Conn, state http.ConnState) {
	s.acceptor.RecordState(c, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = time.Now()
	case http.StateActive:
		s.conns[c] = time.Time{}
	default:
		delete(s.conns, c)
	}
}

// inUse reports whether a request is not completely answered yet or the first one of a connection is to be expected.
func (s *server) inUse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, acceptedAt := range s.conns {
		if acceptedAt.IsZero() || time.Since(acceptedAt) < newConnGrace {
			return true
		}
	}
	return false
}

// newControlServer returns a server for small requests, which bounds their size and the time to read them.
func newControlServer(name, address string, h http.Handler) *server {
	s := newServer(name, address, http.MaxBytesHandler(h, maxControlBytes))
	s.acceptor.Limits = controlLimits
	s.maxCloseTime = controlCloseTime
	return s
}

func (s *server) open() error {
	lc := net.ListenConfig{Control: s.setBuffers, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2}}
	l, err := lc.Listen(context.Background(), "tcp4", s.address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", s.name, err)
	}
	s.serve(l)
	return nil
}

func (s *server) serve(l net.Listener) {
	s.listener = l
	go func() {
		defer close(s.accepted)
		_ = s.http.Serve(s.acceptor.Listener(l))
	}()
}

// setBuffers bounds the kernel's buffers of each accepted connection, which inherits them.
func (s *server) setBuffers(_, _ string, c syscall.RawConn) error {
	var sendErr, receiveErr error
	err := c.Control(func(fd uintptr) {
		sendErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBytes)
		if s.receiveBytes > 0 {
			receiveErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, s.receiveBytes)
		}
	})
	return errors.Join(err, sendErr, receiveErr)
}

// close shuts the server down when none of its connections is in use or the deadline has passed. Idle connections do not
// delay it, and those that have never had a request only up to newConnGrace.
//
// It doesn't call Shutdown of net/http, after which a request whose header is read only then gets no answer: on a busy
// machine, clients lost requests on connections that had been accepted before. Nor does it close idle connections before
// the others, because a request that has just been read on one of them would be passed on and then get no answer.
func (s *server) close(deadline time.Time) {
	if s.listener != nil {
		for start := time.Now(); unaccepted(s.listener) > 0 && time.Since(start) < maxAcceptDelay; {
			time.Sleep(time.Millisecond)
		}
		_ = s.listener.Close()
		<-s.accepted
	}
	s.lastRequests.Store(true)
	if limit := time.Now().Add(s.maxCloseTime); s.maxCloseTime > 0 && limit.Before(deadline) {
		deadline = limit
	}
	s.waitUnused(deadline)
	s.closed.Store(true)
	// Requests that began before are waited for. Those read after that don't begin.
	s.waitUnused(deadline)
	_ = s.http.Close()
}

// waitUnused waits until the server is not in use, at most until the deadline.
func (s *server) waitUnused(deadline time.Time) {
	for s.inUse() && time.Now().Before(deadline) {
		time.Sleep(shutdownPollInterval)
	}
}

// unaccepted returns the number of connections that clients have established but the process has not accepted yet. The
// kernel resets them when the listening socket is closed.
func unaccepted(l net.Listener) int {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) {
		// Of a listening socket, this field is the length of the accept queue.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int(info.Unacked)
		}
	})
	return n
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
	peers := newServer("peer requests", cfg.InboundListen, &forwarder.Server{Executor: a.executor, Process: a.reporter.Started})
	peers.acceptor.Limits, peers.acceptor.Refuse = a.peerLimits, refusePeer
	callers := newServer("client requests", cfg.OutboundListen, a.gateway)
	callers.acceptor.Limits, callers.acceptor.Refuse, callers.acceptor.BufferedBytes = a.callerLimits, a.refuseCaller, a.gateway.BufferedBytes
	return []*server{
		a.boundServer(newControlServer("metrics", cfg.IP+":"+strconv.Itoa(cfg.MetricsPort), figures), smallShare),
		a.boundServer(newControlServer("control", a.controlAddress(), control), controlShare),
		a.boundServer(newControlServer("announcements", cfg.AnnounceListen, announce), smallShare),
		a.boundServer(peers, peerShare),
		a.boundServer(callers, callerShare),
		a.boundServer(newControlServer("readiness", cfg.ReadyListen, ready), smallShare),
	}
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
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
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
	id, known := r.PathValue("id"), a.executor.Target().ID
	if a.executor.Deregister(id) {
		a.Log.Info().Str("target", id).Bool("known", known == id).Msg("target deregistered")
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
