package cli

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"thymebend/internal/lab/drill"
	"thymebend/internal/lab/requestrecord"
	"thymebend/internal/lab/soak"
)

type soakCmd struct {
	From     uint64        `default:"1" placeholder:"N" help:"The first seed."`
	Count    uint64        `default:"1" placeholder:"N" help:"Number of seeds, played one after another."`
	Gateways int           `placeholder:"N" help:"Instead of what the seed draws, 10 to 40."`
	Length   time.Duration `placeholder:"TIME" help:"Length of the load, instead of what the seed draws, 10s to 10m."`
	Out      string        `required:"" placeholder:"DIR" help:"Directory for a folder a seed: soak.toml, result.json, logs and configurations."`
	Gateway  string        `default:"bin/thymebend" placeholder:"PATH" help:"The gateway's program."`
	Draw     bool          `help:"Write the soaks' files and play nothing."`
}

// Help implements kong.HelpProvider.
func (soakCmd) Help() string {
	return "Example:\n  thymelab soak --from 1 --count 10 --out out/soak\n  thymelab drill out/soak/7/soak.toml --out out/again\n\n" +
		"Exit codes: 0 all rules held, 1 a rule was broken, 2 a soak that could not be drawn or played, 4 interrupted by a signal: the output is partial."
}

// Run executes the command; kong calls it.
func (c soakCmd) Run(e *environment) error {
	failed := 0
	for seed := c.From; seed < c.From+c.Count; seed++ {
		dir := filepath.Join(c.Out, fmt.Sprint(seed))
		name, err := c.writeDrill(seed, dir)
		if err != nil {
			return inputError(err)
		}
		if c.Draw {
			continue
		}
		held, err := c.play(e, seed, name, dir)
		switch {
		case e.ctx.Err() != nil:
			return interruptedError()
		case err != nil:
			return inputError(fmt.Errorf("seed %d: %w", seed, err))
		case !held:
			failed++
		}
	}
	if failed > 0 {
		return exitError{exitViolation, fmt.Sprintf("%d of %d soaks broke a rule", failed, c.Count)}
	}
	return nil
}

// writeDrill generates the drill of a seed, writes it to soak.toml in dir and returns the file's name.
func (c soakCmd) writeDrill(seed uint64, dir string) (name string, err error) {
	text, err := soak.Text(soak.Options{Seed: seed, Gateways: c.Gateways, Length: c.Length})
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	name = filepath.Join(dir, "soak.toml")
	return name, os.WriteFile(name, []byte(text), 0o644)
}

// play plays one soak, prints a line of figures and the first five findings in order of time, and reports whether all
// invariants held.
func (c soakCmd) play(e *environment, seed uint64, name, dir string) (held bool, err error) {
	f, err := drill.Load(name)
	if err != nil {
		return false, err
	}
	res, err := drill.Run(e.ctx, f, drill.Options{Gateway: c.Gateway, Dir: dir,
		OnFinding: func(found requestrecord.Finding) {
			e.log.Warn().Uint64("seed", seed).Str("rule", found.Rule).Str("id", found.ID).Msg(found.Detail)
		}})
	if err != nil {
		return false, err
	}
	if err := res.WriteJSON(dir); err != nil {
		return false, err
	}
	fmt.Fprintf(e.out, "seed %d: %d gateways, %d faults and %d events in %v, %d of %d requests served, %d rules broken\n", seed, f.Gateways.Count,
		len(f.Faults), len(f.Events), f.Length(), res.Load.OK, res.Load.Scheduled, len(res.Findings))
	slices.SortStableFunc(res.Findings, func(a, b requestrecord.Finding) int { return cmp.Compare(a.At, b.At) })
	for _, found := range res.Findings[:min(5, len(res.Findings))] {
		fmt.Fprintf(e.out, "  %s at %.2f s: %s: %s\n", found.Rule, found.At.Seconds(), found.ID,
			strings.TrimSpace(found.Detail))
	}
	return res.RulesHeld, nil
}
