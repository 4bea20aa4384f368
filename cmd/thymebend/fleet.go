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

// run prints the view.
func (c fleetCmd) run(out io.Writer) error {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil || address.Port() == 0 {
		return fmt.Errorf("%w: ADDRESS %q is no address and port", errUsage, c.Address)
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
		return fmt.Errorf("%s: what it answers is no view: %w", address, err)
	}
	return printView(out, view)
}

// printView prints a view: how far it may be trusted, the members, those in trouble first, and the
// assignment.
func printView(out io.Writer, view admin.Cluster) error {
	printSummary(out, view)
	if err := printMembers(out, view); err != nil || view.Assignment == nil {
		return err
	}
	return printAssignment(out, view.Assignment)
}

// printSummary prints how far a view may be trusted.
func printSummary(out io.Writer, view admin.Cluster) {
	choose := func(v bool, yes, no string) string {
		if v {
			return yes
		}
		return no
	}
	fmt.Fprintf(out, "%s in fleet %s: %s, %s, %d of %d alive, ", view.Name, view.Cluster,
		choose(view.Converged, "settled", "NOT SETTLED"), choose(view.Majority, "a majority", "NO MAJORITY"), view.Alive, view.Known)
	fmt.Fprintf(out, "%.0f%% of those asked answer, quiet for %v, own health %d\n",
		100*view.ProbeAnswerShare, roundedMS(view.StableForMS), view.LocalHealth)
	if !view.Active {
		fmt.Fprintln(out, "it does not speak: its socket is not open, or another process speaks for it")
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

// printMembers prints the members of a view, those in trouble first.
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

// roundedMS is a duration in milliseconds, rounded for reading.
func roundedMS(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
}

// printAssignment prints which endpoints a gateway uses, and on what ground: those suspected by peers or in
// slow start first.
func printAssignment(out io.Writer, assignment *admin.Assignment) error {
	explanation := map[string]string{
		"waiting":  "no view has settled yet: hosts by count and number, nothing to cold ones",
		"settled":  "the settled view's division",
		"kept":     "the last settled division, for the view is not settled",
		"changing": "what the present and the former division both give, for a second",
	}[assignment.Stage]
	tokens := fmt.Sprintf("%d turns at cold hosts taken", assignment.Tokens)
	if !assignment.TokensActive {
		tokens += ", NONE NOW: most of the living do not have this file, or have not for 3 s"
	}
	fmt.Fprintf(out, "\nportion: %s (%s) of %d gateways, most loaded host %.2f of the mean, ",
		assignment.Stage, explanation, assignment.Gateways, assignment.RelativeLoad)
	fmt.Fprintf(out, "own demand %.1f a second, %d spares\n%s\n\n", assignment.Demand, assignment.SpareEndpoints, tokens)
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
