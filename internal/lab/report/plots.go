// Package report shows the results of runs as a self-contained HTML page with plots, as a comparison of two runs, and
// as a text summary. The pages need no network and no scripts.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"thymebend/internal/lab/experiment"
)

// line is one line of a chart. A y value of NaN leaves a gap.
type line struct {
	name    string
	xs, ys  []float64
	dashed  bool
	stepped bool
}

// chart describes one plot of the page.
type chart struct {
	title       string
	x, y        string
	lines       []line
	marks       []experiment.Mark
	width       vg.Length // 0 means 24 cm; a height of 0 means 7 cm
	height      vg.Length
	yMin        float64 // the y axis covers at least yMin to yMax
	yMax        float64
	percentiles bool    // the x axis has the logarithmic percentile scale of HDR histograms
	duration    float64 // seconds that the x axis covers at least: the duration of the load
}

// palette returns line colours that colour-blind readers can distinguish (Okabe and Ito).
func palette() []color.Color {
	return []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
		color.RGBA{204, 121, 167, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255},
		color.RGBA{90, 90, 90, 255},
		color.RGBA{150, 100, 40, 255}}
}

func grey() color.Color { return color.RGBA{130, 130, 130, 255} }

// svg returns the chart as a figure with an SVG drawing and its legend.
func (c chart) svg() (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = c.x, c.y
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = color.RGBA{225, 225, 225, 255}, color.RGBA{225, 225, 225, 255}
	p.Add(grid)
	low, high, right := c.dataRange()
	top := high
	if len(c.marks) > 0 || c.yMax == 0 {
		top += (high - low) * 0.07 // room for the numbers of the events
	}
	for _, add := range []func(*plot.Plot, float64, float64) error{c.addEventLines, c.addLines, c.addEventNumbers} {
		if err := add(p, low, top); err != nil {
			return "", err
		}
	}
	p.Y.Min, p.Y.Max = low, top
	if c.percentiles {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, percentileTicks{}
		p.X.Min, p.X.Max = 1, max(1000, right)
	} else {
		p.X.Min, p.X.Max = 0, max(1, right)
	}
	text, err := c.render(p)
	if err != nil {
		return "", err
	}
	return template.HTML("<figure><figcaption>" + c.legend() + "</figcaption>" + text + "</figure>"), nil
}

// dataRange returns the range of the y axis and the largest x of the chart.
func (c chart) dataRange() (low, high, right float64) {
	low, high, right = c.yMin, c.yMax, c.duration
	for _, l := range c.lines {
		for i, y := range l.ys {
			if !math.IsNaN(y) {
				low, high = min(low, y), max(high, y)
			}
			right = max(right, l.xs[i])
		}
	}
	if high <= low {
		high = low + 1
	}
	return low, high, right
}

// addEventLines adds a vertical line at each event.
func (c chart) addEventLines(p *plot.Plot, low, top float64) error {
	for _, m := range c.marks {
		v, err := plotter.NewLine(plotter.XYs{{X: m.At, Y: low}, {X: m.At, Y: top}})
		if err != nil {
			return err
		}
		v.Color, v.Dashes, v.Width = grey(), []vg.Length{2, 3}, 0.6
		p.Add(v)
	}
	return nil
}

// addLines adds the lines of the chart. A line is interrupted where its y is NaN.
func (c chart) addLines(p *plot.Plot, _, _ float64) error {
	colors := palette()
	for i, l := range c.lines {
		for _, segment := range splitAtGaps(l) {
			drawn, err := plotter.NewLine(segment)
			if err != nil {
				return err
			}
			drawn.Color, drawn.Width = colors[i%len(colors)], 1.4
			if l.stepped {
				drawn.StepStyle = plotter.PostStep
			}
			if l.dashed {
				drawn.Dashes = []vg.Length{5, 3}
			}
			p.Add(drawn)
		}
	}
	return nil
}

// addEventNumbers adds the numbers of the events at the top of the chart.
func (c chart) addEventNumbers(p *plot.Plot, _, top float64) error {
	labels := c.eventLabels(top)
	if labels == nil {
		return nil
	}
	l, err := plotter.NewLabels(*labels)
	if err != nil {
		return err
	}
	for i := range l.TextStyle {
		l.TextStyle[i].Font.Size, l.TextStyle[i].Color = 8, grey()
	}
	l.Offset = vg.Point{X: 1, Y: -9}
	p.Add(l)
	return nil
}

