package experiment

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"thymebend/internal/lab/requestrecord"
)

var program string // path of the gateway program, built once for all tests

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "thymebend")
	if out, err := exec.Command("go", "build", "-o", program, "thymebend/cmd/thymebend").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// runExperiment runs f with the given gateway program, and checks that result.json and the trace of the run are
// complete.
func runExperiment(t *testing.T, f *File, gateway string) *Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	dir := t.TempDir()
	r, err := Run(ctx, f, Options{Gateway: gateway, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.WriteJSON(dir); err != nil {
		t.Fatal(err)
	}
	if again, err := ReadJSON(dir); err != nil || again.Load.Scheduled != r.Load.Scheduled ||
		len(again.Rules) != len(requestrecord.Rules()) {
		t.Errorf("result.json differs from the result: %v", err)
	}
	var trace bytes.Buffer
	if n, err := Trace(dir, &trace); err != nil || n != r.Load.Scheduled || strings.Count(trace.String(), "\n") != n+1 {
		t.Errorf("trace of %d requests, %d were scheduled: %v", n, r.Load.Scheduled, err)
	}
	return r
}

// Gateways are killed and restarted under load while hosts start, stop and drain. Requests that a killed gateway was
// serving may be lost, a planned restart loses none, and no request of the unsafe class "bid" runs twice.
func TestGatewayAndHostFailuresBreakNoRule(t *testing.T) {
	f, err := Load("../../../experiments/small/trouble.toml")
	if err != nil {
		t.Fatal(err)
	}
	r := runExperiment(t, f, program)
	if !r.RulesHeld {
		t.Errorf("findings: %+v", r.Findings)
	}
	if r.Load.OK < r.Load.Scheduled*3/4 || len(r.Events) < 9 {
		t.Errorf("%d of %d requests served, %d events", r.Load.OK, r.Load.Scheduled, len(r.Events))
	}
	for i, g := range r.Gateways {
		if g.Starts != 2 || len(g.Samples) < 8 || g.PeakMemoryMB <= 0 || g.PeakDescriptors <= 0 {
			t.Errorf("gateway %d was not started twice, or lacks samples: %+v", i, g)
		}
	}
	if len(r.Hosts) != 4 || len(r.Hosts[0].Samples) < 8 {
		t.Errorf("want 4 hosts with at least 8 samples: %+v", r.Hosts)
	}
}

// A gateway that ends without being stopped by the run is reported as a finding.
func TestUnexpectedGatewayExitIsFound(t *testing.T) {
	f, err := Parse("x.toml", []byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	// The gateway ends 0.7 s after its start, with all its connections, as one that panics does.
	crashingGateway := filepath.Join(t.TempDir(), "mortal")
	script := fmt.Sprintf("#!/bin/sh\n%s & pid=$!\nsleep 0.7\nkill -9 $pid\nexit 2\n", program)
	if err := os.WriteFile(crashingGateway, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	r := runExperiment(t, f, crashingGateway)
	died := 0
	for _, x := range r.Findings {
		if x.Rule == requestrecord.GatewayCrashed {
			died++
		}
	}
	if r.RulesHeld || died == 0 {
		t.Errorf("rules held %v, want false and a finding of the exit; findings %+v", r.RulesHeld, r.Findings)
	}
}

// Run returns an error if the gateway ends before it is ready, or if its program does not exist.
func TestRunFailsWhenGatewayDoesNotStart(t *testing.T) {
	f, err := Parse("x.toml", []byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Run(context.Background(), f, Options{Gateway: "/bin/false", Dir: t.TempDir()})
	if err == nil || !strings.Contains(err.Error(), "gateway-0 ended before it was ready") {
		t.Errorf("gateway that ends at once: error %v", err)
	}
	if _, err = Run(context.Background(), f, Options{Gateway: "/no/such", Dir: t.TempDir()}); err == nil ||
		!strings.Contains(err.Error(), "make build") {
		t.Errorf("missing gateway program: error %v", err)
	}
}

// A request that reaches a draining host more than drainGrace after the sending gateway was notified is reported by
// its id. A notification counts only for the gateway that received it, until that gateway restarts.
func TestRequestToDrainingHostAfterGraceIsFound(t *testing.T) {
	f, err := Parse("x.toml", []byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	w, err := NewWorld(f, 1, []string{"gateway-0"}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	m := w.managedHosts()[0]
	gateway := exec.Command(program)
	conf, err := w.Config("gateway-0", 0, "127.0.0.1:0", w.discovery.Addr("gateway-0"))
	path := filepath.Join(t.TempDir(), "c.json")
	if err == nil {
		err = os.WriteFile(path, conf, 0o600)
	}
	gateway.Env = append(os.Environ(), "LB_CONFIG="+path)
	if err == nil {
		err = gateway.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = gateway.Process.Kill(); _ = gateway.Wait() }()
	w.publish(m, "draining", 0)
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, ok := w.discovery.Notified("gateway-0", m.Name); ok {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the gateway was not notified of the draining host within 5 s")
		}
	}
	notification, _ := w.discovery.Notified("gateway-0", m.Name)
	w.checkArrival(m.Name, "gateway-0", "in-time", notification.At+drainGrace)
	w.checkArrival(m.Name, "gateway-0", "late", notification.At+drainGrace+time.Millisecond)
	w.checkArrival(m.Name, "gateway-1", "never-told", notification.At+time.Hour)
	if len(w.findings) != 1 || w.findings[0].ID != "late" || w.findings[0].Rule != requestrecord.SentAfterDrain {
		t.Errorf("want one finding, for the request \"late\": %+v", w.findings)
	}
}

// A lost attempt is excused only if its own gateway was killed while the attempt was in progress, or if the attempt
// was sent on a new connection long after SIGTERM to that gateway.
func TestOnlyKillsAndLateArrivalsAreExcused(t *testing.T) {
	w := &World{gateways: []*gateway{{clientAddr: "a", kills: []time.Duration{10 * time.Second},
		stops: []time.Duration{30 * time.Second}}}}
	for _, c := range []struct {
		target      string
		sent, ended time.Duration
		open        bool // sent on a connection that had carried another attempt
		want        bool
	}{{"a", 9 * time.Second, 10 * time.Second, false, true}, {"a", 9 * time.Second, 9500 * time.Millisecond, false, false},
		{"a", 11 * time.Second, 12 * time.Second, false, false}, {"b", 9 * time.Second, 10 * time.Second, false, false},
		{"a", 30*time.Second + 100*time.Millisecond, 31 * time.Second, false, false},
		{"a", 30*time.Second + 900*time.Millisecond, 31 * time.Second, false, true},
		{"a", 30*time.Second + 900*time.Millisecond, 31 * time.Second, true, false}} {
		attempt := requestrecord.Attempt{Target: c.target, Sent: c.sent, Ended: c.ended, OpenConnection: c.open}
		if got := w.excused(attempt); got != c.want {
			t.Errorf("%+v: excused is %v", c, got)
		}
	}
}

// Guards against a host that two events drain: it would be closed twice and its record counted twice, as if each request
// had been executed twice.
func TestHostDrainedTwiceIsCountedOnce(t *testing.T) {
	f, err := Parse("x.toml", []byte(smallExperiment+`
[[event]]
at = "200ms"
do = "host-drain"
count = 2
for = "100ms"

[[event]]
at = "300ms"
do = "host-replace"
count = 2
for = "100ms"
`))
	if err != nil {
		t.Fatal(err)
	}
	r := runExperiment(t, f, program)
	if !r.RulesHeld {
		t.Errorf("findings: %+v", r.Findings)
	}
	already := 0
	for _, e := range r.Events {
		if strings.HasSuffix(e.Text, "drains already") {
			already++
		}
	}
	if already == 0 {
		t.Errorf("no host was drained a second time; events %+v", r.Events)
	}
}
