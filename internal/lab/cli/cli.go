// Package cli is the command line of thymelab. It reads arguments, calls the laboratory's libraries and turns
// what they return into words and exit codes.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"thymebend/internal/lab/load"
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
	e := &env{ctx: ctx, out: out, err: errOut,
		log: zerolog.New(zerolog.ConsoleWriter{Out: errOut, TimeFormat: time.TimeOnly,
			NoColor: !terminal(errOut)}).With().Timestamp().Logger()}
	exited := -1
	parser, err := kong.New(&grammar{}, kong.Name("thymelab"), kong.Bind(e), kong.Vars(scaleVars()),
		kong.Writers(out, errOut),
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

// progress shows how far a run is: a bar on a terminal, a line every five seconds elsewhere.
func (e *env) progress(length time.Duration) func(load.Progress) {
	if !terminal(e.err) {
		next := 5 * time.Second
		return func(p load.Progress) {
			if p.At >= next && p.At < length+time.Second {
				next += 5 * time.Second
				e.log.Info().Stringer("at", p.At.Round(time.Second)).Int("due", p.Scheduled).Int("ok",
					p.OK).Int("refused", p.Refused).
					Int("failed", p.Failed).Int("in_flight", p.InFlight).Int("connections", p.Open).Msg("running")
			}
		}
	}
	bar := progressbar.NewOptions64(length.Milliseconds(), progressbar.OptionSetWriter(e.err),
		progressbar.OptionSetWidth(24),
		progressbar.OptionSetPredictTime(false), progressbar.OptionClearOnFinish(),
		progressbar.OptionSetElapsedTime(false))
	return func(p load.Progress) {
		bar.Describe(fmt.Sprintf("%3.0f s  due %d  ok %d  refused %d  failed %d  in flight %d", p.At.Seconds(),
			p.Scheduled, p.OK,
			p.Refused, p.Failed, p.InFlight))
		_ = bar.Set64(min(p.At.Milliseconds(), length.Milliseconds()))
	}
}
