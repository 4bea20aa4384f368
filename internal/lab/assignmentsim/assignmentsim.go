// Package assignmentsim compares strategies of assigning endpoints to gateways, at sizes that no machine holds as
// processes: how fair each is, and how much moves when a gateway or an endpoint goes.
package assignmentsim

import (
	"fmt"
	"math/rand/v2"

	"thymebend/internal/assignment"
	"thymebend/internal/subset"
)

// Strategy is how endpoints are assigned. Its text is its name in reports.
type Strategy string

// The strategies.
const (
	ByRank        Strategy = "places"                 // subsets by the gateways' configured ranks
	Unweighted    Strategy = "rendezvous"             // rendezvous hashing, traffic spread evenly over the subset
	Fitted        Strategy = "shares"                 // the same with fitted weights
	UnknownDemand Strategy = "shares, demand unknown" // the same where no gateway knows another's demand
)

// Strategies lists them.
func Strategies() []Strategy { return []Strategy{ByRank, Unweighted, Fitted, UnknownDemand} }

// Case is a cluster.
type Case struct {
	Gateways, Endpoints int
	Zipf                bool // traffic by rank to the power of -1, else even
	Mixed               bool // endpoints of one, two and four cores, else alike
	Seed                uint64
}

// Of subsets by rank: so many gateways use an endpoint, and each gateway uses so many endpoints at least.
const (
	usersPerEndpoint = 12
	minEndpoints     = 2
)

// rule is that of a configuration that states none: the users of subsets by rank, and three times as many at most.
func rule() assignment.Rule {
	return assignment.Rule{Users: usersPerEndpoint, MaxUsers: 3 * usersPerEndpoint, MinEndpoints: minEndpoints}
}

type cluster struct {
	gateways  []assignment.Gateway
	ranks     []int // by place, as configured
	size      int   // the configured count of gateways
	endpoints []assignment.Endpoint
}

func (c Case) cluster() cluster {
	rng := rand.New(rand.NewPCG(c.Seed, 0x5a4e))
	out := cluster{size: c.Gateways}
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

// weights are the share of its traffic that each gateway sends to each endpoint that it uses.
type weights []map[uint64]float64

// assign works out who uses whom.
func (c cluster) assign(strategy Strategy) (weights, error) {
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
	out := make(weights, len(c.gateways))
	for i, g := range c.gateways {
		out[i] = make(map[uint64]float64)
		list := assigned.Of(g.Name)
		for _, one := range list {
			if out[i][one.Endpoint] = one.Weight; strategy == Unweighted {
				out[i][one.Endpoint] = 1 / float64(len(list))
			}
		}
	}
	return out, nil
}

func (c cluster) assignByRank() weights {
	out := make(weights, len(c.gateways))
	all := len(c.endpoints)
	subsetSize := min(float64(all), max(minEndpoints, usersPerEndpoint*float64(all)/float64(c.size)))
	for i, rank := range c.ranks {
		out[i] = make(map[uint64]float64)
		n := int(subset.RoundByRank(rank, subsetSize))
		for k := range n {
			out[i][c.endpoints[(subset.StartIndex(rank, all)+k)%all].ID] = 1 / float64(n)
		}
	}
	return out
}

// withoutGateway is the cluster after a gateway has gone. Who configures a smaller cluster numbers it anew.
func (c cluster) withoutGateway(gone int) cluster {
	less := cluster{size: c.size - 1, endpoints: c.endpoints}
	less.gateways = append(append([]assignment.Gateway(nil), c.gateways[:gone]...), c.gateways[gone+1:]...)
	for i := range less.gateways {
		less.ranks = append(less.ranks, i)
	}
	return less
}

// withoutEndpoint is the cluster after an endpoint has gone.
func (c cluster) withoutEndpoint(gone int) cluster {
	less := c
	less.endpoints = append(append([]assignment.Endpoint(nil), c.endpoints[:gone]...), c.endpoints[gone+1:]...)
	return less
}
