package experiment

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"thymebend/internal/lab/emulation"
	"thymebend/internal/lab/load"
	"thymebend/internal/lab/requestrecord"
)

// ResultVersion is the version of the format of result.json. It increases when the meaning of a field changes or a
// field is removed.
const ResultVersion = 1

// Result is the outcome of a run, in the form of result.json. docs/lab/result.md describes every field.
type Result struct {
	Version     int                     `json:"version"`
	Name        string                  `json:"name"`
	Title       string                  `json:"title"`
	About       string                  `json:"about"`
	Seed        uint64                  `json:"seed"`
	Started     time.Time               `json:"started"`
	RulesHeld   bool                    `json:"rules_held"`
	Rules       []RuleCount             `json:"rules"`
	Findings    []requestrecord.Finding `json:"findings"` // only the first maxFindings
	LostByCrash int                     `json:"lost_by_crash"`
	Load        load.Result             `json:"load"`
	Limits      Gateways                `json:"limits"`
	Events      []Mark                  `json:"events"`
	Hosts       []HostResult            `json:"hosts"`
	Gateways    []GatewayResult         `json:"gateways"`
	Work        HostWork                `json:"work"`
}

// HostWork has the total numbers of arrivals, executions and rejections in the records of all hosts.
type HostWork struct {
	Arrivals           int     `json:"arrivals"`
	Begun              int     `json:"begun"`
	TurnedAway         int     `json:"turned_away"`
	ArrivalsPerRequest float64 `json:"arrivals_per_request"`
}

// RuleCount is the number of times that a rule was broken.
type RuleCount struct {
	Rule   string `json:"rule"`
	Broken int    `json:"broken"`
}

// maxFindings limits the findings in the result; the counts of the rules include all.
const maxFindings = 200

// Options configures a run.
type Options struct {
	Gateway    string // path of the gateway program
	Dir        string // directory of configurations, logs and results; created if missing
	Seed       uint64 // replaces the seed of the file if not 0
	Progress   func(load.Progress)
	Rig        Rig                                              // controls the network, in a drill; nil in other runs
	Concurrent func(ctx context.Context, run *RunControl) error // runs concurrently with the load; Run returns its error
	Clock      emulation.Clock                                  // clock of the run; a new one if nil
}

// Run runs an experiment: it starts hosts, discovery and gateways, applies load and events, stops the gateways and
// checks the records of clients and hosts against the rules. Broken rules are findings in the result, not errors.
func Run(ctx context.Context, f *File, o Options) (*Result, error) {
	seed := cmp.Or(o.Seed, f.Seed)
	if err := o.prepare(); err != nil {
		return nil, err
	}
	w, err := newWorld(f, seed, GatewayNames(f.Gateways.Count), "127.0.0.1:0", o.Rig, o.Clock)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	if err := w.startGateways(ctx, o.Gateway, o.Dir); err != nil {
		return nil, err
	}
	arrivals, err := drawArrivals(f, seed)
	if err != nil {
		return nil, err
	}
	res := &Result{Version: ResultVersion, Name: f.Name, Title: f.Title, About: f.About, Seed: seed,
		Started: time.Now().UTC(), Limits: f.Gateways}
	targets := w.newFront(f)
	clients := requestrecord.NewClientRecord()
	loadStart := w.Clock()
	res.Load, err = w.runLoad(ctx, o, loadStart, load.Options{Targets: targets, Front: w.Front, Classes: f.loadClasses(),
		Schedule: load.FromArrivals(arrivals), Clients: f.Clients.loadClients(), Seed: seed, Record: clients, Clock: w.Clock,
		Progress: o.Progress})
	if err != nil {
		return nil, err
	}
	if err := writeAttempts(filepath.Join(o.Dir, attemptsFile), clients.Attempts(), loadStart); err != nil {
		return nil, err
	}
	for _, g := range w.gateways {
		w.stop(g, nil)
	}
	return res, w.complete(res, clients, loadStart)
}

// prepare creates the directory of a run, checks that the gateway program exists, and creates a clock if none is
// given.
func (o *Options) prepare() error {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return err
	}
	if _, err := os.Stat(o.Gateway); err != nil {
		return fmt.Errorf("gateway program not found: %w (make build builds it)", err)
	}
	if o.Clock == nil {
		o.Clock = emulation.NewClock()
	}
	return nil
}

