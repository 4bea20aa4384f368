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

// Every seed draws a drill that can be played, always the same, with faults that overlap.
func TestSeedsDrawDrills(t *testing.T) {
	overlapping := 0
	for seed := range uint64(300) {
		text, err := Text(Options{Seed: seed})
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := Text(Options{Seed: seed}); again != text {
			t.Fatalf("seed %d draws two drills", seed)
		}
		f, err := drill.Parse(fmt.Sprint("seed-", seed), []byte(text))
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if n := f.Gateways.Count; n < LeastGateways || n > MostGateways {
			t.Errorf("seed %d: %d gateways", seed, n)
		}
		if overlap(f) {
			overlapping++
		}
	}
	if overlapping < 290 {
		t.Errorf("faults overlap at %d of 300 seeds", overlapping)
	}
}

// overlap reports whether two faults of processes or paths are in force at once.
func overlap(f *drill.File) bool {
	for i, a := range f.Faults {
		for _, b := range f.Faults[:i] {
			if a.At.Duration < b.At.Duration+b.For.Duration && b.At.Duration < a.At.Duration+a.For.Duration {
				return true
			}
		}
	}
	return false
}

func TestFaultyOptionsAreNamed(t *testing.T) {
	for want, o := range map[string]Options{
		"gateways is 9":  {Gateways: 9},
		"gateways is 41": {Gateways: 41},
		"length is 1s":   {Length: time.Second},
		"length is 1h":   {Length: time.Hour},
	} {
		if _, err := Text(o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v", o, err)
		}
	}
}

// One soak of ten real gateways holds every rule, with clients that stop all along.
func TestASoakHoldsTheRules(t *testing.T) {
	program := filepath.Join(t.TempDir(), "thymebend")
	if out, err := exec.Command("go", "build", "-o", program, "thymebend/cmd/thymebend").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	text, err := Text(Options{Seed: 2, Gateways: LeastGateways, Length: 12 * time.Second})
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
		t.Errorf("%d of %d served", res.Load.OK, res.Load.Scheduled)
	}
}
