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

// mostHosts are plotted one by one; further ones are left to result.json, and the page says so.
const mostHosts = 32

type section struct {
	Title, Text string
	Plots       []template.HTML
	Small       bool // the plots stand side by side
}

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

// Write writes the page of one run.
func Write(out io.Writer, r *experiment.Result) error {
	p, err := compose(r)
	if err != nil {
		return err
	}
	return layout().Execute(out, p)
}

// compose is the page of one run.
func compose(r *experiment.Result) (page, error) {
	p := page{Title: r.Title, About: r.About, Facts: facts(r), Verdict: verdict(r), Bad: !r.Held || r.Load.FellBehind}
	if p.Title == "" {
		p.Title = r.Name
	}
	p.Head = []string{"", "all"}
	for _, c := range r.Load.Classes {
		p.Head = append(p.Head, c.Name)
	}
	p.Figures = figures(r)
	for _, c := range r.Rules {
		p.Rules = append(p.Rules, row{Name: c.Rule, Cells: []string{fmt.Sprint(c.Broken)}, Broken: c.Broken > 0})
	}
	for _, f := range r.Findings[:min(50, len(r.Findings))] {
		p.Findings = append(p.Findings, row{Name: f.Rule, Cells: []string{f.ID, f.Detail}, Broken: true})
	}
	for i, m := range r.Events {
		p.Events = append(p.Events, row{Name: fmt.Sprint(i + 1), Cells: []string{fmt.Sprintf("%.2f s", m.At), m.Text}})
	}
	draw := drawing{length: length(r)}
	p.Sections = append(p.Sections, draw.load(r, "")...)
	p.Sections = append(p.Sections, draw.hosts(r), draw.gateways(r))
	return p, draw.err
}

// Compare writes the page of two runs side by side.
func Compare(out io.Writer, a, b *experiment.Result) error {
	p := page{Title: fmt.Sprintf("%s: A against B", a.Name), About: "A: " + facts(a) + " · B: " + facts(b),
		Verdict: "A: " + verdict(a) + " · B: " + verdict(b), Bad: !a.Held || !b.Held,
		Head: []string{"", "A", "B", "B - A"}}
	if a.Name != b.Name {
		p.Title = fmt.Sprintf("%s (A) against %s (B)", a.Name, b.Name)
	}
	p.Figures = differences(a, b)
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
	draw := drawing{length: max(length(a), length(b))}
	both := section{Title: "Side by side"}
	for _, c := range a.Load.Classes {
		var good, tail, curve []line
		for n, r := range []*experiment.Result{a, b} {
			for _, k := range r.Load.Classes {
				if k.Name != c.Name {
					continue
				}
				name := string(rune('A' + n))
				good = append(good, seconds(name, k,
					func(s load.SecondResult) float64 { return orNone(s.Goodput*100, s.Scheduled) }))
				tail = append(tail, seconds(name, k,
					func(s load.SecondResult) float64 { return orNone(s.Latency.P99, int(s.Latency.Count)) }))
				curve = append(curve, hdr(name, k))
			}
		}
		both.Plots = append(both.Plots,
			draw.plot(chart{title: c.Name + ": goodput", x: "time of the run (s)", y: "served in time (%)",
				lines: good, to: 100}),
			draw.plot(chart{title: c.Name + ": 99th percentile of latency", x: "time of the run (s)",
				y: "latency (ms)", lines: tail}),
			draw.plot(chart{title: c.Name + ": latency by percentile", x: "percentile", y: "latency (ms)",
				lines: curve, hdr: true}))
	}
	p.Sections = append(p.Sections, both)
	p.Sections = append(p.Sections, draw.load(a, "A: ")...)
	p.Sections = append(p.Sections, draw.load(b, "B: ")...)
	if draw.err != nil {
		return draw.err
	}
	return layout().Execute(out, p)
}

func length(r *experiment.Result) float64 {
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

func facts(r *experiment.Result) string {
	return fmt.Sprintf("%s, seed %d, %s, %d gateways of %.2g cores, %.0f MB and %d descriptors, %d hosts",
		r.Name, r.Seed,
		r.Started.Format(time.DateTime), r.Limits.Count, r.Limits.Cores, r.Limits.MemoryMB, r.Limits.Sockets,
		len(r.Hosts))
}

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
		text += " The generator fell behind (" + r.Load.Behind + "): its latencies are not the gateways'."
	}
	return text
}

// drawing draws and remembers the first error.
type drawing struct {
	length float64
	err    error
}

func (d *drawing) plot(c chart) template.HTML {
	if d.err != nil {
		return ""
	}
	if c.length == 0 && !c.hdr {
		c.length = d.length
	}
	svg, err := c.svg()
	if err != nil {
		d.err = fmt.Errorf("plot %q: %w", c.title, err)
	}
	return svg
}

func orNone(v float64, count int) float64 {
	if count == 0 {
		return math.NaN()
	}
	return v
}

