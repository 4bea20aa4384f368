package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"thymebend/internal/admin"
)

// run fetches a gateway's view of its cluster and prints it.
func (c fleetCmd) run(out io.Writer) error {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil || address.Port() == 0 {
		return fmt.Errorf("%w: ADDRESS %q is not an IP address and port", errUsage, c.Address)
	}
	response, err := getAdmin(address, "/ops/fleet")
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	if response.Status != 200 {
		return fmt.Errorf("%s: %d: %s", address, response.Status, strings.TrimSpace(string(response.Body)))
	}
	var view admin.Cluster
	if err := json.Unmarshal(response.Body, &view); err != nil {
		return fmt.Errorf("%s: the response is not a view of a cluster: %w", address, err)
	}
	return printView(out, view)
}

// printView prints a view: a summary of how reliable it is, the members, and the assignment of endpoints if there
// is one.
func printView(out io.Writer, view admin.Cluster) error {
	printSummary(out, view)
	if err := printMembers(out, view); err != nil || view.Assignment == nil {
		return err
	}
	return printAssignment(out, view.Assignment)
}

// printSummary prints the facts from which an operator judges how reliable a view is: convergence, majority,
// answered probes, local health, and the datagrams sent, received and refused.
func printSummary(out io.Writer, view admin.Cluster) {
	choose := func(v bool, yes, no string) string {
		if v {
			return yes
		}
		return no
	}
	fmt.Fprintf(out, "%s in fleet %s: %s, %s, %d of %d alive, ", view.Name, view.Cluster,
		choose(view.Converged, "settled", "NOT SETTLED"), choose(view.Majority, "a majority", "NO MAJORITY"),
		view.Alive, view.Known)
	fmt.Fprintf(out, "%.0f%% of probes answered, no change for %v, local health score %d (0 is best)\n",
		100*view.ProbeAnswerShare, roundedMS(view.StableForMS), view.LocalHealth)
	if !view.Active {
		fmt.Fprintln(out, "it does not gossip: its socket is not open, or another process gossips for it")
	}
	if view.DuplicateName {
		fmt.Fprintln(out, "ANOTHER LIVING PROCESS USES THIS NAME")
	}
	fmt.Fprintf(out, "datagrams: %d sent (%d bytes), %d received (%d bytes)",
		view.Sent, view.SentBytes, view.Received, view.ReceivedBytes)
	causes := make([]string, 0, len(view.Refused))
	for cause, n := range view.Refused {
		if n > 0 {
			causes = append(causes, fmt.Sprintf("%s %d", cause, n))
		}
	}
	if slices.Sort(causes); len(causes) > 0 {
		fmt.Fprintf(out, ", refused: %s", strings.Join(causes, ", "))
	}
	fmt.Fprint(out, "\n\n")
}

// printMembers prints the members of a view, sorted by state: suspect, gone, left, alive.
func printMembers(out io.Writer, view admin.Cluster) error {
	order := []string{"suspect", "gone", "left", "alive"}
	slices.SortStableFunc(view.Members, func(a, b admin.Member) int {
		return slices.Index(order, a.State) - slices.Index(order, b.State)
	})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tSTATE\tSINCE\tROUND TRIP\tSTARTED\tINCARNATION\tADDRESS")
	for _, m := range view.Members {
		rtt := "-"
		if m.RTTMS > 0 {
			rtt = fmt.Sprintf("%.1f ms", m.RTTMS)
		}
		name, addr := m.Name, m.Addr
		if m.Name == view.Name {
			name += " (itself)"
		}
		if addr == "" {
			addr = "-"
		}
		started := time.UnixMilli(int64(m.StartMS)).UTC().Format("2006-01-02 15:04:05")
		fmt.Fprintf(table, "%s\t%s\t%v\t%s\t%s\t%d\t%s\n",
			name, m.State, roundedMS(m.SinceMS), rtt, started, m.Incarnation, addr)
	}
	return table.Flush()
}

// roundedMS converts milliseconds to a duration rounded to 100 ms.
func roundedMS(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
}

// printAssignment prints which endpoints are assigned to a gateway and from which membership the assignment was
// computed. Endpoints suspected by peers come first, then endpoints in slow start, then all others.
func printAssignment(out io.Writer, assignment *admin.Assignment) error {
	explanation := map[string]string{
		"waiting": "no view has settled yet: hosts divided by the configured number of gateways and rank, " +
			"none in slow start",
		"settled":  "computed from the settled view",
		"kept":     "computed from the last settled view, because the present view is not settled",
		"changing": "the part that the present and the former assignment have in common, used for a second",
	}[assignment.Stage]
	tokens := fmt.Sprintf("%d tokens for hosts in slow start used", assignment.Tokens)
	if !assignment.TokensActive {
		tokens += ", NONE NOW: most live gateways do not have the same file, or have had it for less than 3 s"
	}
	fmt.Fprintf(out, "\nportion: %s (%s) of %d gateways, load of the most loaded host %.2f times the mean, ",
		assignment.Stage, explanation, assignment.Gateways, assignment.RelativeLoad)
	fmt.Fprintf(out, "own demand %.1f requests/s, %d spare hosts\n%s\n\n", assignment.Demand,
		assignment.SpareEndpoints, tokens)
	rank := func(endpoint admin.AssignedEndpoint) int {
		switch {
		case endpoint.SuspectedByPeers:
			return 0
		case endpoint.SlowStart:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(assignment.Endpoints, func(a, b admin.AssignedEndpoint) int { return rank(a) - rank(b) })
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tWEIGHT\tPART OF IT\tSTATE")
	for _, endpoint := range assignment.Endpoints {
		state := [...]string{"doubted by others", "cold: turns alone", ""}[rank(endpoint)]
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%s\n", endpoint.Name, endpoint.Weight, endpoint.Share, state)
	}
	return table.Flush()
}
