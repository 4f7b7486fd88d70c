package runner

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/phuslu/log"
	callerserver "github.com/plantainwheel/plantainwheel/internal/caller/server"
	"github.com/plantainwheel/plantainwheel/internal/node/follower"
	operatorserver "github.com/plantainwheel/plantainwheel/internal/operator/server"
	"github.com/plantainwheel/plantainwheel/internal/peer/messenger"
	"github.com/plantainwheel/plantainwheel/internal/platform/client"
	"github.com/plantainwheel/plantainwheel/internal/route/verifier"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"github.com/plantainwheel/plantainwheel/internal/target/listener"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	startTimeout      = 15 * time.Second
	// stopMargin is the time allowed for shutdown in addition to the drain time.
	stopMargin = 10 * time.Second
)

// servers holds the node's servers in the order in which they are opened.
type servers struct {
	list []*server
}

type server struct {
	name    string
	address string
	tls     *tls.Config
	http    *http.Server
}

// NewApp returns the fx application that runs a node with the given settings.
func NewApp(cfg loader.Settings, logger *log.Logger) *fx.App {
	gin.SetMode(gin.ReleaseMode)
	uuid.EnableRandPool()
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(cfg.DrainTimeout.Duration+stopMargin),
		fx.Supply(cfg, logger),
		fx.Provide(newLogClient, newTransports, New, newServers),
		fx.Invoke(registerHooks),
	)
}

func newLogClient(cfg loader.Settings) follower.Log {
	return &client.Client{URL: cfg.PlatformURL, Stream: cfg.Stream, HTTP: &http.Client{Transport: verifier.NewTransport(&http.Transport{})}}
}

func newTransports(cfg loader.Settings) (Transports, error) {
	tlsConfig, err := newTLS(cfg)
	return Transports{TLS: tlsConfig}, err
}

func newServers(n *Node, transports Transports) *servers {
	cfg := n.Settings
	caller := &callerserver.Server{Broker: n.Broker, MaxBodyBytes: cfg.MaxBodyBytes}
	target := &listener.Listener{Node: n, Broker: n.Broker, MaxBodyBytes: cfg.MaxBodyBytes}
	peer := &messenger.Server{
		Broker: n.Broker, Gossiper: n.Gossiper, RateLimiter: n.RateLimiter, Deduplicator: n.Deduplicator,
		Events: n.Events, Token: cfg.FleetToken, Clock: time.Now,
	}
	operator := &operatorserver.Server{
		Follower: n.Follower, Roster: n.Roster, Events: n.Events, Token: cfg.OperatorToken, Self: n.self,
	}
	return &servers{list: []*server{
		newServer("metrics", cfg.MetricsListen, n.metricsHandler(), nil),
		newServer("operator", cfg.OperatorListen, operator.Handler(), nil),
		newServer("peer", cfg.PeerListen, peer.Handler(), transports.TLS),
		newServer("target", cfg.TargetListen, target.Handler(), nil),
		newServer("caller", cfg.CallerListen, caller.Handler(), nil),
	}}
}

func newServer(name, address string, handler http.Handler, tlsConfig *tls.Config) *server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &server{name: name, address: address, tls: tlsConfig, http: &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		TLSConfig:         tlsConfig.Clone(),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          discardLogger(),
	}}
}

func (n *Node) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.Metrics.WritePrometheus(w)
		writeProcessMetrics(w)
	})
}

// registerHooks starts and stops the node and its servers with the application.
func registerHooks(lc fx.Lifecycle, n *Node, s *servers) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			n.Start()
			return s.open(n.Log)
		},
		OnStop: func(ctx context.Context) error {
			drainCtx, cancel := context.WithTimeout(ctx, n.Settings.DrainTimeout.Duration)
			defer cancel()
			n.Drain()
			err := s.close(drainCtx, "caller")
			n.Leave(drainCtx)
			err = errors.Join(err, s.close(ctx, "target", "peer", "operator", "metrics"))
			n.Close()
			n.Log.Info().Msg("node stopped")
			return err
		},
	})
}

func (s *servers) open(logger *log.Logger) error {
	for _, v := range s.list {
		if err := v.open(); err != nil {
			return err
		}
		logger.Info().Str("port", v.name).Str("address", v.address).Msg("listening")
	}
	return nil
}

func (v *server) open() error {
	l, err := net.Listen("tcp", v.address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", v.name, err)
	}
	go func() {
		if v.tls != nil {
			_ = v.http.ServeTLS(l, "", "")
			return
		}
		_ = v.http.Serve(l)
	}()
	return nil
}

// close shuts down the named servers and waits for their requests until ctx ends.
func (s *servers) close(ctx context.Context, names ...string) error {
	var errs []error
	for _, v := range s.list {
		if !slices.Contains(names, v.name) {
			continue
		}
		if err := v.http.Shutdown(ctx); err != nil {
			errs = append(errs, v.http.Close())
		}
	}
	return errors.Join(errs...)
}

// NewLogger returns a structured logger that adds the VM's name to each entry.
func NewLogger(w io.Writer, level, vm string) *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(level),
		Context: log.NewContext(nil).Str("vm", vm).Value(),
		Writer:  &log.IOWriter{Writer: w},
	}
}
