package scale

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"thymebend/internal/lab/report"
)

// Line is a figure as a function of the number of gateways n, fitted by least squares: Base + Slope*n, or
// Base*n^Slope if that form has the smaller residual.
type Line struct {
	Figure   string    `json:"figure"`
	Power    bool      `json:"power"` // the function is Base*n^Slope
	Base     float64   `json:"base"`
	Slope    float64   `json:"slope"`
	Residual float64   `json:"residual"` // root mean square of the differences, relative to the mean of the figures
	Sizes    []float64 `json:"sizes"`
	Figures  []float64 `json:"figures"`
}

// At returns the value of the fitted function for n gateways.
func (l *Line) At(n float64) float64 {
	if l.Power {
		return l.Base * math.Pow(n, l.Slope)
	}
	return l.Base + l.Slope*n
}

// FitLine fits both forms and returns the form with the smaller residual. It fits only the straight line if a size
// or a figure is not positive.
func FitLine(figure string, sizes, figures []float64) Line {
	straight := Line{Figure: figure, Sizes: sizes, Figures: figures}
	straight.Base, straight.Slope = leastSquares(sizes, figures)
	straight.Residual = straight.relativeResidual()
	power := Line{Figure: figure, Sizes: sizes, Figures: figures, Power: true}
	var logSizes, logFigures []float64
	for i, y := range figures {
		if y <= 0 || sizes[i] <= 0 {
			return straight
		}
		logSizes, logFigures = append(logSizes, math.Log(sizes[i])), append(logFigures, math.Log(y))
	}
	base, slope := leastSquares(logSizes, logFigures)
	power.Base, power.Slope = math.Exp(base), slope
	if power.Residual = power.relativeResidual(); power.Residual < straight.Residual {
		return power
	}
	return straight
}

// leastSquares fits y = base + slope*x.
func leastSquares(xs, ys []float64) (base, slope float64) {
	meanX, meanY := mean(xs), mean(ys)
	covariance, variance := 0.0, 0.0
	for i, x := range xs {
		covariance += (x - meanX) * (ys[i] - meanY)
		variance += (x - meanX) * (x - meanX)
	}
	if variance > 0 {
		slope = covariance / variance
	}
	return meanY - slope*meanX, slope
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(1, len(list)))
}

// relativeResidual returns the root mean square difference between the figures and the line, relative to the mean of
// the figures, or 0 if that mean is 0.
func (l *Line) relativeResidual() float64 {
	sum := 0.0
	for i, n := range l.Sizes {
		d := l.Figures[i] - l.At(n)
		sum += d * d
	}
	scale := math.Abs(mean(l.Figures))
	if scale == 0 || len(l.Sizes) == 0 {
		return 0
	}
	return math.Sqrt(sum/float64(len(l.Sizes))) / scale
}

// Prediction compares the predicted and the measured figure of the size that was left out of the fits.
type Prediction struct {
	Figure    string  `json:"figure"`
	Size      int     `json:"size"`
	Predicted float64 `json:"predicted"`
	Measured  float64 `json:"measured"`
}

// Sweep holds the results of runs of several sizes and the functions fitted to them.
type Sweep struct {
	Partial     bool         `json:"partial"`
	LeftOut     int          `json:"left_out"` // number of gateways left out of the fits; 0 if no size is left out
	Results     []*Result    `json:"results"`
	Lines       []Line       `json:"lines"`
	Predictions []Prediction `json:"predictions"`
}

// figure names a figure of a result to which a function is fitted.
type figure struct {
	name  string
	value func(r *Result) float64
}

// figures returns the figures that every run has.
func figures() []figure {
	return []figure{
		{"view, bytes sent a second, mean", func(r *Result) float64 { return r.Gateway.View.Sent.Mean }},
		{"view, bytes sent a second, worst gateway", func(r *Result) float64 { return r.Gateway.View.Sent.Worst }},
		{"all control, bytes sent a second, mean", func(r *Result) float64 { return r.Gateway.All.Sent.Mean }},
		{"all control, bytes received a second, mean", func(r *Result) float64 { return r.Gateway.All.Received.Mean }},
		{"processor, share of a core, mean", func(r *Result) float64 { return r.Gateway.Processor.Mean }},
		{"processor, share of a core, worst gateway", func(r *Result) float64 { return r.Gateway.Processor.Worst }},
		{"heap, bytes, mean", func(r *Result) float64 { return float64(r.Gateway.HeapMean) }},
		{"start of all: bytes sent, mean", func(r *Result) float64 { return r.Start.Sent.Mean }},
		{"start of all: processor seconds, mean", func(r *Result) float64 { return r.Start.Processor.Mean }},
		{"start of all: settled after, s", func(r *Result) float64 { return r.Start.Converged }},
	}
}

