package configsim

import (
	"reflect"
	"testing"
	"time"
)

// Guards against violated invariants in 30 drawn runs, and against runs in which the faults do not happen: over all
// runs there must be stops, rejections, ignored older versions, stalls and repeated frames.
func TestDrawnRunsKeepInvariants(t *testing.T) {
	stops, rejected, fenced, stalls, repeated := 0, uint64(0), uint64(0), uint64(0), uint64(0)
	for seed := uint64(1); seed <= 30; seed++ {
		o := Play(seed)
		for _, f := range o.Violations[:min(3, len(o.Violations))] {
			t.Errorf("seed %d: %s", seed, f)
		}
		stops += o.Stops
		rejected, fenced, stalls, repeated = rejected+o.Rejected, fenced+o.Fenced, stalls+o.Stalls, repeated+o.Repeated
	}
	t.Logf("%d stops, %d refused, %d fenced, %d stalls, %d repeated frames", stops, rejected, fenced, stalls, repeated)
	if stops == 0 || rejected == 0 || fenced == 0 || stalls == 0 || repeated == 0 {
		t.Error("some kind of event never happened in the runs")
	}
}

// Guards against a run whose outcome depends on more than its seed.
func TestRunIsDeterminedBySeed(t *testing.T) {
	if a, b := Play(7), Play(7); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of one seed differ: %v, then %v", a, b)
	}
}

// Runs a small cluster with many changes and restarts in a short time. The checked traffic and times are of the
// simulation, so they are the same on every machine.
func TestMeasureStaysWithinTrafficAndTimeBounds(t *testing.T) {
	scenario := Scenario{Gateways: 64, Zones: 7, Regions: 2, Size: ConfigurationSize{Services: 40, Routes: 200, Tenants: 800},
		ServicesPerGateway: 8, Changes: 30, Restarts: 20, Failures: 2,
		Duration: 30 * time.Second, Loss: 0.05, Seed: 1}
	f := Measure(scenario)
	t.Logf("%+v", f)
	if len(f.Violations) > 0 || f.UnfinishedChanges > 0 || f.LateChanges > 0 || f.StoppedVersions > 0 {
		t.Errorf("violations %v, %d changes unfinished, %d late, %d rollouts stopped", f.Violations, f.UnfinishedChanges,
			f.LateChanges, f.StoppedVersions)
	}
	if f.IdleRate > 150 || f.MeanRate > 1000 || f.SingleChange[2] > 4*time.Second || f.Subscribers > 40 {
		t.Errorf("%.0f bytes per second without changes, %.0f in the run, a single change took %v, %d subscribers",
			f.IdleRate, f.MeanRate, f.SingleChange, f.Subscribers)
	}
}
