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
	at, err := netip.ParseAddrPort(c.Address)
	if err != nil || at.Port() == 0 {
		return fmt.Errorf("%w: ADDRESS %q is no address and port", errUsage, c.Address)
	}
	response, err := getAdmin(at, "/ops/fleet")
	if err != nil {
		return fmt.Errorf("%s: %w", at, err)
	}
	if response.Status != 200 {
		return fmt.Errorf("%s: %d: %s", at, response.Status, strings.TrimSpace(string(response.Body)))
	}
	var view admin.Cluster
	if err := json.Unmarshal(response.Body, &view); err != nil {
		return fmt.Errorf("%s: what it answers is no view: %w", at, err)
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
func printSummary(out io.Writer, f admin.Cluster) {
	choose := func(v bool, yes, no string) string {
		if v {
			return yes
		}
		return no
	}
	fmt.Fprintf(out, "%s in fleet %s: %s, %s, %d of %d alive, ", f.Name, f.Cluster,
		choose(f.Converged, "settled", "NOT SETTLED"), choose(f.Majority, "a majority", "NO MAJORITY"), f.Alive, f.Known)
	fmt.Fprintf(out, "%.0f%% of those asked answer, quiet for %v, own health %d\n",
		100*f.ProbeAnswerShare, roundedMS(f.StableForMS), f.LocalHealth)
	if !f.Active {
		fmt.Fprintln(out, "it does not speak: its socket is not open, or another process speaks for it")
	}
	if f.DuplicateName {
		fmt.Fprintln(out, "ANOTHER LIVING PROCESS USES THIS NAME")
	}
	fmt.Fprintf(out, "datagrams: %d sent (%d bytes), %d received (%d bytes)",
		f.Sent, f.SentBytes, f.Received, f.ReceivedBytes)
	causes := make([]string, 0, len(f.Refused))
	for cause, n := range f.Refused {
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
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTATE\tSINCE\tROUND TRIP\tSTARTED\tINCARNATION\tADDRESS")
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
		fmt.Fprintf(t, "%s\t%s\t%v\t%s\t%s\t%d\t%s\n",
			name, m.State, roundedMS(m.SinceMS), rtt, started, m.Incarnation, addr)
	}
	return t.Flush()
}

// roundedMS is a duration in milliseconds, rounded for reading.
func roundedMS(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
}

// printAssignment prints which endpoints a gateway uses, and on what ground: those suspected by peers or in
// slow start first.
func printAssignment(out io.Writer, p *admin.Assignment) error {
	why := map[string]string{
		"waiting":  "no view has settled yet: hosts by count and number, nothing to cold ones",
		"settled":  "the settled view's division",
		"kept":     "the last settled division, for the view is not settled",
		"changing": "what the present and the former division both give, for a second",
	}[p.Stage]
	tokens := fmt.Sprintf("%d turns at cold hosts taken", p.Tokens)
	if !p.TokensActive {
		tokens += ", NONE NOW: most of the living do not have this file, or have not for 3 s"
	}
	fmt.Fprintf(out, "\nportion: %s (%s) of %d gateways, most loaded host %.2f of the mean, ",
		p.Stage, why, p.Gateways, p.RelativeLoad)
	fmt.Fprintf(out, "own demand %.1f a second, %d spares\n%s\n\n", p.Demand, p.SpareEndpoints, tokens)
	rank := func(h admin.AssignedEndpoint) int {
		switch {
		case h.SuspectedByPeers:
			return 0
		case h.SlowStart:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(p.Endpoints, func(a, b admin.AssignedEndpoint) int { return rank(a) - rank(b) })
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "HOST\tWEIGHT\tPART OF IT\tSTATE")
	for _, h := range p.Endpoints {
		state := [...]string{"doubted by others", "cold: turns alone", ""}[rank(h)]
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%s\n", h.Name, h.Weight, h.Share, state)
	}
	return t.Flush()
}
