package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"thymebend/internal/fielderror"
)

// smallFleet returns the options of a fleet whose run takes a second or two.
func smallFleet() Options {
	o := Defaults()
	o.Gateways, o.Hosts, o.Services, o.Tenants, o.Routes, o.Full, o.For = 64, 500, 40, 500, 200, 1, 10*time.Second
	return o
}

func mustRun(t *testing.T, o Options) *Result {
	t.Helper()
	r, err := Run(t.Context(), o, nil)
	if err != nil {
		t.Fatal(err)
	}
	if r.Partial || r.FirstViolation() != "" {
		t.Fatalf("partial %v, broken %q", r.Partial, r.FirstViolation())
	}
	return r
}

// Verifies that, without events, the bytes that a gateway sends for its view do not grow with the fleet, and that
// its heap grows linearly with the number of members, not quadratically.
func TestCostGrowthOfAnIdleFleet(t *testing.T) {
	var s Sweep
	for _, n := range []int{16, 32, 64} {
		o := smallFleet()
		o.Gateways, o.Full = n, 0
		s.Results = append(s.Results, mustRun(t, o))
	}
	s.Fit()
	for _, l := range s.Lines {
		growth := l.At(64) / l.At(16)
		switch {
		case strings.HasPrefix(l.Figure, "view, bytes sent a second, mean") && growth > 1.1:
			t.Errorf("%s: %.2f times as many bytes at four times the size", l.Figure, growth)
		case strings.HasPrefix(l.Figure, "start of all: bytes") && growth > 6: // growth as n log n would be 5.6
			t.Errorf("%s: %.2f times at four times the size", l.Figure, growth)
		case strings.HasPrefix(l.Figure, "heap") && growth > 4:
			t.Errorf("%s: %.2f times at four times the size", l.Figure, growth)
		}
	}
	if sent := s.Results[2].Gateway.View.Sent; sent.Mean > 400 || sent.Worst > 600 {
		t.Errorf("64 idle gateways sent %.0f bytes a second in the mean, %.0f at most; want at most 400 and 600", sent.Mean, sent.Worst)
	}
}

// Verifies that, with loss and stalls, crashes, joins and configuration changes are known in time, and that no running
// gateway is removed.
func TestSmallFleetUnderFaults(t *testing.T) {
	o := smallFleet()
	o.Loss, o.Stalls, o.Restarts, o.Failures, o.Changes = 0.05, 0.1, 3, 2, 4
	r := mustRun(t, o)
	if r.Crash.Count != 2 || r.Join.Count != 5 || r.Crash.Unfinished+r.Join.Unfinished > 0 {
		t.Errorf("crashes %+v, joins %+v", r.Crash, r.Join)
	}
	if r.Crash.Worst.All > 8 || r.Join.Worst.All > 4 {
		t.Errorf("crashes known after %v, joins after %v", r.Crash.Worst, r.Join.Worst)
	}
	if r.FalseRemovals > 0 {
		t.Errorf("%d false removals", r.FalseRemovals)
	}
	c := r.Configuration
	if c == nil || c.Submitted != 4 || c.Unfinished > 0 || c.Worst.All > changeObjective.Seconds() {
		t.Errorf("configuration %+v", c)
	}
	if r.Full == nil || r.Full.Divisions == 0 || len(r.Full.Problems) > 0 {
		t.Errorf("full gateways %+v", r.Full)
	}
}

// Verifies that a failed zone rejoins, and that the views are correct again after a partition of the regions.
func TestZonesAndRegionsRecoverAfterFaults(t *testing.T) {
	o := smallFleet()
	o.Full, o.For = 0, 30*time.Second
	o.Faults = []Fault{{Kind: ZoneFails, At: 0, For: 8 * time.Second}, {Kind: RegionsPartition, At: 12 * time.Second,
		For: 12 * time.Second}}
	r := mustRun(t, o)
	if r.Crash.Count < 9 || r.Join.Count < 9 || r.Recovered < 0 {
		t.Errorf("crashes %d, joins %d, recovered after %v s", r.Crash.Count, r.Join.Count, r.Recovered)
	}
	if len(r.HealingTimes) != 1 || r.HealingTimes[0] > 10 {
		t.Errorf("healed %v s after the partition of the regions; want one value of 10 at most", r.HealingTimes)
	}
	if least := r.Seconds[5].Alive; least > 55 {
		t.Errorf("%d of 64 gateways run while a zone is down; want 55 at most", least)
	}
}

// Verifies that two runs of the same seed give the same figures, except those measured on this machine.
func TestSameSeedReproducesTheRun(t *testing.T) {
	var runs []string
	for range 2 {
		o := smallFleet()
		o.Loss, o.Restarts, o.Changes = 0.1, 3, 3
		r := mustRun(t, o)
		runs = append(runs, fmt.Sprint(r.Gateway.All, r.Crash, r.Join, r.Seconds, r.Configuration.Median))
	}
	if runs[0] != runs[1] {
		t.Errorf("two runs of one seed differ:\n%s\n%s", runs[0], runs[1])
	}
}

// cancelAfterChecks is a context whose Err reports cancellation after a number of calls.
type cancelAfterChecks struct {
	context.Context
	remaining atomic.Int64
}

