package cli

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"thymebend/internal/lab/configsim"
)

type rolloutsCmd struct {
	Seeds  int           `default:"100" placeholder:"N" help:"Number of random runs to play, 1 to 1,000,000."`
	From   uint64        `default:"1" placeholder:"K" help:"First seed."`
	Jobs   int           `default:"2" placeholder:"N" help:"Runs played in parallel, 1 to 64."`
	Each   bool          `help:"Print a line for each run, not only for runs that broke a rule."`
	Fleet  bool          `help:"Measure 870 gateways instead, with the changes, restarts and failures of a day within one run; --from is its seed."`
	Length time.Duration `default:"10m" placeholder:"TIME" help:"Length of the run with --fleet, in virtual time, 10s to 24h."`
	Loss   float64       `default:"0" placeholder:"SHARE" help:"Share of the frames that is lost, with --fleet."`
}

// Help implements kong.HelpProvider.
func (rolloutsCmd) Help() string {
	return "Plays control machines and gateways' agents on a virtual clock and verifies the invariants of a rollout.\n\nExamples:\n" +
		"  thymelab rollouts --seeds 2000 --from 1\n  thymelab rollouts --fleet --length 12m --loss 0.05\n\nExit codes: 0 all rules held, 1 a rule was broken, 2 unusable input."
}

// Run executes the command; kong calls it.
func (c rolloutsCmd) Run(e *environment) error {
	switch {
	case c.Seeds < 1 || c.Seeds > 1_000_000 || c.Jobs < 1 || c.Jobs > 64:
		return inputError(fmt.Errorf("--seeds must be 1 to 1,000,000 and --jobs 1 to 64"))
	case c.Length < 10*time.Second || c.Length > 24*time.Hour || !(c.Loss >= 0 && c.Loss < 1):
		return inputError(fmt.Errorf("--length must be 10s to 24h and --loss 0 to under 1"))
	case c.Fleet:
		return c.measureFleet(e)
	}
	return c.playSeeds(e)
}

// playSeeds plays the runs of the seeds, and prints which runs violated an invariant. After a signal it finishes the
// runs in progress and starts no other.
func (c rolloutsCmd) playSeeds(e *environment) error {
	startedAt := time.Now()
	var next, played, broken atomic.Int64
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range c.Jobs {
		workers.Go(func() {
			for e.ctx.Err() == nil {
				n := next.Add(1) - 1
				if n >= int64(c.Seeds) {
					return
				}
				seed := c.From + uint64(n)
				o := configsim.Play(seed)
				played.Add(1)
				mu.Lock()
				if c.Each {
					fmt.Fprintf(e.out, "seed %d: %v\n", seed, o)
				}
				for _, f := range o.Violations[:min(3, len(o.Violations))] {
					fmt.Fprintf(e.out, "seed %d: %s\n", seed, f)
				}
				mu.Unlock()
				if len(o.Violations) > 0 {
					broken.Add(1)
				}
			}
		})
	}
	workers.Wait()
	partial := ""
	if int(played.Load()) < c.Seeds {
		partial = fmt.Sprintf(" (partial: %d were asked for)", c.Seeds)
	}
	fmt.Fprintf(e.out, "%d runs from seed %d, %d broke a rule, %.1f s%s\n", played.Load(), c.From,
		broken.Load(), time.Since(startedAt).Seconds(), partial)
	if broken.Load() > 0 {
		return exitError{exitViolation, "a rule was broken"}
	}
	return nil
}

// measureFleet measures a fleet of the full size and prints its figures.
func (c rolloutsCmd) measureFleet(e *environment) error {
	began := time.Now()
	f := configsim.Measure(configsim.FullSizeScenario(c.Length, c.Loss, c.From))
	fmt.Fprintf(e.out, "%d gateways of %d services each, %d services, %d routes, %d tenants, loss %.0f%%, seed %d\n", f.Gateways, f.ServicesPerGateway, f.Size.Services,
		f.Size.Routes, f.Size.Tenants, 100*f.Loss, f.Seed)
	fmt.Fprintf(e.out, "all start with nothing: whole configuration in force everywhere after %.2f s\n",
		f.InitialDistribution.Seconds())
	fmt.Fprintf(e.out, "one change alone, from its submission: half %.2f s, 99%% %.2f s, all %.2f s\n",
		f.SingleChange[0].Seconds(), f.SingleChange[1].Seconds(), f.SingleChange[2].Seconds())
	fmt.Fprintf(e.out, "%d changes, %d restarts, %d failures in %v, median / 99%% / worst change: half %v, 99%% %v, all %v; from commitment %v\n", f.Changes, f.Restarts, f.Failures,
		f.Duration, f.TimeToHalf, f.TimeTo99Percent, f.TimeToAll, f.TimeToAllFromCommit)
	fmt.Fprintf(e.out, "later than 8 s: %d, unfinished: %d, stopped: %d\n", f.LateChanges, f.UnfinishedChanges, f.StoppedVersions)
	fmt.Fprintf(e.out, "bytes a second: gateway %.0f at rest, %.0f in the run, %.0f at most; control machine sends %.0f, %.0f at most, to %d gateways at most\n", f.IdleRate, f.MeanRate, f.MaxRate,
		f.ControlRate, f.MaxControlRate, f.Subscribers)
	fmt.Fprintf(e.out, "processor: gateway %.4f%% of a core, control machine %.2f%%; heap of everything over gateways %d KiB; took %.1f s\n", 100*f.GatewayCPU, 100*f.ControlCPU,
		f.HeapPerGateway>>10, time.Since(began).Seconds())
	for _, violation := range f.Violations[:min(5, len(f.Violations))] {
		fmt.Fprintln(e.out, violation)
	}
	if len(f.Violations) > 0 {
		return exitError{exitViolation, "a rule was broken"}
	}
	return nil
}
