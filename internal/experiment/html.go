package experiment

import (
	"html/template"
	"io"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
)

func vgDraw(canvas vg.CanvasSizer) vgdraw.Canvas { return vgdraw.New(canvas) }

// page is the data of the report's template.
type page struct {
	Report
	Rows    []Compared
	Figures []figure
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>jay-load experiment</title>
<style>
body{font:14px system-ui,sans-serif;margin:2em;max-width:1500px}
table{border-collapse:collapse;font-variant-numeric:tabular-nums}
td,th{padding:2px 8px;text-align:right;border-bottom:1px solid #ddd}
th{position:sticky;top:0;background:#fff}
td.t{text-align:left}
figure{display:inline-block;margin:0 1em 1em 0}
svg{max-width:100%;height:auto}
</style></head><body>
<h1>jay-load experiment</h1>
<p>Seed {{.Seed}}. Rate that the least-load policy can serve:{{range $mix, $rate := .LeastLoadRate}} {{$mix}}: {{printf "%.1f" $rate}} calls/s;{{end}}
times to first token are counted from when a call was due. LL is the least-load policy, full the ask-all policy.</p>
{{range .Figures}}<figure>{{.SVG}}</figure>{{end}}
<table><tr><th>mix</th><th>load</th><th>entries</th><th>fault</th><th>policy</th><th>calls</th><th>not served</th>
<th>hit rate</th><th>bound</th><th>/LL</th><th>/full</th><th>wasted</th><th>/LL</th><th>p50 ms</th><th>p99 ms</th><th>/LL</th><th>/full</th>
<th>in time</th><th>messages</th><th>bytes</th><th>hit before</th><th>after</th></tr>
{{range .Rows}}<tr><td class="t">{{.MixName}}</td><td>{{printf "%.2f" .Share}}</td><td>{{.Entries}}</td><td class="t">{{.Fault}}</td><td class="t">{{.Policy}}</td>
<td>{{.Calls}}</td><td>{{.NotServed}}</td><td>{{printf "%.3f" .HitRate}}</td><td>{{printf "%.3f" .Bound}}</td>
<td>{{printf "%.2f" .HitOverLeastLoad}}</td><td>{{printf "%.2f" .HitOverFull}}</td><td>{{printf "%.3f" .Wasted}}</td><td>{{printf "%.2f" .WastedOverLeastLoad}}</td>
<td>{{printf "%.0f" .FirstToken.P50}}</td><td>{{printf "%.0f" .FirstToken.P99}}</td><td>{{printf "%.2f" .P99OverLeastLoad}}</td><td>{{printf "%.2f" .P99OverFull}}</td>
<td>{{printf "%.3f" .InTime}}</td><td>{{printf "%.1f" .Messages}}</td><td>{{printf "%.0f" .Bytes}}</td>
<td>{{printf "%.3f" .Before}}</td><td>{{printf "%.3f" .After}}</td></tr>
{{end}}</table></body></html>
`))

// NotServed returns the number of calls without a complete answer.
func (c Compared) NotServed() int { return c.Calls - c.Served }

// WriteHTML writes the report as one self-contained HTML page.
func (r Report) WriteHTML(w io.Writer) error {
	figures, err := r.figures()
	if err != nil {
		return err
	}
	return eris.Wrap(pageTemplate.Execute(w, page{Report: r, Rows: r.Compare(), Figures: figures}), "write report")
}

func (r Report) figures() ([]figure, error) {
	type cell struct {
		mix     string
		entries int
		fault   Fault
	}
	var cells []cell
	for _, result := range r.Results {
		c := cell{result.MixName, result.Entries, result.Fault}
		if result.Greedy == 0 && !slices.Contains(cells, c) {
			cells = append(cells, c)
		}
	}
	var figures []figure
	add := func(f figure, err error) error {
		figures = append(figures, f)
		return err
	}
	for _, c := range cells {
		if c.fault != FaultNone {
			if err := add(r.overTime(c.fault, c.mix)); err != nil {
				return nil, err
			}
			continue
		}
		name := c.mix + ", " + plural(c.entries)
		if err := add(r.overLoad(c.mix, c.entries, name, "hit rate by tokens", func(x Result) float64 { return x.HitRate })); err != nil {
			return nil, err
		}
		if err := add(r.overLoad(c.mix, c.entries, name, "p99 to first token, ms", func(x Result) float64 { return x.FirstToken.P99 })); err != nil {
			return nil, err
		}
	}
	return figures, nil
}
