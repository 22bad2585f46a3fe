package experiment

import (
	"bytes"
	"html/template"
	"image/color"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 17 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	lineWidth  = 1.4
)

// figure is one plot of the report.
type figure struct {
	Title string
	SVG   template.HTML
}

// line is one policy's points.
type line struct {
	name   string
	points plotter.XYs
}

func draw(title, x, y string, lines []line) (figure, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.BackgroundColor = color.White
	p.Legend.Top, p.Legend.Left = false, false
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		drawn, points, err := plotter.NewLinePoints(l.points)
		if err != nil {
			return figure{}, eris.Wrapf(err, "plot %s", title)
		}
		drawn.Color, drawn.Width = plotutil.Color(i), vg.Points(lineWidth)
		drawn.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
		points.Color, points.Shape = drawn.Color, plotutil.Shape(i)
		p.Add(drawn, points)
		p.Legend.Add(l.name, drawn, points)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(vgDraw(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return figure{}, eris.Wrapf(err, "write plot %s", title)
	}
	// Drops the XML declaration, which must not occur inside an HTML page.
	text := svg.Bytes()
	text = text[max(0, bytes.Index(text, []byte("<svg"))):]
	return figure{Title: title, SVG: template.HTML(text)}, nil //nolint:gosec // generated from numbers and fixed names
}

// overLoad plots a value over the load, one line per policy, for one mix and number
// of entries, without faults.
func (r Report) overLoad(mix string, entries int, title, y string, value func(Result) float64) (figure, error) {
	var lines []line
	for _, result := range r.Results {
		if result.MixName != mix || result.Entries != entries || result.Fault != FaultNone || result.Greedy > 0 {
			continue
		}
		at := slices.IndexFunc(lines, func(l line) bool { return l.name == result.Policy })
		if at < 0 {
			lines = append(lines, line{name: result.Policy})
			at = len(lines) - 1
		}
		lines[at].points = append(lines[at].points, plotter.XY{X: result.Share, Y: value(result)})
	}
	return draw(title, "load, relative to what the least-load policy can serve", y, lines)
}

// overTime plots the hit rate of each second of the runs with a fault.
func (r Report) overTime(fault Fault, mix string) (figure, error) {
	var lines []line
	for _, result := range r.Results {
		if result.Fault != fault || result.MixName != mix {
			continue
		}
		l := line{name: result.Policy}
		for _, second := range result.Seconds {
			l.points = append(l.points, plotter.XY{X: float64(second.Second), Y: second.HitRate})
		}
		lines = append(lines, l)
	}
	return draw(mix+": "+string(fault), "seconds", "hit rate by tokens", lines)
}
