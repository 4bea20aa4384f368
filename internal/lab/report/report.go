package report

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"gonum.org/v1/plot/vg"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/load"
)

// maxHostPlots limits the hosts that are plotted. Further hosts are only in result.json, and the page states their
// number.
const maxHostPlots = 32

// section is a part of the page: a heading, a text and plots.
type section struct {
	Title, Text string
	Plots       []template.HTML
	Small       bool // plots are small, two side by side
}

// page is the data of the page template, which uses the names of its fields.
type page struct {
	Title    string
	About    string
	Facts    string
	Verdict  string
	Bad      bool
	Head     []string
	Figures  []row
	Rules    []row
	Findings []row
	Events   []row
	Sections []section
}

// Write writes the HTML page of one run.
func Write(out io.Writer, r *experiment.Result) error {
	p, err := buildPage(r)
	if err != nil {
		return err
	}
	return pageTemplate().Execute(out, p)
}

// buildPage returns the data of the page of one run.
func buildPage(r *experiment.Result) (page, error) {
	p := page{Title: r.Title, About: r.About, Facts: runSummary(r), Verdict: verdict(r), Bad: !r.RulesHeld || r.Load.FellBehind}
	if p.Title == "" {
		p.Title = r.Name
	}
	p.Head = []string{"", "all"}
	for _, c := range r.Load.Classes {
		p.Head = append(p.Head, c.Name)
	}
	p.Figures = figureRows(r)
	for _, c := range r.Rules {
		p.Rules = append(p.Rules, row{Name: c.Rule, Cells: []string{fmt.Sprint(c.Broken)}, Broken: c.Broken > 0})
	}
	for _, f := range r.Findings[:min(50, len(r.Findings))] {
		p.Findings = append(p.Findings, row{Name: f.Rule, Cells: []string{f.ID, f.Detail}, Broken: true})
	}
	for i, m := range r.Events {
		p.Events = append(p.Events, row{Name: fmt.Sprint(i + 1), Cells: []string{fmt.Sprintf("%.2f s", m.At), m.Text}})
	}
	charts := drawContext{duration: loadDuration(r)}
	p.Sections = append(p.Sections, charts.serviceSections(r, "")...)
	p.Sections = append(p.Sections, charts.hostSection(r), charts.gatewaySection(r))
	return p, charts.err
}

// Compare writes an HTML page that compares run a with run b.
func Compare(out io.Writer, a, b *experiment.Result) error {
	p := page{Title: fmt.Sprintf("%s: A against B", a.Name), About: "A: " + runSummary(a) + " · B: " + runSummary(b),
		Verdict: "A: " + verdict(a) + " · B: " + verdict(b), Bad: !a.RulesHeld || !b.RulesHeld,
		Head: []string{"", "A", "B", "B - A"}}
	if a.Name != b.Name {
		p.Title = fmt.Sprintf("%s (A) against %s (B)", a.Name, b.Name)
	}
	p.Figures = differenceRows(a, b)
	for i, c := range a.Rules {
		other := 0
		if i < len(b.Rules) {
			other = b.Rules[i].Broken
		}
		p.Rules = append(p.Rules, row{Name: c.Rule, Cells: []string{fmt.Sprint(c.Broken), fmt.Sprint(other)},
			Broken: c.Broken+other > 0})
	}
	for n, r := range []*experiment.Result{a, b} {
		for i, m := range r.Events {
			p.Events = append(p.Events, row{Name: fmt.Sprintf("%c%d", 'A'+n, i+1),
				Cells: []string{fmt.Sprintf("%.2f s", m.At), m.Text}})
		}
	}
	charts := drawContext{duration: max(loadDuration(a), loadDuration(b))}
	p.Sections = append(p.Sections, charts.comparisonSection(a, b))
	p.Sections = append(p.Sections, charts.serviceSections(a, "A: ")...)
	p.Sections = append(p.Sections, charts.serviceSections(b, "B: ")...)
	if charts.err != nil {
		return charts.err
	}
	return pageTemplate().Execute(out, p)
}

