package cli

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"

	"thymebend/internal/fielderror"
	"thymebend/internal/lab/scale"
)

type scaleCmd struct {
	Gateways int           `placeholder:"N" help:"Gateways of the fleet, 3 to 2000; ${scale_gateways} by default."`
	Hosts    int           `placeholder:"N" help:"Hosts listed; ${scale_hosts} by default."`
	Services int           `placeholder:"N" help:"Services; ${scale_services} by default. A gateway serves 40 of them at most."`
	Tenants  int           `default:"-1" placeholder:"N" help:"Tenants in the settings and in the configuration; ${scale_tenants} by default."`
	Routes   int           `placeholder:"N" help:"Routes of the configuration; ${scale_routes} by default."`
	Zones    int           `placeholder:"N" help:"Zones, to which gateways and hosts are assigned in turn; ${scale_zones} by default."`
	Regions  int           `placeholder:"N" help:"Regions of the zones; ${scale_regions} by default."`
	Full     int           `default:"-1" placeholder:"N" help:"Gateways that also hold the list of hosts, divide it and read the settings; ${scale_full} by default."`
	Seed     uint64        `placeholder:"N" help:"Seed of all random decisions; 1 by default."`
	For      time.Duration `placeholder:"TIME" help:"Length of the measured period in virtual time; 60s by default."`
	Loss     float64       `default:"-1" placeholder:"SHARE" help:"Share of the datagrams and frames that is lost; none by default."`
	Stalls   float64       `default:"-1" placeholder:"SHARE" help:"Share of the gateways paused for 2 s in every 10 s; none by default."`
	Restarts int           `default:"-1" placeholder:"N" help:"Gateways restarted in the measured period; none by default. One in ten restarts on a new machine."`
	Failures int           `default:"-1" placeholder:"N" help:"Gateways that crash and restart after 10 to 30 s; none by default."`
	Changes  int           `default:"-1" placeholder:"N" help:"Configuration changes in the measured period; adds four control machines, which are absent by default."`
	Fault    []string      `sep:"none" placeholder:"KIND@AT+FOR" help:"A rack, a zone, parted (regions), loss or stalls (followed by =SHARE), such as zone@20s+30s; may be repeated."`
	File     string        `placeholder:"FILE" help:"TOML with the same fields and [[fault]] tables; options override it."`
	Sizes    []int         `placeholder:"N,N,..." help:"Numbers of gateways, run one after another, with lines fitted through the figures."`
	LeaveOut int           `placeholder:"N" help:"One of --sizes that is left out of the fits, predicted by them and shown beside what was measured."`
	JSON     string        `name:"json" placeholder:"FILE" help:"Write the figures here; - for standard output."`
	Plot     string        `placeholder:"FILE" help:"Write a plot (SVG) here: bytes by second, or by size with --sizes."`
}

// scaleVars returns the default values that the help texts of scaleCmd mention.
func scaleVars() map[string]string {
	d := scale.Defaults()
	vars := make(map[string]string)
	for name, value := range map[string]int{"gateways": d.Gateways, "hosts": d.Hosts, "services": d.Services,
		"tenants": d.Tenants, "routes": d.Routes,
		"zones": d.Zones, "regions": d.Regions, "full": d.Full} {
		vars["scale_"+name] = fmt.Sprint(value)
	}
	return vars
}

// Help implements kong.HelpProvider.
func (scaleCmd) Help() string {
	return "Simulates the control traffic of a whole fleet on the virtual clock: simulated gateways with the real reducers, and no client traffic.\n\nExamples:\n" +
		"  thymelab scale --gateways 100 --for 30s --loss 0.05 --stalls 0.1 --json out.json --plot out.svg\n" +
		"  thymelab scale --restarts 490 --failures 21 --changes 720 --for 12m --json day.json\n" +
		"  thymelab scale --sizes 50,100,200,400 --leave-out 200 --json slopes.json\n\n" +
		"Exit codes: 0 measured, 1 a rule was broken, 2 unusable input, 4 interrupted by a signal: the output is partial."
}

// options returns the defaults, overridden by the file, which is overridden by the command line.
func (c scaleCmd) options() (scale.Options, error) {
	o := scale.Defaults()
	if c.File != "" {
		var err error
		if o, err = scale.Load(c.File, o); err != nil {
			var faults fielderror.List
			if errors.As(err, &faults) {
				return o, exitError{exitBadInput, faults.Error()}
			}
			return o, inputError(err)
		}
	}
	c.override(&o)
	for _, text := range c.Fault {
		f, err := scale.ParseFault(text)
		if err != nil {
			return o, inputError(fmt.Errorf("--fault: %w", err))
		}
		o.Faults = append(o.Faults, f)
	}
	var wrong []string
	for _, w := range o.Check() {
		wrong = append(wrong, "--"+w.Error())
	}
	if len(wrong) > 0 {
		return o, exitError{exitBadInput, strings.Join(wrong, "\n")}
	}
	return o, nil
}

