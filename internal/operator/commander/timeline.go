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
		Usage: "merge the events of all nodes into one ordered page",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "node", Usage: "a node's address for operators; repeat it for each node", Required: true},
			&cli.StringFlag{Name: "token", Sources: cli.EnvVars("PLANTAINWHEEL_TOKEN"), Usage: "operators' credential"},
			&cli.StringFlag{Name: "request", Usage: "follow one whole request"},
			&cli.StringFlag{Name: "change", Usage: "follow one change"},
			&cli.StringFlag{Name: "kind", Usage: "only events of a kind"},
			&cli.StringFlag{Name: "client-account", Usage: "only events of a client account"},
			&cli.StringFlag{Name: "reason", Usage: "only events with a reason"},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text, json or html"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			lists := collect(ctx, c, stderr)
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

// collect asks each node; one that does not answer is named and left out.
func collect(ctx context.Context, c *cli.Command, stderr io.Writer) [][]recorder.Event {
	var lists [][]recorder.Event
	for _, url := range c.StringSlice("node") {
		op := &client.Client{URL: url, Token: c.String("token"), HTTP: http.DefaultClient}
		events, err := op.Events(ctx)
		if err != nil {
			fmt.Fprintf(stderr, "%s is left out: %v\n", url, err)
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