// comparisonSection draws goodput and latency of each class, with the lines of both runs in the same chart.
func (d *drawContext) comparisonSection(a, b *experiment.Result) section {
	comparison := section{Title: "Side by side"}
	for _, c := range a.Load.Classes {
		var goodput, p99, curve []line
		for n, r := range []*experiment.Result{a, b} {
			for _, k := range r.Load.Classes {
				if k.Name != c.Name {
					continue
				}
				name := string(rune('A' + n))
				goodput = append(goodput, lineBySecond(name, k,
					func(s load.SecondResult) float64 { return valueOrNaN(s.Goodput*100, s.Scheduled) }))
				p99 = append(p99, lineBySecond(name, k,
					func(s load.SecondResult) float64 { return valueOrNaN(s.Latency.P99, int(s.Latency.Count)) }))
				curve = append(curve, latencyCurve(name, k))
			}
		}
		comparison.Plots = append(comparison.Plots,
			d.plot(chart{title: c.Name + ": goodput", x: "time of the run (s)", y: "served in time (%)",
				lines: goodput, yMax: 100}),
			d.plot(chart{title: c.Name + ": 99th percentile of latency", x: "time of the run (s)",
				y: "latency (ms)", lines: p99}),
			d.plot(chart{title: c.Name + ": latency by percentile", x: "percentile", y: "latency (ms)",
				lines: curve, percentiles: true}))
	}
	return comparison
}

// loadDuration returns the duration of the load in seconds, up to the last second in which a request was due.
func loadDuration(r *experiment.Result) float64 {
	longest := 0
	for _, c := range r.Load.Classes {
		for n, s := range c.Seconds {
			if s.Scheduled > 0 {
				longest = max(longest, n+1)
			}
		}
	}
	return float64(longest)
}

// runSummary returns the name, the seed, the start time and the resources of a run in one line.
func runSummary(r *experiment.Result) string {
	return fmt.Sprintf("%s, seed %d, %s, %d gateways of %.2g cores, %.0f MB and %d descriptors, %d hosts",
		r.Name, r.Seed,
		r.Started.Format(time.DateTime), r.Limits.Count, r.Limits.Cores, r.Limits.MemoryMB, r.Limits.Sockets,
		len(r.Hosts))
}

// verdict returns in one paragraph which rules were broken and whether the load generator kept up.
func verdict(r *experiment.Result) string {
	var broken []string
	for _, c := range r.Rules {
		if c.Broken > 0 {
			broken = append(broken, fmt.Sprintf("%s %d", c.Rule, c.Broken))
		}
	}
	text := "All rules held."
	if len(broken) > 0 {
		text = "Rules broken: " + strings.Join(broken, ", ") + "."
	}
	if r.LostByCrash > 0 {
		text += fmt.Sprintf(" Requests lost with gateways that were killed: %d.", r.LostByCrash)
	}
	if r.Load.FellBehind {
		text += " The generator fell behind (" + r.Load.BehindReason + "): its latencies are not the gateways'."
	}
	return text
}

// drawContext renders the charts of a page. err is the first error; no chart is rendered after it.
type drawContext struct {
	duration float64 // of the load in seconds, the same for all charts of the page
	err      error
}

// plot renders a chart. It returns an empty text after an error.
func (d *drawContext) plot(c chart) template.HTML {
	if d.err != nil {
		return ""
	}
	if c.duration == 0 && !c.percentiles {
		c.duration = d.duration
	}
	svg, err := c.svg()
	if err != nil {
		d.err = fmt.Errorf("plot %q: %w", c.title, err)
	}
	return svg
}

// valueOrNaN returns v, or NaN if count, the number of values behind v, is 0. Charts show NaN as a gap.
func valueOrNaN(v float64, count int) float64 {
	if count == 0 {
		return math.NaN()
	}
	return v
}

// lineBySecond returns a line with one value for each second of the run, at the middle of the second.
func lineBySecond(name string, c load.ClassResult, of func(load.SecondResult) float64) line {
	l := line{name: name}
	last := len(c.Seconds) // excludes the seconds after the last one in which a request was due
	for last > 0 && c.Seconds[last-1].Scheduled == 0 {
		last--
	}
	for _, s := range c.Seconds[:last] {
		l.xs = append(l.xs, float64(s.Second)+0.5)
		l.ys = append(l.ys, of(s))
	}
	return l
}

