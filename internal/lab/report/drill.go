package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"thymebend/internal/lab/drill"
	"thymebend/internal/lab/experiment"
)

// WriteDrill writes the HTML page of a drill: the page of its run, with a plot of each gateway's view of the cluster
// before the other plots. The view of a gateway is the state in which it sees each gateway over time.
func WriteDrill(out io.Writer, r *drill.Result) error {
	p, err := buildPage(r.Result)
	if err != nil {
		return err
	}
	views := section{Title: "What each gateway believed",
		Text: "One plot for each gateway, with one row for each gateway of the cluster: the state in which it saw that gateway at each moment. Its own row shows whether it reported its view as settled. Nothing is drawn while it did not answer. Dashed lines are the events of the list above."}
	for g := range r.Names {
		figure, err := viewFigure(r, g)
		if err != nil {
			return fmt.Errorf("view of %s: %w", r.Names[g], err)
		}
		views.Plots = append(views.Plots, figure)
	}
	p.Sections = slices.Insert(p.Sections, 0, views)
	return pageTemplate().Execute(out, p)
}

// stateColors returns the colour and the legend label of each state in which a gateway can see another gateway or
// itself.
func stateColors() []struct {
	state, label string
	color        color.RGBA
} {
	return []struct {
		state, label string
		color        color.RGBA
	}{
		{"alive", "alive", color.RGBA{0, 158, 115, 255}}, {"suspect", "suspect", color.RGBA{230, 159, 0, 255}},
		{"gone", "gone", color.RGBA{213, 94, 0, 255}}, {"left", "left", color.RGBA{130, 130, 130, 255}},
		{"self", "itself, settled", color.RGBA{0, 114, 178, 255}}, {"unsettled", "itself, not settled",
			color.RGBA{86, 180, 233, 255}},
		{"twin", "itself, its name is used twice", color.RGBA{204, 121, 167, 255}}}
}

// viewPlot draws one gateway's view: a row for each gateway that it sees, with the intervals of that gateway's
// states, and a dashed line at each event.
type viewPlot struct {
	intervals []drill.StateSpan
	rowCount  int
	marks     []experiment.Mark
	names     []string
}

// Plot implements plot.Plotter.
func (v viewPlot) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	for _, cell := range v.intervals {
		for _, k := range stateColors() {
			if k.state != cell.State {
				continue
			}
			row := float64(v.rowCount - 1 - cell.Member)
			left, right := x(cell.From), max(x(cell.To), x(cell.From)+0.5)
			c.FillPolygon(k.color, []vg.Point{{X: left, Y: y(row + 0.1)}, {X: right, Y: y(row + 0.1)},
				{X: right, Y: y(row + 0.9)}, {X: left, Y: y(row + 0.9)}})
		}
	}
	for _, m := range v.marks {
		c.StrokeLine2(draw.LineStyle{Color: grey(), Width: 0.6, Dashes: []vg.Length{2, 3}}, x(m.At), y(0),
			x(m.At), y(float64(v.rowCount)))
	}
}

// Ticks implements plot.Ticker. The labels are the names of the gateways, at the middle of their rows.
func (v viewPlot) Ticks(_, _ float64) (out []plot.Tick) {
	for i, name := range v.names {
		out = append(out, plot.Tick{Value: float64(v.rowCount-1-i) + 0.5, Label: name})
	}
	return out
}

// viewFigure draws one gateway's view of the cluster as an SVG figure with its legend.
func viewFigure(r *drill.Result, gateway int) (template.HTML, error) {
	p := plot.New()
	view := viewPlot{intervals: r.StateSpans(gateway), rowCount: len(r.Names), marks: r.Events, names: r.Names}
	p.Add(view)
	p.X.Label.Text = "time of the run (s)"
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, max(1, loadDuration(r.Result)), 0, float64(view.rowCount)
	p.Y.Tick.Marker = view
	canvas := vgsvg.New(24*vg.Centimeter, vg.Length(1.6+0.45*float64(view.rowCount))*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	text = text[max(0, strings.Index(text, "<svg")):] // without the prologue of a separate SVG file
	var head strings.Builder
	fmt.Fprintf(&head, "<b>%s</b>", template.HTMLEscapeString(r.Names[gateway]))
	for _, k := range stateColors() {
		fmt.Fprintf(&head, ` <span class="key"><span style="color:rgb(%d,%d,%d)">■</span> %s</span>`, k.color.R,
			k.color.G, k.color.B, k.label)
	}
	return template.HTML("<figure><figcaption>" + head.String() + "</figcaption>" + text + "</figure>"), nil
}
