// Package cli is the command line of thymelab. It parses the arguments, calls the laboratory's packages, prints their
// results and sets the exit code.
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

// Exit codes of thymelab.
const (
	exitOK              = 0
	exitViolation       = 1 // a run violated an invariant
	exitBadInput        = 2 // the arguments or an input file cannot be used
	exitGeneratorBehind = 3 // the load generator fell behind its schedule
	exitInterrupted     = 4 // interrupted by SIGINT or SIGTERM; the output is partial
)

// environment holds what a command uses: the context that a signal cancels, the outputs and the log.
type environment struct {
	ctx      context.Context
	out, err io.Writer
	log      zerolog.Logger
}

// exitError ends thymelab with an exit code. The text is printed unless it is empty.
type exitError struct {
	code int
	text string
}

func (c exitError) Error() string { return c.text }

// interruptedError returns the error of a command that was interrupted before its end. The command returns it after it
// has written its partial results.
func interruptedError() error {
	return exitError{exitInterrupted, "interrupted by a signal: the output is partial"}
}

// inputError returns err with the exit code of unusable input.
func inputError(err error) error {
	if err == nil {
		return nil
	}
	return exitError{exitBadInput, err.Error()}
}

type grammar struct {
	Run      runCmd      `cmd:"" help:"Play an experiment against real gateways and write result.json and report.html."`
	Load     loadCmd     `cmd:"" help:"Send requests on schedule to anything that speaks the clients' protocol."`
	Fleet    fleetCmd    `cmd:"" help:"Start the hosts and discovery of an experiment alone, until SIGTERM."`
	Compare  compareCmd  `cmd:"" help:"Write one page that compares two runs."`
	Seeds    seedsCmd    `cmd:"" help:"Play seeded fault runs of the whole gateway on a virtual clock."`
	Drill    drillCmd    `cmd:"" help:"Start several gateways with relays between them, break paths and processes, and verify the invariants."`
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
	e := &environment{ctx: ctx, out: out, err: errOut,
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
		return exitBadInput
	}
	k, err := parser.Parse(args)
	switch {
	case exited >= 0: // kong has printed the help
		return exited
	case err != nil:
		fmt.Fprintf(errOut, "thymelab: %v\nthymelab --help lists the commands and their options\n", err)
		return exitBadInput
	}
	if err = k.Run(); err == nil {
		return exitOK
	}
	var c exitError
	if !errors.As(err, &c) {
		c = exitError{exitBadInput, err.Error()}
	}
	if c.text != "" {
		fmt.Fprintln(errOut, "thymelab:", c.text)
	}
	return c.code
}

// terminal reports whether w is a terminal.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

// progress returns a function that reports the progress of a run of the given length: as a bar if standard error is a
// terminal, otherwise as a log line every five seconds.
func (e *environment) progress(length time.Duration) func(load.Progress) {
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
