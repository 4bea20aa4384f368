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
	e.log.Info().Str("experiment", f.Name).Stringer("for", length).Int("hosts", hosts(f)).Int("gateways",
		f.Gateways.Count).Msg("running")
	res, err := experiment.Run(e.ctx, f, experiment.Options{Gateway: c.Gateway, Dir: c.Out, Seed: c.Seed,
		Progress: e.progress(length)})
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
	case res.Load.StoppedEarly:
		return early()
	case res.Load.FellBehind:
		return coded{exitBehind, "the generator fell behind: " + res.Load.BehindReason}
	case !res.RulesHeld:
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
