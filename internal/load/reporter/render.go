package reporter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteJSON writes reports as JSON.
func WriteJSON(w io.Writer, reports []Report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(reports); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteTable writes reports as text tables.
func WriteTable(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range reports {
		writeReport(t, r)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func writeReport(t io.Writer, r Report) {
	fmt.Fprintf(t, "%s\n", r.Name)
	fmt.Fprintln(t, "phase at s\toffered/s\tgoodput/s\timportant good\t")
	for _, p := range r.Phases {
		fmt.Fprintf(t, "%.1f\t%.0f\t%.0f\t%.1f%%\t\n", float64(p.AtMS)/1000, p.Offered, p.Goodput, 100*p.ImportantGoodShare)
	}
	fmt.Fprintln(t, "group\tsent\tgood\trefused\tunknown\twrongful\tattempts\tp50 ms\tp99 ms\t")
	for _, list := range [][]Group{r.Importances, r.Accounts} {
		for _, g := range list {
			fmt.Fprintf(t, "%s\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n",
				g.Name, g.Sent, 100*g.GoodShare(), g.Refused, g.Unknown, g.Wrongful, g.Attempts, g.P50MS, g.P99MS)
		}
	}
	fmt.Fprintf(t, "recovery after the surge: %s\n", recoveryText(r.RecoveryMS))
	fmt.Fprintf(t, "worst-served client account within its rate: %s, %.1f%% good\n", r.WorstAccount, 100*r.WorstShare)
	fmt.Fprintf(t, "wrongful refusals: %d of %d within rate\n\n", r.Total.Wrongful, r.Total.WithinRate)
}

func recoveryText(ms int64) string {
	if ms < 0 {
		return "not within the run"
	}
	return fmt.Sprintf("%.2f s", float64(ms)/1000)
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{"recovery": recoveryText}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>plantainwheel load report</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}</style>
<h1>Load report</h1>
{{range .}}<h2>{{.Report.Name}}</h2>{{.Plot}}
<p>Recovery after the surge: {{recovery .Report.RecoveryMS}}. Worst-served client account within its rate: {{.Report.WorstAccount}}, {{printf "%.3f" .Report.WorstShare}}.</p>
<table><tr><th>group<th>sent<th>good<th>refused<th>unknown<th>wrongful<th>attempts<th>p50 ms<th>p99 ms</tr>
{{range .Report.Importances}}{{template "row" .}}{{end}}{{range .Report.Accounts}}{{template "row" .}}{{end}}</table>
{{end}}</html>
{{define "row"}}<tr><td>{{.Name}}<td>{{.Sent}}<td>{{.Good}}<td>{{.Refused}}<td>{{.Unknown}}<td>{{.Wrongful}}<td>{{.Attempts}}<td>{{printf "%.1f" .P50MS}}<td>{{printf "%.1f" .P99MS}}</tr>
{{end}}`))

type section struct {
	Report Report
	Plot   template.HTML
}

// WriteHTML writes reports as one self-contained HTML page with plots.
func WriteHTML(w io.Writer, reports []Report) error {
	var list []section
	for _, r := range reports {
		svg, err := plotSVG(r)
		if err != nil {
			return err
		}
		list = append(list, section{r, svg})
	}
	if err := page.Execute(w, list); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// plotSVG plots the offered load and the goodput over time as SVG.
func plotSVG(r Report) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = "requests/s"
	var offered, good plotter.XYs
	for _, pt := range r.Points {
		x := float64(pt.AtMS) / 1000
		offered = append(offered, plotter.XY{X: x, Y: pt.Offered})
		good = append(good, plotter.XY{X: x, Y: pt.Goodput})
	}
	if err := plotutil.AddLines(p, "offered", offered, "goodput", good); err != nil {
		return "", fmt.Errorf("plot: %w", err)
	}
	to, err := p.WriterTo(16*vg.Centimeter, 8*vg.Centimeter, "svg")
	if err != nil {
		return "", fmt.Errorf("plot: %w", err)
	}
	var b bytes.Buffer
	if _, err := to.WriteTo(&b); err != nil {
		return "", fmt.Errorf("plot: %w", err)
	}
	_, svg, _ := bytes.Cut(b.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(svg)), nil
}
