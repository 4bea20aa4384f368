package discovery

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"thymebend/internal/balancer"
)

// Values of an entry's field health.
const (
	healthUp       = "up"
	healthDraining = "draining"
	healthRemoved  = "removed"
)

// document is one object of discovery: a snapshot of the endpoint list if its field whole is true, otherwise a
// delta. seq is the version of the list that results from it.
type document struct {
	Seq      *uint64 `json:"seq"`
	Snapshot bool    `json:"whole"`
	Hosts    []entry `json:"hosts"`
}

// entry is one endpoint of a document. Its fields have their names on the wire: dial is the address and port, site
// the zone, block the cell, born_ms the start time in milliseconds of Unix time, share the capacity.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	BornMS float64 `json:"born_ms"`
	Share  float64 `json:"share"`
}

// startedAt returns the endpoint's start time, as time since the Unix epoch rounded to microseconds.
func (e *entry) startedAt() time.Duration {
	return time.Duration(math.Round(e.BornMS*1000)) * time.Microsecond
}

// stateOf returns the endpoint state for a value of the field health. known is false for any other text.
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

// versionOf returns the version of an object in discovery's format, or nil if it has none.
func versionOf(raw []byte) (*uint64, error) {
	var doc struct {
		Seq *uint64 `json:"seq"`
	}
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	return doc.Seq, nil
}

// maxCapacity bounds the capacity that a list may state: a value above it, or below its inverse, counts as 1.
const maxCapacity = 1000.0

// EndpointIDFromName derives an endpoint's ID from its name alone, so that every gateway computes the same ID: the
// gateways divide the endpoints among themselves by ID.
func EndpointIDFromName(name string) balancer.EndpointID {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name)) // a hash never returns an error
	return balancer.EndpointID(sum.Sum64())
}
