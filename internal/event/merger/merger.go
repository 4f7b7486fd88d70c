// Package merger joins the events of all nodes into one time line.
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

// Filter selects events; empty fields select all.
type Filter struct {
	// Request is the id of a whole request.
	Request string
	// Change is the id of a record.
	Change string
	// Kind, Account and Reason have to be equal.
	Kind    string
	Account string
	Reason  string
}

func (f Filter) selects(e recorder.Event) bool {
	same := func(want, have string) bool { return want == "" || want == have }
	return same(f.Request, e.Request) && same(f.Change, e.Change) && same(f.Kind, string(e.Kind)) &&
		same(f.Account, e.Account) && same(f.Reason, e.Reason)
}

// Merge orders the selected events by their hybrid logical times, so that an effect never comes before
// its cause.
func Merge(lists [][]recorder.Event, f Filter) []recorder.Event {
	all := slices.Concat(lists...)
	all = slices.DeleteFunc(all, func(e recorder.Event) bool { return !f.selects(e) })
	slices.SortStableFunc(all, func(a, b recorder.Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node))
	})
	return all
}

// WriteText prints one line per event.
func WriteText(w io.Writer, events []recorder.Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, line(e)); err != nil {
			return fmt.Errorf("write time line: %w", err)
		}
	}
	return nil
}

func line(e recorder.Event) string {
	text := fmt.Sprintf("%s+%d %-8s %-16s", clock(e), e.Time.Logical, e.Node, e.Kind)
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

func clock(e recorder.Event) string {
	return time.UnixMilli(e.Time.Wall).UTC().Format("15:04:05.000")
}

// WriteJSON prints one JSON object per line.
func WriteJSON(w io.Writer, events []recorder.Event) error {
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return fmt.Errorf("write time line: %w", err)
		}
	}
	return nil
}

var page = template.Must(template.New("time line").Funcs(template.FuncMap{"clock": clock}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>plantainwheel time line</title>
<style>body{font-family:sans-serif}td{padding:.1em .6em;border-bottom:1px solid #ddd;white-space:nowrap}.refused,.stale,.state-lost{background:#fdd}.folded,.proposed{background:#eef}</style>
<h1>Time line</h1><table>
{{range .}}<tr class="{{.Kind}}"><td>{{clock .}}+{{.Time.Logical}}<td>{{.Node}}<td>{{.Kind}}<td>{{.Request}}<td>{{.Change}}<td>{{.Account}}<td>{{.Route}}<td>{{.Reason}}<td>{{.Detail}}</tr>
{{end}}</table></html>
`))

// WriteHTML prints a self-contained page.
func WriteHTML(w io.Writer, events []recorder.Event) error {
	if err := page.Execute(w, events); err != nil {
		return fmt.Errorf("write time line: %w", err)
	}
	return nil
}
