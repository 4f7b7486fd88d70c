// Command plantainwheel-soak runs a fleet of nodes as processes on loopback, injects faults derived from a seed, and
// checks the documented guarantees against what clients and targets observe. It exits with status 1 if a guarantee was
// violated.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/soak/injector"
	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:  "plantainwheel-soak",
		Usage: "inject faults into a fleet of nodes and check its guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "path of plantainwheel-attendant", Value: "target/plantainwheel-attendant"},
			&cli.StringFlag{Name: "directory", Usage: "directory for the settings and output of each seed", Value: "target/soak"},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed; 0 selects a random one"},
			&cli.IntFlag{Name: "runs", Usage: "number of seeds, run one after the other", Value: 1},
			&cli.IntFlag{Name: "nodes", Usage: "number of nodes", Value: 5},
			&cli.BoolFlag{Name: "base-kinds", Usage: "draw faults only from the kinds of the recorded seeds"},
			&cli.StringSliceFlag{Name: "kind", Usage: "draw faults only from this kind; may be given several times"},
			&cli.DurationFlag{Name: "span", Usage: "period during which new faults are injected", Value: 20 * time.Second},
		},
		Action: run,
	}
	// Cancelling the context on a signal also stops the nodes.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	seed := c.Uint64("seed")
	if seed == 0 {
		seed = rand.Uint64() >> 16
	}
	failedSeeds := 0
	for i := range c.Int("runs") {
		findings, err := runSeed(ctx, c, seed+uint64(i))
		if err != nil {
			return err
		}
		failedSeeds += min(findings, 1)
	}
	if failedSeeds > 0 {
		return fmt.Errorf("%d of %d seeds violated a guarantee", failedSeeds, c.Int("runs"))
	}
	return nil
}

// runSeed runs the soak test with one seed, prints the result as a line of JSON and returns the number of findings.
func runSeed(ctx context.Context, c *cli.Command, seed uint64) (int, error) {
	directory := fmt.Sprintf("%s/%d", c.String("directory"), seed)
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return 0, err
	}
	s := &injector.Soak{
		Program: c.String("program"), Directory: directory, Seed: seed, Nodes: c.Int("nodes"), FaultPeriod: c.Duration("span"),
		Kinds: kinds(c),
	}
	result, err := s.Run(ctx)
	if err != nil {
		return 0, fmt.Errorf("seed %d: %w", seed, err)
	}
	line, err := json.Marshal(result)
	if err != nil {
		return 0, err
	}
	fmt.Println(string(line))
	return len(result.Findings), nil
}

// kinds returns the kinds of faults to draw from.
func kinds(c *cli.Command) []injector.Kind {
	var list []injector.Kind
	for _, name := range c.StringSlice("kind") {
		list = append(list, injector.Kind(name))
	}
	switch {
	case len(list) > 0:
		return list
	case c.Bool("base-kinds"):
		return injector.BaseKinds
	default:
		return injector.PresentKinds
	}
}
