// Package cli is the command line of thymelab. It reads arguments, calls the laboratory's libraries and turns
// what they return into words and exit codes.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/load"
	"thymebend/internal/lab/report"
	"thymebend/internal/lab/requestrecord"
)

// The exit codes.
const (
	exitOK     = 0
	exitBroken = 1 // a standing rule was broken
	exitInput  = 2 // the input cannot be used
	exitBehind = 3 // the generator fell behind
	exitEarly  = 4 // told to end by SIGINT or SIGTERM: what was written is partial
)

// env is what a command works with.
type env struct {
	ctx      context.Context
	out, err io.Writer
	log      zerolog.Logger
}

// coded is an end with an exit code; an empty text prints nothing.
type coded struct {
	code int
	text string
}

func (c coded) Error() string { return c.text }

// early is the end of a command that was told to end before it was through, once it has written what it had.
func early() error { return coded{exitEarly, "told to end: partial"} }

func input(err error) error {
	if err == nil {
		return nil
	}
	return coded{exitInput, err.Error()}
}

type grammar struct {
	Run      runCmd      `cmd:"" help:"Play an experiment against real gateways and write result.json and report.html."`
	Load     loadCmd     `cmd:"" help:"Send requests on schedule to anything that speaks the clients' protocol."`
	Fleet    fleetCmd    `cmd:"" help:"Start the hosts and discovery of an experiment alone, until SIGTERM."`
	Compare  compareCmd  `cmd:"" help:"Write one page that compares two runs."`
	Seeds    seedsCmd    `cmd:"" help:"Play seeded fault runs of the whole gateway on a virtual clock."`
	Drill    drillCmd    `cmd:"" help:"Start several gateways with relays between them, break paths and processes, and hold the rules."`
	Soak     soakCmd     `cmd:"" help:"Play random drills of 10 to 40 gateways with faults that overlap."`
	Shares   sharesCmd   `cmd:"" help:"Compare ways to divide hosts among gateways."`
	Scale    scaleCmd    `cmd:"" help:"Play the control of a whole fleet at its full size on the virtual clock."`
	View     viewCmd     `cmd:"" help:"Measure the fleet's view of itself on the virtual clock."`
	Rollouts rolloutsCmd `cmd:"" help:"Play or measure the spread of configuration changes on the virtual clock."`
	Replay   replayCmd   `cmd:"" help:"Play one seed again to the letter, trace it, and reduce it to a small plan."`
	Plan     planCmd     `cmd:"" help:"Play a kept plan."`
	Trace    traceCmd    `cmd:"" help:"Turn a run into a trace that 'load --trace' replays."`
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	e := &env{ctx: ctx, out: out, err: errOut, log: zerolog.New(zerolog.ConsoleWriter{Out: errOut, TimeFormat: time.TimeOnly,
		NoColor: !terminal(errOut)}).With().Timestamp().Logger()}
	exited := -1
	parser, err := kong.New(&grammar{}, kong.Name("thymelab"), kong.Bind(e), kong.Vars(scaleVars()), kong.Writers(out, errOut),
		kong.Exit(func(code int) { exited = code }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Description("The laboratory of thymebend: emulated hosts and discovery, an open-loop load tool, experiments and reports.\n\n"+
			"A first try: thymelab run experiments/calm.toml --out /tmp/calm"))
	if err != nil {
		fmt.Fprintln(errOut, "thymelab:", err)
		return exitInput
	}
	k, err := parser.Parse(args)
	switch {
	case exited >= 0: // help was asked for
		return exited
	case err != nil:
		fmt.Fprintf(errOut, "thymelab: %v\nthymelab --help lists the commands and their options\n", err)
		return exitInput
	}
	if err = k.Run(); err == nil {
		return exitOK
	}
	var c coded
	if !errors.As(err, &c) {
		c = coded{exitInput, err.Error()}
	}
	if c.text != "" {
		fmt.Fprintln(errOut, "thymelab:", c.text)
	}
	return c.code
}

func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

type runCmd struct {
	Experiment string `arg:"" help:"The experiment's TOML file."`
	Out        string `required:"" placeholder:"DIR" help:"Directory for result.json, report.html, logs and configurations."`
	Gateway    string `default:"bin/thymebend" placeholder:"PATH" help:"The gateway's program."`
	Seed       uint64 `placeholder:"N" help:"Instead of the file's."`
}

// Help implements kong's.
func (runCmd) Help() string {
	return "Example:\n  thymelab run experiments/closing-rush.toml --out /tmp/rush --seed 7\n\n" +
		"Exit codes: 0 all rules held, 1 a rule was broken, 2 unusable input, 3 the generator fell behind, 4 told to end: partial."
}

// Run implements kong's.
func (c runCmd) Run(e *env) error {
	f, err := experiment.Load(c.Experiment)
	if err != nil {
		return input(err)
	}
	length := f.Length()
	e.log.Info().Str("experiment", f.Name).Stringer("for", length).Int("hosts", hosts(f)).Int("gateways", f.Gateways.Count).Msg("running")
	res, err := experiment.Run(e.ctx, f, experiment.Options{Gateway: c.Gateway, Dir: c.Out, Seed: c.Seed, Progress: e.progress(length)})
	if err != nil {
		return input(err)
	}
	if err := res.WriteJSON(c.Out); err != nil {
		return input(err)
	}
	page := filepath.Join(c.Out, "report.html")
	if err := writeFile(page, func(w io.Writer) error { return report.Write(w, res) }); err != nil {
		return input(err)
	}
	fmt.Fprint(e.out, report.Text(res))
	fmt.Fprintf(e.out, "report: %s\n", page)
	switch {
	case res.Load.PartialInput:
		return early()
	case res.Load.FellBehind:
		return coded{exitBehind, "the generator fell behind: " + res.Load.Behind}
	case !res.Held:
		return coded{exitBroken, "a rule was broken"}
	}
	return nil
}

func hosts(f *experiment.File) (n int) {
	for _, h := range f.Hosts {
		n += h.Count
	}
	return n
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := write(file); err != nil {
		return err
	}
	return file.Close()
}

// progress shows how far a run is: a bar on a terminal, a line every five seconds elsewhere.
func (e *env) progress(length time.Duration) func(load.Progress) {
	if !terminal(e.err) {
		next := 5 * time.Second
		return func(p load.Progress) {
			if p.At >= next && p.At < length+time.Second {
				next += 5 * time.Second
				e.log.Info().Stringer("at", p.At.Round(time.Second)).Int("due", p.Scheduled).Int("ok", p.OK).Int("refused", p.Refused).
					Int("failed", p.Failed).Int("in_flight", p.Flight).Int("connections", p.Open).Msg("running")
			}
		}
	}
	bar := progressbar.NewOptions64(length.Milliseconds(), progressbar.OptionSetWriter(e.err), progressbar.OptionSetWidth(24),
		progressbar.OptionSetPredictTime(false), progressbar.OptionClearOnFinish(), progressbar.OptionSetElapsedTime(false))
	return func(p load.Progress) {
		bar.Describe(fmt.Sprintf("%3.0f s  due %d  ok %d  refused %d  failed %d  in flight %d", p.At.Seconds(), p.Scheduled, p.OK,
			p.Refused, p.Failed, p.Flight))
		_ = bar.Set64(min(p.At.Milliseconds(), length.Milliseconds()))
	}
}

type loadCmd struct {
	Target      []string      `required:"" sep:"," placeholder:"ADDR" help:"Where to send, host:port on loopback; several are taken in turn."`
	Rate        float64       `default:"100" help:"Requests a second, if neither --shape nor --trace is given."`
	For         time.Duration `default:"10s" help:"How long."`
	Class       []string      `placeholder:"NAME=SHARE" help:"A class and its share of the requests; may be repeated. Without any: tender-view=0.64 and bid-lodge=0.36."`
	Unsafe      []string      `default:"bid-lodge" placeholder:"NAME" help:"Classes sent by POST, which must not run twice."`
	Arrivals    string        `enum:"even,poisson" default:"even" help:"Evenly spaced, or at random times (poisson)."`
	Shape       string        `type:"existingfile" placeholder:"FILE" help:"TOML with [[phase]] tables, as in an experiment."`
	Trace       string        `type:"existingfile" placeholder:"FILE" help:"A recorded trace."`
	Patience    time.Duration `default:"2s" help:"How long a client waits for its answer."`
	Aim         time.Duration `default:"800ms" help:"An answer is wanted within this."`
	Body        int           `default:"200" help:"Bytes of a POST's body."`
	Connections int           `help:"Connections opened before the first request; further ones are opened when all are busy."`
	Retries     float64       `help:"Further tries of a request that was refused or failed."`
	Backoff     string        `enum:"fixed,exp" default:"fixed" help:"Of the waits before retries: all alike, or doubling (exp)."`
	Wait        time.Duration `default:"100ms" help:"Before the first retry."`
	Honour      float64       `default:"1" help:"Share of the clients that wait as long as Retry-After says."`
	Seed        uint64        `default:"1" help:"Of all that is random."`
	Notice      time.Duration `default:"1s" help:"A target whose connects fail for so long is left out until its health is good."`
	JSON        string        `name:"json" placeholder:"FILE" help:"Write the figures here; - for standard output."`
}

// Help implements kong's.
func (loadCmd) Help() string {
	return "Example:\n  thymelab load --target 127.0.0.1:8443 --rate 300 --for 20s --class tender-view=0.7 --class bid-lodge=0.3 --json out.json\n\n" +
		"Requests leave on schedule whatever the answers; latency counts from the time at which a request was due.\n" +
		"A target that is down is data. Exit codes: 0 measured, 2 unusable input, 3 the generator fell behind, 4 told to end: partial."
}

// Run implements kong's.
func (c loadCmd) Run(e *env) error {
	classes, err := c.classes()
	if err != nil {
		return input(err)
	}
	for _, t := range c.Target {
		if err := loopback(t); err != nil {
			return input(err)
		}
	}
	clients := load.Clients{Retries: c.Retries, Backoff: c.Backoff, Wait: c.Wait, Honour: c.Honour, Marks: true,
		Connections: c.Connections}
	list := []load.Phase{{For: c.For, Rate: c.Rate, Poisson: c.Arrivals == "poisson"}}
	length := c.For
	var schedule load.Schedule
	switch {
	case c.Shape != "" && c.Trace != "":
		return input(errors.New("--shape and --trace cannot go together"))
	case c.Trace != "":
		file, err := os.Open(c.Trace)
		if err != nil {
			return input(err)
		}
		defer file.Close()
		if schedule, err = load.ReadTrace(c.Trace, file, classes); err != nil {
			return input(err)
		}
	case c.Shape != "":
		own, acts, err := experiment.LoadShape(c.Shape, classes)
		if err != nil {
			return input(err)
		}
		if acts != nil {
			clients = *acts
		}
		list, length = own, load.Length(own)
	}
	if schedule == nil {
		if schedule, err = load.Phases(classes, list, c.Seed); err != nil {
			return input(err)
		}
	}
	tries := requestrecord.NewClients()
	res, err := load.Run(e.ctx, load.Options{Targets: c.Target, Classes: classes, Schedule: schedule, Clients: clients, Seed: c.Seed,
		Prefix: fmt.Sprintf("%08x", uint32(time.Now().UnixNano())), // ids are new in every run: the target may know old ones
		Notice: c.Notice, Ledger: tries, Progress: e.progress(length)})
	if err != nil {
		return input(err)
	}
	return c.conclude(e, res, tries)
}

// loopback refuses targets that are not on this machine: the tool sends load, and must not be pointed elsewhere.
func loopback(target string) error {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return fmt.Errorf("--target %s: %w", target, err)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("--target %s: only addresses of this machine's loopback are taken", target)
	}
	return nil
}

