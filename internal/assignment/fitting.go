package assignment

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	fittingRounds = 12
	minPairWeight = 1e-9 // keeps a pair from vanishing in a round
)

// useIdle gives every endpoint that nobody uses to the gateway that scores best for it, or its capacity would lie idle.
func (a *Assignment) useIdle(pairs [][]pair) {
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
		best, least := 0, math.Inf(1)
		for i, gateway := range a.gateways {
			if score := weightedScore(xxh3.HashString(gateway), e.ID); score < least {
				best, least = i, score
			}
		}
		pairs[best] = append(pairs[best], pair{endpoint: j, weight: 1})
	}
}

// fit scales weights until each gateway's add up to its demand and, as far as the pairs allow, each endpoint's to its
// part of all capacity.
func (a *Assignment) fit(pairs [][]pair, demand []float64) {
	capacity := 0.0
	for _, e := range a.endpoints {
		capacity += e.Capacity
	}
	for range fittingRounds {
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

// scaleToDemand scales each gateway's weights to its demand, and sums up what each endpoint then gets.
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
