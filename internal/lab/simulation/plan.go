package simulation

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Fault is something that goes wrong at a time. Times are milliseconds after the run's begin.
type Fault struct {
	AtMS    int     `json:"at_ms"`
	Kind    string  `json:"do"`
	Target  int     `json:"who"`    // number of the host or gateway
	ForMS   int     `json:"for_ms"` // until it is undone
	Share   float64 `json:"share,omitempty"`
	Variant string  `json:"what,omitempty"`
}

// Request is what one client asks.
type Request struct {
	AtMS      int    `json:"at_ms"`
	Unsafe    bool   `json:"unsafe,omitempty"`
	TimeoutMS int    `json:"patience_ms"`
	Retries   int    `json:"retries,omitempty"`
	Behaviour string `json:"act,omitempty"` // "" as it should; leave, trickle, half, garbage, silent, stop
	// SentShare is the share of the request that a client sends that stops, in Pieces of PauseMS apart.
	SentShare     float64 `json:"sends,omitempty"`
	Pieces        int     `json:"pieces,omitempty"`
	PauseMS       int     `json:"pause_ms,omitempty"`
	Body          int     `json:"body,omitempty"`   // bytes of a bid's body, past the usual
	Pad           int     `json:"pad,omitempty"`    // bytes that the host adds to its answer
	Chunks        bool    `json:"chunks,omitempty"` // both in chunks
	NewConnection bool    `json:"fresh,omitempty"`
}

// Plan is a whole run: what it consists of, and every fault and request in it.
type Plan struct {
	Seed     uint64 `json:"seed"`
	Profile  string `json:"profile"`
	Gateways int    `json:"gateways"`
	Hosts    int    `json:"hosts"`
	Sockets  int    `json:"sockets"`
	LagMS    int    `json:"lag_ms"`
	NetworkPlan
	CostUS       int  `json:"cost_us,omitempty"`
	Cold         bool `json:"cold,omitempty"`
	Zones        int  `json:"zones,omitempty"`  // of a fleet; 0 is one zone for all
	HostlessZone bool `json:"barren,omitempty"` // the last zone has gateways and no hosts
	Views        bool `json:"views,omitempty"`  // gateways know of each other
	Shares       bool `json:"shares,omitempty"` // and divide hosts among them, with Views
	Pushed       bool `json:"pushed,omitempty"` // lists come by an agent on each gateway's machine
	// DeadlineMS is the longest deadline of every class; 0 is the usual ones.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// ClockErrors are how many seconds the machines' wall clocks are ahead at the begin, by gateway.
	ClockErrors []int `json:"clock_errors_s,omitempty"`
	// Calls is how discovery works through calls; nil answers each at once.
	Calls    *CallQueue `json:"calls,omitempty"`
	Faults   []Fault    `json:"faults"`
	Requests []Request  `json:"requests"`
}

// NetworkPlan is how the network behaves. Chances are 0 to 1.
type NetworkPlan struct {
	LatencyUS          int     `json:"latency_us"`
	JitterUS           int     `json:"jitter_us"`
	Split              float64 `json:"split,omitempty"`      // chance that a write arrives in pieces
	PartialReads       float64 `json:"partial,omitempty"`    // chance that a read brings less than has come
	Resets             float64 `json:"resets,omitempty"`     // chance that a connection is reset
	LoseDials          float64 `json:"lose_dials,omitempty"` // chance that a connection never comes up
	LoseDatagrams      float64 `json:"lose_datagrams,omitempty"`
	DuplicateDatagrams float64 `json:"double_datagrams,omitempty"`
}

// Bounds of a plan's size. The addresses of the virtual network have room for so many gateways.
const (
	maxGateways = 500
	maxHosts    = 1000
	maxRequests = 10_000_000
)

// ReadPlan reads a kept plan.
func ReadPlan(path string) (Plan, error) {
	var p Plan
	raw, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	if p.Gateways < 1 || p.Gateways > maxGateways || p.Hosts < 1 || p.Hosts > maxHosts {
		return p, fmt.Errorf("%s: gateways must be 1 to %d and hosts 1 to 1000", path, maxGateways)
	}
	if p.Calls != nil {
		if err := p.Calls.check(); err != nil {
			return p, fmt.Errorf("%s: %w", path, err)
		}
	}
	return p, nil
}

// Write keeps a plan.
func (p Plan) Write(path string) error {
	raw, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

func msec(n int) time.Duration { return time.Duration(n) * time.Millisecond }
