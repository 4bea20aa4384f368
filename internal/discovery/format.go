package discovery

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"thymebend/internal/balancer"
)

// The values of an entry's field health.
const (
	healthUp       = "up"
	healthDraining = "draining"
	healthRemoved  = "removed"
)

// document is an endpoint list, or a change of it, as discovery writes it. A document without the
// field whole is a delta.
type document struct {
	Seq      *uint64 `json:"seq"`
	Snapshot bool    `json:"whole"`
	Hosts    []entry `json:"hosts"`
}

// entry is one endpoint of a document, named as on the wire: site is its zone, block its cell, born_ms its start in
// Unix time, share its capacity.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	BornMS float64 `json:"born_ms"`
	Share  float64 `json:"share"`
}

// startedAt returns when the endpoint last started.
func (e *entry) startedAt() time.Duration {
	return time.Duration(math.Round(e.BornMS*1000)) * time.Microsecond
}

// stateOf returns the state that a value of the field health stands for.
func stateOf(health string) (state balancer.EndpointState, known bool) {
	switch health {
	case healthUp:
		return balancer.EndpointReady, true
	case healthDraining:
		return balancer.EndpointDraining, true
	case healthRemoved:
		return balancer.EndpointRemoved, true
	}
	return 0, false
}

// versionOf returns the version of an object in discovery's format, nil where it has none.
func versionOf(raw []byte) (*uint64, error) {
	var doc struct {
		Seq *uint64 `json:"seq"`
	}
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	return doc.Seq, nil
}

// maxCapacity bounds the capacity that a list may state: a figure above it, or below its inverse, is ignored.
const maxCapacity = 1000.0

// Identity derives an endpoint's number from its name alone, so that it is the same at every gateway:
// gateways divide the endpoints among themselves by it.
func Identity(name string) balancer.EndpointID {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name)) // a hash never fails
	return balancer.EndpointID(sum.Sum64())
}
