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

// endsWithin is how soon a command that was told to end must have ended, on a busy machine and with the
// race detector.
const endsWithin = 5 * time.Second

// looksBefore is how often a command finds that it is not told to end before it is: it is under way then.
const looksBefore = 20

// countdown is a context that is done once its Err was asked for often enough. The commands look at it
// as they go on.
type countdown struct {
	context.Context
	left atomic.Int64
	told atomic.Int64 // when it was done, in Unix nanoseconds
}

// Err implements context.Context.
func (c *countdown) Err() error {
	if c.left.Add(-1) >= 0 {
		return nil
	}
	c.told.CompareAndSwap(0, time.Now().UnixNano())
	return context.Canceled
}

// Each of these would run for a minute or more. Told to end, it does so with what it has, says that it
// is partial, and ends with a code of its own.
func TestLongCommandsEndEarly(t *testing.T) {
	plan := filepath.Join("..", "simulation", "testdata", "turned-away-burst.json")
	for name, command := range map[string]interface{ Run(*env) error }{
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
			ctx := &countdown{Context: t.Context()}
			ctx.left.Store(looksBefore)
			if name == "plan" {
				ctx.left.Store(1) // it is short
			}
			var end coded
			if err := command.Run(&env{ctx: ctx, out: &out, err: &errs}); !errors.As(err, &end) ||
				end.code != exitEarly {
				t.Errorf("%v\n%s", err, out.String())
			}
			if took := time.Since(time.Unix(0, ctx.told.Load())); took > endsWithin {
				t.Errorf("ended %v after it was told to", took)
			}
			if !strings.Contains(out.String()+end.text, "partial") {
				t.Errorf("not said to be partial: %s %s", out.String(), end.text)
			}
		})
	}
}
