package assignmentsim

import "time"

// utilisation is the ratio of total demand to total capacity for which Figures.Rejected is computed.
const utilisation = 0.8

// Figures are the measurements of one strategy.
type Figures struct {
	RelativeLoad float64 // highest ratio of load to capacity of an endpoint, relative to the mean
	// share of the demand above endpoint capacity when total demand is 0.8 of total capacity
	Rejected float64
	Pairs    int // pairs of a gateway and an endpoint that it uses
	MaxUsers int // maximum number of gateways that use one endpoint
	// pairs of other gateways that change when a gateway is removed, per pair of that gateway
	MovedPerLostGateway  float64
	MovedPerLostEndpoint float64       // the same for the removal of an endpoint
	Duration             time.Duration // time for one assignment, on this machine
}

// Measure assigns the endpoints of a cluster by a strategy and measures the result.
func Measure(c Case, strategy Strategy) (Figures, error) {
	cluster := c.cluster()
	began := time.Now()
	used, err := cluster.assign(strategy)
	out := Figures{Duration: time.Since(began)}
	if err != nil {
		return out, err
	}
	users := cluster.measureLoad(used, &out)
	if out.MovedPerLostGateway, err = cluster.measureGatewayGone(strategy, used, c.Gateways/3); err != nil {
		return out, err
	}
	out.MovedPerLostEndpoint, err = cluster.measureEndpointGone(strategy, used, users, c.Endpoints/3)
	return out, err
}

// measureLoad measures how evenly the load is distributed, and returns the number of users of each endpoint.
func (c cluster) measureLoad(used trafficWeights, out *Figures) map[uint64]int {
	demand, capacity := 0.0, 0.0
	for _, g := range c.gateways {
		demand += g.Demand
	}
	for _, e := range c.endpoints {
		capacity += e.Capacity
	}
	load, users := make(map[uint64]float64), make(map[uint64]int)
	for i, g := range c.gateways {
		for _, e := range c.endpoints { // in a fixed order: floating-point sums depend on it
			if weight, ok := used[i][e.ID]; ok {
				load[e.ID] += weight * g.Demand / demand
				users[e.ID]++
				out.Pairs++
			}
		}
	}
	for _, e := range c.endpoints {
		out.RelativeLoad = max(out.RelativeLoad, load[e.ID]*capacity/e.Capacity)
		out.Rejected += max(0, utilisation*load[e.ID]-e.Capacity/capacity) / utilisation
		out.MaxUsers = max(out.MaxUsers, users[e.ID])
	}
	return users
}

// measureGatewayGone returns the number of pairs of other gateways that change when a gateway is removed, divided
// by the pairs of that gateway.
func (c cluster) measureGatewayGone(strategy Strategy, used trafficWeights, gone int) (float64, error) {
	after, err := c.withoutGateway(gone).assign(strategy)
	if err != nil {
		return 0, err
	}
	moved := 0
	for i := range after {
		before := i
		if i >= gone {
			before++
		}
		moved += countDifferences(used[before], after[i])
	}
	return float64(moved) / max(1, float64(len(used[gone]))), nil
}

// measureEndpointGone returns the number of pairs with other endpoints that change when an endpoint is removed,
// divided by the pairs of that endpoint. It deletes the endpoint from used.
func (c cluster) measureEndpointGone(strategy Strategy, used trafficWeights, users map[uint64]int,
	gone int) (float64, error) {
	after, err := c.withoutEndpoint(gone).assign(strategy)
	if err != nil {
		return 0, err
	}
	lost := c.endpoints[gone].ID
	moved := 0
	for i := range after {
		delete(used[i], lost)
		moved += countDifferences(used[i], after[i])
	}
	return float64(moved) / max(1, float64(users[lost])), nil
}

// countDifferences returns the number of endpoints that are in only one of the two maps.
func countDifferences(a, b map[uint64]float64) (n int) {
	for endpoint := range a {
		if _, ok := b[endpoint]; !ok {
			n++
		}
	}
	for endpoint := range b {
		if _, ok := a[endpoint]; !ok {
			n++
		}
	}
	return n
}
