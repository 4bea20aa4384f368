// Package drill runs an experiment (several real gateways with hosts, discovery and load) in which relays connect
// the processes. It injects faults into network paths and processes while it observes the views of the gateways: the
// view of a gateway is what its process knows about the other gateways of the cluster.
// docs/design/drill.md gives the reasons for the design.
package drill

import (
	"os"
	"time"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/tomlfile"
)

// maxGateways limits the gateways of a drill: the rig opens two sockets for each pair.
const maxGateways = 40

// File is the definition of a drill: an experiment, and the faults injected between its processes.
type File struct {
	experiment.File
	Cluster        Cluster        `toml:"fleet"`
	Network        Path           `toml:"network"` // initial condition of every path
	Faults         []Fault        `toml:"fault"`
	Expectations   []Expectation  `toml:"expect"`
	StoppedClients StoppedClients `toml:"stopped_clients"`
	Hoarders       Hoarders       `toml:"hoarders"`
}

// Cluster configures what the gateways know of each other.
type Cluster struct {
	// StartedLater lists gateways that do not run at the start; the fault gateway-start starts them.
	StartedLater  []int   `toml:"late"`
	DivideHosts   bool    `toml:"shares"`    // gateways divide the hosts by their membership view
	SlowStartRate float64 `toml:"warm_rate"` // value of warm_rate in the gateways' cluster files
	// ListRunningOnly makes the cluster files list only the running gateways. The files change, with SIGHUP, when a
	// gateway starts or leaves permanently. Otherwise they list all gateways.
	ListRunningOnly bool `toml:"follow"`
}

// Path is the condition of a network path. The zero value has no faults.
type Path struct {
	// Loss is the share of lost datagrams. Streams lose no data: loss delays them by retransmitDelay.
	Loss      float64             `toml:"loss"`
	Delay     experiment.Duration `toml:"delay"`
	Jitter    experiment.Duration `toml:"jitter"`
	Duplicate float64             `toml:"double"`  // share of datagrams that are delivered twice
	Reorder   float64             `toml:"reorder"` // share of datagrams that are delayed by reorderDelay
}

// reorderDelay is the delay of a datagram that is reordered: datagrams sent after it overtake it.
const reorderDelay = 30 * time.Millisecond

// Fault is a fault that starts at a given time of the run.
type Fault struct {
	At   experiment.Duration `toml:"at"`
	Kind string              `toml:"do"`
	For  experiment.Duration `toml:"for"`

	Gateways []int               `toml:"gateways"`
	Every    experiment.Duration `toml:"every"`
	Share    float64             `toml:"share"`

	From   []string   `toml:"from"`
	To     []string   `toml:"to"`
	Both   bool       `toml:"both"`
	Groups [][]string `toml:"groups"`
	Path
}

// Expectation is a condition that the view of each gateway in By must meet at some moment from At to At+Within.
type Expectation struct {
	At            experiment.Duration `toml:"at"`
	Within        experiment.Duration `toml:"within"`
	By            []int               `toml:"by"`
	Of            []int               `toml:"of"`
	State         string              `toml:"state"` // of each gateway in Of: alive, suspect, gone, left, unknown
	Converged     *bool               `toml:"settled"`
	Majority      *bool               `toml:"majority"`
	DuplicateName *bool               `toml:"twin"`
	Alive         int                 `toml:"alive"`
	// AssignmentStage is the stage of the gateway's host assignment: waiting, settled, kept, changing.
	AssignmentStage string `toml:"portion"`
	// MinTokens is the minimum number of slow-start tokens that the gateway's process has taken.
	MinTokens uint64 `toml:"turns"`
	// MaxRelativeLoad is the maximum relative load of a host in the gateway's assignment.
	MaxRelativeLoad float64 `toml:"crowd"`
}

// Load reads and validates a drill file. The returned error lists every mistake in the file, with the file's name and
// the line and column.
func Load(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse decodes and validates the text of a drill file. name is the file name in errors.
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

// nodes returns the names of all nodes between which a path may lead.
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
