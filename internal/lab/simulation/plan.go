package simulation

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Fault is a fault that starts at a given time. Times are in milliseconds after the start of the traffic.
type Fault struct {
	AtMS    int     `json:"at_ms"`
	Kind    string  `json:"do"`
	Target  int     `json:"who"`    // index of the host or gateway
	ForMS   int     `json:"for_ms"` // until it is undone
	Share   float64 `json:"share,omitempty"`
	Variant string  `json:"what,omitempty"`
}

// Request is one client's request.
type Request struct {
	AtMS      int    `json:"at_ms"`
	Unsafe    bool   `json:"unsafe,omitempty"`
	TimeoutMS int    `json:"patience_ms"`
	Retries   int    `json:"retries,omitempty"`
	Behaviour string `json:"act,omitempty"` // "": well-behaved; else leave, trickle, half, garbage, silent or stop
	// SentShare is the share of the request that a client sends before it stops, in Pieces that are PauseMS apart.
	SentShare     float64 `json:"sends,omitempty"`
	Pieces        int     `json:"pieces,omitempty"`
	PauseMS       int     `json:"pause_ms,omitempty"`
	Body          int     `json:"body,omitempty"`   // bytes of a bid's body in addition to the usual ones
	Pad           int     `json:"pad,omitempty"`    // bytes that the host adds to its response
	Chunks        bool    `json:"chunks,omitempty"` // both the body and the response are chunked
	NewConnection bool    `json:"fresh,omitempty"`
}

// Plan is a whole run: its sizes and settings, and every fault and request.
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
	Zones        int  `json:"zones,omitempty"`  // in a run with zones; 0: one zone for all
	HostlessZone bool `json:"barren,omitempty"` // the last zone has gateways but no hosts
	Views        bool `json:"views,omitempty"`  // gateways have a membership view of one another
	Shares       bool `json:"shares,omitempty"` // with Views: gateways also divide the hosts among them
	Pushed       bool `json:"pushed,omitempty"` // an agent on each gateway's machine receives the lists
	// DeadlineMS is the longest deadline of every class; 0 keeps the usual ones.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// ClockErrors holds, by gateway, how many seconds its machine's wall clock is ahead at the start.
	ClockErrors []int `json:"clock_errors_s,omitempty"`
	// Calls describes discovery's call queue; nil answers each call at once.
	Calls    *CallQueue `json:"calls,omitempty"`
	Faults   []Fault    `json:"faults"`
	Requests []Request  `json:"requests"`
}

// NetworkPlan describes the network. Chances are from 0 to 1.
type NetworkPlan struct {
	LatencyUS          int     `json:"latency_us"`
	JitterUS           int     `json:"jitter_us"`
	Split              float64 `json:"split,omitempty"`      // chance that a write arrives in pieces
	PartialReads       float64 `json:"partial,omitempty"`    // chance that a read returns fewer bytes than have arrived
	Resets             float64 `json:"resets,omitempty"`     // chance that a write resets its connection
	LoseDials          float64 `json:"lose_dials,omitempty"` // chance that a connection is never established
	LoseDatagrams      float64 `json:"lose_datagrams,omitempty"`
	DuplicateDatagrams float64 `json:"double_datagrams,omitempty"`
}

// Bounds of a plan's size. The simulated network has addresses for this many gateways.
const (
	maxGateways = 500
	maxHosts    = 1000
	maxRequests = 10_000_000
)

// ReadPlan reads a saved plan.
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

// Write saves a plan.
func (p Plan) Write(path string) error {
	raw, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

func msec(n int) time.Duration { return time.Duration(n) * time.Millisecond }
