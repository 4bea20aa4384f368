package cli

import (
	"fmt"
	"os"
	"slices"

	"thymebend/internal/lab/experiment"
)

type fleetCmd struct {
	Experiment string `arg:"" help:"The experiment's TOML file."`
	Seed       uint64 `placeholder:"N" help:"Seed to use instead of the file's."`
	Discovery  string `default:"127.0.0.1:0" placeholder:"ADDR" help:"Where discovery listens; port 0 takes a free one."`
	Listen     string `default:"127.0.0.1:8443" placeholder:"ADDR" help:"Listen address of the gateway of --config."`
	Config     string `placeholder:"FILE" help:"Write the configuration of a gateway over this fleet."`
	Events     bool   `help:"Play the experiment's events that concern hosts and discovery."`
}

// Help implements kong.HelpProvider.
func (fleetCmd) Help() string {
	return "Example, with a gateway beside it:\n  thymelab fleet experiments/calm.toml --config /tmp/gateway.json &\n" +
		"  LB_CONFIG=/tmp/gateway.json bin/thymebend"
}

// Run executes the command; kong calls it.
func (c fleetCmd) Run(e *environment) error {
	f, err := experiment.Load(c.Experiment)
	if err != nil {
		return inputError(err)
	}
	seed := f.Seed
	if c.Seed != 0 {
		seed = c.Seed
	}
	const via = "gateway-0"
	w, err := experiment.NewWorld(f, seed, []string{via}, c.Discovery)
	if err != nil {
		return inputError(err)
	}
	defer w.Close()
	discovery, list := w.Addresses(via)
	if c.Config != "" {
		conf, err := w.Config(via, 0, c.Listen, discovery)
		if err != nil {
			return inputError(err)
		}
		if err := os.WriteFile(c.Config, append(conf, '\n'), 0o600); err != nil {
			return inputError(err)
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