func (c loadCmd) classes() ([]load.Class, error) {
	if len(c.Class) == 0 {
		c.Class = []string{"tender-view=0.64", "bid-lodge=0.36"}
	}
	if c.Patience <= 0 || c.Aim <= 0 || c.Rate < 0 || c.For <= 0 || c.Retries < 0 || c.Body < 0 || c.Body > 64<<10 {
		return nil, errors.New("--patience, --aim and --for must be positive, --rate and --retries 0 or more, --body 0 to 65536")
	}
	var out []load.Class
	for _, text := range c.Class {
		name, number, ok := strings.Cut(text, "=")
		part, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || !(part >= 0 && part < 1e9) || name == "" || strings.ContainsAny(name, " /?") {
			return nil, fmt.Errorf("--class %q: wanted NAME=SHARE, such as tender-view=0.64", text)
		}
		k := load.Class{Name: name, Share: part, Unsafe: slices.Contains(c.Unsafe, name), Worth: 1, Aim: c.Aim, Patience: c.Patience}
		if k.Unsafe {
			k.Body = c.Body
		}
		out = append(out, k)
	}
	return out, nil
}

func (c loadCmd) conclude(e *env, res load.Result, tries *requestrecord.ClientRecord) error {
	twice := 0
	for _, t := range tries.Tries() {
		if t.Answers > 1 {
			twice++
			if twice <= 10 {
				e.log.Warn().Str("id", t.ID).Int("answers", t.Answers).Msg("answered more than once")
			}
		}
	}
	if c.JSON != "" {
		raw, err := json.MarshalIndent(res, "", " ")
		if err != nil {
			return input(err)
		}
		raw = append(raw, '\n')
		if c.JSON == "-" {
			_, err = e.out.Write(raw)
		} else {
			err = os.WriteFile(c.JSON, raw, 0o644)
		}
		if err != nil {
			return input(err)
		}
	}
	if c.JSON != "-" {
		fmt.Fprintf(e.out, "scheduled %d, sent %d, answered %d: ok %d, refused %d, failed %d, unanswered %d, unsent %d\n", res.Scheduled,
			res.Sent, res.Answered, res.OK, res.Refused, res.Failed, res.Unanswered, res.Unsent)
		if !res.FellBehind {
			l := res.Latency
			fmt.Fprintf(e.out, "latency from the due time: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, max %.2f ms (own lateness p99 %.2f ms)\n",
				l.P50, l.P90, l.P99, l.P999, l.Max, res.SelfLate.P99)
		}
		for _, cause := range slices.Sorted(keys(res.Causes)) {
			fmt.Fprintf(e.out, "  %d without a good answer: %s\n", res.Causes[cause], cause)
		}
		if twice > 0 {
			fmt.Fprintf(e.out, "%d ids were answered more than once\n", twice)
		}
	}
	switch {
	case res.PartialInput:
		return early()
	case res.FellBehind:
		return coded{exitBehind, "the generator fell behind, no latencies are shown: " + res.Behind}
	}
	return nil
}

