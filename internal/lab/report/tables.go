package report

import (
	"fmt"
	"slices"
	"strings"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/load"
)

// figure is one line of the table of figures.
type figure struct {
	name   string
	all    func(*experiment.Result) float64
	class  func(load.ClassResult) float64
	format string
}

func counts(name string, of func(load.Counts) int) figure {
	return figure{name, func(r *experiment.Result) float64 { return float64(of(r.Load.Counts)) },
		func(c load.ClassResult) float64 { return float64(of(c.Counts)) }, "%.0f"}
}

func latencies(name string, of func(load.Latency) float64) figure {
	return figure{name, func(r *experiment.Result) float64 { return of(r.Load.Latency) },
		func(c load.ClassResult) float64 { return of(c.Latency) }, "%.1f"}
}

func table() []figure {
	return []figure{
		{"goodput by worth", func(r *experiment.Result) float64 { return r.Load.Goodput },
			func(c load.ClassResult) float64 { return c.Goodput }, "%.4f"},
		{"goodput of the worst 10 s", func(r *experiment.Result) float64 { return r.Load.WorstWindow }, nil, "%.4f"},
		counts("scheduled", func(c load.Counts) int { return c.Scheduled }),
		counts("sent", func(c load.Counts) int { return c.Sent }),
		counts("ok", func(c load.Counts) int { return c.OK }),
		counts("ok within the aim", func(c load.Counts) int { return c.InAim }),
		counts("refused", func(c load.Counts) int { return c.Refused }),
		counts("failed", func(c load.Counts) int { return c.Failed }),
		counts("unanswered", func(c load.Counts) int { return c.Unanswered }),
		counts("retries of clients", func(c load.Counts) int { return c.Retries }),
		latencies("latency p50 (ms)", func(l load.Latency) float64 { return l.P50 }),
		latencies("latency p90 (ms)", func(l load.Latency) float64 { return l.P90 }),
		latencies("latency p99 (ms)", func(l load.Latency) float64 { return l.P99 }),
		latencies("latency p99.9 (ms)", func(l load.Latency) float64 { return l.P999 }),
		latencies("latency max (ms)", func(l load.Latency) float64 { return l.Max }),
		{"generator's own lateness p99 (ms)", func(r *experiment.Result) float64 { return r.Load.SelfLate.P99 },
			nil, "%.2f"},
		{"arrivals at hosts for a request", func(r *experiment.Result) float64 { return r.Work.PerRequest },
			nil, "%.3f"},
	}
}

func figures(r *experiment.Result) (rows []row) {
	for _, f := range table() {
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

func differences(a, b *experiment.Result) (rows []row) {
	say := func(name, format string, x, y float64) {
		signed := strings.Replace(format, "%", "%+", 1)
		rows = append(rows, row{Name: name, Cells: []string{fmt.Sprintf(format, x), fmt.Sprintf(format, y),
			fmt.Sprintf(signed, y-x)}})
	}
	for _, f := range table() {
		say(f.name, f.format, f.all(a), f.all(b))
		for _, c := range a.Load.Classes {
			at := slices.IndexFunc(b.Load.Classes, func(k load.ClassResult) bool { return k.Name == c.Name })
			if f.class != nil && at >= 0 {
				say(f.name+", "+c.Name, f.format, f.class(c), f.class(b.Load.Classes[at]))
			}
		}
	}
	return rows
}

type row struct {
	Name   string
	Cells  []string
	Broken bool
}
