package cli

import (
	"context"
	"errors"
	"fmt"
	"time"

	"thymebend/internal/assignment"
	"thymebend/internal/lab/assignmentsim"
	"thymebend/internal/lab/simulation"
)

type sharesCmd struct {
	Gateways int    `placeholder:"N" help:"One size only, with --hosts; without, 10 to 1,000 gateways by 10 to 500 hosts."`
	Hosts    int    `placeholder:"N" help:"See --gateways."`
	Seed     uint64 `default:"1" placeholder:"N" help:"Seed of the traffic and the hosts."`
	Gateway  bool   `help:"Simulate whole gateways of one size on the virtual clock instead: time to detect a bad host, bytes, use of hosts in slow start."`
}

// Help implements kong.HelpProvider.
func (sharesCmd) Help() string {
	return "Example:\n  thymelab shares --gateways 300 --hosts 200\n\nA row a way to divide hosts: largest over mean load of a host by traffic and " +
		"capacity, share refused at 0.8 of all capacity, pairs, most users of a host, pairs of others that move when a gateway or a host goes, time."
}

// Run executes the command; kong calls it.
func (c sharesCmd) Run(e *environment) error {
	sized := c.Gateways != 0 || c.Hosts != 0
	if sized && (c.Gateways < 2 || c.Hosts < 2 || c.Gateways > assignment.MaxGateways ||
		c.Hosts > assignment.MaxEndpoints) {
		return inputError(fmt.Errorf("--gateways and --hosts go together and must be 2 to %d and 2 to %d",
			assignment.MaxGateways, assignment.MaxEndpoints))
	}
	if c.Gateway {
		return c.measureGateways(e)
	}
	sizes := [][2]int{{3, 200}, {10, 10}, {10, 50}, {50, 2}, {50, 50}, {50, 200}, {300, 50}, {300, 200},
		{300, 500}, {1000, 200}, {1000, 500}}
	if c.Gateways > 0 {
		sizes = [][2]int{{c.Gateways, c.Hosts}}
	}
	fmt.Fprintln(e.out, "| gateways | hosts | traffic | way | crowd | refused | pairs | most users | moved by a gateway | by a host | time |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range sizes {
		for _, zipf := range []bool{false, true} {
			for _, strategy := range assignmentsim.Strategies() {
				if e.ctx.Err() != nil {
					return interruptedError()
				}
				if strategy == assignmentsim.UnknownDemand && !zipf {
					continue
				}
				f, err := assignmentsim.Measure(assignmentsim.Case{Gateways: size[0], Endpoints: size[1],
					Zipf: zipf, Mixed: true, Seed: c.Seed}, strategy)
				if err != nil {
					return inputError(err)
				}
				traffic := "even"
				if zipf {
					traffic = "Zipf"
				}
				fmt.Fprintf(e.out, "| %d | %d | %s | %s | %.2f | %.1f%% | %d | %d | %.1f | %.1f | %v |\n",
					size[0], size[1], traffic, strategy, f.RelativeLoad, 100*f.Rejected,
					f.Pairs, f.MaxUsers, f.MovedPerLostGateway, f.MovedPerLostEndpoint, f.Duration.Round(100*time.Microsecond))
			}
		}
	}
	return nil
}

// measureGateways simulates whole gateways, first without and then with peer reports of bad hosts, and prints a row of
// figures for each.
func (c sharesCmd) measureGateways(e *environment) error {
	if c.Gateways == 0 {
		return inputError(fmt.Errorf("--gateway needs --gateways and --hosts"))
	}
	fmt.Fprintln(e.out, "| gateways | hosts | hearsay | bad host known to 95% of its users, median | asked of bad hosts | bytes a second and gateway | cold hosts got of what they may | refused | rules broken |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, hearsay := range []bool{false, true} {
		f, err := simulation.MeasureAssignment(e.ctx, c.Seed, c.Gateways, c.Hosts, hearsay)
		if errors.Is(err, context.Canceled) {
			return interruptedError()
		}
		if err != nil {
			return inputError(err)
		}
		known := "never"
		if at, ok := f.MedianDetectionTime(); ok {
			known = at.String()
		}
		fmt.Fprintf(e.out, "| %d | %d | %v | %s | %d | %.0f | %.2f | %.1f%% | %d |\n", c.Gateways, c.Hosts,
			hearsay, known, f.BadHostRequests, f.BytesPerSecond, f.SlowStartLoad, 100*f.RejectedShare, len(f.Findings))
		for _, finding := range f.Findings[:min(3, len(f.Findings))] {
			fmt.Fprintln(e.err, finding.Rule, finding.ID, finding.Detail)
		}
	}
	return nil
}