func keys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

type fleetCmd struct {
	Experiment string `arg:"" help:"The experiment's TOML file."`
	Seed       uint64 `placeholder:"N" help:"Instead of the file's."`
	Discovery  string `default:"127.0.0.1:0" placeholder:"ADDR" help:"Where discovery listens; port 0 takes a free one."`
	Listen     string `default:"127.0.0.1:8443" placeholder:"ADDR" help:"Where the gateway of --config is to listen."`
	Config     string `placeholder:"FILE" help:"Write the configuration of a gateway over this fleet."`
	Events     bool   `help:"Play the experiment's events that concern hosts and discovery."`
}

// Help implements kong's.
func (fleetCmd) Help() string {
	return "Example, with a gateway beside it:\n  thymelab fleet experiments/calm.toml --config /tmp/gateway.json &\n" +
		"  LB_CONFIG=/tmp/gateway.json bin/thymebend"
}

// Run implements kong's.
func (c fleetCmd) Run(e *env) error {
	f, err := experiment.Load(c.Experiment)
	if err != nil {
		return input(err)
	}
	seed := f.Seed
	if c.Seed != 0 {
		seed = c.Seed
	}
	const via = "gateway-0"
	w, err := experiment.NewWorld(f, seed, []string{via}, c.Discovery)
	if err != nil {
		return input(err)
	}
	defer w.Close()
	discovery, list := w.Addresses(via)
	if c.Config != "" {
		conf, err := w.Config(via, 0, c.Listen, discovery)
		if err != nil {
			return input(err)
		}
		if err := os.WriteFile(c.Config, append(conf, '\n'), 0o600); err != nil {
			return input(err)
		}
	}
	fmt.Fprintf(e.out, "discovery %s\n", discovery)
	for _, name := range slices.Sorted(keys(list)) {
		fmt.Fprintf(e.out, "host %s %s\n", name, list[name])
	}
	if c.Events {
		w.Play(e.ctx)
	}
	<-e.ctx.Done()
	return nil
}

