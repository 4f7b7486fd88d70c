// Package demonstrator compares a fleet with and without overload control under a load surge.
package demonstrator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/load/generator"
	"github.com/plantainwheel/plantainwheel/internal/load/launcher"
	"github.com/plantainwheel/plantainwheel/internal/load/reporter"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
)

// Demonstrator runs the comparison.
type Demonstrator struct {
	// Prefix is the first three octets of the loopback addresses.
	Prefix string
	// SurgeFactor is the rate during the surge, as a multiple of BaseRate.
	SurgeFactor float64
	// BaseRate is the rate before and after the surge, in requests per second.
	BaseRate float64
	// Before, Surge and After are the durations of the phases.
	Before, Surge, After time.Duration
	// ControlOnly skips the run without overload control.
	ControlOnly bool
	// SlowFactor multiplies the service time of the stock service, which the orders service calls, during the
	// surge. 0 leaves it unchanged.
	SlowFactor float64
}

// Default returns a demonstration that takes well under a minute.
func Default() Demonstrator {
	return Demonstrator{
		Prefix:      "127.30.1",
		SurgeFactor: 10,
		BaseRate:    300,
		Before:      4 * time.Second,
		Surge:       5 * time.Second,
		After:       5 * time.Second,
	}
}

const (
	serviceTime    = 20 * time.Millisecond
	orderSlots     = 10
	stockSlots     = 8
	requestTimeout = 800 * time.Millisecond
	// uncontrolledRetries is how often a target retries a failed child call in the run without overload
	// control, where nothing else limits the retries of targets and callers.
	uncontrolledRetries = 2
	maxAttempts         = 4
	backoff             = 20 * time.Millisecond
)

