package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/plantainwheel/plantainwheel/internal/operator/client"
	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"github.com/urfave/cli/v3"
)

func nodeFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "node", Value: "http://127.0.0.1:7403", Usage: "a node's address for operators"},
		&cli.StringFlag{Name: "token", Sources: cli.EnvVars("PLANTAINWHEEL_TOKEN"), Usage: "operators' credential"},
	}, more...)
}

func operator(c *cli.Command) *client.Client {
	return &client.Client{URL: c.String("node"), Token: c.String("token"), HTTP: http.DefaultClient}
}

func getCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print the resources in force",
		ArgsUsage: "[KIND [NAME]]",
		Flags:     nodeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			kind := reducer.Kind(c.Args().Get(0))
			if name := c.Args().Get(1); name != "" {
				r, err := operator(c).Get(ctx, kind, name)
				if err != nil {
					return err
				}
				return printJSON(stdout, r)
			}
			list, err := operator(c).List(ctx, kind)
			if err != nil {
				return err
			}
			return printJSON(stdout, list)
		},
	}
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func applyCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put the declarations of a file in force",
		ArgsUsage: "FILE",
		Flags:     nodeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			list, err := loader.LoadDeclarations(c.Args().First())
			if err != nil {
				return err
			}
			for _, d := range list {
				v, err := operator(c).Apply(ctx, d)
				if err != nil {
					return fmt.Errorf("%s %s: %w", d.Kind, d.Name, err)
				}
				fmt.Fprintf(stdout, "%s %s: %s, version %d\n", d.Kind, d.Name, v.Code, v.Version)
			}
			return nil
		},
	}
}

func deleteCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "take a resource out of force",
		ArgsUsage: "KIND NAME",
		Flags:     nodeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			kind, name := reducer.Kind(c.Args().Get(0)), c.Args().Get(1)
			r, err := operator(c).Get(ctx, kind, name)
			if err != nil {
				return fmt.Errorf("%s %s: %w", kind, name, err)
			}
			v, err := operator(c).Delete(ctx, kind, name, r.Version)
			if err != nil {
				return fmt.Errorf("%s %s: %w", kind, name, err)
			}
			fmt.Fprintf(stdout, "%s %s: deleted, %s\n", kind, name, v.Code)
			return nil
		},
	}
}

func watchCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "print the resources in force and each change, as JSON lines",
		Flags: nodeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			err := operator(c).Watch(ctx, stdout)
			if ctx.Err() != nil {
				return nil
			}
			return err
		},
	}
}

func fenceCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "fence",
		Usage:     "remove a VM that is known to have stopped for good",
		ArgsUsage: "VM",
		Flags:     nodeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			v, err := operator(c).Fence(ctx, c.Args().First())
			if err != nil {
				return err
			}
			fmt.Fprintf(stdout, "%s: %s\n", c.Args().First(), v.Code)
			return nil
		},
	}
}
