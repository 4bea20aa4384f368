// Package drill starts several real gateways with hosts, discovery and load as an experiment does, puts relays between
// any two of them, and breaks paths and processes while it looks on. docs/design/drill.md says why it is so.
package drill

import (
	"fmt"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"thymebend/internal/assignment"
	"thymebend/internal/lab/experiment"
	"thymebend/internal/tomlfile"
)

// mostGateways bounds a drill: each pair has two sockets in the rig.
const mostGateways = 40

// File is a drill: an experiment, and what is broken between the processes.
type File struct {
	experiment.File
	Fleet   Fleet          `toml:"fleet"`
	Network Path           `toml:"network"` // of every path from the start
	Faults  []Fault        `toml:"fault"`
	Expect  []Expect       `toml:"expect"`
	Stopped StoppedClients `toml:"stopped_clients"`
}

// Fleet is what gateways are told of each other.
type Fleet struct {
	Late     []int   `toml:"late"`      // gateways that are not there from the start; gateway-start starts them
	Shares   bool    `toml:"shares"`    // they divide hosts by their view
	WarmRate float64 `toml:"warm_rate"` // as their files state it
	Follow   bool    `toml:"follow"`    // files name who runs, and change with SIGHUP as gateways start and end for good; else all
}

// Path is how a path is. Zero is a path without faults.
type Path struct {
	Loss    float64             `toml:"loss"` // share; a stream waits for a repeat instead
	Delay   experiment.Duration `toml:"delay"`
	Jitter  experiment.Duration `toml:"jitter"`
	Double  float64             `toml:"double"`  // share of datagrams that come twice
	Reorder float64             `toml:"reorder"` // share of datagrams that come reorderBy later
}

// reorderBy is how much later a datagram comes that others overtake.
const reorderBy = 30 * time.Millisecond

// Fault is something that goes wrong at a time of the run.
type Fault struct {
	At  experiment.Duration `toml:"at"`
	Do  string              `toml:"do"`
	For experiment.Duration `toml:"for"`

	Gateways []int               `toml:"gateways"`
	Every    experiment.Duration `toml:"every"`
	Share    float64             `toml:"share"`

	From   []string   `toml:"from"`
	To     []string   `toml:"to"`
	Both   bool       `toml:"both"`
	Groups [][]string `toml:"groups"`
	Path
}

// Expect is what gateways must come to believe, at some moment from at to at and within.
type Expect struct {
	At      experiment.Duration `toml:"at"`
	Within  experiment.Duration `toml:"within"`
	By      []int               `toml:"by"`
	Of      []int               `toml:"of"`
	State   string              `toml:"state"` // of each in of: alive, suspect, gone, left, unknown
	Settled *bool               `toml:"settled"`
	Major   *bool               `toml:"majority"`
	Twin    *bool               `toml:"twin"`
	Alive   int                 `toml:"alive"`
	Portion string              `toml:"portion"` // stage of its part of the hosts: waiting, settled, kept, changing
	Turns   uint64              `toml:"turns"`   // at cold hosts that its process has taken, at least
	Crowd   float64             `toml:"crowd"`   // of its division, at most
}

