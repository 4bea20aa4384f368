package cli

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"thymebend/internal/lab/membershipsim"
	"thymebend/internal/lab/simulation"
	"thymebend/internal/membership"
)

// membersProfile is a profile, that is, a kind of simulated run. It simulates only the membership views of a fleet,
// without gateways.
const membersProfile = "members"

type seedsCmd struct {
	From    uint64 `default:"1" placeholder:"N" help:"The first seed."`
	Count   uint64 `default:"100" placeholder:"N" help:"Number of seeds."`
	Profile string `placeholder:"NAME" help:"Fault profile; by default each seed draws a profile."`
	Jobs    int    `placeholder:"N" help:"Runs played in parallel; by default one for each core."`
	JSON    string `name:"json" placeholder:"FILE" help:"Write the figures and failures here."`
	sizeFlags
}

// sizeFlags overrides the size of the runs.
type sizeFlags struct {
	Gateways int `placeholder:"N" help:"Instead of what the seed draws (1 to 3); 200 at most."`
	Hosts    int `placeholder:"N" help:"Instead of what the seed draws (2 to 8); 1000 at most."`
	Requests int `placeholder:"N" help:"Length of a run in requests, instead of 6 to 14 s."`
}

func (s sizeFlags) size() simulation.Size {
	return simulation.Size{Gateways: s.Gateways, Hosts: s.Hosts, Requests: s.Requests}
}

// Help implements kong.HelpProvider.
func (seedsCmd) Help() string {
	return "Example:\n  thymelab seeds --from 1 --count 1000 --profile drain-retry\n\nProfiles: " +
		fmt.Sprint(simulation.Profiles()) +
		" and members, which plays the fleet's view alone" +
		"\nExit codes: 0 no failure, 1 a failure, 2 unusable input, 4 interrupted by a signal: the output is partial."
}

// failure is the first finding of a failed run.
type failure struct {
	Seed    uint64 `json:"seed"`
	Profile string `json:"profile"`
	simulation.Finding
	More int `json:"more"` // number of further findings of the same run
}

// Run executes the command; kong calls it.
func (c seedsCmd) Run(e *environment) error {
	if c.Profile == membersProfile {
		return c.playMembers(e)
	}
	if _, err := simulation.DrawSized(1, c.Profile, c.size()); err != nil {
		return inputError(err)
	}
	began := time.Now()
	var mu sync.Mutex
	failures := []failure{}
	requests, simulated, steps := 0, time.Duration(0), uint64(0)
	played := c.playSeeds(e, func(seed uint64) bool {
		p, _ := simulation.DrawSized(seed, c.Profile, c.size()) // DrawSized has accepted the profile and the size above
		o := simulation.PlayContext(e.ctx, p, nil)
		mu.Lock()
		defer mu.Unlock()
		requests, simulated, steps = requests+o.Attempts, simulated+o.Duration, steps+o.Steps
		if len(o.Findings) > 0 {
			f := failure{seed, p.Profile, o.Findings[0], len(o.Findings) - 1}
			failures = append(failures, f)
			fmt.Fprintf(e.out, "seed %d (%s): %s: %s: %s (and %d more)\n", f.Seed, f.Profile, f.Rule, f.ID,
				f.Detail, f.More)
		}
		return !o.Partial
	})
	took := time.Since(began).Seconds()
	fmt.Fprintf(e.out, "%d seeds, %d failures, %d requests in %.1f s: %.0f simulated seconds and %.0f requests a second\n", played,
		len(failures), requests, took, simulated.Seconds()/took, float64(requests)/took)
	return c.finish(e, failures, played, map[string]any{"requests": requests, "simulated_s": simulated.Seconds(),
		"steps": steps, "took_s": took})
}

