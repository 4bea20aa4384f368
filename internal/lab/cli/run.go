package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/report"
)

type runCmd struct {
	Experiment string `arg:"" help:"The experiment's TOML file."`
	Out        string `required:"" placeholder:"DIR" help:"Directory for result.json, report.html, logs and configurations."`
	Gateway    string `default:"bin/thymebend" placeholder:"PATH" help:"The gateway's program."`
	Seed       uint64 `placeholder:"N" help:"Seed to use instead of the file's."`
}

// Help implements kong.HelpProvider.
func (runCmd) Help() string {
	return "Example:\n  thymelab run experiments/closing-rush.toml --out /tmp/rush --seed 7\n\n" +
		"Exit codes: 0 all rules held, 1 a rule was broken, 2 unusable input, 3 the generator fell behind, 4 interrupted by a signal: the output is partial."
}

// Run executes the command; kong calls it.
func (c runCmd) Run(e *environment) error {
	f, err := experiment.Load(c.Experiment)
	if err != nil {
		return inputError(err)
	}
	length := f.Length()
	e.log.Info().Str("experiment", f.Name).Stringer("for", length).Int("hosts", hostCount(f)).Int("gateways",
		f.Gateways.Count).Msg("running")
	res, err := experiment.Run(e.ctx, f, experiment.Options{Gateway: c.Gateway, Dir: c.Out, Seed: c.Seed,
		Progress: e.progress(length)})
	if err != nil {
		return inputError(err)
	}
	if err := res.WriteJSON(c.Out); err != nil {
		return inputError(err)
	}
	page := filepath.Join(c.Out, "report.html")
	if err := writeFile(page, func(w io.Writer) error { return report.Write(w, res) }); err != nil {
		return inputError(err)
	}
	fmt.Fprint(e.out, report.Text(res))
	fmt.Fprintf(e.out, "report: %s\n", page)
	switch {
	case res.Load.StoppedEarly:
		return interruptedError()
	case res.Load.FellBehind:
		return exitError{exitGeneratorBehind, "the generator fell behind: " + res.Load.BehindReason}
	case !res.RulesHeld:
		return exitError{exitViolation, "a rule was broken"}
	}
	return nil
}

// hostCount returns the number of hosts of an experiment.
func hostCount(f *experiment.File) (n int) {
	for _, h := range f.Hosts {
		n += h.Count
	}
	return n
}

// writeFile creates the file at path and writes its content with write.
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
