package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/setting/checker"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"github.com/urfave/cli/v3"
)

// errUnusable reports that a check could not be made.
var errUnusable = errors.New("check not possible")

func checkCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate a settings file, or with --declarations, --node or --json a file of declarations",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "declarations"},
			&cli.StringFlag{Name: "node", Usage: "URL of the operator API of a node, to compare with the resources in force"},
			&cli.StringFlag{Name: "token", Sources: cli.EnvVars("PLANTAINWHEEL_TOKEN"), Usage: "operator token"},
			&cli.BoolFlag{Name: "json", Usage: "print findings and differences as JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.Args().First()
			if c.Bool("declarations") || c.Bool("json") || c.IsSet("node") {
				return checkDeclarations(ctx, c, path, stdout)
			}
			if _, err := loader.Load(path); err != nil {
				return err
			}
			fmt.Fprintf(stdout, "%s: valid\n", path)
			return nil
		},
	}
}

func checkDeclarations(ctx context.Context, c *cli.Command, path string, stdout io.Writer) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnusable, err)
	}
	var inForce []reducer.Resource
	if c.IsSet("node") {
		if inForce, err = newClient(c).List(ctx, ""); err != nil {
			return fmt.Errorf("%w: %w", errUnusable, err)
		}
	}
	report := checker.Check(data, inForce, c.IsSet("node"), time.Now())
	if c.Bool("json") {
		err = printJSON(stdout, report)
	} else {
		printReport(stdout, path, report)
	}
	if err != nil {
		return err
	}
	if n := len(report.Findings); n > 0 {
		return fmt.Errorf("%s: findings: %d", path, n)
	}
	return nil
}

func printReport(w io.Writer, path string, report checker.Report) {
	for _, f := range report.Findings {
		subject := ""
		if f.Kind != "" || f.Name != "" {
			subject = fmt.Sprintf("%s %s: ", f.Kind, f.Name)
		}
		fmt.Fprintf(w, "%s:%d:%d: %s%s\n", path, f.Line, f.Column, subject, f.Message)
	}
	for _, d := range report.Differences {
		fmt.Fprintf(w, "%s %s %s%s\n", d.Change, d.Kind, d.Name, describe(d.Fields))
	}
	if len(report.Findings) == 0 {
		fmt.Fprintf(w, "%s: valid\n", path)
	}
}

func describe(fields []checker.FieldChange) string {
	var list []string
	for _, f := range fields {
		if f.Old == "" && f.New == "" {
			list = append(list, f.Field)
			continue
		}
		list = append(list, fmt.Sprintf("%s %s to %s", f.Field, orUnset(f.Old), orUnset(f.New)))
	}
	if len(list) == 0 {
		return ""
	}
	return ": " + strings.Join(list, ", ")
}

func orUnset(value string) string {
	if value == "" {
		return "unset"
	}
	return value
}