// latencyCurve returns the latency in ms by percentile. The x of a percentile p, as a fraction, is 1/(1-p).
func latencyCurve(name string, c load.ClassResult) line {
	l := line{name: name}
	for _, b := range c.Curve {
		if b.Percentile >= 100 {
			continue
		}
		l.xs = append(l.xs, 1/(1-b.Percentile/100))
		l.ys = append(l.ys, b.MS)
	}
	if n := len(l.xs); n > 0 && c.Latency.Count > 0 { // extend the curve to the largest latency
		l.xs = append(l.xs, max(l.xs[n-1], float64(c.Latency.Count)))
		l.ys = append(l.ys, c.Latency.Max)
	}
	return l
}

// serviceSections returns the sections of goodput and latency of one run. prefix precedes their titles.
func (d *drawContext) serviceSections(r *experiment.Result, prefix string) []section {
	const time = "time of the run (s)"
	service := section{Title: prefix + "Service",
		Text: "A request counts in the second in which it was due. Served in time means a 200 within the class's aim, counted from the due time. Dashed lines are events, numbered as in the list."}
	var lines, curves []line
	for _, c := range r.Load.Classes {
		lines = append(lines,
			lineBySecond(c.Name, c, func(s load.SecondResult) float64 { return valueOrNaN(s.Goodput*100, s.Scheduled) }))
		curves = append(curves, latencyCurve(c.Name, c))
	}
	service.Plots = append(service.Plots, d.plot(chart{title: "Goodput by class", x: time, y: "served in time (%)",
		lines: lines, marks: r.Events, yMax: 100}))
	for _, c := range r.Load.Classes {
		service.Plots = append(service.Plots, d.plot(chart{title: c.Name + ": what was due, and how it ended",
			x: time, y: "requests a second", marks: r.Events,
			lines: []line{
				lineBySecond("first tries due", c, func(s load.SecondResult) float64 { return float64(s.Scheduled) }),
				lineBySecond("tries sent, retries included", c,
					func(s load.SecondResult) float64 { return float64(s.Attempts) }),
				lineBySecond("ok", c, func(s load.SecondResult) float64 { return float64(s.OK) }),
				lineBySecond("refused", c, func(s load.SecondResult) float64 { return float64(s.Refused) }),
				lineBySecond("failed or unanswered", c,
					func(s load.SecondResult) float64 { return float64(s.Failed + s.Unanswered) }),
			}}))
	}
	latency := section{Title: prefix + "Latency",
		Text: "Counted from the due time to the last byte. A request that stayed unanswered counts with the time that its client waited; refusals and failures are excluded."}
	for _, c := range r.Load.Classes {
		percentile := func(name string, of func(load.Latency) float64) line {
			return lineBySecond(name, c, func(s load.SecondResult) float64 {
				return valueOrNaN(of(s.Latency),
					int(s.Latency.Count))
			})
		}
		latency.Plots = append(latency.Plots, d.plot(chart{title: c.Name + ": latency over time", x: time,
			y: "latency (ms)", marks: r.Events, lines: []line{
				percentile("p50", func(l load.Latency) float64 { return l.P50 }),
				percentile("p90", func(l load.Latency) float64 { return l.P90 }),
				percentile("p99", func(l load.Latency) float64 { return l.P99 }),
				percentile("max", func(l load.Latency) float64 { return l.Max })}}))
	}
	latency.Plots = append(latency.Plots, d.plot(chart{title: "Latency by percentile", x: "percentile",
		y: "latency (ms)", lines: curves, percentiles: true}))
	return []section{service, latency}
}