// override applies the values given on the command line.
func (c scaleCmd) override(o *scale.Options) {
	for _, override := range []struct {
		to           *int
		value, unset int
	}{{&o.Gateways, c.Gateways, 0}, {&o.Hosts, c.Hosts, 0}, {&o.Services, c.Services, 0},
		{&o.Tenants, c.Tenants, -1}, {&o.Routes, c.Routes, 0},
		{&o.Zones, c.Zones, 0}, {&o.Regions, c.Regions, 0}, {&o.Full, c.Full, -1},
		{&o.Restarts, c.Restarts, -1}, {&o.Failures, c.Failures, -1},
		{&o.Changes, c.Changes, -1}} {
		if override.value != override.unset {
			*override.to = override.value
		}
	}
	if c.Seed != 0 {
		o.Seed = c.Seed
	}
	if c.For != 0 {
		o.For = c.For
	}
	if c.Loss != -1 {
		o.Loss = c.Loss
	}
	if c.Stalls != -1 {
		o.Stalls = c.Stalls
	}
}

// Run executes the command; kong calls it.
func (c scaleCmd) Run(e *environment) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	if len(c.Sizes) > 0 || c.LeaveOut != 0 {
		return c.sweep(e, o)
	}
	r, err := scale.Run(e.ctx, o, e.scaleProgress())
	if err != nil {
		return inputError(err)
	}
	if err := c.write(e, r, func(out io.Writer) error { return scale.PlotSeconds(out, r) }); err != nil {
		return inputError(err)
	}
	if c.JSON != "-" {
		fmt.Fprint(e.out, scale.Text(r))
	}
	return scaleExit(r)
}

// write writes the figures and the plot to the files given by --json and --plot.
func (c scaleCmd) write(e *environment, result any, plot func(io.Writer) error) error {
	if c.Plot != "" {
		if err := writeFile(c.Plot, plot); err != nil {
			return err
		}
	}
	switch c.JSON {
	case "":
		return nil
	case "-":
		return scale.WriteJSON(e.out, result)
	default:
		return writeFile(c.JSON, func(out io.Writer) error { return scale.WriteJSON(out, result) })
	}
}

// scaleExit returns the error that sets the exit code after a run, or nil.
func scaleExit(r *scale.Result) error {
	switch {
	case r.FirstViolation() != "":
		return exitError{exitViolation, "a rule was broken: " + r.FirstViolation()}
	case r.Partial:
		return interruptedError()
	}
	return nil
}

// sweep runs one size after another, fits lines through the figures and writes them.
func (c scaleCmd) sweep(e *environment, o scale.Options) error {
	sizes := slices.Compact(slices.Sorted(slices.Values(c.Sizes)))
	for _, n := range sizes {
		one := o
		one.Gateways = n
		if wrong := one.Check(); len(wrong) > 0 {
			return inputError(fmt.Errorf("--sizes %d: %w", n, wrong[0]))
		}
	}
	if c.LeaveOut != 0 && !slices.Contains(sizes, c.LeaveOut) {
		return inputError(fmt.Errorf("--leave-out %d is none of --sizes", c.LeaveOut))
	}
	s := scale.Sweep{LeftOut: c.LeaveOut}
	exit := error(nil)
	for _, n := range sizes {
		one := o
		one.Gateways = n
		r, err := scale.Run(e.ctx, one, e.scaleProgress())
		if err != nil {
			return inputError(err)
		}
		if exit = scaleExit(r); r.Partial {
			s.Partial = true
			break // leave out the interrupted size: its figures cover a shorter time
		}
		s.Results = append(s.Results, r)
		if c.JSON != "-" {
			fmt.Fprint(e.out, scale.Text(r))
		}
		if exit != nil {
			break
		}
	}
	s.Fit()
	if err := c.write(e, &s, func(out io.Writer) error { return scale.PlotSizes(out, &s) }); err != nil {
		return inputError(err)
	}
	if c.JSON != "-" {
		fmt.Fprint(e.out, s.Text())
	}
	return exit
}

// scaleProgress returns a function that shows the progress of a run, or nil if standard error is no terminal.
func (e *environment) scaleProgress() func(scale.Progress) {
	if !terminal(e.err) {
		return nil
	}
	var bar *progressbar.ProgressBar
	phase := ""
	return func(p scale.Progress) {
		if bar == nil || p.Phase != phase {
			phase = p.Phase
			bar = progressbar.NewOptions64(p.Length.Milliseconds(), progressbar.OptionSetWriter(e.err),
				progressbar.OptionSetWidth(24),
				progressbar.OptionSetPredictTime(false), progressbar.OptionClearOnFinish(),
				progressbar.OptionSetDescription(phase))
		}
		_ = bar.Set64(min(p.At, p.Length).Milliseconds())
	}
}
