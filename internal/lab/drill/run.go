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

// Result is a drill, as result.json holds it: an experiment's, and the views over time.
type Result struct {
	*experiment.Result
	Names []string                      `json:"gateway_names"`
	Looks []membershipcheck.Observation `json:"views"`
	Lives []membershipcheck.Process     `json:"processes"`
	Paths []Carry                       `json:"paths"`
}

// Carry is what a path carried.
type Carry struct {
	From    string `json:"from"`
	To      string `json:"to"`
	Carried uint64 `json:"carried"` // datagrams, and pieces of streams
	Lost    uint64 `json:"lost"`
}

// Cell is what a gateway held of another one over a stretch of time, for the picture.
type Cell struct {
	Of       int
	From, To float64
	State    string
}

// Cells is the picture of one gateway's view: stretches of one state.
func (res *Result) Cells(gateway int) (out []Cell) {
	open := make(map[int]int) // by member: the stretch that is still open
	var last float64
	for _, l := range res.Looks {
		if l.Gateway != gateway {
			continue
		}
		at := l.At.Seconds()
		if at-last > 5*lookEvery.Seconds() { // it did not answer: nothing is known of that time
			clear(open)
		}
		last = at
		for m, s := range l.Beliefs {
			state := s.State
			if m == gateway {
				state = "self"
				switch {
				case l.DuplicateName:
					state = "twin"
				case !l.Settled:
					state = "unsettled"
				}
			}
			i, ok := open[m]
			if ok {
				out[i].To = at
			}
			if !ok || out[i].State != state {
				open[m] = len(out)
				out = append(out, Cell{Of: m, From: at, To: at, State: state})
			}
		}
	}
	return out
}

// Options of a drill.
type Options struct {
	Gateway  string // the program
	Dir      string
	Seed     uint64 // goes before the file's if not 0
	Progress func(load.Progress)
	Found    func(requestrecord.Finding) // told of a broken rule on views as it is seen, within judgeEvery; may be nil
}

// Run plays a drill.
func Run(ctx context.Context, f *File, o Options) (*Result, error) {
	seed := cmp.Or(o.Seed, f.Seed)
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	clock := emulation.NewClock()
	var began atomic.Int64 // the load's begin, once it is known
	began.Store(int64(time.Hour))
	r, err := newRig(watching, f, o.Dir, seed, func() time.Duration { return clock() - time.Duration(began.Load()) })
	if err != nil {
		return nil, err
	}
	defer func() { stop(); r.close() }()
	r.found = o.Found
	res, err := experiment.Run(ctx, &f.File, experiment.Options{Gateway: o.Gateway, Dir: o.Dir, Seed: seed,
		Progress: o.Progress, Rig: r, Clock: clock,
		Beside: func(ctx context.Context, run *experiment.Handles) error {
			r.begin(run)
			began.Store(int64(run.Began))
			err := r.play(ctx)
			stop() // the last looks are before the gateways are ended
			r.watches.Wait()
			return err
		}})
	if err != nil {
		return nil, err
	}
	out := &Result{Result: res, Names: r.names}
	out.conclude(r, f)
	return out, nil
}

// begin has the load's begin as the begin of time: what came before lies before it.
func (r *rig) begin(run *experiment.Handles) {
	r.run = run
	r.history.Rebase(time.Hour - run.Began)
	for n := range r.names {
		r.known = append(r.known, run.Known(n))
	}
}

// play carries out the faults and waits until the load is over.
func (r *rig) play(ctx context.Context) error {
	faults := slices.Clone(r.file.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At.Duration, b.At.Duration) })
	var all sync.WaitGroup
	var mu sync.Mutex
	var failed []error
	all.Go(func() { r.judge(ctx) }) // it ends with the load
	all.Go(func() { r.stopClients(ctx, r.seed) })
	for i := range faults {
		f := &faults[i]
		if !experiment.Sleep(ctx, f.At.Duration-r.now()) {
			break
		}
		all.Go(func() {
			if err := r.happen(ctx, f); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, err)
			}
		})
	}
	all.Wait()
	return errors.Join(failed...)
}

// judgeEvery is how often the views are held against the rules while the drill goes on.
const judgeEvery = 2 * time.Second

// settles is how long what was seen waits to be judged on the way.
const settles = time.Second

// judge tells of broken rules as they are seen, until the load is over.
func (r *rig) judge(ctx context.Context) {
	told := make(map[[2]string]bool)
	for left := r.file.Length() - r.now(); left > 0; left = r.file.Length() - r.now() {
		if !experiment.Sleep(ctx, min(left, judgeEvery)) {
			return
		}
		for _, f := range membershipcheck.Check(r.history) {
			if r.now()-f.At < settles {
				continue // what was done just now may not be noted yet: it is judged again in a moment
			}
			if key := [2]string{f.Rule, f.ID}; !told[key] {
				told[key] = true
				r.run.Mark("BROKEN %s: %s %s", f.Rule, f.ID, f.Detail)
				if r.found != nil {
					r.found(f)
				}
			}
		}
	}
}

// seen is what was found on the way, and what the logs tell beyond that.
func (r *rig) seen() []requestrecord.Finding {
	r.mu.Lock()
	found := slices.Clone(r.findings)
	r.mu.Unlock()
	for _, name := range r.names {
		if slices.ContainsFunc(found, func(f requestrecord.Finding) bool {
			return f.Rule == HeldBack &&
				f.ID == name
		}) {
			continue
		}
		text, err := os.ReadFile(filepath.Join(r.dir, name+".log"))
		if err == nil {
			found = append(found, r.logged(name, string(text))...)
		}
	}
	return found
}

// conclude judges what was seen.
func (res *Result) conclude(r *rig, f *File) {
	h := r.history
	found := append(membershipcheck.Check(h), expected(h, f.Expect)...)
	found = append(found, whole(h)...)
	found = append(found, r.seen()...)
	res.Looks, res.Lives = h.Observations(), h.Processes()
	r.net.mu.Lock()
	for _, w := range r.net.ways {
		res.Paths = append(res.Paths, Carry{w.from, w.to, w.carried.Load(), w.lost.Load()})
	}
	r.net.mu.Unlock()
	slices.SortFunc(res.Paths, func(a, b Carry) int {
		return cmp.Or(cmp.Compare(a.From, b.From),
			cmp.Compare(a.To, b.To))
	})
	counts := make(map[string]int)
	for _, x := range found {
		counts[x.Rule]++
	}
	for _, name := range append(membershipcheck.Names(), Unexpected, NotWhole, NotHeard, HeldBack) {
		res.Rules = append(res.Rules, experiment.RuleCount{Rule: name, Broken: counts[name]})
	}
	res.Findings = append(found, res.Findings...)
	if res.Findings == nil {
		res.Findings = []requestrecord.Finding{}
	}
	res.Held = res.Held && len(found) == 0
}

// WriteJSON writes result.json into a directory.
func (res *Result) WriteJSON(dir string) error {
	raw, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "result.json"), append(raw, '\n'), 0o644)
}