// seconds is a line by seconds of the run, each value at its second's middle.
func seconds(name string, c load.ClassResult, of func(load.SecondResult) float64) line {
	l := line{name: name}
	last := len(c.Seconds) // without the seconds after the last request was due
	for last > 0 && c.Seconds[last-1].Scheduled == 0 {
		last--
	}
	for _, s := range c.Seconds[:last] {
		l.xs = append(l.xs, float64(s.Second)+0.5)
		l.ys = append(l.ys, of(s))
	}
	return l
}

// hdr is a latency curve, x being 1/(1-p).
func hdr(name string, c load.ClassResult) line {
	l := line{name: name}
	for _, b := range c.Curve {
		if b.Percentile >= 100 {
			continue
		}
		l.xs = append(l.xs, 1/(1-b.Percentile/100))
		l.ys = append(l.ys, b.MS)
	}
	if n := len(l.xs); n > 0 && c.Latency.Count > 0 { // up to the largest value
		l.xs = append(l.xs, max(l.xs[n-1], float64(c.Latency.Count)))
		l.ys = append(l.ys, c.Latency.Max)
	}
	return l
}

func (d *drawing) load(r *experiment.Result, prefix string) []section {
	const time = "time of the run (s)"
	good := section{Title: prefix + "Service",
		Text: "A request counts in the second in which it was due. Served in time means a 200 within the class's aim, counted from the due time. Dashed lines are events, numbered as in the list."}
	var lines, curves []line
	for _, c := range r.Load.Classes {
		lines = append(lines,
			seconds(c.Name, c, func(s load.SecondResult) float64 { return orNone(s.Goodput*100, s.Scheduled) }))
		curves = append(curves, hdr(c.Name, c))
	}
	good.Plots = append(good.Plots, d.plot(chart{title: "Goodput by class", x: time, y: "served in time (%)",
		lines: lines, marks: r.Events, to: 100}))
	for _, c := range r.Load.Classes {
		good.Plots = append(good.Plots, d.plot(chart{title: c.Name + ": what was due, and how it ended",
			x: time, y: "requests a second", marks: r.Events,
			lines: []line{
				seconds("first tries due", c, func(s load.SecondResult) float64 { return float64(s.Scheduled) }),
				seconds("tries sent, retries included", c,
					func(s load.SecondResult) float64 { return float64(s.Tries) }),
				seconds("ok", c, func(s load.SecondResult) float64 { return float64(s.OK) }),
				seconds("refused", c, func(s load.SecondResult) float64 { return float64(s.Refused) }),
				seconds("failed or unanswered", c,
					func(s load.SecondResult) float64 { return float64(s.Failed + s.Unanswered) }),
			}}))
	}
	late := section{Title: prefix + "Latency",
		Text: "Counted from the due time to the last byte. What stayed unanswered counts with the time that its client waited; refusals and failures are left out."}
	for _, c := range r.Load.Classes {
		pick := func(name string, of func(load.Latency) float64) line {
			return seconds(name, c, func(s load.SecondResult) float64 {
				return orNone(of(s.Latency),
					int(s.Latency.Count))
			})
		}
		late.Plots = append(late.Plots, d.plot(chart{title: c.Name + ": latency over time", x: time,
			y: "latency (ms)", marks: r.Events, lines: []line{
				pick("p50", func(l load.Latency) float64 { return l.P50 }),
				pick("p90", func(l load.Latency) float64 { return l.P90 }),
				pick("p99", func(l load.Latency) float64 { return l.P99 }),
				pick("max", func(l load.Latency) float64 { return l.Max })}}))
	}
	late.Plots = append(late.Plots, d.plot(chart{title: "Latency by percentile", x: "percentile",
		y: "latency (ms)", lines: curves, hdr: true}))
	return []section{good, late}
}

func (d *drawing) hosts(r *experiment.Result) section {
	s := section{Title: "Hosts", Small: true,
		Text: "Requests held by each host, by all gateways together, against the requests that it can work on at full speed at that moment: its cores times their speed, less what cold, crowding, neighbours and connections take."}
	for i, h := range r.Hosts {
		if i == mostHosts {
			s.Text += fmt.Sprintf(" %d further hosts are in result.json only.", len(r.Hosts)-mostHosts)
			break
		}
		held, can := line{name: "held"}, line{name: "can do", dashed: true, steps: true}
		for _, at := range h.Samples {
			held.xs, held.ys = append(held.xs, at.At), append(held.ys, float64(at.InFlight))
			can.xs, can.ys = append(can.xs, at.At), append(can.ys, at.Capacity)
		}
		if len(held.xs) == 0 {
			continue
		}
		s.Plots = append(s.Plots, d.plot(chart{title: h.Name, x: "time of the run (s)", y: "requests",
			lines: []line{held, can},
			marks: r.Events, width: 11.6 * vg.Centimeter, height: 4.6 * vg.Centimeter}))
	}
	return s
}

func (d *drawing) gateways(r *experiment.Result) section {
	s := section{Title: "Gateways", Text: fmt.Sprintf("Each was given %.2g cores, %.0f MB and %d descriptors.",
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

// Text is a run in words, for the terminal.
func Text(r *experiment.Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%s)\n", r.Title, facts(r))
	if r.Load.PartialInput {
		fmt.Fprintf(&b, "  partial: told to end after %.1f s\n", r.Load.Lasted)
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
		r.Work.PerRequest)
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
