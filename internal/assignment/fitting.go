package assignment

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	fittingIterations = 12
	minPairWeight     = 1e-9 // keeps the weight of a pair above 0 in every iteration
)

// assignUnused gives every endpoint that no gateway uses to the gateway with the best score for it, so that its
// capacity is not wasted.
func (a *Assignment) assignUnused(pairs [][]pair) {
	used := make([]bool, len(a.endpoints))
	for _, list := range pairs {
		for _, p := range list {
			used[p.endpoint] = true
		}
	}
	for j, e := range a.endpoints {
		if used[j] {
			continue
		}
		best, bestScore := 0, math.Inf(1)
		for i, gateway := range a.gateways {
			if score := weightedScore(xxh3.HashString(gateway), e.ID); score < bestScore {
				best, bestScore = i, score
			}
		}
		pairs[best] = append(pairs[best], pair{endpoint: j, weight: 1})
	}
}

// fit scales the weights of the pairs and fills in a.assigned and a.load from them. The weights of each gateway add
// up to its demand. As far as the pairs allow, the weights of each endpoint add up to its share of the total
// capacity.
func (a *Assignment) fit(pairs [][]pair, demand []float64) {
	capacity := 0.0
	for _, e := range a.endpoints {
		capacity += e.Capacity
	}
	for range fittingIterations {
		a.scaleToDemand(pairs, demand)
		for _, list := range pairs {
			for k := range list {
				p := &list[k]
				p.weight = max(minPairWeight, p.weight*a.endpoints[p.endpoint].Capacity/capacity/a.load[p.endpoint])
			}
		}
	}
	a.scaleToDemand(pairs, demand)
	for i, list := range pairs {
		for _, p := range list {
			a.assigned[i] = append(a.assigned[i], Assigned{
				Endpoint: a.endpoints[p.endpoint].ID,
				Weight:   p.weight / demand[i],
				Share:    p.weight / a.load[p.endpoint],
			})
		}
		slices.SortFunc(a.assigned[i], func(x, y Assigned) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	}
	for j, e := range a.endpoints {
		a.load[j] *= capacity / e.Capacity
	}
}

// scaleToDemand scales the weights of each gateway so that they add up to its demand, and sets a.load to the sum of
// the weights of each endpoint.
func (a *Assignment) scaleToDemand(pairs [][]pair, demand []float64) {
	clear(a.load)
	for i, list := range pairs {
		sum := 0.0
		for _, p := range list {
			sum += p.weight
		}
		for k := range list {
			list[k].weight *= demand[i] / sum
			a.load[list[k].endpoint] += list[k].weight
		}
	}
}
