package cli

import (
	"bytes"
	"context"
	"errors"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// maxStopDelay is the time within which a cancelled command must end, on a busy machine and with the race detector.
const maxStopDelay = 5 * time.Second

// checksBeforeCancel is the number of checks of the context that succeed before it is cancelled, so that the command
// is running by then.
const checksBeforeCancel = 20

// cancelAfterChecks is a context whose Err reports cancellation after a number of calls. The commands call it while
// they run.
type cancelAfterChecks struct {
	context.Context
	remaining   atomic.Int64
	cancelledAt atomic.Int64 // time of the cancellation in Unix nanoseconds
}

// Err implements context.Context.
func (c *cancelAfterChecks) Err() error {
	if c.remaining.Add(-1) >= 0 {
		return nil
	}
	c.cancelledAt.CompareAndSwap(0, time.Now().UnixNano())
	return context.Canceled
}

// Each of these commands, except plan, would run for a minute or more. Verifies that a cancelled command stops within
// maxStopDelay, reports its output as partial, and exits with exitInterrupted.
func TestLongCommandsStopWhenCancelled(t *testing.T) {
	plan := filepath.Join("..", "simulation", "testdata", "turned-away-burst.json")
	for name, command := range map[string]interface{ Run(*environment) error }{
		"view":         viewCmd{Nodes: 400, Seed: 1, Loss: 0.05, Without: "none"},
		"view --plots": viewCmd{Nodes: 400, Seed: 1, Loss: 0.05, Without: "none", Plots: t.TempDir()},
		"seeds":        seedsCmd{From: 1, Count: 1 << 40, Jobs: 1},
		"seeds members": seedsCmd{From: 1, Count: 1 << 40, Jobs: 1, Profile: membersProfile,
			sizeFlags: sizeFlags{Gateways: 300},
			JSON:      filepath.Join(t.TempDir(), "seeds.json")},
		"shares --gateway": sharesCmd{Gateways: 30, Hosts: 40, Seed: 1, Gateway: true},
		"shares":           sharesCmd{Seed: 1},
		"replay members":   replayCmd{Seed: 1, Profile: membersProfile, sizeFlags: sizeFlags{Gateways: 500}},
		"plan":             planCmd{File: plan},
		"scale": scaleCmd{Gateways: 300, Hosts: 100, Tenants: -1, Full: -1, Loss: -1, Stalls: -1,
			Restarts: -1, Failures: -1, Changes: -1, JSON: "-"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var out, errs bytes.Buffer
			ctx := &cancelAfterChecks{Context: t.Context()}
			ctx.remaining.Store(checksBeforeCancel)
			if name == "plan" {
				ctx.remaining.Store(1) // the plan is a short run: cancel it early
			}
			var exit exitError
			if err := command.Run(&environment{ctx: ctx, out: &out, err: &errs}); !errors.As(err, &exit) ||
				exit.code != exitInterrupted {
				t.Errorf("%v\n%s", err, out.String())
			}
			if took := time.Since(time.Unix(0, ctx.cancelledAt.Load())); took > maxStopDelay {
				t.Errorf("ended %v after the cancellation, want at most %v", took, maxStopDelay)
			}
			if !strings.Contains(out.String()+exit.text, "partial") {
				t.Errorf("output not reported as partial: %s %s", out.String(), exit.text)
			}
		})
	}
}
