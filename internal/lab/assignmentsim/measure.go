package assignmentsim

import "time"

// utilisation is the demand over the capacity of the whole cluster for which Figures.Rejected holds.
const utilisation = 0.8

// Figures are what a strategy comes to.
type Figures struct {
	RelativeLoad float64       // largest load of an endpoint for its capacity, over the mean
	Rejected     float64       // share of the demand that finds no room, where all demand is 0.8 of all capacity
	Pairs        int           // of gateways and endpoints
	MaxUsers     int           // of one endpoint
	GatewayGone  float64       // pairs of others that move when a gateway goes, over the pairs that it had
	EndpointGone float64       // the same for an endpoint
	Took         time.Duration // to assign once, on this machine
}

// Measure assigns endpoints by a strategy and looks at what comes of it.
func Measure(c Case, strategy Strategy) (Figures, error) {
	whole := c.cluster()
	began := time.Now()
	used, err := whole.assign(strategy)
	out := Figures{Took: time.Since(began)}
	if err != nil {
		return out, err
	}
	users := whole.measureLoad(used, &out)
	if out.GatewayGone, err = whole.measureGatewayGone(strategy, used, c.Gateways/3); err != nil {
		return out, err
	}
	out.EndpointGone, err = whole.measureEndpointGone(strategy, used, users, c.Endpoints/3)
	return out, err
}

// measureLoad measures how fair an assignment is, and returns the users of each endpoint.
func (c cluster) measureLoad(used weights, out *Figures) map[uint64]int {
	demand, capacity := 0.0, 0.0
	for _, g := range c.gateways {
		demand += g.Demand
	}
	for _, e := range c.endpoints {
		capacity += e.Capacity
	}
	load, users := make(map[uint64]float64), make(map[uint64]int)
	for i, g := range c.gateways {
		for _, e := range c.endpoints { // in order: sums of numbers must not depend on it
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

// measureGatewayGone is how many pairs of others move when a gateway goes, over the pairs that it had.
func (c cluster) measureGatewayGone(strategy Strategy, used weights, gone int) (float64, error) {
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
		moved += differing(used[before], after[i])
	}
	return float64(moved) / max(1, float64(len(used[gone]))), nil
}

// measureEndpointGone is how many pairs with other endpoints move when an endpoint goes, over the pairs that it had. It
// takes the endpoint out of used.
func (c cluster) measureEndpointGone(strategy Strategy, used weights, users map[uint64]int, gone int) (float64, error) {
	after, err := c.withoutEndpoint(gone).assign(strategy)
	if err != nil {
		return 0, err
	}
	lost := c.endpoints[gone].ID
	moved := 0
	for i := range after {
		delete(used[i], lost)
		moved += differing(used[i], after[i])
	}
	return float64(moved) / max(1, float64(users[lost])), nil
}

// differing counts the endpoints that one of two has and the other has not.
func differing(a, b map[uint64]float64) (n int) {
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