// Err implements context.Context.
func (e *cancelAfterChecks) Err() error {
	if e.remaining.Add(-1) >= 0 {
		return nil
	}
	return context.Canceled
}

// Verifies that a run that is interrupted at any point returns a result marked as partial.
func TestInterruptedRunIsPartial(t *testing.T) {
	for _, checks := range []int64{0, 1, 50, 400, 900} {
		o := smallFleet()
		o.Changes, o.For = 2, 10*time.Minute
		ctx := &cancelAfterChecks{Context: t.Context()}
		ctx.remaining.Store(checks)
		if r, err := Run(ctx, o, nil); err != nil || !r.Partial {
			t.Errorf("interrupted after %d checks of the context: not marked as partial, or error %v", checks, err)
		}
	}
}

// Verifies that the error for an option out of its range names the option.
func TestOptionsOutOfRangeNameTheirField(t *testing.T) {
	for field, change := range map[string]func(o *Options){
		"gateways":      func(o *Options) { o.Gateways = 2 },
		"hosts":         func(o *Options) { o.Hosts = 1 << 20 },
		"services":      func(o *Options) { o.Services = 0 },
		"tenants":       func(o *Options) { o.Tenants = -1 },
		"routes":        func(o *Options) { o.Routes = 0 },
		"zones":         func(o *Options) { o.Zones = 65 },
		"regions":       func(o *Options) { o.Regions = 8 },
		"full":          func(o *Options) { o.Full = 17 },
		"for":           func(o *Options) { o.For = 0 },
		"loss":          func(o *Options) { o.Loss = math.NaN() },
		"stalls":        func(o *Options) { o.Stalls = 0.6 },
		"restarts":      func(o *Options) { o.Restarts = -1 },
		"failures":      func(o *Options) { o.Failures = 1 << 20 },
		"changes":       func(o *Options) { o.Changes = -2 },
		"fault.0.do":    func(o *Options) { o.Faults = []Fault{{Kind: "flood", For: 1}} },
		"fault.0.at":    func(o *Options) { o.Faults = []Fault{{Kind: RackFails, At: time.Hour, For: 1}} },
		"fault.0.for":   func(o *Options) { o.Faults = []Fault{{Kind: RackFails}} },
		"fault.0.share": func(o *Options) { o.Faults = []Fault{{Kind: LossRises, For: 1}} },
	} {
		o := Defaults()
		change(&o)
		_, err := Run(t.Context(), o, nil)
		var wrong *FieldError
		if !errors.As(err, &wrong) || wrong.Field != field {
			t.Errorf("%s: %v", field, err)
		}
	}
	if empty := new(Options); len(empty.Check()) < 5 {
		t.Errorf("zero options: %v", empty.Check())
	}
}

// Verifies that a file's options replace the defaults, that errors name line, column and field, and that faults of
// the command line are parsed.
func TestParseFilesAndFaults(t *testing.T) {
	good := "gateways = 100\nfor = \"2m\"\n[[fault]]\ndo = \"zone\"\nat = \"10s\"\nfor = \"30s\"\n"
	o, err := Parse("x.toml", []byte(good), Defaults())
	if err != nil || o.Gateways != 100 || o.Hosts != 7700 || len(o.Faults) != 1 ||
		o.Faults[0].Kind != ZoneFails || o.For != 2*time.Minute {
		t.Fatalf("%+v %v", o, err)
	}
	for text, want := range map[string]string{
		"gateways = 1\n":  "x.toml:1:1: gateways: 1, but 3 to 2000",
		"\ngatewys = 5\n": "x.toml:2:1: gatewys: unknown field, did you mean gateways?",
		"for = 60\n":      "x.toml:1:1: for: a time",
		"[[fault]]\ndo = \"zone\"\nfor = \"1s\"\nat = \"5h\"\n": "x.toml:4:1: fault.0.at: 5h0m0s",
		"loss = \"much\"\n": "x.toml:1:",
		"[[fault]\n":        "x.toml:1:",
	} {
		_, err := Parse("x.toml", []byte(text), Defaults())
		var faults fielderror.List
		if !errors.As(err, &faults) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	for text, want := range map[string]string{"zone": "is not KIND", "zone@1s": "is not KIND",
		"zone@x+1s": "\"x\" is no time",
		"zone@1s+y": "\"y\" is no time", "loss@1s+1s=z": "\"z\" is no share"} {
		if _, err := ParseFault(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
	if f, err := ParseFault("loss@1s+2s=0.25"); err != nil ||
		f != (Fault{LossRises, time.Second, 2 * time.Second, 0.25}) {
		t.Errorf("%+v %v", f, err)
	}
}

// Verifies that the fit finds the parameters of both forms, and predicts the figure of another size.
func TestFitLineFindsBothForms(t *testing.T) {
	sizes := []float64{50, 100, 200, 400}
	line := FitLine("line", sizes, []float64{110, 210, 410, 810})
	if line.Power || math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Base-10) > 1e-6 || line.Residual > 1e-9 {
		t.Errorf("%+v", line)
	}
	power := FitLine("power", sizes, []float64{3 * math.Sqrt(50), 30, 3 * math.Sqrt(200), 60})
	if !power.Power || math.Abs(power.Slope-0.5) > 1e-9 || math.Abs(power.At(900)-90) > 1e-6 {
		t.Errorf("%+v", power)
	}
}