// playSeeds plays the seeds in c.Jobs parallel runs, by default one for each core, waits for their ends and returns how
// many runs were complete. play reports whether its run was complete.
func (c seedsCmd) playSeeds(e *environment, play func(seed uint64) (whole bool)) (played uint64) {
	var workers sync.WaitGroup
	var whole atomic.Uint64
	next := make(chan uint64)
	for range cmp.Or(max(0, c.Jobs), runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for seed := range next {
				if play(seed) {
					whole.Add(1)
				}
			}
		})
	}
	for seed := c.From; seed < c.From+c.Count && e.ctx.Err() == nil; seed++ {
		next <- seed
	}
	close(next)
	workers.Wait()
	return whole.Load()
}

// finish writes the report to the file given by --json, and returns the error that sets the exit code, or nil.
func (c seedsCmd) finish(e *environment, failures []failure, played uint64, figures map[string]any) error {
	if c.JSON != "" {
		slices.SortFunc(failures, func(a, b failure) int { return cmp.Compare(a.Seed, b.Seed) })
		figures["from"], figures["count"], figures["profile"], figures["failures"] = c.From, c.Count, c.Profile,
			failures
		figures["played"], figures["partial"] = played, played < c.Count
		raw, err := json.MarshalIndent(figures, "", " ")
		if err != nil {
			return inputError(err)
		}
		if err := os.WriteFile(c.JSON, append(raw, '\n'), 0o644); err != nil {
			return inputError(err)
		}
	}
	switch {
	case len(failures) > 0:
		return exitError{exitViolation, ""}
	case e.ctx.Err() != nil:
		return interruptedError()
	}
	return nil
}

// checkViewOnly returns an error for options that the profile members does not support.
func (s sizeFlags) checkViewOnly(set ...string) error {
	switch {
	case s.Gateways != 0 && (s.Gateways < 3 || s.Gateways > membership.MaxMembers):
		return inputError(fmt.Errorf("gateways must be 3 to %d with profile %s", membership.MaxMembers, membersProfile))
	case s.Hosts != 0 || s.Requests != 0 || strings.Join(set, "") != "":
		return inputError(fmt.Errorf("only --gateways can be used with profile %s: it simulates membership views alone", membersProfile))
	}
	return nil
}

// playMembers plays the seeds of the profile members.
func (c seedsCmd) playMembers(e *environment) error {
	if err := c.checkViewOnly(); err != nil {
		return err
	}
	began := time.Now()
	var mu sync.Mutex
	failures := []failure{}
	var calls uint64
	played := c.playSeeds(e, func(seed uint64) bool {
		o := membershipsim.RunRandomFaults(e.ctx, seed, c.Gateways)
		mu.Lock()
		defer mu.Unlock()
		calls += o.Calls
		if len(o.Findings) > 0 {
			f := failure{seed, c.Profile, simulation.Finding{Rule: "view", Detail: o.Findings[0]}, len(o.Findings) - 1}
			failures = append(failures, f)
			fmt.Fprintf(e.out, "seed %d (%s): %v: %s (and %d more)\n", seed, c.Profile, o, f.Detail, f.More)
		}
		return !o.Partial
	})
	fmt.Fprintf(e.out, "%d seeds, %d failures, %d calls of views in %.1f s\n", played, len(failures), calls,
		time.Since(began).Seconds())
	return c.finish(e, failures, played, map[string]any{"calls": calls})
}

type replayCmd struct {
	Seed    uint64 `arg:"" help:"The seed."`
	Profile string `placeholder:"NAME" help:"The profile that was given to seeds."`
	Trace   string `placeholder:"FILE" help:"Write a line for each thing that happens."`
	Shrink  string `placeholder:"FILE" help:"Reduce a failing run to few faults and requests and keep its plan here."`
	Most    int    `default:"2000" placeholder:"N" help:"Runs that shrinking may take."`
	sizeFlags
}

// Help implements kong.HelpProvider.
func (replayCmd) Help() string {
	return "Example:\n  thymelab replay 4711 --trace /tmp/4711.txt --shrink /tmp/4711.json\n  thymelab plan /tmp/4711.json"
}

