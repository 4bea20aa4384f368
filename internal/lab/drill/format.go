// Package drill starts several real gateways with hosts, discovery and load as an experiment does, puts
// relays between any two of them, and breaks paths and processes while it looks on.
// docs/design/drill.md says why it is so.
package drill

import (
	"os"
	"time"

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
