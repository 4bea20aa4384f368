package cli

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"thymebend/internal/lab/configsim"
)

type rolloutsCmd struct {
	Seeds  int           `default:"100" placeholder:"N" help:"Drawn runs to play, 1 to 1,000,000."`
	From   uint64        `default:"1" placeholder:"K" help:"First seed."`
	Jobs   int           `default:"2" placeholder:"N" help:"Runs at a time, 1 to 64."`
	Each   bool          `help:"A line for each run, not only for those that broke a rule."`
	Fleet  bool          `help:"Measure 870 gateways instead, with a day of changes, restarts and failures pressed into a run; --from is its seed."`
	Length time.Duration `default:"10m" placeholder:"TIME" help:"Of the run with --fleet, of virtual time, 10s to 24h."`
	Loss   float64       `default:"0" placeholder:"SHARE" help:"Of the frames that get lost, with --fleet."`
}

// Help implements kong's.
func (rolloutsCmd) Help() string {
	return "Plays control machines and gateways' agents on a virtual clock and holds the rules of a rollout.\n\nExamples:\n" +
		"  thymelab rollouts --seeds 2000 --from 1\n  thymelab rollouts --fleet --length 12m --loss 0.05\n\nExit codes: 0 all rules held, 1 a rule was broken, 2 unusable input."
}

// Run implements kong's.
func (c rolloutsCmd) Run(e *env) error {
	switch {
	case c.Seeds < 1 || c.Seeds > 1_000_000 || c.Jobs < 1 || c.Jobs > 64:
		return input(fmt.Errorf("--seeds must be 1 to 1,000,000 and --jobs 1 to 64"))
	case c.Length < 10*time.Second || c.Length > 24*time.Hour || !(c.Loss >= 0 && c.Loss < 1):
		return input(fmt.Errorf("--length must be 10s to 24h and --loss 0 to under 1"))
	case c.Fleet:
		return c.fleet(e)
	}
	return c.seeds(e)
}

// seeds plays drawn runs, and says which broke a rule. A signal ends it after the runs under way.
func (c rolloutsCmd) seeds(e *env) error {
	began := time.Now()
	var next, played, broken atomic.Int64
	var mu sync.Mutex
	var all sync.WaitGroup
	for range c.Jobs {
		all.Go(func() {
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
	all.Wait()
	partial := ""
	if int(played.Load()) < c.Seeds {
		partial = fmt.Sprintf(" (partial: %d were asked for)", c.Seeds)
	}
	fmt.Fprintf(e.out, "%d runs from seed %d, %d broke a rule, %.1f s%s\n", played.Load(), c.From,
		broken.Load(), time.Since(began).Seconds(), partial)
	if broken.Load() > 0 {
		return coded{exitBroken, "a rule was broken"}
	}
	return nil
}

func (c rolloutsCmd) fleet(e *env) error {
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
	for _, x := range f.Violations[:min(5, len(f.Violations))] {
		fmt.Fprintln(e.out, x)
	}
	if len(f.Violations) > 0 {
		return coded{exitBroken, "a rule was broken"}
	}
	return nil
}
