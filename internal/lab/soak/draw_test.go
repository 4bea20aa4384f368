package soak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"thymebend/internal/lab/drill"
)

// Each of 300 seeds yields a valid drill, the same on each call, and at least 290 of them have overlapping faults.
func TestEachSeedDrawsOneValidDrill(t *testing.T) {
	overlapping := 0
	for seed := range uint64(300) {
		text, err := Text(Options{Seed: seed})
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := Text(Options{Seed: seed}); again != text {
			t.Fatalf("seed %d yields two different drills", seed)
		}
		f, err := drill.Parse(fmt.Sprint("seed-", seed), []byte(text))
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if n := f.Gateways.Count; n < MinGateways || n > MaxGateways {
			t.Errorf("seed %d: %d gateways, out of range", seed, n)
		}
		if faultsOverlap(f) {
			overlapping++
		}
	}
	if overlapping < 290 {
		t.Errorf("faults overlap for %d of 300 seeds, want at least 290", overlapping)
	}
}

// faultsOverlap reports whether two faults of processes or paths are active at the same time.
func faultsOverlap(f *drill.File) bool {
	for i, a := range f.Faults {
		for _, b := range f.Faults[:i] {
			if a.At.Duration < b.At.Duration+b.For.Duration && b.At.Duration < a.At.Duration+a.For.Duration {
				return true
			}
		}
	}
	return false
}

func TestInvalidOptionsAreReported(t *testing.T) {
	for want, o := range map[string]Options{
		"gateways is 9":  {Gateways: 9},
		"gateways is 41": {Gateways: 41},
		"length is 1s":   {Length: time.Second},
		"length is 1h":   {Length: time.Hour},
	} {
		if _, err := Text(o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: error %v, want %q", o, err, want)
		}
	}
}

// A soak of ten real gateways violates no rule while clients continually stop in the middle of requests.
func TestSoakWithRealGatewaysFollowsTheRules(t *testing.T) {
	program := filepath.Join(t.TempDir(), "thymebend")
	if out, err := exec.Command("go", "build", "-o", program, "thymebend/cmd/thymebend").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	text, err := Text(Options{Seed: 2, Gateways: MinGateways, Length: 12 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	f, err := drill.Parse("soak", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	res, err := drill.Run(ctx, f, drill.Options{Gateway: program, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	for _, found := range res.Findings {
		t.Errorf("%s: %s: %s", found.Rule, found.ID, found.Detail)
	}
	if res.Load.OK < res.Load.Scheduled/2 {
		t.Errorf("%d of %d requests served, want at least half", res.Load.OK, res.Load.Scheduled)
	}
}

// Guards against soaks that drain all hosts for good: a gateway that restarts then can't become ready, and the soak ends.
func TestSoaksLeaveHosts(t *testing.T) {
	for seed := range uint64(500) {
		text, err := Text(Options{Seed: seed})
		if err != nil {
			t.Fatal(err)
		}
		hosts, drained := 0, 0
		for table := range strings.SplitSeq(text, "[[") {
			count := 0
			if _, rest, found := strings.Cut(table, "\ncount = "); found {
				_, _ = fmt.Sscan(rest, &count)
			}
			switch {
			case strings.HasPrefix(table, "hosts]]"):
				hosts += count
			case strings.Contains(table, `do = "host-drain"`):
				drained += count
			}
		}
		if hosts-drained < minHosts {
			t.Errorf("seed %d: %d of %d hosts are drained", seed, drained, hosts)
		}
	}
}
