package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/load"
	"thymebend/internal/lab/requestrecord"
)

type loadCmd struct {
	Target      []string      `required:"" sep:"," placeholder:"ADDR" help:"Target address, host:port on loopback; several targets are used in turn."`
	Rate        float64       `default:"100" help:"Requests a second, if neither --shape nor --trace is given."`
	For         time.Duration `default:"10s" help:"Length of the load."`
	Class       []string      `placeholder:"NAME=SHARE" help:"A class and its share of the requests; may be repeated. Without any: tender-view=0.64 and bid-lodge=0.36."`
	Unsafe      []string      `default:"bid-lodge" placeholder:"NAME" help:"Classes sent by POST, which must not run twice."`
	Arrivals    string        `enum:"even,poisson" default:"even" help:"Evenly spaced, or at random times (poisson)."`
	Shape       string        `type:"existingfile" placeholder:"FILE" help:"TOML with [[phase]] tables, as in an experiment."`
	Trace       string        `type:"existingfile" placeholder:"FILE" help:"A recorded trace."`
	Patience    time.Duration `default:"2s" help:"Client timeout: the time that a client waits for its answer."`
	Aim         time.Duration `default:"800ms" help:"Latency objective of an answer."`
	Body        int           `default:"200" help:"Bytes of a POST's body."`
	Connections int           `help:"Connections opened before the first request; more are opened when all are busy."`
	Retries     float64       `help:"Further tries of a request that was refused or failed."`
	Backoff     string        `enum:"fixed,exp" default:"fixed" help:"Waits before retries: constant (fixed), or doubling (exp)."`
	Wait        time.Duration `default:"100ms" help:"Wait before the first retry."`
	Honour      float64       `default:"1" help:"Share of the clients that wait as long as Retry-After says."`
	Seed        uint64        `default:"1" help:"Seed of all random decisions."`
	Notice      time.Duration `default:"1s" help:"A target whose connects fail for this time gets no requests until its health is good."`
	JSON        string        `name:"json" placeholder:"FILE" help:"Write the figures here; - for standard output."`
}

// Help implements kong.HelpProvider.
func (loadCmd) Help() string {
	return "Example:\n  thymelab load --target 127.0.0.1:8443 --rate 300 --for 20s --class tender-view=0.7 --class bid-lodge=0.3 --json out.json\n\n" +
		"Requests are sent on schedule, independent of the answers; latency counts from the time at which a request was due.\n" +
		"A target that is down is measured as well. Exit codes: 0 measured, 2 unusable input, 3 the generator fell behind, 4 interrupted by a signal: the output is partial."
}

// Run executes the command; kong calls it.
func (c loadCmd) Run(e *environment) error {
	classes, err := c.classes()
	if err != nil {
		return inputError(err)
	}
	for _, t := range c.Target {
		if err := requireLoopback(t); err != nil {
			return inputError(err)
		}
	}
	schedule, clients, length, err := c.schedule(classes)
	if err != nil {
		return inputError(err)
	}
	ledger := requestrecord.NewClientRecord()
	res, err := load.Run(e.ctx, load.Options{Targets: c.Target, Classes: classes, Schedule: schedule,
		Clients: clients, Seed: c.Seed,
		// Request ids differ in every run, because the target may still know the ids of an earlier run.
		IDPrefix:       fmt.Sprintf("%08x", uint32(time.Now().UnixNano())),
		DetectionDelay: c.Notice, Record: ledger, Progress: e.progress(length)})
	if err != nil {
		return inputError(err)
	}
	return c.reportResult(e, res, ledger)
}

// schedule returns when requests are sent, how clients behave and how long the load lasts. They come from the trace,
// the shape file, or the rate.
func (c loadCmd) schedule(classes []load.Class) (load.Schedule, load.Clients, time.Duration, error) {
	clients := load.Clients{Retries: c.Retries, Backoff: c.Backoff, RetryDelay: c.Wait, HonourShare: c.Honour, MarkRetries: true,
		Connections: c.Connections}
	list, length := []load.Phase{{Duration: c.For, Rate: c.Rate, Poisson: c.Arrivals == "poisson"}}, c.For
	switch {
	case c.Shape != "" && c.Trace != "":
		return nil, clients, 0, errors.New("--shape and --trace cannot be combined")
	case c.Trace != "":
		schedule, err := readTrace(c.Trace, classes)
		return schedule, clients, length, err
	case c.Shape != "":
		phases, clientSettings, err := experiment.LoadShape(c.Shape, classes)
		if err != nil {
			return nil, clients, 0, err
		}
		if clientSettings != nil {
			clients = *clientSettings
		}
		list, length = phases, load.TotalDuration(phases)
	}
	schedule, err := load.Phases(classes, list, c.Seed)
	return schedule, clients, length, err
}

