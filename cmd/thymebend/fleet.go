package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"thymebend/internal/admin"
	"thymebend/internal/http1"
)

// exitInput is that of a command line or an address that cannot be used, exitNone that of a gateway without a view.
const (
	exitNone  = 1
	exitInput = 2
)

// askWithin is how long a gateway may take to answer an operator.
const askWithin = 2 * time.Second

type grammar struct {
	Fleet fleetCmd `cmd:"" help:"Print what a gateway knows of the others of its fleet."`
}

type fleetCmd struct {
	Address string `arg:"" help:"The gateway's second address (LB_CONTROL), such as 127.0.0.1:9443."`
}

// Help implements kong's.
func (fleetCmd) Help() string {
	return "Example:\n  thymebend fleet 127.0.0.1:9443\n\nExit codes: 0 printed, 1 the gateway has no view or does not answer, 2 unusable arguments."
}

// errInput marks what the caller has to mend.
var errInput = errors.New("unusable argument")

// command runs the command line, and returns the exit code.
func command(args []string, out, errOut io.Writer) int {
	var g grammar
	exited := -1
	parser, err := kong.New(&g, kong.Name("thymebend"), kong.Writers(out, errOut), kong.Exit(func(code int) { exited = code }),
		kong.Description("The gateway. Without arguments it serves, as the environment says (LB_CONFIG)."))
	if err != nil {
		fmt.Fprintln(errOut, "thymebend:", err)
		return exitInput
	}
	_, err = parser.Parse(args)
	switch {
	case exited >= 0: // help was asked for
		return exited
	case err == nil:
		err = g.Fleet.run(out)
	default:
		err = fmt.Errorf("%w: %w", errInput, err)
	}
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errInput):
		fmt.Fprintf(errOut, "thymebend: %v\nthymebend --help lists the commands\n", err)
		return exitInput
	}
	fmt.Fprintln(errOut, "thymebend:", err)
	return exitNone
}

func (c fleetCmd) run(out io.Writer) error {
	at, err := netip.ParseAddrPort(c.Address)
	if err != nil || at.Port() == 0 {
		return fmt.Errorf("%w: ADDRESS %q is no address and port", errInput, c.Address)
	}
	m, err := call(at, "/ops/fleet")
	if err != nil {
		return fmt.Errorf("%s: %w", at, err)
	}
	if m.Status != 200 {
		return fmt.Errorf("%s: %d: %s", at, m.Status, strings.TrimSpace(string(m.Body)))
	}
	var f admin.Cluster
	if err := json.Unmarshal(m.Body, &f); err != nil {
		return fmt.Errorf("%s: what it answers is no view: %w", at, err)
	}
	return show(out, f)
}

// call makes one call at a gateway's second address.
func call(at netip.AddrPort, path string) (*http1.Message, error) {
	c, err := net.DialTimeout("tcp", at.String(), askWithin)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(askWithin)); err != nil {
		return nil, err
	}
	if _, err := c.Write(http1.AppendRequest(nil, "GET", path, []http1.Field{{Name: "Host", Value: at.String()}}, nil)); err != nil {
		return nil, err
	}
	// A view of 2,000 gateways is larger than what a host's answer may be: the body is read in pieces.
	const most = 4 << 20
	r := http1.Reader{Response: true, Stream: true}
	var whole []byte
	buf := make([]byte, 16<<10)
	for {
		n, err := c.Read(buf)
		r.Feed(buf[:n])
		head, piece, done, fault := r.Pieces()
		switch whole = append(whole, piece...); {
		case fault != nil:
			return nil, fault
		case head != nil && done:
			return &http1.Message{Head: head, Body: whole}, nil
		case len(whole) > most:
			return nil, fmt.Errorf("an answer of over %d bytes", most)
		case err != nil:
			return nil, fmt.Errorf("no whole answer: %w", err)
		}
	}
}

// show prints a view as a table: first how far it may be trusted, then the gateways, those in trouble first.
func show(out io.Writer, f admin.Cluster) error {
	yes := func(v bool, words, not string) string {
		if v {
			return words
		}
		return not
	}
	fmt.Fprintf(out, "%s in fleet %s: %s, %s, %d of %d alive, %.0f%% of those asked answer, quiet for %v, own health %d\n", f.Name, f.Cluster,
		yes(f.Settled, "settled", "NOT SETTLED"), yes(f.Majority, "a majority", "NO MAJORITY"), f.Alive, f.Known, 100*f.Answering,
		(time.Duration(f.QuietMS) * time.Millisecond).Round(100*time.Millisecond), f.Health)
	if !f.Active {
		fmt.Fprintln(out, "it does not speak: its socket is not open, or another process speaks for it")
	}
	if f.DuplicateName {
		fmt.Fprintln(out, "ANOTHER LIVING PROCESS USES THIS NAME")
	}
	fmt.Fprintf(out, "datagrams: %d sent (%d bytes), %d received (%d bytes)", f.Sent, f.SentBytes, f.Received, f.ReceivedBytes)
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
	order := []string{"suspect", "gone", "left", "alive"}
	slices.SortStableFunc(f.Members, func(a, b admin.Member) int {
		return slices.Index(order, a.State) - slices.Index(order, b.State)
	})
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTATE\tSINCE\tROUND TRIP\tSTARTED\tINCARNATION\tADDRESS")
	for _, m := range f.Members {
		trip := "-"
		if m.RTTMS > 0 {
			trip = fmt.Sprintf("%.1f ms", m.RTTMS)
		}
		name, addr := m.Name, m.Addr
		if m.Name == f.Name {
			name += " (itself)"
		}
		if addr == "" {
			addr = "-"
		}
		fmt.Fprintf(t, "%s\t%s\t%v\t%s\t%s\t%d\t%s\n", name, m.State, (time.Duration(m.SinceMS) * time.Millisecond).Round(100*time.Millisecond), trip,
			time.UnixMilli(int64(m.Start)).UTC().Format("2006-01-02 15:04:05"), m.Incarnation, addr)
	}
	if err := t.Flush(); err != nil || f.Assignment == nil {
		return err
	}
	return showPortion(out, f.Assignment)
}

// showPortion prints what the gateway has of the fleet's hosts, and on what ground: those that are cold or doubted first.
func showPortion(out io.Writer, p *admin.Assignment) error {
	why := map[string]string{
		"waiting":  "no view has settled yet: hosts by count and number, nothing to cold ones",
		"settled":  "the settled view's division",
		"kept":     "the last settled division, for the view is not settled",
		"changing": "what the present and the former division both give, for a second",
	}[p.Stage]
	turns := fmt.Sprintf("%d turns at cold hosts taken", p.Tokens)
	if !p.TokensActive {
		turns += ", NONE NOW: most of the living do not have this file, or have not for 3 s"
	}
	fmt.Fprintf(out, "\nportion: %s (%s) of %d gateways, most loaded host %.2f of the mean, own demand %.1f a second, %d spares\n%s\n\n",
		p.Stage, why, p.Gateways, p.RelativeLoad, p.Demand, p.Spares, turns)
	rank := func(h admin.AssignedEndpoint) int {
		switch {
		case h.SuspectedByPeers:
			return 0
		case h.SlowStart:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(p.Hosts, func(a, b admin.AssignedEndpoint) int { return rank(a) - rank(b) })
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "HOST\tWEIGHT\tPART OF IT\tSTATE")
	for _, h := range p.Hosts {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%s\n", h.Name, h.Weight, h.Share, [...]string{"doubted by others", "cold: turns alone", ""}[rank(h)])
	}
	return t.Flush()
}