// Run runs the fleet with overload control and then without it.
func (d Demonstrator) Run(ctx context.Context) ([]reporter.Report, error) {
	var reports []reporter.Report
	modes := []bool{true, false}
	if d.ControlOnly {
		modes = modes[:1]
	}
	for _, control := range modes {
		r, err := d.RunOne(ctx, control)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}

// RunOne runs the fleet once, with or without overload control.
func (d Demonstrator) RunOne(ctx context.Context, control bool) (reporter.Report, error) {
	fleet, err := launcher.Start(ctx, d.spec(control))
	if err != nil {
		return reporter.Report{}, fmt.Errorf("demo: %w", err)
	}
	defer fleet.Close()
	plan := d.plan(fleet)
	g := &generator.Generator{Plan: plan, Client: generator.NewClient(1000)}
	results, err := g.Run(ctx)
	if err != nil {
		return reporter.Report{}, fmt.Errorf("demo: %w", err)
	}
	name := "without control"
	if control {
		name = "with control"
	}
	return reporter.Summarize(name, plan, results), nil
}

func (d Demonstrator) spec(control bool) launcher.Spec {
	retries := 0
	if !control {
		retries = uncontrolledRetries
	}
	return launcher.Spec{
		Prefix:      d.Prefix,
		DataCentres: []string{"bogota-1", "bogota-2", "bogota-3"},
		Services: []launcher.Service{
			{
				Name: "orders", Targets: 3, Slots: orderSlots, Connections: 800,
				ServiceTime: serviceTime, ChildPaths: []string{"/stock/7"}, ChildRetries: retries,
			},
			{Name: "stock", Targets: 4, Slots: stockSlots, Connections: 600, ServiceTime: serviceTime},
		},
		Declarations: d.declarations(),
		Control:      control,
	}
}

// clientAccount is a client account of the demonstration.
type clientAccount struct {
	name string
	// share is the account's fraction of all requests.
	share float64
	// rateFactor is the account's rate as a multiple of the base rate.
	rateFactor float64
}

// clientAccounts holds a few large client accounts and some small ones.
var clientAccounts = []clientAccount{
	{"andes", 0.45, 3},
	{"bazar", 0.25, 2},
	{"casa", 0.2, 2},
	{"dalia", 0.06, 1},
	{"elena", 0.04, 1},
}

func (d Demonstrator) declarations() []loader.Declaration {
	list := []loader.Declaration{
		newDeclaration(reducer.KindService, "orders", reducer.Service{Slots: orderSlots, Connections: 800}),
		newDeclaration(reducer.KindService, "stock", reducer.Service{Slots: stockSlots, Connections: 600}),
		newDeclaration(reducer.KindRoute, "order", reducer.Route{
			Service: "orders", Method: "POST", Path: "/orders", Importance: reducer.Critical, TimeoutMS: 800,
		}),
		newDeclaration(reducer.KindRoute, "stock", reducer.Route{
			Service: "stock", Method: "GET", Path: "/stock", Idempotent: true, Importance: reducer.Normal, TimeoutMS: 800,
		}),
		newDeclaration(reducer.KindRoute, "browse", reducer.Route{
			Service: "stock", Method: "GET", Path: "/patterns", Idempotent: true, Importance: reducer.Low, TimeoutMS: 800,
		}),
	}
	for _, c := range clientAccounts {
		sum := sha256.Sum256([]byte("key-" + c.name))
		account := reducer.Account{Rate: d.BaseRate * c.rateFactor, Burst: int(d.BaseRate * c.rateFactor)}
		list = append(list,
			newDeclaration(reducer.KindAccount, c.name, account),
			newDeclaration(reducer.KindKey, c.name+"-1", reducer.Key{Account: c.name, Hash: hex.EncodeToString(sum[:])}))
	}
	return list
}

func newDeclaration(kind reducer.Kind, name string, spec any) loader.Declaration {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return loader.Declaration{Kind: kind, Name: name, Spec: data}
}

func (d Demonstrator) plan(fleet *launcher.Fleet) generator.Plan {
	plan := generator.Plan{
		Entries:  fleet.CallerURLs(),
		Duration: loader.Duration{Duration: d.Before + d.Surge + d.After},
		Seed:     1,
		Phases: []generator.Phase{
			{Rate: d.BaseRate},
			{At: loader.Duration{Duration: d.Before}, Rate: d.BaseRate * d.SurgeFactor, Surge: true},
			{At: loader.Duration{Duration: d.Before + d.Surge}, Rate: d.BaseRate},
		},
	}
	for _, c := range clientAccounts {
		plan.Rates = append(plan.Rates, generator.AccountRate{
			Account: c.name, Rate: d.BaseRate * c.rateFactor, Burst: int(d.BaseRate * c.rateFactor),
		})
		plan.Classes = append(plan.Classes, classes(c)...)
	}
	if d.SlowFactor > 0 {
		plan.Faults = d.slowdownFaults(fleet)
	}
	return plan
}

func classes(c clientAccount) []generator.Class {
	class := func(name, method, path, importance string, share float64) generator.Class {
		return generator.Class{
			Name: name, Method: method, Path: path, Importance: importance, Share: c.share * share,
			Account: c.name, Key: "key-" + c.name, WithIdempotencyKey: method == "POST",
			Timeout: loader.Duration{Duration: requestTimeout}, MaxAttempts: maxAttempts,
			Backoff: loader.Duration{Duration: backoff},
		}
	}
	return []generator.Class{
		class("order", "POST", "/orders", "critical", 0.1),
		class("stock", "GET", "/stock/1", "normal", 0.4),
		class("browse", "GET", "/patterns", "low", 0.5),
	}
}

// slowdownFaults returns the faults that slow down the stock service during the surge.
func (d Demonstrator) slowdownFaults(fleet *launcher.Fleet) []generator.Fault {
	var list []generator.Fault
	appendFaults := func(at time.Duration, factor float64) {
		for _, t := range fleet.Targets("stock") {
			list = append(list, generator.Fault{
				At:   loader.Duration{Duration: at},
				URL:  "http://" + t.Config.Address + "/stand-in/faults",
				Body: fmt.Sprintf(`{"slow-factor":%v}`, factor),
			})
		}
	}
	appendFaults(d.Before, d.SlowFactor)
	appendFaults(d.Before+d.Surge, 1)
	return list
}
