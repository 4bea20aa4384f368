package drill

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"thymebend/internal/lab/emulation"
	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/load"
	"thymebend/internal/lab/membershipcheck"
	"thymebend/internal/lab/requestrecord"
)

// Result is the result of a drill, as written to result.json: the experiment's result, the observed views, the
// processes and the traffic of each path.
type Result struct {
	*experiment.Result
	Names        []string                      `json:"gateway_names"`
	Observations []membershipcheck.Observation `json:"views"`
	Processes    []membershipcheck.Process     `json:"processes"`
	Paths        []PathTraffic                 `json:"paths"`
}

// PathTraffic counts the traffic of one path.
type PathTraffic struct {
	From    string `json:"from"`
	To      string `json:"to"`
	Carried uint64 `json:"carried"` // datagrams and pieces of streams
	Lost    uint64 `json:"lost"`
}

// StateSpan is a period, in seconds, during which one gateway's view held another gateway in the same state. The report
// draws it.
type StateSpan struct {
	Member   int
	From, To float64
	State    string
}

// StateSpans returns one gateway's view over time as periods of equal state.
func (res *Result) StateSpans(gateway int) (out []StateSpan) {
	open := make(map[int]int) // by member: index of the period that may still be extended
	var last float64
	for _, o := range res.Observations {
		if o.Gateway != gateway {
			continue
		}
		at := o.At.Seconds()
		if at-last > 5*viewInterval.Seconds() { // the gateway answered no poll, so its view of that time is unknown
			clear(open)
		}
		last = at
		for m, s := range o.Members {
			state := s.State
			if m == gateway {
				state = "self"
				switch {
				case o.DuplicateName:
					state = "twin"
				case !o.Converged:
					state = "unsettled"
				}
			}
			i, ok := open[m]
			if ok {
				out[i].To = at
			}
			if !ok || out[i].State != state {
				open[m] = len(out)
				out = append(out, StateSpan{Member: m, From: at, To: at, State: state})
			}
		}
	}
	return out
}

// Options are the options of a drill.
type Options struct {
	Gateway  string // path of the gateway program
	Dir      string
	Seed     uint64 // overrides the file's seed if not 0
	Progress func(load.Progress)
	// OnFinding is called for each violation of a membership rule, at most checkInterval after it can be reported. It
	// may be nil.
	OnFinding func(requestrecord.Finding)
}

// Run runs a drill and returns its result after the load has ended.
func Run(ctx context.Context, f *File, o Options) (*Result, error) {
	seed := cmp.Or(o.Seed, f.Seed)
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	watchContext, stop := context.WithCancel(ctx)
	defer stop()
	clock := emulation.NewClock()
	var began atomic.Int64 // start of the load; an hour ahead until it is known
	began.Store(int64(time.Hour))
	r, err := newRig(watchContext, f, o.Dir, seed, func() time.Duration { return clock() - time.Duration(began.Load()) })
	if err != nil {
		return nil, err
	}
	defer func() { stop(); r.close() }()
	r.onFinding = o.OnFinding
	res, err := experiment.Run(ctx, &f.File, experiment.Options{Gateway: o.Gateway, Dir: o.Dir, Seed: seed,
		Progress: o.Progress, Rig: r, Clock: clock,
		Concurrent: func(ctx context.Context, run *experiment.RunControl) error {
			r.startClock(run)
			began.Store(int64(run.Began))
			err := r.runFaults(ctx)
			stop() // the last poll precedes the end of the gateways
			r.watchers.Wait()
			return err
		}})
	if err != nil {
		return nil, err
	}
	out := &Result{Result: res, Names: r.names}
	out.conclude(r, f)
	return out, nil
}

// startClock moves the history's time origin to the start of the load. Earlier events get negative times.
func (r *rig) startClock(run *experiment.RunControl) {
	r.run = run
	r.history.Rebase(time.Hour - run.Began)
	for n := range r.names {
		r.hostLists = append(r.hostLists, run.HostList(n))
	}
}

