package simulation

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Fault is a fault that starts at a given time. AtMS is in milliseconds after the start of the traffic.
type Fault struct {
	AtMS   int    `json:"at_ms"`
	Kind   string `json:"do"`     // target and effect, such as host-drain; see profiles
	Target int    `json:"who"`    // index of the host or gateway
	ForMS  int    `json:"for_ms"` // milliseconds until it is undone
	// Share is the share of affected requests, from 0 to 1. With discovery-lag, it is the new lag in milliseconds;
	// with clock-step, the new error of the wall clock in seconds.
	Share   float64 `json:"share,omitempty"`
	Variant string  `json:"what,omitempty"` // which of the kind's variants, for host-spoil, view-cut and gateway-reload
}

// Request is one request of a client. AtMS is in milliseconds after the start of the traffic.
type Request struct {
	AtMS      int    `json:"at_ms"`
	Unsafe    bool   `json:"unsafe,omitempty"` // not idempotent
	TimeoutMS int    `json:"patience_ms"`      // how long the client waits for the response
	Retries   int    `json:"retries,omitempty"`
	Behaviour string `json:"act,omitempty"` // "": well-behaved; else leave, trickle, half, garbage, silent, stop, or those of slowpeers.go
	// SentShare is the share of the request that a client sends before it stops, in Pieces that are PauseMS apart.
	SentShare     float64 `json:"sends,omitempty"`
	Pieces        int     `json:"pieces,omitempty"`
	PauseMS       int     `json:"pause_ms,omitempty"`
	Body          int     `json:"body,omitempty"`   // bytes of a bid's body in addition to the usual ones
	Pad           int     `json:"pad,omitempty"`    // bytes that the host adds to its response
	Chunks        bool    `json:"chunks,omitempty"` // both the body and the response are chunked
	NewConnection bool    `json:"fresh,omitempty"`  // do not reuse an idle connection
}

// Plan describes a whole run: its sizes and settings, and every fault and request.
type Plan struct {
	Seed     uint64 `json:"seed"`
	Profile  string `json:"profile"`
	Gateways int    `json:"gateways"`
	Hosts    int    `json:"hosts"`
	Sockets  int    `json:"sockets"` // limit on the descriptors of a gateway
	LagMS    int    `json:"lag_ms"`  // from a change of a host until discovery's list has it
	NetworkPlan
	CostUS       int  `json:"cost_us,omitempty"` // processor time that a gateway needs for one event
	Cold         bool `json:"cold,omitempty"`    // every other host begins the run in slow start
	Zones        int  `json:"zones,omitempty"`   // number of zones; 0: all hosts are in one zone
	HostlessZone bool `json:"barren,omitempty"`  // the last zone has gateways but no hosts
	Views        bool `json:"views,omitempty"`   // each gateway keeps a membership view: a list of all gateways
	Shares       bool `json:"shares,omitempty"`  // with Views: gateways also divide the hosts among them
	Pushed       bool `json:"pushed,omitempty"`  // an agent on each gateway's machine receives the lists
	// DeadlineMS is the longest deadline that requests of any class may have; 0 keeps the usual deadlines.
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
	LatencyUS    int     `json:"latency_us"`
	JitterUS     int     `json:"jitter_us"`
	Split        float64 `json:"split,omitempty"`      // chance that a write arrives in pieces
	PartialReads float64 `json:"partial,omitempty"`    // chance that a read returns fewer bytes than have arrived
	Resets       float64 `json:"resets,omitempty"`     // chance that a write resets its connection
	LoseDials    float64 `json:"lose_dials,omitempty"` // chance that a connection is never established
	// KernelBuffers gives the connections of clients the buffers of Linux.
	KernelBuffers      bool    `json:"kernel_buffers,omitempty"`
	LoseDatagrams      float64 `json:"lose_datagrams,omitempty"`
	DuplicateDatagrams float64 `json:"double_datagrams,omitempty"`
}

// Bounds of a plan's size. The simulated network has addresses for maxGateways gateways.
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