type compareCmd struct {
	A   string `arg:"" type:"existingdir" help:"Directory of a run."`
	B   string `arg:"" type:"existingdir" help:"Directory of another."`
	Out string `required:"" placeholder:"FILE" help:"The page to write."`
}

// Help implements kong's.
func (compareCmd) Help() string {
	return "Example:\n  thymelab compare /tmp/before /tmp/after --out /tmp/compare.html"
}

// Run implements kong's.
func (c compareCmd) Run(e *env) error {
	a, err := experiment.ReadJSON(c.A)
	if err != nil {
		return input(err)
	}
	b, err := experiment.ReadJSON(c.B)
	if err != nil {
		return input(err)
	}
	if err := writeFile(c.Out, func(w io.Writer) error { return report.Compare(w, a, b) }); err != nil {
		return input(err)
	}
	fmt.Fprintf(e.out, "goodput by worth %.4f against %.4f; report: %s\n", a.Load.Goodput, b.Load.Goodput, c.Out)
	return nil
}

type traceCmd struct {
	Dir string `arg:"" type:"existingdir" help:"Directory of a run."`
	Out string `required:"" placeholder:"FILE" help:"The trace to write."`
}

// Help implements kong's.
func (traceCmd) Help() string {
	return "Example:\n  thymelab trace /tmp/rush --out rush.trace\n  thymelab load --target 127.0.0.1:8443 --trace rush.trace"
}

// Run implements kong's.
func (c traceCmd) Run(e *env) error {
	n := 0
	err := writeFile(c.Out, func(w io.Writer) (err error) {
		n, err = experiment.Trace(c.Dir, w)
		return err
	})
	if err != nil {
		return input(err)
	}
	fmt.Fprintf(e.out, "%d requests in %s\n", n, c.Out)
	return nil
}