// runFaults runs the faults at their times and waits for the end of the load.
func (r *rig) runFaults(ctx context.Context) error {
	faults := slices.Clone(r.file.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At.Duration, b.At.Duration) })
	var all sync.WaitGroup
	var mu sync.Mutex
	var failed []error
	all.Go(func() { r.checkPeriodically(ctx) }) // returns at the end of the load
	all.Go(func() { r.stopClients(ctx, r.seed) })
	all.Go(func() { r.runHoarders(ctx) })
	for i := range faults {
		f := &faults[i]
		if !experiment.Sleep(ctx, f.At.Duration-r.now()) {
			break
		}
		all.Go(func() {
			if err := r.runFault(ctx, f); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, err)
			}
		})
	}
	all.Wait()
	return errors.Join(failed...)
}

// checkInterval is the interval at which the views are checked during the drill.
const checkInterval = 2 * time.Second

// findingDelay is the minimum age of a violation that is reported during the drill.
const findingDelay = time.Second

// checkPeriodically checks the views until the end of the load and reports each violation once.
func (r *rig) checkPeriodically(ctx context.Context) {
	reported := make(map[[2]string]bool)
	for remaining := r.file.Length() - r.now(); remaining > 0; remaining = r.file.Length() - r.now() {
		if !experiment.Sleep(ctx, min(remaining, checkInterval)) {
			return
		}
		for _, f := range membershipcheck.Check(r.history) {
			if r.now()-f.At < findingDelay {
				continue // the event that justifies it may not be recorded yet: the next check decides
			}
			if key := [2]string{f.Rule, f.ID}; !reported[key] {
				reported[key] = true
				r.run.Mark("BROKEN %s: %s %s", f.Rule, f.ID, f.Detail)
				if r.onFinding != nil {
					r.onFinding(f)
				}
			}
		}
	}
}

// recordedFindings returns the findings recorded during the run. For each gateway without a recorded
// ViolationSuppressed, it adds the violations in that gateway's log.
func (r *rig) recordedFindings() []requestrecord.Finding {
	r.mu.Lock()
	found := slices.Clone(r.findings)
	r.mu.Unlock()
	for _, name := range r.names {
		if slices.ContainsFunc(found, func(f requestrecord.Finding) bool {
			return f.Rule == ViolationSuppressed &&
				f.ID == name
		}) {
			continue
		}
		text, err := os.ReadFile(filepath.Join(r.dir, name+".log"))
		if err == nil {
			found = append(found, r.loggedViolations(name, string(text))...)
		}
	}
	return found
}

// conclude applies all rules to the history and adds the findings to the result.
func (res *Result) conclude(r *rig, f *File) {
	h := r.history
	found := append(membershipcheck.Check(h), checkExpectations(h, f.Expectations)...)
	found = append(found, checkAssignments(h)...)
	found = append(found, r.recordedFindings()...)
	res.Observations, res.Processes = h.Observations(), h.Processes()
	r.net.mu.Lock()
	for _, l := range r.net.links {
		res.Paths = append(res.Paths, PathTraffic{l.from, l.to, l.carried.Load(), l.lost.Load()})
	}
	r.net.mu.Unlock()
	slices.SortFunc(res.Paths, func(a, b PathTraffic) int {
		return cmp.Or(cmp.Compare(a.From, b.From),
			cmp.Compare(a.To, b.To))
	})
	counts := make(map[string]int)
	for _, finding := range found {
		counts[finding.Rule]++
	}
	for _, name := range append(membershipcheck.Names(), ExpectationNotMet, SharesDisagree, StoppedClientUnanswered,
		ViolationSuppressed) {
		res.Rules = append(res.Rules, experiment.RuleCount{Rule: name, Broken: counts[name]})
	}
	res.Findings = append(found, res.Findings...)
	if res.Findings == nil {
		res.Findings = []requestrecord.Finding{}
	}
	res.RulesHeld = res.RulesHeld && len(found) == 0
}

// WriteJSON writes result.json into a directory.
func (res *Result) WriteJSON(dir string) error {
	raw, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "result.json"), append(raw, '\n'), 0o644)
}