// Run executes the command; kong calls it.
func (c replayCmd) Run(e *environment) error {
	if c.Profile == membersProfile {
		if err := c.checkViewOnly(c.Trace, c.Shrink); err != nil {
			return err
		}
		o := membershipsim.RunRandomFaults(e.ctx, c.Seed, c.Gateways)
		fmt.Fprintf(e.out, "seed %d, %s: %v\n%s\n", c.Seed, c.Profile, o, strings.Join(o.Findings, "\n"))
		if o.Partial {
			return interruptedError()
		}
		if len(o.Findings) > 0 {
			return exitError{exitViolation, ""}
		}
		return nil
	}
	p, err := simulation.DrawSized(c.Seed, c.Profile, c.size())
	if err != nil {
		return inputError(err)
	}
	o, err := playTraced(e.ctx, p, c.Trace)
	if err != nil {
		return inputError(err)
	}
	e.printOutcome(p, o)
	if o.Partial {
		return interruptedError()
	}
	if len(o.Findings) == 0 {
		return nil
	}
	if c.Shrink != "" {
		reduced, runs := simulation.Shrink(e.ctx, p, o.Findings[0].Rule, c.Most)
		if err := reduced.Write(c.Shrink); err != nil {
			return inputError(err)
		}
		fmt.Fprintf(e.out, "%s: %d faults and %d requests of %d and %d, after %d runs\n", c.Shrink,
			len(reduced.Faults), len(reduced.Requests),
			len(p.Faults), len(p.Requests), runs)
		if e.ctx.Err() != nil {
			return interruptedError()
		}
	}
	return exitError{exitViolation, ""}
}

type planCmd struct {
	File  string `arg:"" type:"existingfile" help:"A kept plan."`
	Trace string `placeholder:"FILE" help:"Write a line for each thing that happens."`
}

// Help implements kong.HelpProvider.
func (planCmd) Help() string {
	return "Example:\n  thymelab plan internal/lab/simulation/testdata/NAME.json"
}

// Run executes the command; kong calls it.
func (c planCmd) Run(e *environment) error {
	p, err := simulation.ReadPlan(c.File)
	if err != nil {
		return inputError(err)
	}
	o, err := playTraced(e.ctx, p, c.Trace)
	if err != nil {
		return inputError(err)
	}
	e.printOutcome(p, o)
	switch {
	case o.Partial:
		return interruptedError()
	case len(o.Findings) > 0:
		return exitError{exitViolation, ""}
	}
	return nil
}

// playTraced simulates the run that a plan describes, and writes its trace to the file at path unless path is empty.
func playTraced(ctx context.Context, p simulation.Plan, path string) (simulation.Outcome, error) {
	if path == "" {
		return simulation.PlayContext(ctx, p, nil), nil
	}
	file, err := os.Create(path)
	if err != nil {
		return simulation.Outcome{}, err
	}
	defer file.Close()
	out := bufio.NewWriter(file)
	o := simulation.PlayContext(ctx, p, out)
	if err := out.Flush(); err != nil {
		return o, err
	}
	return o, file.Close()
}

// printOutcome prints the outcome and the findings of a run.
func (e *environment) printOutcome(p simulation.Plan, o simulation.Outcome) {
	fmt.Fprintf(e.out, "seed %d, %s, %d gateways, %d hosts, %d faults, %d tries: %d served, %d refused, %d failed, %.1f s\n", p.Seed, p.Profile,
		p.Gateways, p.Hosts, len(p.Faults), o.Attempts, o.Served, o.Rejected, o.Failed, o.Duration.Seconds())
	if o.Partial {
		fmt.Fprintln(e.out, "partial: interrupted before the end of the run")
	}
	if o.PeakRates != "" {
		fmt.Fprintln(e.out, o.PeakRates)
	}
	for i, f := range o.Findings {
		if i == 20 {
			fmt.Fprintf(e.out, "and %d more\n", len(o.Findings)-i)
			break
		}
		fmt.Fprintf(e.out, "%s: %s: %s\n", f.Rule, f.ID, f.Detail)
	}
	fmt.Fprintf(e.out, "hash %016x\n", o.Hash)
}