// drawArrivals draws the times and classes of all requests of the run in advance.
func drawArrivals(f *File, seed uint64) (arrivals []load.Arrival, err error) {
	schedule, err := load.Phases(f.loadClasses(), f.loadPhases(), seed)
	if err != nil {
		return nil, err
	}
	for a, ok := schedule.Next(); ok; a, ok = schedule.Next() {
		arrivals = append(arrivals, a)
	}
	return arrivals, nil
}

// newFront creates w.Front, which distributes clients over the gateways, and returns the addresses of all gateways.
// Gateways that are started later are taken out at first.
func (w *World) newFront(f *File) (targets []string) {
	for _, g := range w.gateways {
		targets = append(targets, g.clientAddr)
	}
	w.Front = load.NewFront(targets, f.Front.Notice.Duration, w.Clock)
	for _, g := range w.gateways {
		if g.current() == nil {
			w.Front.Remove(g.clientAddr)
		}
	}
	return targets
}

// runLoad runs the load and, concurrently with it, the events of the file, the sampling and o.Concurrent. It returns
// when the load and o.Concurrent have ended.
func (w *World) runLoad(ctx context.Context, o Options, loadStart time.Duration, options load.Options) (load.Result,
	error) {
	running, stop := context.WithCancel(ctx)
	defer stop()
	go w.sample(running, loadStart)
	eventsDone := make(chan bool)
	go func() { w.playEvents(running, loadStart); close(eventsDone) }()
	concurrent := make(chan error, 1)
	go func() {
		if o.Concurrent == nil {
			concurrent <- nil
			return
		}
		concurrent <- o.Concurrent(running, &RunControl{w, loadStart})
	}()
	result, err := load.Run(ctx, options)
	if err != nil {
		return load.Result{}, err
	}
	if o.Concurrent != nil {
		if err := <-concurrent; err != nil {
			return load.Result{}, err
		}
	}
	stop()
	<-eventsDone
	return result, nil
}

// complete closes w, compares the records of clients and hosts, and fills in the rest of the result.
func (w *World) complete(res *Result, clients *requestrecord.ClientRecord, loadStart time.Duration) error {
	var findings []requestrecord.Finding
	res.Hosts, res.Gateways, findings = w.collectResults()
	hosts := w.Close()
	attempts := clients.Attempts()
	compared, crashed := requestrecord.Compare(attempts, hosts, w.excused)
	res.LostByCrash = crashed
	w.mu.Lock()
	findings = append(append(findings, w.findings...), compared...)
	for _, m := range w.marks {
		m.At -= loadStart.Seconds()
		res.Events = append(res.Events, m)
	}
	w.mu.Unlock()
	res.Events = append([]Mark{}, res.Events...)
	counts := make(map[string]int)
	for _, f := range findings {
		counts[f.Rule]++
	}
	for _, rule := range requestrecord.Rules() {
		res.Rules = append(res.Rules, RuleCount{rule, counts[rule]})
	}
	res.RulesHeld = len(findings) == 0
	res.Findings = append([]requestrecord.Finding{}, findings[:min(len(findings), maxFindings)]...)
	for _, t := range attempts {
		for _, h := range hosts {
			if e := h.Find(t.ID); e != nil {
				res.Work.Arrivals += e.Arrivals
				res.Work.Begun += e.Started
				res.Work.TurnedAway += e.Rejected
			}
		}
	}
	if res.Load.Scheduled > 0 {
		res.Work.ArrivalsPerRequest = float64(res.Work.Arrivals) / float64(res.Load.Scheduled)
	}
	return nil
}

// WriteJSON writes the result to result.json in a directory.
func (r *Result) WriteJSON(dir string) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "result.json"), append(raw, '\n'), 0o644)
}

// ReadJSON reads result.json in a directory. It returns an error for another version of the format.
func ReadJSON(dir string) (*Result, error) {
	path := filepath.Join(dir, "result.json")
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Version != ResultVersion {
		return nil, fmt.Errorf("%s: format version %d, this program reads only version %d", path, r.Version, ResultVersion)
	}
	return &r, nil
}
