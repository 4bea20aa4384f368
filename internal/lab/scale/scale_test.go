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

// small is a fleet that is played in a second or two.
func small() Options {
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
	if r.Partial || r.Broken() != "" {
		t.Fatalf("partial %v, broken %q", r.Partial, r.Broken())
	}
	return r
}

// What a gateway sends for its view does not grow with the fleet while nothing happens, and its heap
// grows by what one more member takes, not with the square.
func TestSlopesOfAFleetAtRest(t *testing.T) {
	var s Sweep
	for _, n := range []int{16, 32, 64} {
		o := small()
		o.Gateways, o.Full = n, 0
		s.Results = append(s.Results, mustRun(t, o))
	}
	s.Fit()
	for _, l := range s.Lines {
		growth := l.At(64) / l.At(16)
		switch {
		case strings.HasPrefix(l.Figure, "view, bytes sent a second, mean") && growth > 1.1:
			t.Errorf("%s: %.2f times as many bytes at four times the size", l.Figure, growth)
		case strings.HasPrefix(l.Figure, "start of all: bytes") && growth > 6: // n log n would be 5.6
			t.Errorf("%s: %.2f times at four times the size", l.Figure, growth)
		case strings.HasPrefix(l.Figure, "heap") && growth > 4:
			t.Errorf("%s: %.2f times at four times the size", l.Figure, growth)
		}
	}
	if sent := s.Results[2].Gateway.View.Sent; sent.Mean > 400 || sent.Worst > 600 {
		t.Errorf("64 gateways at rest: %.0f bytes a second in the mean, %.0f at most", sent.Mean, sent.Worst)
	}
}

// With loss and stalls, crashes and restarts are known in their time, within the bytes that control may take.
func TestASmallFleetInTrouble(t *testing.T) {
	o := small()
	o.Loss, o.Stalls, o.Restarts, o.Failures, o.Changes = 0.05, 0.1, 3, 2, 4
	r := mustRun(t, o)
	if r.Crash.Count != 2 || r.Join.Count != 5 || r.Crash.Unfinished+r.Join.Unfinished > 0 {
		t.Errorf("crashes %+v, joins %+v", r.Crash, r.Join)
	}
	if r.Crash.Worst.All > 8 || r.Join.Worst.All > 4 {
		t.Errorf("crashes known after %v, joins after %v", r.Crash.Worst, r.Join.Worst)
	}
	if r.Removals > 0 {
		t.Errorf("%d false removals", r.Removals)
	}
	c := r.Configuration
	if c == nil || c.Submitted != 4 || c.Unfinished > 0 || c.Worst.All > changeAim.Seconds() {
		t.Errorf("configuration %+v", c)
	}
	if r.Full == nil || r.Full.Divisions == 0 || len(r.Full.Problems) > 0 {
		t.Errorf("full gateways %+v", r.Full)
	}
}

// A zone that fails is back, and regions that were parted find each other.
func TestZonesAndRegionsRecover(t *testing.T) {
	o := small()
	o.Full, o.For = 0, 30*time.Second
	o.Faults = []Fault{{Kind: ZoneFails, At: 0, For: 8 * time.Second}, {Kind: RegionsPart, At: 12 * time.Second,
		For: 12 * time.Second}}
	r := mustRun(t, o)
	if r.Crash.Count < 9 || r.Join.Count < 9 || r.Recovered < 0 {
		t.Errorf("crashes %d, joins %d, recovered after %v s", r.Crash.Count, r.Join.Count, r.Recovered)
	}
	if len(r.Healed) != 1 || r.Healed[0] > 10 {
		t.Errorf("regions that were parted found each other after %v s", r.Healed)
	}
	if least := r.Seconds[5].Alive; least > 55 {
		t.Errorf("%d of 64 gateways run while a zone is down", least)
	}
}

// The same seed is the same run, but for this machine's figures.
func TestSameSeedSameFleet(t *testing.T) {
	var runs []string
	for range 2 {
		o := small()
		o.Loss, o.Restarts, o.Changes = 0.1, 3, 3
		r := mustRun(t, o)
		runs = append(runs, fmt.Sprint(r.Gateway.All, r.Crash, r.Join, r.Seconds, r.Configuration.Median))
	}
	if runs[0] != runs[1] {
		t.Errorf("two runs of one seed differ:\n%s\n%s", runs[0], runs[1])
	}
}

// ending is a context that is done after it was looked at some times.
type ending struct {
	context.Context
	left atomic.Int64
}

// Err implements context.Context.
func (e *ending) Err() error {
	if e.left.Add(-1) >= 0 {
		return nil
	}
	return context.Canceled
}

// Told to end at any point, a run returns what it has and says that it is partial.
func TestAnEndedRunIsPartial(t *testing.T) {
	for _, looks := range []int64{0, 1, 50, 400, 900} {
		o := small()
		o.Changes, o.For = 2, 10*time.Minute
		ctx := &ending{Context: t.Context()}
		ctx.left.Store(looks)
		if r, err := Run(ctx, o, nil); err != nil || !r.Partial {
			t.Errorf("after %d looks: %v", looks, err)
		}
	}
}

// Each option out of its range is named with what is possible.
func TestOptionsOutOfRange(t *testing.T) {
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
	if wrong := new(Options); len(wrong.Check()) < 5 {
		t.Errorf("nothing given: %v", wrong.Check())
	}
}

// A faulty file names line, column and field; a good one goes over the defaults.
func TestFiles(t *testing.T) {
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

// A fit finds both forms again, and says what a size that was left out should show.
func TestFits(t *testing.T) {
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
