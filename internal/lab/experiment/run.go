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

// ResultVersion is that of result.json. It rises when a field changes its meaning or goes.
const ResultVersion = 1

// Result is a run, as result.json holds it. docs/lab/result.md describes every field.
type Result struct {
	Version     int                     `json:"version"`
	Name        string                  `json:"name"`
	Title       string                  `json:"title"`
	About       string                  `json:"about"`
	Seed        uint64                  `json:"seed"`
	Started     time.Time               `json:"started"`
	Held        bool                    `json:"rules_held"`
	Rules       []RuleCount             `json:"rules"`
	Findings    []requestrecord.Finding `json:"findings"` // the first of them
	LostByCrash int                     `json:"lost_by_crash"`
	Load        load.Result             `json:"load"`
	Limits      Gateways                `json:"limits"`
	Events      []Mark                  `json:"events"`
	Hosts       []HostResult            `json:"hosts"`
	Gateways    []GatewayResult         `json:"gateways"`
	Work        HostWork                `json:"work"`
}

// HostWork sums the hosts' records up.
type HostWork struct {
	Arrivals           int     `json:"arrivals"`
	Begun              int     `json:"begun"`
	TurnedAway         int     `json:"turned_away"`
	ArrivalsPerRequest float64 `json:"arrivals_per_request"`
}

// RuleCount is how often a rule was broken.
type RuleCount struct {
	Rule   string `json:"rule"`
	Broken int    `json:"broken"`
}

// maxFindings are kept in the result; the counts hold all.
const maxFindings = 200

// Options of a run.
type Options struct {
	Gateway  string // the program
	Dir      string // for configurations, logs and results
	Seed     uint64 // goes before the file's if not 0
	Progress func(load.Progress)
	Rig      Rig                                           // nil in an experiment
	Beside   func(ctx context.Context, run *Handles) error // played beside the load where there is a rig, to its end
	Clock    emulation.Clock                               // a new one if nil
}

// Run plays an experiment.
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
	clients := requestrecord.NewClients()
	loadStart := w.Clock()
	res.Load, err = w.runLoad(ctx, o, loadStart, load.Options{Targets: targets, Front: w.Front, Classes: f.loadClasses(),
		Schedule: load.Record(arrivals), Clients: f.Clients.loadClients(), Seed: seed, Ledger: clients, Clock: w.Clock,
		Progress: o.Progress})
	if err != nil {
		return nil, err
	}
	if err := writeAttempts(filepath.Join(o.Dir, attemptsFile), clients.Tries(), loadStart); err != nil {
		return nil, err
	}
	for _, g := range w.gateways {
		w.stop(g, nil)
	}
	return res, w.complete(res, clients, loadStart)
}

// prepare makes the folder of a run, checks for the program, and starts a clock where none is given.
func (o *Options) prepare() error {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return err
	}
	if _, err := os.Stat(o.Gateway); err != nil {
		return fmt.Errorf("the gateway's program: %w (make build builds it)", err)
	}
	if o.Clock == nil {
		o.Clock = emulation.NewClock()
	}
	return nil
}

// drawArrivals draws when requests come.
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

// newFront puts the plain front before the gateways that serve, and returns their addresses.
func (w *World) newFront(f *File) (targets []string) {
	for _, g := range w.gateways {
		targets = append(targets, g.clientAddr)
	}
	w.Front = load.NewFront(targets, f.Front.Notice.Duration, w.Clock)
	for _, g := range w.gateways {
		if g.current() == nil {
			w.Front.Leave(g.clientAddr)
		}
	}
	return targets
}

// runLoad plays the load, with the events of the file, the samples and what is to be played beside it.
func (w *World) runLoad(ctx context.Context, o Options, loadStart time.Duration, options load.Options) (load.Result,
	error) {
	running, stop := context.WithCancel(ctx)
	defer stop()
	go w.sample(running, loadStart)
	eventsDone := make(chan bool)
	go func() { w.playEvents(running, loadStart); close(eventsDone) }()
	concurrent := make(chan error, 1)
	go func() {
		if o.Beside == nil {
			concurrent <- nil
			return
		}
		concurrent <- o.Beside(running, &Handles{w, loadStart})
	}()
	result, err := load.Run(ctx, options)
	if err != nil {
		return load.Result{}, err
	}
	if o.Beside != nil {
		if err := <-concurrent; err != nil {
			return load.Result{}, err
		}
	}
	stop()
	<-eventsDone
	return result, nil
}

// complete compares the records and fills in the result.
func (w *World) complete(res *Result, clients *requestrecord.ClientRecord, loadStart time.Duration) error {
	var findings []requestrecord.Finding
	res.Hosts, res.Gateways, findings = w.collectResults()
	hosts := w.Close()
	attempts := clients.Tries()
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
	res.Held = len(findings) == 0
	res.Findings = append([]requestrecord.Finding{}, findings[:min(len(findings), maxFindings)]...)
	for _, t := range attempts {
		for _, h := range hosts {
			if e := h.Find(t.ID); e != nil {
				res.Work.Arrivals += e.Arrivals
				res.Work.Begun += e.Begun
				res.Work.TurnedAway += e.TurnedAway
			}
		}
	}
	if res.Load.Scheduled > 0 {
		res.Work.ArrivalsPerRequest = float64(res.Work.Arrivals) / float64(res.Load.Scheduled)
	}
	return nil
}

// WriteJSON writes result.json into a directory.
func (r *Result) WriteJSON(dir string) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "result.json"), append(raw, '\n'), 0o644)
}

// ReadJSON reads the result of a directory.
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
		return nil, fmt.Errorf("%s: version %d, this program reads %d", path, r.Version, ResultVersion)
	}
	return &r, nil
}
