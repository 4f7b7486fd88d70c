// Command plantainwheel-attendant runs the node beside a target on a VM of the platform. It is a separate program so
// that the operator tools do not take up memory on the VMs.
package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/attendant"
	"github.com/plantainwheel/plantainwheel/platform"
)

// stopMargin is how long before the platform's SIGKILL the graceful shutdown must be finished.
const stopMargin = 900 * time.Millisecond

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	// net/http logs a line for each unsolicited response on an idle connection. The node itself counts and logs
	// malformed responses.
	log.SetOutput(io.Discard)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	cfg, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	a := &attendant.Attendant{Settings: cfg, Log: attendant.NewLogger(os.Stdout, cfg.Node)}
	a.Build()
	if err := a.Start(); err != nil {
		return err
	}
	for s := range signals {
		if s == syscall.SIGHUP {
			a.Log.Info().Msg("received SIGHUP: settings are not reloaded; changes take effect after a restart")
			continue
		}
		break
	}
	a.Stop(cfg.Bounds.Grace - stopMargin)
	return nil
}
