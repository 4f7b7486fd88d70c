// Command plantainwheel-attendant runs the node that attends a target on a VM of the users' platform. It is a
// program of its own so that the VMs do not hold the tools of operators in memory.
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

// stopSlack is kept of the time between SIGTERM and SIGKILL.
const stopSlack = 900 * time.Millisecond

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	// net/http writes a line for each answer that nobody asked for; the node counts and logs garbled answers.
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
			a.Log.Info().Msg("settings file has changed")
			continue
		}
		break
	}
	a.Stop(cfg.Bounds.Grace - stopSlack)
	return nil
}
