// Package commander implements the command line of plantainwheel.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/plantainwheel/plantainwheel/internal/node/runner"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"github.com/urfave/cli/v3"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	// exitInvalid is the status for an invalid settings file, declarations file or load plan, and for a check that could
	// not be made.
	exitInvalid = 2
)

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	app := &cli.Command{
		Name:      "plantainwheel",
		Usage:     "overload control for service call graphs",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands: []*cli.Command{
			nodeCommand(stderr), checkCommand(stdout),
			getCommand(stdout), applyCommand(stdout), deleteCommand(stdout), watchCommand(stdout), fenceCommand(stdout),
			demoCommand(stdout), loadCommand(stdout), timelineCommand(stdout, stderr),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := app.Run(ctx, args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, loader.ErrInvalid), errors.Is(err, errUnusable):
		fmt.Fprintln(stderr, err)
		return exitInvalid
	default:
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
}

func nodeCommand(stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run the node of this VM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file; by default, the node listens on loopback"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := loadSettings(c.String("settings"))
			if err != nil {
				return err
			}
			return runNode(ctx, cfg, stderr)
		},
	}
}

func loadSettings(path string) (loader.Settings, error) {
	if path == "" {
		return loader.Default(), nil
	}
	return loader.Load(path)
}

func runNode(ctx context.Context, cfg loader.Settings, stderr io.Writer) error {
	app := runner.NewApp(cfg, runner.NewLogger(stderr, cfg.LogLevel, cfg.VM))
	if err := app.Err(); err != nil {
		return fmt.Errorf("node: %w", err)
	}
	startCtx, cancel := context.WithTimeout(ctx, app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	return nil
}
