// Package assignmentsim compares strategies for assigning endpoints to gateways, for clusters larger than a machine
// can run as processes. It measures how evenly each strategy distributes the load and how many assignments change
// when a gateway or an endpoint is removed.
package assignmentsim

import (
	"fmt"
	"math/rand/v2"

	"thymebend/internal/assignment"
	"thymebend/internal/subset"
)

// Strategy is a way to assign endpoints. Its text is its name in reports.
type Strategy string

// The compared strategies.
const (
	ByRank Strategy = "places" // subsets by the gateways' configured ranks
	// rendezvous hashing, traffic distributed evenly over the subset
	Unweighted    Strategy = "rendezvous"
	Fitted        Strategy = "shares"                 // rendezvous hashing with fitted weights
	UnknownDemand Strategy = "shares, demand unknown" // the same without knowledge of the other gateways' demand
)

// Strategies returns all strategies.
func Strategies() []Strategy { return []Strategy{ByRank, Unweighted, Fitted, UnknownDemand} }

// Case defines a cluster.
type Case struct {
	Gateways, Endpoints int
	Zipf                bool // demand proportional to 1/rank instead of equal
	Mixed               bool // endpoints of one, two and four cores instead of equal ones
	Seed                uint64
}

// Parameters of subsets by rank: the number of gateways that use an endpoint, and the minimum number of endpoints
// that a gateway uses.
const (
	usersPerEndpoint = 12
	minEndpoints     = 2
)

// rule returns the rule of a configuration that specifies none: as many users per endpoint as subsets by rank, and
// at most three times as many.
func rule() assignment.Rule {
	return assignment.Rule{Users: usersPerEndpoint, MaxUsers: 3 * usersPerEndpoint, MinEndpoints: minEndpoints}
}

type cluster struct {
	gateways       []assignment.Gateway
	ranks          []int // by gateway index, as configured
	configuredSize int   // configured number of gateways
	endpoints      []assignment.Endpoint
}

func (c Case) cluster() cluster {
	rng := rand.New(rand.NewPCG(c.Seed, 0x5a4e))
	out := cluster{configuredSize: c.Gateways}
	order := rng.Perm(c.Gateways)
	for i := range c.Gateways {
		demand := 1.0
		if c.Zipf {
			demand = 1 / float64(order[i]+1)
		}
		out.gateways = append(out.gateways, assignment.Gateway{Name: fmt.Sprintf("gateway-%04d", i), Demand: demand})
		out.ranks = append(out.ranks, i)
	}
	for range c.Endpoints {
		capacity := 1.0
		if c.Mixed {
			capacity = float64(int(1) << rng.IntN(3))
		}
		out.endpoints = append(out.endpoints, assignment.Endpoint{ID: rng.Uint64(), Capacity: capacity})
	}
	return out
}

// trafficWeights holds, by gateway index, the share of the gateway's traffic that each endpoint of its subset gets.
type trafficWeights []map[uint64]float64

// assign computes which gateway uses which endpoints, and with which weights.
func (c cluster) assign(strategy Strategy) (trafficWeights, error) {
	if strategy == ByRank {
		return c.assignByRank(), nil
	}
	gateways := c.gateways
	if strategy == UnknownDemand {
		gateways = nil
		for _, g := range c.gateways {
			gateways = append(gateways, assignment.Gateway{Name: g.Name})
		}
	}
	assigned, err := assignment.Compute(rule(), gateways, c.endpoints)
	if err != nil {
		return nil, err
	}
	out := make(trafficWeights, len(c.gateways))
	for i, g := range c.gateways {
		out[i] = make(map[uint64]float64)
		list := assigned.Of(g.Name)
		for _, pair := range list {
			if out[i][pair.Endpoint] = pair.Weight; strategy == Unweighted {
				out[i][pair.Endpoint] = 1 / float64(len(list))
			}
		}
	}
	return out, nil
}

func (c cluster) assignByRank() trafficWeights {
	out := make(trafficWeights, len(c.gateways))
	all := len(c.endpoints)
	subsetSize := min(float64(all), max(minEndpoints, usersPerEndpoint*float64(all)/float64(c.configuredSize)))
	for i, rank := range c.ranks {
		out[i] = make(map[uint64]float64)
		n := int(subset.RoundByRank(rank, subsetSize))
		for k := range n {
			out[i][c.endpoints[(subset.StartIndex(rank, all)+k)%all].ID] = 1 / float64(n)
		}
	}
	return out
}

// withoutGateway returns the cluster after the removal of a gateway. The configuration of the smaller cluster
// assigns all ranks again.
func (c cluster) withoutGateway(gone int) cluster {
	smaller := cluster{configuredSize: c.configuredSize - 1, endpoints: c.endpoints}
	smaller.gateways = append(append([]assignment.Gateway(nil), c.gateways[:gone]...), c.gateways[gone+1:]...)
	for i := range smaller.gateways {
		smaller.ranks = append(smaller.ranks, i)
	}
	return smaller
}

// withoutEndpoint returns the cluster after the removal of an endpoint.
func (c cluster) withoutEndpoint(gone int) cluster {
	smaller := c
	smaller.endpoints = append(append([]assignment.Endpoint(nil), c.endpoints[:gone]...), c.endpoints[gone+1:]...)
	return smaller
}
