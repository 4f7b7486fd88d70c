// Package commander implements the command line of the stand-ins.
package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/standin/platform"
	"github.com/plantainwheel/plantainwheel/internal/standin/target"
	"github.com/urfave/cli/v3"
)

// Main runs the command line and returns the exit status.
func Main(args []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	app := &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins of the systems around plantainwheel",
		Commands: []*cli.Command{platformCommand(), targetCommand()},
	}
	if err := app.Run(ctx, args); err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run an append-only log service; PUT /v1/faults sets its faults",
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7500"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			server := &http.Server{Addr: c.String("listen"), Handler: new(platform.Service).Handler()}
			context.AfterFunc(ctx, func() { _ = server.Close() })
			if err := server.ListenAndServe(); err != http.ErrServerClosed {
				return fmt.Errorf("platform: %w", err)
			}
			return nil
		},
	}
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a target, one instance of a service; PUT /stand-in/faults sets its faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "node", Value: "http://127.0.0.1:7401", Usage: "address of the node beside the target"},
			&cli.IntFlag{Name: "slots", Value: 20},
			&cli.IntFlag{Name: "connections", Value: 200},
			&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond},
			&cli.DurationFlag{Name: "cold-start"},
			&cli.StringSliceFlag{Name: "child", Usage: "path of a child call that each call makes"},
			&cli.IntFlag{Name: "child-retries"},
		},
		Action: runTarget,
	}
}

func runTarget(ctx context.Context, c *cli.Command) error {
	t := &target.Target{
		Config: target.Config{
			Service:      c.String("service"),
			Address:      c.String("listen"),
			NodeURL:      c.String("node"),
			Slots:        c.Int("slots"),
			Connections:  c.Int("connections"),
			ServiceTime:  c.Duration("service-time"),
			ColdStart:    c.Duration("cold-start"),
			ChildPaths:   c.StringSlice("child"),
			ChildRetries: c.Int("child-retries"),
		},
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Int("connections")}},
	}
	if err := t.Start(ctx); err != nil {
		return fmt.Errorf("target: %w", err)
	}
	<-ctx.Done()
	t.Close()
	return nil
}
