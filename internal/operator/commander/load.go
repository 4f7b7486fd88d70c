package commander

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/plantainwheel/plantainwheel/internal/load/demonstrator"
	"github.com/plantainwheel/plantainwheel/internal/load/generator"
	"github.com/plantainwheel/plantainwheel/internal/load/reporter"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"github.com/urfave/cli/v3"
)

func reportFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
		&cli.StringFlag{Name: "html", Usage: "also write the report as an HTML page to this file"},
	}, more...)
}

func writeReports(c *cli.Command, stdout io.Writer, reports []reporter.Report) error {
	if path := c.String("html"); path != "" {
		if err := writeHTMLFile(path, reports); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return reporter.WriteJSON(stdout, reports)
	}
	return reporter.WriteTable(stdout, reports)
}

func writeHTMLFile(path string, reports []reporter.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write HTML report: %w", err)
	}
	if err := reporter.WriteHTML(f, reports); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func demoCommand(stdout io.Writer) *cli.Command {
	def := demonstrator.Default()
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet through a load surge, with and without overload control",
		Flags: reportFlags(
			&cli.FloatFlag{Name: "factor", Value: def.SurgeFactor, Usage: "surge as a multiple of the base rate"},
			&cli.FloatFlag{Name: "base", Value: def.BaseRate, Usage: "base rate in requests per second"},
			&cli.FloatFlag{Name: "slow", Usage: "multiply the service time of the deepest service by this factor during the surge"},
			&cli.BoolFlag{Name: "control-only", Usage: "skip the run without overload control"},
			&cli.StringFlag{Name: "prefix", Value: def.Prefix, Usage: "first three octets of the loopback addresses"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			d := def
			d.SurgeFactor = c.Float("factor")
			d.BaseRate = c.Float("base")
			d.SlowFactor = c.Float("slow")
			d.Prefix = c.String("prefix")
			d.ControlOnly = c.Bool("control-only")
			reports, err := d.Run(ctx)
			if err != nil {
				return err
			}
			return writeReports(c, stdout, reports)
		},
	}
}

func loadCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send the load of a plan to running nodes and report goodput, recovery and wrongful refusals",
		ArgsUsage: "PLAN",
		Flags:     reportFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			var plan generator.Plan
			path := c.Args().First()
			if err := loader.DecodeFile(path, &plan); err != nil {
				return err
			}
			if err := plan.Validate(); err != nil {
				return fmt.Errorf("%w: %s: %w", loader.ErrInvalid, path, err)
			}
			g := &generator.Generator{Plan: plan, Client: generator.NewClient(1000)}
			results, err := g.Run(ctx)
			if err != nil {
				return err
			}
			return writeReports(c, stdout, []reporter.Report{reporter.Summarize(path, plan, results)})
		},
	}
}
