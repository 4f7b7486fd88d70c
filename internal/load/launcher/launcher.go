// Package launcher runs a whole fleet in one process over loopback sockets: nodes with a stand-in
// platform and stand-in targets.
package launcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/runner"
	"github.com/plantainwheel/plantainwheel/internal/node/waiter"
	"github.com/plantainwheel/plantainwheel/internal/operator/client"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"github.com/plantainwheel/plantainwheel/internal/standin/platform"
	"github.com/plantainwheel/plantainwheel/internal/standin/target"
	"go.uber.org/fx"
)

// ErrNotReady reports that the fleet was not ready within readyTimeout.
var ErrNotReady = errors.New("fleet is not ready")

const (
	callerPort        = 7400
	targetPort        = 7401
	peerPort          = 7402
	operatorPort      = 7403
	metricsPort       = 7404
	servicePort       = 7410
	platformPort      = 7500
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
	stopTimeout       = 10 * time.Second
)

// Service describes the targets of one service.
type Service struct {
	Name        string
	Targets     int
	Slots       int
	Connections int
	ServiceTime time.Duration
	// ChildPaths are the paths of the child calls made by each call.
	ChildPaths []string
	// ChildRetries is how often a target itself retries a failed child call.
	ChildRetries int
}

// Spec describes a fleet.
type Spec struct {
	// Prefix is the first three octets of the loopback addresses, such as 127.30.1.
	Prefix       string
	DataCentres  []string
	Services     []Service
	Declarations []loader.Declaration
	// Control enables overload control on the nodes.
	Control bool
	// ModifySettings modifies the settings of each node before the node starts. If nil, they stay unchanged.
	ModifySettings func(*loader.Settings)
}

// VM is one VM with its node and its target.
type VM struct {
	Name    string
	Address string
	Target  *target.Target

	app *fx.App
}

// URL returns the URL of a port on the VM.
func (v *VM) URL(port int) string { return fmt.Sprintf("http://%s:%d", v.Address, port) }

// Fleet is a running fleet.
type Fleet struct {
	Platform *platform.Service
	VMs      []*VM

	spec   Spec
	server *http.Server
}

// Start starts the platform and a node and a target per VM, applies the declarations and waits until
// the fleet is ready.
func Start(ctx context.Context, spec Spec) (*Fleet, error) {
	f := &Fleet{Platform: new(platform.Service), spec: spec}
	f.server = &http.Server{Addr: f.platformAddress(), Handler: f.Platform.Handler()}
	go func() { _ = f.server.ListenAndServe() }()
	for _, s := range spec.Services {
		for range s.Targets {
			if err := f.addVM(ctx, s); err != nil {
				f.Close()
				return nil, err
			}
		}
	}
	if err := f.prepare(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) platformAddress() string {
	return fmt.Sprintf("%s.250:%d", f.spec.Prefix, platformPort)
}

func (f *Fleet) addVM(ctx context.Context, s Service) error {
	n := len(f.VMs) + 1
	v := &VM{Name: fmt.Sprintf("vm-%d", n), Address: fmt.Sprintf("%s.%d", f.spec.Prefix, n)}
	cfg := f.settings(v, f.spec.DataCentres[(n-1)%len(f.spec.DataCentres)])
	v.app = runner.NewApp(cfg, runner.NewLogger(io.Discard, "error", v.Name))
	if err := v.app.Start(ctx); err != nil {
		return fmt.Errorf("start %s: %w", v.Name, err)
	}
	f.VMs = append(f.VMs, v)
	v.Target = &target.Target{
		Config: target.Config{
			Service:      s.Name,
			Address:      fmt.Sprintf("%s:%d", v.Address, servicePort),
			NodeURL:      v.URL(targetPort),
			Slots:        s.Slots,
			Connections:  s.Connections,
			ServiceTime:  s.ServiceTime,
			ChildPaths:   s.ChildPaths,
			ChildRetries: s.ChildRetries,
		},
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Connections}},
	}
	return v.Target.Start(ctx)
}

func (f *Fleet) settings(v *VM, dataCentre string) loader.Settings {
	cfg := loader.Default()
	cfg.VM = v.Name
	cfg.DataCentre = dataCentre
	cfg.CallerListen = fmt.Sprintf("%s:%d", v.Address, callerPort)
	cfg.TargetListen = fmt.Sprintf("%s:%d", v.Address, targetPort)
	cfg.PeerListen = fmt.Sprintf("%s:%d", v.Address, peerPort)
	cfg.OperatorListen = fmt.Sprintf("%s:%d", v.Address, operatorPort)
	cfg.MetricsListen = fmt.Sprintf("%s:%d", v.Address, metricsPort)
	cfg.PlatformURL = "http://" + f.platformAddress()
	cfg.OverloadControl = f.spec.Control
	if f.spec.ModifySettings != nil {
		f.spec.ModifySettings(&cfg)
	}
	return cfg
}

// prepare applies the declarations, retrying until the nodes have joined and accept them, and then waits
// until all rate slots are open.
func (f *Fleet) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range f.spec.Declarations {
		if err := f.apply(ctx, d); err != nil {
			return err
		}
	}
	slots := 0
	for ctx.Err() == nil {
		slots = f.openRateSlots(ctx)
		if slots == rateSlots {
			return nil
		}
		waiter.Sleep(ctx, readyPollInterval)
	}
	return fmt.Errorf("%w: %d rate slots are open", ErrNotReady, slots)
}

func (f *Fleet) apply(ctx context.Context, d loader.Declaration) error {
	c := &client.Client{URL: f.VMs[0].URL(operatorPort), HTTP: http.DefaultClient}
	for {
		_, err := c.Apply(ctx, d)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %s %s: %w", ErrNotReady, d.Kind, d.Name, err)
		}
		waiter.Sleep(ctx, readyPollInterval)
	}
}

// CallerURLs returns the URLs on which the nodes accept requests from callers.
func (f *Fleet) CallerURLs() []string { return f.urls(callerPort) }

// MetricsURLs returns the URLs of the nodes' metrics.
func (f *Fleet) MetricsURLs() []string { return f.urls(metricsPort) }

func (f *Fleet) urls(port int) []string {
	var list []string
	for _, v := range f.VMs {
		list = append(list, v.URL(port))
	}
	return list
}

// Targets returns the targets of a service.
func (f *Fleet) Targets(service string) []*target.Target {
	var list []*target.Target
	for _, v := range f.VMs {
		if v.Target.Config.Service == service {
			list = append(list, v.Target)
		}
	}
	return list
}

// StopNode stops the node of one VM gracefully. It does nothing if there is no VM with the name.
func (f *Fleet) StopNode(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, v := range f.VMs {
		if v.Name == name {
			return v.app.Stop(ctx)
		}
	}
	return nil
}

// Close stops all nodes and targets, waits for them, and stops the platform.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, v := range f.VMs {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			_ = v.app.Stop(ctx)
			if v.Target != nil {
				v.Target.Close()
			}
		})
	}
	wg.Wait()
	_ = f.server.Close()
}
