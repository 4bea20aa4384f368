// Package assignment works out which endpoints each gateway of a cluster uses and for how much of its traffic, from
// which gateways are alive, what traffic each has and what endpoints can do: weighted subset assignment. Every gateway
// that knows the same works out the same, without a message between them. It does no I/O and reads no clock.
//
// # How
//
// [Compute] takes three steps.
//
//   - Who uses whom (rendezvous.go, user_limit.go): each gateway takes the endpoints with its best scores in weighted
//     rendezvous hashing, as many as its share of all demand calls for. A gateway or endpoint that comes or goes moves
//     its own pairs alone.
//   - No endpoint idle (fitting.go): one that nobody took goes to the gateway that scores best for it.
//   - How much (fitting.go): proportional fitting (Sinkhorn) scales the weights of the pairs until each gateway sends
//     out its demand and, as far as the pairs allow, each endpoint gets its part of all capacity.
//
// A [Tracker] is what a gateway goes by over time: the assignment of the last settled membership, and while one gives
// way to another no more than both allow (tracker.go). docs/design/assignment.md gives the reasons.
package assignment

import (
	"cmp"
	"slices"
)

// Gateway is one that is alive.
type Gateway struct {
	Name   string
	Demand float64 // weighted requests a second, or any unit that all have; 0 or less: unknown, the mean counts
	Zone   int
}

// Endpoint is one that may get something.
type Endpoint struct {
	ID       uint64
	Capacity float64 // in any unit that all have, above 0
	Zone     int
}

// Rule says how large subsets are.
type Rule struct {
	// Users is how many gateways use an endpoint on the mean, above 0.
	Users float64
	// MinEndpoints is how many endpoints a gateway uses at least, if there are so many.
	MinEndpoints int
	// MaxUsers is how many gateways use an endpoint at most, where endpoints hold few connections: at least Users, or 0
	// for no bound. A gateway that would have no endpoint at all keeps one beyond it.
	MaxUsers int
	// RemoteZoneOdds is how likely an endpoint of another zone is taken over one of the own, 0 to 1: 1 is no
	// difference, 0 counts as 1. Where a zone has more traffic than its own endpoints can carry, those of other zones
	// carry the rest.
	RemoteZoneOdds float64
}

// Assigned is an endpoint that a gateway uses.
type Assigned struct {
	Endpoint uint64
	Weight   float64 // share of the gateway's traffic; those of one gateway add up to 1
	Share    float64 // share of the endpoint's capacity that is this gateway's; those of one endpoint add up to 1
}

// Assignment is who uses whom. It is not changed once it is made.
type Assignment struct {
	gateways  []string     // sorted
	endpoints []Endpoint   // by ID
	assigned  [][]Assigned // by gateway
	load      []float64    // by endpoint, for its capacity over the mean
}

// Compute assigns endpoints to gateways. The order of either does not matter. Its errors are of type [*InputError].
func Compute(rule Rule, gateways []Gateway, endpoints []Endpoint) (*Assignment, error) {
	if err := rule.validate(); err != nil {
		return nil, err
	}
	if err := validateSizes(gateways, endpoints); err != nil {
		return nil, err
	}
	gateways = slices.SortedFunc(slices.Values(gateways), func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
	endpoints = slices.SortedFunc(slices.Values(endpoints), func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	if err := validateGateways(gateways); err != nil {
		return nil, err
	}
	if err := validateEndpoints(endpoints); err != nil {
		return nil, err
	}
	a := &Assignment{
		endpoints: endpoints,
		assigned:  make([][]Assigned, len(gateways)),
		load:      make([]float64, len(endpoints)),
	}
	for _, g := range gateways {
		a.gateways = append(a.gateways, g.Name)
	}
	if len(gateways) == 0 || len(endpoints) == 0 {
		return a, nil
	}
	demand := demandShares(gateways)
	pairs := make([][]pair, len(gateways)) // by gateway
	for i, g := range gateways {
		pairs[i] = rule.pick(g, endpoints, rule.subsetSize(g.Name, demand[i], len(endpoints)))
	}
	if rule.MaxUsers > 0 {
		rule.limitUsers(gateways, endpoints, pairs)
	}
	a.useIdle(pairs)
	a.fit(pairs, demand)
	return a, nil
}

// Of returns what a gateway uses, by endpoint, or nothing where it is not in the assignment. It must not be changed.
func (a *Assignment) Of(gateway string) []Assigned {
	if a == nil {
		return nil
	}
	if at, ok := slices.BinarySearch(a.gateways, gateway); ok {
		return a.assigned[at]
	}
	return nil
}

// RelativeLoad is the largest load of an endpoint for its capacity over the mean, by the demand that the assignment was
// worked out from. 1 is perfect.
func (a *Assignment) RelativeLoad() float64 {
	if len(a.load) == 0 {
		return 1
	}
	return slices.Max(a.load)
}

// Intersect is what a gateway may use while one assignment gives way to another: of each endpoint the smaller share, of
// those that both give it. Shares of an endpoint add up to 1 at most as long as nobody goes by the new assignment alone
// while somebody still goes by the old one alone: each has to wait in between for as long as a change takes to reach
// the last gateway.
func Intersect(a, b []Assigned) []Assigned {
	var out []Assigned
	for i, j := 0, 0; i < len(a) && j < len(b); {
		switch x, y := a[i], b[j]; {
		case x.Endpoint < y.Endpoint:
			i++
		case x.Endpoint > y.Endpoint:
			j++
		default:
			out = append(out, Assigned{
				Endpoint: x.Endpoint,
				Weight:   min(x.Weight, y.Weight),
				Share:    min(x.Share, y.Share),
			})
			i, j = i+1, j+1
		}
	}
	sum := 0.0
	for _, one := range out {
		sum += one.Weight
	}
	for i := range out {
		out[i].Weight /= sum
	}
	return out
}
