// Package merger merges the events of all nodes into one timeline.
package merger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/event/recorder"
)

// Filter selects events. An empty field matches every event.
type Filter struct {
	// Request is the root ID of a request.
	Request string
	// Change is the ID of a log record.
	Change string
	// Kind, Account and Reason must match exactly.
	Kind    string
	Account string
	Reason  string
}

func (f Filter) matches(e recorder.Event) bool {
	accepts := func(want, have string) bool { return want == "" || want == have }
	return accepts(f.Request, e.Request) && accepts(f.Change, e.Change) && accepts(f.Kind, string(e.Kind)) &&
		accepts(f.Account, e.Account) && accepts(f.Reason, e.Reason)
}

// Merge returns the events that match the filter, ordered by hybrid logical time. In this order, an effect
// never precedes its cause.
func Merge(lists [][]recorder.Event, f Filter) []recorder.Event {
	all := slices.Concat(lists...)
	all = slices.DeleteFunc(all, func(e recorder.Event) bool { return !f.matches(e) })
	slices.SortStableFunc(all, func(a, b recorder.Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node))
	})
	return all
}

// WriteText writes one line of text per event.
func WriteText(w io.Writer, events []recorder.Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, formatLine(e)); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}

func formatLine(e recorder.Event) string {
	text := fmt.Sprintf("%s+%d %-8s %-16s", formatWallTime(e), e.Time.Logical, e.Node, e.Kind)
	for _, part := range [][2]string{
		{"request", e.Request},
		{"change", e.Change},
		{"client-account", e.Account},
		{"route", e.Route},
		{"reason", e.Reason},
		{"detail", e.Detail},
	} {
		if part[1] != "" {
			text += fmt.Sprintf(" %s=%q", part[0], part[1])
		}
	}
	return text
}

func formatWallTime(e recorder.Event) string {
	return time.UnixMilli(e.Time.Wall).UTC().Format("15:04:05.000")
}

// WriteJSON writes one JSON object per line.
func WriteJSON(w io.Writer, events []recorder.Event) error {
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}

var timelinePage = template.Must(template.New("timeline").Funcs(template.FuncMap{"clock": formatWallTime}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>plantainwheel timeline</title>
<style>body{font-family:sans-serif}td{padding:.1em .6em;border-bottom:1px solid #ddd;white-space:nowrap}.refused,.stale,.state-lost{background:#fdd}.folded,.proposed{background:#eef}</style>
<h1>Timeline</h1><table>
{{range .}}<tr class="{{.Kind}}"><td>{{clock .}}+{{.Time.Logical}}<td>{{.Node}}<td>{{.Kind}}<td>{{.Request}}<td>{{.Change}}<td>{{.Account}}<td>{{.Route}}<td>{{.Reason}}<td>{{.Detail}}</tr>
{{end}}</table></html>
`))

// WriteHTML writes a self-contained HTML page.
func WriteHTML(w io.Writer, events []recorder.Event) error {
	if err := timelinePage.Execute(w, events); err != nil {
		return fmt.Errorf("write timeline: %w", err)
	}
	return nil
}