// render returns the plot as an SVG element, without the prologue of a separate SVG file.
func (c chart) render(p *plot.Plot) (string, error) {
	width, height := c.width, c.height
	if width == 0 {
		width = 24 * vg.Centimeter
	}
	if height == 0 {
		height = 7 * vg.Centimeter
	}
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	if at := strings.Index(text, "<svg"); at > 0 {
		text = text[at:]
	}
	return text, nil
}

// legend returns the title and the legend as HTML. It is outside the drawing, so that it cannot cover the lines.
func (c chart) legend() string {
	colors := palette()
	var head strings.Builder
	fmt.Fprintf(&head, "<b>%s</b>", template.HTMLEscapeString(c.title))
	if len(c.lines) < 2 {
		return head.String()
	}
	for i, l := range c.lines {
		r, g, b, _ := colors[i%len(colors)].RGBA()
		symbol := "━"
		if l.dashed {
			symbol = "╌"
		}
		fmt.Fprintf(&head, ` <span class="key"><span style="color:rgb(%d,%d,%d)">%s</span> %s</span>`,
			r>>8, g>>8, b>>8, symbol, template.HTMLEscapeString(l.name))
	}
	return head.String()
}

// splitAtGaps splits a line into segments at the points whose y is NaN.
func splitAtGaps(l line) (out []plotter.XYs) {
	var segment plotter.XYs
	for i := range l.xs {
		if math.IsNaN(l.ys[i]) {
			if len(segment) > 0 {
				out = append(out, segment)
			}
			segment = nil
			continue
		}
		segment = append(segment, plotter.XY{X: l.xs[i], Y: l.ys[i]})
	}
	if len(segment) > 0 {
		out = append(out, segment)
	}
	return out
}

// eventLabels returns a label for each event: its number in the list of events of the page. Of labels that would
// overlap only the first is shown. The result is nil if there are no events.
func (c chart) eventLabels(top float64) *plotter.XYLabels {
	if len(c.marks) == 0 {
		return nil
	}
	out := &plotter.XYLabels{}
	last := math.Inf(-1)
	for i, m := range c.marks {
		if m.At-last < c.duration*0.018 {
			continue
		}
		last = m.At
		out.XYs = append(out.XYs, plotter.XY{X: m.At, Y: top})
		out.Labels = append(out.Labels, fmt.Sprint(i+1))
	}
	return out
}

// percentileTicks implements the ticks of a percentile axis. The x of a percentile p, as a fraction, is 1/(1-p).
type percentileTicks struct{}

// Ticks implements plot.Ticker.
func (percentileTicks) Ticks(_, maxValue float64) (out []plot.Tick) {
	for _, t := range []struct {
		at    float64
		label string
	}{{1, "0%"}, {2, "50%"}, {10, "90%"}, {100, "99%"}, {1000, "99.9%"}, {1e4, "99.99%"}, {1e5, "99.999%"}} {
		if t.at <= maxValue*1.001 {
			out = append(out, plot.Tick{Value: t.at, Label: t.label})
		}
	}
	return out
}

// Series is one line of a plot that Plot writes.
type Series struct {
	Name   string
	Xs, Ys []float64
}

// Plot writes one plot as a separate SVG file, with the names of its lines in a legend inside the plot.
func Plot(out io.Writer, title, x, y string, list []Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Add(plotter.NewGrid())
	p.Legend.Top, p.Legend.Left = true, true
	colors := palette()
	for i, s := range list {
		points := make(plotter.XYs, len(s.Xs))
		for k := range s.Xs {
			points[k].X, points[k].Y = s.Xs[k], s.Ys[k]
		}
		drawn, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		drawn.Color, dots.Color, drawn.Width = colors[i%len(colors)], colors[i%len(colors)], 1.4
		p.Add(drawn, dots)
		p.Legend.Add(s.Name, drawn)
	}
	p.Y.Min = 0
	p.Y.Max *= 1.25 // room for the legend
	canvas := vgsvg.New(16*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(out)
	return err
}
