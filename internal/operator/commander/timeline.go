package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/plantainwheel/plantainwheel/internal/event/merger"
	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
	"github.com/plantainwheel/plantainwheel/internal/operator/client"
	"github.com/urfave/cli/v3"
)

func timelineCommand(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "merge the events of several nodes into one ordered timeline",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "node", Usage: "URL of a node's operator API; repeat the flag for each node", Required: true},
			&cli.StringFlag{Name: "token", Sources: cli.EnvVars("PLANTAINWHEEL_TOKEN"), Usage: "operator token"},
			&cli.StringFlag{Name: "request", Usage: "only events of the request with this ID, child calls included"},
			&cli.StringFlag{Name: "change", Usage: "only events of the change with this ID"},
			&cli.StringFlag{Name: "kind", Usage: "only events of this kind"},
			&cli.StringFlag{Name: "client-account", Usage: "only events of this client account"},
			&cli.StringFlag{Name: "reason", Usage: "only events with this reason"},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "output format: text, json or html"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			lists := collectEvents(ctx, c, stderr)
			events := merger.Merge(lists, merger.Filter{
				Request: c.String("request"),
				Change:  c.String("change"),
				Kind:    c.String("kind"),
				Account: c.String("client-account"),
				Reason:  c.String("reason"),
			})
			return writeTimeline(stdout, c.String("format"), events)
		},
	}
}

// collectEvents reads the events of each node. If that fails for a node, collectEvents skips the node and reports
// the error on stderr.
func collectEvents(ctx context.Context, c *cli.Command, stderr io.Writer) [][]recorder.Event {
	var lists [][]recorder.Event
	for _, url := range c.StringSlice("node") {
		op := &client.Client{URL: url, Token: c.String("token"), HTTP: http.DefaultClient}
		events, err := op.Events(ctx)
		if err != nil {
			fmt.Fprintf(stderr, "skipping node %s: %v\n", url, err)
			continue
		}
		lists = append(lists, events)
	}
	return lists
}

func writeTimeline(w io.Writer, format string, events []recorder.Event) error {
	switch format {
	case "json":
		return merger.WriteJSON(w, events)
	case "html":
		return merger.WriteHTML(w, events)
	default:
		return merger.WriteText(w, events)
	}
}