// hostSection returns the plots of the hosts: requests in flight and capacity over time.
func (d *drawContext) hostSection(r *experiment.Result) section {
	s := section{Title: "Hosts", Small: true,
		Text: "Requests in flight at each host, from all gateways together (held), and the requests that it can process at full speed at that moment (can do): its cores times their speed, less what slow start, overload, other programs on its machine and connections take."}
	for i, h := range r.Hosts {
		if i == maxHostPlots {
			s.Text += fmt.Sprintf(" %d further hosts are in result.json only.", len(r.Hosts)-maxHostPlots)
			break
		}
		inFlight, capacity := line{name: "held"}, line{name: "can do", dashed: true, stepped: true}
		for _, at := range h.Samples {
			inFlight.xs, inFlight.ys = append(inFlight.xs, at.At), append(inFlight.ys, float64(at.InFlight))
			capacity.xs, capacity.ys = append(capacity.xs, at.At), append(capacity.ys, at.Capacity)
		}
		if len(inFlight.xs) == 0 {
			continue
		}
		s.Plots = append(s.Plots, d.plot(chart{title: h.Name, x: "time of the run (s)", y: "requests",
			lines: []line{inFlight, capacity},
			marks: r.Events, width: 11.6 * vg.Centimeter, height: 4.6 * vg.Centimeter}))
	}
	return s
}

// gatewaySection returns the plots of the processor use, memory and open descriptors of the gateways.
func (d *drawContext) gatewaySection(r *experiment.Result) section {
	s := section{Title: "Gateways", Text: fmt.Sprintf("The limits of each gateway are %.2g cores, %.0f MB and %d descriptors.",
		r.Limits.Cores, r.Limits.MemoryMB, r.Limits.Sockets)}
	for _, k := range []struct {
		title, unit string
		of          func(experiment.GatewaySample) float64
	}{
		{"Processor", "cores in use", func(s experiment.GatewaySample) float64 { return s.CPU }},
		{"Resident memory", "MB", func(s experiment.GatewaySample) float64 { return s.MemoryMB }},
		{"Descriptors", "open descriptors", func(s experiment.GatewaySample) float64 { return float64(s.Descriptors) }},
	} {
		var lines []line
		for _, g := range r.Gateways {
			l := line{name: g.Name}
			for _, at := range g.Samples {
				l.xs, l.ys = append(l.xs, at.At), append(l.ys, k.of(at))
			}
			if len(l.xs) > 0 {
				lines = append(lines, l)
			}
		}
		s.Plots = append(s.Plots, d.plot(chart{title: k.title, x: "time of the run (s)", y: k.unit,
			lines: lines, marks: r.Events, height: 5.5 * vg.Centimeter}))
	}
	return s
}

// Text returns a summary of a run as text for the terminal.
func Text(r *experiment.Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%s)\n", r.Title, runSummary(r))
	if r.Load.StoppedEarly {
		fmt.Fprintf(&b, "  partial: stopped early after %.1f s\n", r.Load.DurationSeconds)
	}
	for _, c := range r.Load.Classes {
		fmt.Fprintf(&b, "  %-14s %7d due, %.2f%% served in time; %d refused, %d failed, %d unanswered\n",
			c.Name, c.Scheduled,
			c.Goodput*100, c.Refused, c.Failed, c.Unanswered)
		if !r.Load.FellBehind {
			fmt.Fprintf(&b, "  %-14s latency p50 %.1f, p90 %.1f, p99 %.1f, max %.1f ms\n", "", c.Latency.P50,
				c.Latency.P90, c.Latency.P99, c.Latency.Max)
		}
	}
	fmt.Fprintf(&b, "  goodput by worth %.4f, worst 10 s %.4f; %.3f arrivals at hosts for a request\n",
		r.Load.Goodput, r.Load.WorstWindow,
		r.Work.ArrivalsPerRequest)
	for _, g := range r.Gateways {
		fmt.Fprintf(&b, "  %-14s %.1f s of processor time, at most %.1f MB and %d descriptors, %d starts\n",
			g.Name, g.CPUSeconds,
			g.PeakMemoryMB, g.PeakDescriptors, g.Starts)
	}
	fmt.Fprintf(&b, "  %s\n", verdict(r))
	for _, f := range r.Findings[:min(10, len(r.Findings))] {
		fmt.Fprintf(&b, "    %s: %s: %s\n", f.Rule, f.ID, f.Detail)
	}
	return b.String()
}
