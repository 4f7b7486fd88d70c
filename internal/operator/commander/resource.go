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
		&cli.StringFlag{Name: "node", Value: "http://127.0.0.1:7403", Usage: "URL of a node's operator API"},
		&cli.StringFlag{Name: "token", Sources: cli.EnvVars("PLANTAINWHEEL_TOKEN"), Usage: "operator token"},
	}, more...)
}

func newClient(c *cli.Command) *client.Client {
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
				r, err := newClient(c).Get(ctx, kind, name)
				if err != nil {
					return err
				}
				return printJSON(stdout, r)
			}
			list, err := newClient(c).List(ctx, kind)
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
		return fmt.Errorf("print JSON: %w", err)
	}
	return nil
}

func applyCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "create or update resources from a file of declarations",
		ArgsUsage: "FILE",
		Flags:     nodeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			list, err := loader.LoadDeclarations(c.Args().First())
			if err != nil {
				return err
			}
			for _, d := range list {
				reply, err := newClient(c).Apply(ctx, d)
				if err != nil {
					return fmt.Errorf("%s %s: %w", d.Kind, d.Name, err)
				}
				fmt.Fprintf(stdout, "%s %s: %s, version %d\n", d.Kind, d.Name, reply.Code, reply.Version)
			}
			return nil
		},
	}
}

func deleteCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "delete a resource",
		ArgsUsage: "KIND NAME",
		Flags:     nodeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			kind, name := reducer.Kind(c.Args().Get(0)), c.Args().Get(1)
			r, err := newClient(c).Get(ctx, kind, name)
			if err != nil {
				return fmt.Errorf("%s %s: %w", kind, name, err)
			}
			reply, err := newClient(c).Delete(ctx, kind, name, r.Version)
			if err != nil {
				return fmt.Errorf("%s %s: %w", kind, name, err)
			}
			fmt.Fprintf(stdout, "%s %s: deleted, %s\n", kind, name, reply.Code)
			return nil
		},
	}
}

func watchCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "print the resources in force and then each change, as JSON lines",
		Flags: nodeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			err := newClient(c).Watch(ctx, stdout)
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
			reply, err := newClient(c).Fence(ctx, c.Args().First())
			if err != nil {
				return err
			}
			fmt.Fprintf(stdout, "%s: %s\n", c.Args().First(), reply.Code)
			return nil
		},
	}
}
