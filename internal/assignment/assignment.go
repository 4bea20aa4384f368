// Package assignment computes weighted subset assignments: which endpoints each gateway of a cluster uses, and for
// what share of its traffic. The inputs are the gateways that are alive, the demand of each and the capacity of the
// endpoints. Gateways with the same input compute the same assignment, without exchanging messages about it. The
// package does no I/O and reads no clock.
//
// # Algorithm
//
// [Compute] takes three steps:
//
//   - Selection (rendezvous.go, user_limit.go): each gateway takes the endpoints with its best scores in weighted
//     rendezvous hashing. Its share of the total demand determines how many. When a gateway or an endpoint is added
//     or removed, only the pairs with that gateway or endpoint move.
//   - Unused endpoints (fitting.go): an endpoint that no gateway selected is given to the gateway with the best score
//     for it.
//   - Weights (fitting.go): proportional fitting (Sinkhorn) scales the weights of the pairs until each gateway sends
//     out its demand and, as far as the pairs allow, each endpoint receives load in proportion to its capacity.
//
// A [Tracker] follows the membership over time (tracker.go). It keeps the assignment of the last converged
// membership, and during a change from one to the next it uses only what both allow. docs/design/assignment.md gives
// the reasons.
package assignment

import (
	"cmp"
	"slices"
)

// Gateway is a gateway that is alive.
type Gateway struct {
	Name   string
	Demand float64 // in weighted requests a second, or any unit common to all; if 0 or less, unknown: the mean is used
	Zone   int
}

// Endpoint is an endpoint that may receive requests.
type Endpoint struct {
	ID       uint64
	Capacity float64 // in any unit common to all, above 0
	Zone     int
}

// Rule determines the size of subsets and the preference for endpoints of the same zone.
type Rule struct {
	// Users is the mean number of gateways that use an endpoint, above 0.
	Users float64
	// MinEndpoints is the minimum number of endpoints that a gateway uses, if that many exist.
	MinEndpoints int
	// MaxUsers is the maximum number of gateways that use an endpoint, for endpoints that accept few connections. It
	// is at least Users, or 0 for no bound. A gateway that would be left without any endpoint keeps one beyond the
	// bound.
	MaxUsers int
	// RemoteZoneOdds is the factor, 0 to 1, applied to the capacity of endpoints in other zones when a gateway
	// selects its endpoints. 1 means no preference for the gateway's zone, and 0 counts as 1. If a zone has more
	// traffic than its endpoints can carry, endpoints of other zones carry the rest.
	RemoteZoneOdds float64
}

// Assigned is an endpoint that a gateway uses, with the share of traffic and capacity that this involves.
type Assigned struct {
	Endpoint uint64
	Weight   float64 // share of the gateway's traffic; the weights of one gateway add up to 1
	Share    float64 // share of the endpoint's capacity for this gateway; the shares of one endpoint add up to 1
}

// Assignment records which gateway uses which endpoints. It is immutable.
type Assignment struct {
	gateways  []string     // sorted
	endpoints []Endpoint   // sorted by ID
	assigned  [][]Assigned // by index of the gateway
	load      []float64    // by index of the endpoint: load per capacity, relative to the mean
}

// Compute assigns endpoints to gateways. The order of gateways and of endpoints has no effect on the result. Errors
// are of type [*InputError].
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
	pairs := make([][]pair, len(gateways)) // by index of the gateway
	for i, g := range gateways {
		pairs[i] = rule.pick(g, endpoints, rule.subsetSize(g.Name, demand[i], len(endpoints)))
	}
	if rule.MaxUsers > 0 {
		rule.limitUsers(gateways, endpoints, pairs)
	}
	a.assignUnused(pairs)
	a.fit(pairs, demand)
	return a, nil
}

// Of returns the endpoints that a gateway uses, sorted by endpoint ID, or nil if the gateway is not in the
// assignment. The caller must not modify the result.
func (a *Assignment) Of(gateway string) []Assigned {
	if a == nil {
		return nil
	}
	if at, ok := slices.BinarySearch(a.gateways, gateway); ok {
		return a.assigned[at]
	}
	return nil
}

// RelativeLoad returns the largest load per capacity of any endpoint, relative to the mean, for the demand that the
// assignment was computed from. 1 is a perfect balance.
func (a *Assignment) RelativeLoad() float64 {
	if len(a.load) == 0 {
		return 1
	}
	return slices.Max(a.load)
}

// Intersect returns what a gateway may use during the change from one assignment to another: the endpoints that both
// assignments give it, each with the smaller of the two shares. It scales the weights so that they add up to 1. The
// shares of an endpoint then add up to at most 1, provided that no gateway uses the new assignment alone while another
// still uses the old one alone. Each gateway therefore has to use the intersection for as long as a change takes to
// reach the last gateway.
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
	for _, assigned := range out {
		sum += assigned.Weight
	}
	for i := range out {
		out[i].Weight /= sum
	}
	return out
}