// classes checks the options and returns the classes of --class, or two default classes.
func (c loadCmd) classes() ([]load.Class, error) {
	if len(c.Class) == 0 {
		c.Class = []string{"tender-view=0.64", "bid-lodge=0.36"}
	}
	if c.Patience <= 0 || c.Aim <= 0 || c.Rate < 0 || c.For <= 0 || c.Retries < 0 || c.Body < 0 || c.Body > 64<<10 {
		return nil, errors.New("--patience, --aim and --for must be positive, --rate and --retries 0 or more, --body 0 to 65536")
	}
	var out []load.Class
	for _, text := range c.Class {
		name, number, ok := strings.Cut(text, "=")
		share, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || !(share >= 0 && share < 1e9) || name == "" || strings.ContainsAny(name, " /?") {
			return nil, fmt.Errorf("--class %q: want NAME=SHARE, such as tender-view=0.64", text)
		}
		class := load.Class{Name: name, Share: share, Unsafe: slices.Contains(c.Unsafe, name), Weight: 1, LatencyObjective: c.Aim,
			ClientTimeout: c.Patience}
		if class.Unsafe {
			class.Body = c.Body
		}
		out = append(out, class)
	}
	return out, nil
}

// reportResult prints and writes the result, and returns the error that sets the exit code.
func (c loadCmd) reportResult(e *environment, res load.Result, tries *requestrecord.ClientRecord) error {
	twice := 0
	for _, t := range tries.Attempts() {
		if t.Answers > 1 {
			twice++
			if twice <= 10 {
				e.log.Warn().Str("id", t.ID).Int("answers", t.Answers).Msg("answered more than once")
			}
		}
	}
	if c.JSON != "" {
		raw, err := json.MarshalIndent(res, "", " ")
		if err != nil {
			return inputError(err)
		}
		raw = append(raw, '\n')
		if c.JSON == "-" {
			_, err = e.out.Write(raw)
		} else {
			err = os.WriteFile(c.JSON, raw, 0o644)
		}
		if err != nil {
			return inputError(err)
		}
	}
	if c.JSON != "-" {
		fmt.Fprintf(e.out, "scheduled %d, sent %d, answered %d: ok %d, refused %d, failed %d, unanswered %d, unsent %d\n", res.Scheduled,
			res.Sent, res.Answered, res.OK, res.Refused, res.Failed, res.Unanswered, res.Unsent)
		if !res.FellBehind {
			l := res.Latency
			fmt.Fprintf(e.out, "latency from the due time: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, max %.2f ms (own lateness p99 %.2f ms)\n",
				l.P50, l.P90, l.P99, l.P999, l.Max, res.GeneratorLateness.P99)
		}
		for _, cause := range slices.Sorted(keys(res.Causes)) {
			fmt.Fprintf(e.out, "  %d without a good answer: %s\n", res.Causes[cause], cause)
		}
		if twice > 0 {
			fmt.Fprintf(e.out, "%d ids were answered more than once\n", twice)
		}
	}
	switch {
	case res.StoppedEarly:
		return interruptedError()
	case res.FellBehind:
		return exitError{exitGeneratorBehind, "the generator fell behind, no latencies are shown: " + res.BehindReason}
	}
	return nil
}

// requireLoopback returns an error for a target that is not on this machine, because the tool must not send load to
// other machines.
func requireLoopback(target string) error {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return fmt.Errorf("--target %s: %w", target, err)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("--target %s: only loopback addresses of this machine are allowed", target)
	}
	return nil
}

// readTrace reads a schedule of recorded requests from a file.
func readTrace(path string, classes []load.Class) (load.Schedule, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return load.ReadTrace(path, file, classes)
}

// keys returns an iterator over the keys of m.
func keys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}
