package cli

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"thymebend/internal/fielderror"
	"thymebend/internal/lab/drill"
	"thymebend/internal/lab/report"
	"thymebend/internal/lab/requestrecord"
)

type drillCmd struct {
	Drill   string `arg:"" help:"The drill's TOML file."`
	Out     string `required:"" placeholder:"DIR" help:"Directory for result.json, report.html, logs and configurations."`
	Gateway string `default:"bin/thymebend" placeholder:"PATH" help:"The gateway's program."`
	Seed    uint64 `placeholder:"N" help:"Seed to use instead of the file's."`
}

// Help implements kong.HelpProvider.
func (drillCmd) Help() string {
	return "Example:\n  thymelab drill experiments/drills/partition.toml --out /tmp/partition\n\n" +
		"Exit codes: 0 all rules held, 1 a rule was broken, 2 unusable file or a drill that could not be played, 4 interrupted by a signal: the output is partial."
}

// Run executes the command; kong calls it.
func (c drillCmd) Run(e *environment) error {
	f, err := drill.Load(c.Drill)
	if err != nil {
		var faults fielderror.List
		if errors.As(err, &faults) {
			return exitError{exitBadInput, faults.Error()}
		}
		return inputError(err)
	}
	length := f.Length()
	e.log.Info().Str("drill", f.Name).Stringer("for", length).Int("gateways", f.Gateways.Count).Int("faults",
		len(f.Faults)).Msg("running")
	res, err := drill.Run(e.ctx, f, drill.Options{Gateway: c.Gateway, Dir: c.Out, Seed: c.Seed,
		Progress: e.progress(length),
		OnFinding: func(f requestrecord.Finding) {
			e.log.Warn().Str("rule", f.Rule).Str("gateway",
				f.ID).Msg(f.Detail)
		}})
	if err != nil {
		return inputError(err)
	}
	if err := res.WriteJSON(c.Out); err != nil {
		return inputError(err)
	}
	page := filepath.Join(c.Out, "report.html")
	if err := writeFile(page, func(w io.Writer) error { return report.WriteDrill(w, res) }); err != nil {
		return inputError(err)
	}
	fmt.Fprint(e.out, report.Text(res.Result))
	fmt.Fprintf(e.out, "report: %s\n", page)
	if res.Load.StoppedEarly {
		return interruptedError()
	}
	if !res.RulesHeld {
		var lines []string
		for _, finding := range res.Findings[:min(10, len(res.Findings))] {
			lines = append(lines, fmt.Sprintf("%s: %s: %s", finding.Rule, finding.ID, finding.Detail))
		}
		return exitError{exitViolation, "a rule was broken\n" + strings.Join(lines, "\n")}
	}
	return nil
}