// controlFigures returns the additional figures of runs with control machines.
func controlFigures() []figure {
	return []figure{
		{"configuration, bytes received a second, mean",
			func(r *Result) float64 { return r.Gateway.Configuration.Received.Mean }},
		{"control machine, bytes sent a second, mean",
			func(r *Result) float64 { return r.Configuration.ControlSent.Mean }},
		{"control machine, bytes received a second, mean",
			func(r *Result) float64 { return r.Configuration.ControlReceived.Mean }},
		{"control machine, share of a core, worst",
			func(r *Result) float64 { return r.Configuration.ControlCPU.Worst }},
		{"a change in force at all, s, median", func(r *Result) float64 { return r.Configuration.Median.All }},
		{"a change in force at all, s, worst", func(r *Result) float64 { return r.Configuration.Worst.All }},
	}
}

// Fit fits a function to each figure over all sizes but LeftOut, and predicts the figures of LeftOut.
func (s *Sweep) Fit() {
	s.Lines, s.Predictions = []Line{}, []Prediction{}
	fitted := figures()
	if len(s.Results) > 0 && !slices.ContainsFunc(s.Results, func(r *Result) bool { return r.Configuration == nil }) {
		fitted = append(fitted, controlFigures()...)
	}
	for _, f := range fitted {
		var sizes, values []float64
		var leftOut *Result
		for _, r := range s.Results {
			if r.Options.Gateways == s.LeftOut {
				leftOut = r
				continue
			}
			sizes, values = append(sizes, float64(r.Options.Gateways)), append(values, f.value(r))
		}
		if len(sizes) < 2 {
			continue
		}
		line := FitLine(f.name, sizes, values)
		s.Lines = append(s.Lines, line)
		if leftOut != nil {
			s.Predictions = append(s.Predictions, Prediction{f.name, s.LeftOut, line.At(float64(s.LeftOut)), f.value(leftOut)})
		}
	}
}

// Text returns the fits and the predictions as lines of text.
func (s *Sweep) Text() string {
	var b strings.Builder
	for _, l := range s.Lines {
		form := fmt.Sprintf("%.4g + %.4g n", l.Base, l.Slope)
		if l.Power {
			form = fmt.Sprintf("%.4g n^%.3f", l.Base, l.Slope)
		}
		fmt.Fprintf(&b, "%-45s %-24s residual %.1f%%\n", l.Figure, form, 100*l.Residual)
	}
	for _, p := range s.Predictions {
		fmt.Fprintf(&b, "%-45s at %d, left out of the fit: predicted %.4g, measured %.4g\n", p.Figure, p.Size,
			p.Predicted, p.Measured)
	}
	if s.Partial {
		fmt.Fprintln(&b, "partial: interrupted before all sizes were run")
	}
	return b.String()
}

// FirstViolation returns the first violation found in a run, or an empty string.
func (r *Result) FirstViolation() string {
	if len(r.Violations) > 0 {
		return r.Violations[0]
	}
	if c := r.Configuration; c != nil && len(c.Violations) > 0 {
		return c.Violations[0]
	}
	return ""
}

