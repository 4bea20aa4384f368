package report

import (
	"fmt"
	"slices"
	"strings"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/load"
)

// figure defines one row of the table of figures: its name, functions that return its value over all classes and for
// one class, and the format of the values. class is nil if the figure has no value for single classes.
type figure struct {
	name   string
	all    func(*experiment.Result) float64
	class  func(load.ClassResult) float64
	format string
}

// countFigure returns a figure that is a number of requests or attempts.
func countFigure(name string, of func(load.Counts) int) figure {
	return figure{name, func(r *experiment.Result) float64 { return float64(of(r.Load.Counts)) },
		func(c load.ClassResult) float64 { return float64(of(c.Counts)) }, "%.0f"}
}

// latencyFigure returns a figure that is a latency in ms.
func latencyFigure(name string, of func(load.Latency) float64) figure {
	return figure{name, func(r *experiment.Result) float64 { return of(r.Load.Latency) },
		func(c load.ClassResult) float64 { return of(c.Latency) }, "%.1f"}
}

// figureDefinitions returns the rows of the table of figures in their order on the page.
func figureDefinitions() []figure {
	return []figure{
		{"goodput by worth", func(r *experiment.Result) float64 { return r.Load.Goodput },
			func(c load.ClassResult) float64 { return c.Goodput }, "%.4f"},
		{"goodput of the worst 10 s", func(r *experiment.Result) float64 { return r.Load.WorstWindow }, nil, "%.4f"},
		countFigure("scheduled", func(c load.Counts) int { return c.Scheduled }),
		countFigure("sent", func(c load.Counts) int { return c.Sent }),
		countFigure("ok", func(c load.Counts) int { return c.OK }),
		countFigure("ok within the aim", func(c load.Counts) int { return c.InObjective }),
		countFigure("refused", func(c load.Counts) int { return c.Refused }),
		countFigure("failed", func(c load.Counts) int { return c.Failed }),
		countFigure("unanswered", func(c load.Counts) int { return c.Unanswered }),
		countFigure("retries of clients", func(c load.Counts) int { return c.Retries }),
		latencyFigure("latency p50 (ms)", func(l load.Latency) float64 { return l.P50 }),
		latencyFigure("latency p90 (ms)", func(l load.Latency) float64 { return l.P90 }),
		latencyFigure("latency p99 (ms)", func(l load.Latency) float64 { return l.P99 }),
		latencyFigure("latency p99.9 (ms)", func(l load.Latency) float64 { return l.P999 }),
		latencyFigure("latency max (ms)", func(l load.Latency) float64 { return l.Max }),
		{"generator's own lateness p99 (ms)", func(r *experiment.Result) float64 { return r.Load.GeneratorLateness.P99 },
			nil, "%.2f"},
		{"arrivals at hosts for a request", func(r *experiment.Result) float64 { return r.Work.ArrivalsPerRequest },
			nil, "%.3f"},
	}
}

// figureRows returns the table of figures of a run, with a column for all classes and one for each class.
func figureRows(r *experiment.Result) (rows []row) {
	for _, f := range figureDefinitions() {
		cells := []string{fmt.Sprintf(f.format, f.all(r))}
		for _, c := range r.Load.Classes {
			if f.class == nil {
				cells = append(cells, "")
				continue
			}
			cells = append(cells, fmt.Sprintf(f.format, f.class(c)))
		}
		rows = append(rows, row{Name: f.name, Cells: cells})
	}
	return rows
}

// differenceRows returns the figures of a and b and their differences b - a, for all classes together and for each
// class that both runs have.
func differenceRows(a, b *experiment.Result) (rows []row) {
	addRow := func(name, format string, x, y float64) {
		signed := strings.Replace(format, "%", "%+", 1)
		rows = append(rows, row{Name: name, Cells: []string{fmt.Sprintf(format, x), fmt.Sprintf(format, y),
			fmt.Sprintf(signed, y-x)}})
	}
	for _, f := range figureDefinitions() {
		addRow(f.name, f.format, f.all(a), f.all(b))
		for _, c := range a.Load.Classes {
			index := slices.IndexFunc(b.Load.Classes, func(k load.ClassResult) bool { return k.Name == c.Name })
			if f.class != nil && index >= 0 {
				addRow(f.name+", "+c.Name, f.format, f.class(c), f.class(b.Load.Classes[index]))
			}
		}
	}
	return rows
}

// row is a row of a table of the page. Broken marks a row about a broken rule, which the page highlights.
type row struct {
	Name   string
	Cells  []string
	Broken bool
}