// Load reads and checks a drill. The error holds everything that is wrong, with file, line and column.
func Load(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse does so with a text at hand.
func Parse(name string, text []byte) (*File, error) {
	f := &File{}
	in := tomlfile.Read(name, text, f)
	if err := in.Err(); err != nil {
		return nil, err
	}
	f.Complete(in)
	f.check(in)
	if err := in.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// nodes names everybody that a path can lead from or to.
func (f *File) nodes() []string {
	out := []string{experiment.NodeClients, experiment.NodeDiscovery}
	for n := range f.Gateways.Count {
		out = append(out, experiment.GatewayName(n))
	}
	for _, h := range f.Hosts {
		for n := range h.Count {
			out = append(out, experiment.HostName(h.Kind, n))
		}
	}
	return out
}

func states() []string { return []string{"alive", "suspect", "gone", "left", "unknown"} }

func stages() []string {
	return []string{assignment.Waiting.String(), assignment.Settled.String(), assignment.Retained.String(), assignment.Changing.String()}
}

func (f *File) check(in *tomlfile.File) {
	need := func(ok bool, at, format string, args ...any) {
		if !ok {
			in.Fault(at, format, args...)
		}
	}
	n := f.Gateways.Count
	need(n >= 2 && n <= mostGateways, "gateways.count", "must be 2 to %d in a drill", mostGateways)
	numbers := func(at string, list []int) {
		for i, g := range list {
			need(g >= 0 && g < n, at, "%d is no gateway, there are 0 to %d", g, n-1)
			need(!slices.Contains(list[:i], g), at, "%d stands there twice", g)
		}
	}
	share := func(at string, v float64) { need(v >= 0 && v <= 1, at, "must be 0 to 1") }
	way := func(at string, p Path) {
		share(at+".loss", p.Loss)
		share(at+".double", p.Double)
		share(at+".reorder", p.Reorder)
		need(p.Delay.Duration >= 0 && p.Delay.Duration <= 5*time.Second, at+".delay", "must be 0s to 5s")
		need(p.Jitter.Duration >= 0 && p.Jitter.Duration <= 5*time.Second, at+".jitter", "must be 0s to 5s")
	}
	f.Stopped.check(in)
	numbers("fleet.late", f.Fleet.Late)
	need(len(f.Fleet.Late) < n, "fleet.late", "somebody must be there from the start")
	need(f.Fleet.WarmRate >= 0 && (f.Fleet.WarmRate == 0 || f.Fleet.Shares), "fleet.warm_rate", "must be 0 or more, and goes with shares")
	way("network", f.Network)
	known := f.nodes()
	names := func(at string, list []string) {
		for _, pattern := range list {
			found := slices.ContainsFunc(known, func(name string) bool { ok, err := path.Match(pattern, name); return ok && err == nil })
			need(found, at, "%q is none of %s, nor a pattern of some", pattern, strings.Join(known, ", "))
		}
	}
	length := f.Length()
	kinds := faultKinds()
	for i, e := range f.Faults {
		at := fmt.Sprintf("fault.%d", i)
		need(e.At.Duration >= 0 && e.At.Duration <= length, at+".at", "must be within the phases, 0s to %v", length)
		kind, ok := kinds[e.Do]
		if !ok {
			text := fmt.Sprintf("%q is no fault", e.Do)
			all := faultNames()
			if near := tomlfile.Nearest(e.Do, all); near != "" {
				text += ", did you mean " + near + "?"
			}
			in.Fault(at+".do", "%s; known are %s", text, strings.Join(all, ", "))
			continue
		}
		for _, field := range []string{"for", "gateways", "every", "share", "from", "to", "both", "groups", "loss", "delay", "jitter", "double", "reorder"} {
			need(!in.Has(at+"."+field) || slices.Contains(kind.fields, field), at+"."+field, "does not go with %s", e.Do)
		}
		for _, field := range kind.needs {
			need(in.Has(at+"."+field), at+".do", "%s needs %s", e.Do, field)
		}
		numbers(at+".gateways", e.Gateways)
		need(!slices.Contains(kind.needs, "gateways") || len(e.Gateways) > 0, at+".gateways", "at least one is needed")
		share(at+".share", e.Share)
		need(e.For.Duration >= 0 && e.Every.Duration >= 0, at+".for", "times must not be negative")
		way(at, e.Path)
		names(at+".from", e.From)
		names(at+".to", e.To)
		for g, group := range e.Groups {
			names(fmt.Sprintf("%s.groups.%d", at, g), group)
		}
		need(!slices.Contains(kind.fields, "groups") || len(e.Groups) >= 2, at+".groups", "at least two groups are needed")
	}
	for i, e := range f.Expect {
		at := fmt.Sprintf("expect.%d", i)
		need(e.At.Duration >= 0 && e.At.Duration+e.Within.Duration <= length, at+".at", "at and within must lie in the phases, 0s to %v", length)
		need(e.Within.Duration > 0, at+".within", "must be over 0")
		need(len(e.By) > 0, at+".by", "at least one gateway is needed")
		numbers(at+".by", e.By)
		numbers(at+".of", e.Of)
		need(e.State == "" || slices.Contains(states(), e.State), at+".state", "%q is none of %s", e.State, strings.Join(states(), ", "))
		need((e.State == "") == (len(e.Of) == 0), at+".of", "of and state go together")
		portion := e.Portion != "" || e.Turns > 0 || e.Crowd > 0
		need(e.Portion == "" || slices.Contains(stages(), e.Portion), at+".portion", "%q is none of %s", e.Portion, strings.Join(stages(), ", "))
		need(!portion || f.Fleet.Shares, at, "portion, turns and crowd need shares in [fleet]")
		need(portion || e.State != "" || e.Settled != nil || e.Major != nil || e.Twin != nil || e.Alive > 0, at, "nothing is expected")
		need(e.Alive >= 0 && e.Alive <= n, at+".alive", "must be 1 to %d", n)
	}
}
