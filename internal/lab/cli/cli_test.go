package cli

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"thymebend/internal/lab/load"
	"thymebend/internal/lab/requestrecord"
)

func runCommand(args ...string) (code int, out, err string) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

func TestHelpShowsAnExample(t *testing.T) {
	code, out, _ := runCommand("--help")
	if code != 0 || !strings.Contains(out, "thymelab run experiments/calm.toml") {
		t.Errorf("%d %s", code, out)
	}
	for _, c := range []string{"run", "load", "fleet", "compare", "trace", "drill", "shares", "view", "scale"} {
		if code, out, _ := runCommand(c, "--help"); code != 0 || !strings.Contains(out, "Example") ||
			!strings.Contains(out, "thymelab "+c) {
			t.Errorf("%s: %d %s", c, code, out)
		}
	}
}

func TestUnusableInputExitsWith2(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nnmae = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"run", bad, "--out", t.TempDir()}, bad + ":2:1: nmae: unknown field, did you mean name?"},
		{[]string{"run", "/no/such.toml", "--out", t.TempDir()}, "no such file"},
		{[]string{"fleet", bad}, bad + ":2:1"},
		{[]string{"drill", bad, "--out", t.TempDir()}, bad + ":2:1: nmae: unknown field, did you mean name?"},
		{[]string{"drill", "/no/such.toml", "--out", t.TempDir()}, "no such file"},
		{[]string{"drill", "../../../experiments/drills/stop.toml", "--out", t.TempDir(), "--gateway",
			"/no/such"}, "make build builds it"},
		{[]string{"shares", "--gateways", "5"}, "go together"},
		{[]string{"load"}, "--target"},
		{[]string{"load", "--target", "127.0.0.1:1", "--class", "x"}, "NAME=SHARE"},
		{[]string{"load", "--target", "10.0.0.1:80"}, "loopback"},
		{[]string{"load", "--target", "127.0.0.1:1", "--rate", "-1"}, "--rate"},
		{[]string{"compare", t.TempDir(), t.TempDir(), "--out", "/tmp/x"}, "result.json"},
		{[]string{"nonsense"}, "nonsense"},
	} {
		if code, _, err := runCommand(c.args...); code != 2 || !strings.Contains(err, c.want) {
			t.Errorf("%v: %d %s", c.args, code, err)
		}
	}
}

// Verifies that load measures a target that is down, and that the JSON figures contain the documented fields.
func TestLoadWritesFigures(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	path := filepath.Join(t.TempDir(), "out.json")
	code, out, errs := runCommand("load", "--target", addr, "--rate", "50", "--for", "200ms", "--class", "view=1",
		"--json", path)
	raw, err := os.ReadFile(path)
	if code != 0 || err != nil || !strings.Contains(out, "connection refused") {
		t.Fatalf("%d %v %s %s", code, err, out, errs)
	}
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"scheduled", "sent", "answered", "ok", "refused", "failed", "unanswered",
		"self_late_ms", "latency_ms"} {
		if _, ok := fields[name]; !ok {
			t.Errorf("%s is missing", name)
		}
	}
	for _, name := range []string{"p50", "p90", "p99", "p999", "max"} {
		if _, ok := fields["latency_ms"].(map[string]any)[name]; !ok {
			t.Errorf("latency_ms.%s is missing", name)
		}
	}
	if fields["scheduled"] != 10.0 || fields["failed"] != 10.0 || fields["sent"] != 0.0 {
		t.Errorf("%v", fields)
	}
}

// Verifies that a load in which the generator fell behind exits with 3 and prints no latencies.
func TestGeneratorFallingBehindExitsWith3(t *testing.T) {
	var out bytes.Buffer
	e := &environment{out: &out, err: &out}
	err := loadCmd{}.reportResult(e, load.Result{FellBehind: true, BehindReason: "late"}, requestrecord.NewClientRecord())
	if c, ok := err.(exitError); !ok || c.code != 3 || strings.Contains(out.String(), "p99") {
		t.Errorf("%v %s", err, out.String())
	}
}

// Runs a small experiment end to end. Verifies the exit code, that the pages refer to no outside resource, the
// comparison, the trace, and that load replays the trace at its recorded times.
func TestRunCompareTrace(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "thymebend")
	if out, err := exec.Command("go", "build", "-o", program, "thymebend/cmd/thymebend").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	day := filepath.Join(dir, "day.toml")
	text := `name = "day"
title = "A <small> day"
[[class]]
name = "view"
share = 1
work = { dist = "fixed", mean = "5ms" }
[[hosts]]
kind = "box"
count = 2
[[phase]]
for = "1500ms"
rate = 40
arrivals = "even"
[[event]]
at = "500ms"
do = "host-pause"
host = "box-0"
for = "100ms"
`
	if err := os.WriteFile(day, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	a, b := filepath.Join(dir, "a"), filepath.Join(dir, "b")
	for i, to := range []string{a, b} {
		code, out, errs := runCommand("run", day, "--out", to, "--gateway", program, "--seed", string(rune('1'+i)))
		if code != 0 || !strings.Contains(out, "All rules held.") {
			t.Fatalf("%d\n%s\n%s", code, out, errs)
		}
	}
	comparison, trace := filepath.Join(dir, "both.html"), filepath.Join(dir, "t.trace")
	if code, _, errs := runCommand("compare", a, b, "--out", comparison); code != 0 {
		t.Fatal(errs)
	}
	for _, path := range []string{filepath.Join(a, "report.html"), comparison} {
		page, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		content := strings.NewReplacer(`xmlns="http://www.w3.org/2000/svg"`, "", `xmlns:xlink="http://www.w3.org/1999/xlink"`, "").Replace(string(page))
		for _, reference := range []string{"http://", "https://", "<script", "src=", "A <small> day"} {
			if strings.Contains(content, reference) {
				t.Errorf("%s holds %q", path, reference)
			}
		}
		if n := strings.Count(content, "<svg"); n < 6 {
			t.Errorf("%s: %d plots", path, n)
		}
	}
	if code, out, errs := runCommand("trace", a, "--out", trace); code != 0 || !strings.HasPrefix(out, "60 requests") {
		t.Errorf("%s%s", out, errs)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	began := time.Now()
	code, out, errs := runCommand("load", "--target", ln.Addr().String(), "--class", "view=1", "--trace", trace)
	if code != 0 || !strings.Contains(out, "scheduled 60,") || time.Since(began) < time.Second {
		t.Errorf("replay of the trace: exit code %d %s %s", code, out, errs)
	}
}