// Text returns the figures of a run as lines of text.
func Text(r *Result) string {
	var b strings.Builder
	o, g := &r.Options, &r.Gateway
	fmt.Fprintf(&b, "%d gateways, %d zones, %d regions, loss %.0f%%, stalls %.0f%%, seed %d: %.0f s measured in %.1f s\n", o.Gateways, o.Zones, o.Regions,
		100*o.Loss, 100*o.Stalls, o.Seed, r.Measured, r.Elapsed)
	if r.Partial {
		fmt.Fprintln(&b, "  partial: interrupted before the end of the run")
	}
	fmt.Fprintf(&b, "  start of all: settled after %.2f s, %.0f bytes sent by a gateway (worst %.0f), %.3f s of processor (worst %.3f)\n", r.Start.Converged,
		r.Start.Sent.Mean, r.Start.Sent.Worst, r.Start.Processor.Mean, r.Start.Processor.Worst)
	fmt.Fprintf(&b, "  a gateway, mean / worst: sent %.0f / %.0f bytes a second (view %.0f / %.0f), received %.0f / %.0f\n", g.All.Sent.Mean, g.All.Sent.Worst,
		g.View.Sent.Mean, g.View.Sent.Worst, g.All.Received.Mean, g.All.Received.Worst)
	fmt.Fprintf(&b, "  processor %.4f%% / %.4f%% of a core, heap %.2f MB in the mean\n", 100*g.Processor.Mean,
		100*g.Processor.Worst, float64(g.HeapMean)/1e6)
	fmt.Fprintf(&b, "  crash known: %s\n  join known:  %s\n", r.Crash, r.Join)
	fmt.Fprintf(&b, "  false doubts %d, false removals seen by %d observers %d; all views true %.2f s after the run\n", r.FalseSuspicions, r.Observers, r.FalseRemovals, r.Recovered)
	if len(r.HealingTimes) > 0 {
		fmt.Fprintf(&b, "  parted regions: all views true %v s after they met again\n", r.HealingTimes)
	}
	if c := r.Configuration; c != nil {
		fmt.Fprintf(&b, "  configuration: first in force everywhere after %.2f s; %d changes, %d unfinished, %d later than 8 s; median %s, worst %s\n", c.InitialDistribution,
			c.Submitted, c.Unfinished, c.MissedObjective, c.Median, c.Worst)
		fmt.Fprintf(&b, "  control machine, mean / worst: sent %.0f / %.0f, received %.0f / %.0f bytes a second, %.2f%% / %.2f%% of a core, %d gateways at most\n",
			c.ControlSent.Mean, c.ControlSent.Worst, c.ControlReceived.Mean, c.ControlReceived.Worst,
			100*c.ControlCPU.Mean, 100*c.ControlCPU.Worst, c.MaxSubscribers)
	}
	if f := r.Full; f != nil {
		fmt.Fprintf(&b, "  full gateway: settings %.3f s and %.1f MB, list %.3f s and %.1f MB, division %.3f s at most and %.2f%% of a core in the run\n", f.SettingsTime,
			float64(f.SettingsHeap)/1e6, f.ListTime, float64(f.ListHeap)/1e6, f.DivisionLongest,
			100*f.DivisionShare.Mean)
		for _, p := range f.Problems {
			fmt.Fprintln(&b, "    "+p)
		}
	}
	return b.String()
}

// String implements fmt.Stringer.
func (t Times) String() string {
	return fmt.Sprintf("half %.2f s, 99%% %.2f s, all %.2f s", t.Half, t.P99, t.All)
}

// String implements fmt.Stringer.
func (s Propagation) String() string {
	if s.Count == 0 {
		return "none happened"
	}
	return fmt.Sprintf("%d, median %s, worst %s, %d overtaken or unfinished", s.Count, s.Median, s.Worst, s.Unfinished)
}

// PlotSeconds draws the bytes per second that a gateway sent, in the mean and at most, over the time of a run.
func PlotSeconds(out io.Writer, r *Result) error {
	average, worst := report.Series{Name: "mean"}, report.Series{Name: "worst gateway"}
	for _, s := range r.Seconds {
		average.Xs, average.Ys = append(average.Xs, s.At), append(average.Ys, s.Mean)
		worst.Xs, worst.Ys = append(worst.Xs, s.At), append(worst.Ys, s.Worst)
	}
	return report.Plot(out, fmt.Sprintf("Sent by a gateway of %d (%.0f%% loss)", r.Options.Gateways,
		100*r.Options.Loss), "s", "bytes a second",
		[]report.Series{average, worst})
}

// PlotSizes draws the bytes per second that a gateway sent, in the mean and at most, over the number of gateways.
func PlotSizes(out io.Writer, s *Sweep) error {
	average, most := report.Series{Name: "mean"}, report.Series{Name: "worst gateway"}
	for _, r := range s.Results {
		n := float64(r.Options.Gateways)
		average.Xs, average.Ys = append(average.Xs, n), append(average.Ys, r.Gateway.All.Sent.Mean)
		most.Xs, most.Ys = append(most.Xs, n), append(most.Ys, r.Gateway.All.Sent.Worst)
	}
	return report.Plot(out, "Sent by a gateway for control", "gateways", "bytes a second",
		[]report.Series{average, most})
}
