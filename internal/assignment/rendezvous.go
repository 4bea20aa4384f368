package assignment

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// demandStep is the base to whose powers demand is rounded, so that small changes of demand move no pairs.
	demandStep = 1.25
	// minDemandRatio is the minimum demand of a gateway, relative to the mean. A gateway without demand now may have
	// some soon.
	minDemandRatio = 1.0 / 64
)

// pair is an endpoint that a gateway uses, in the gateway's list of pairs.
type pair struct {
	endpoint int // index
	weight   float64
	score    float64 // of the gateway for the endpoint; lower is better
}

// demandShares returns the share of the total demand of each gateway, computed from demands rounded to powers of
// demandStep. The shares add up to 1.
func demandShares(gateways []Gateway) []float64 {
	known := func(g Gateway) bool { return g.Demand > 0 && !math.IsInf(g.Demand, 0) }
	count, sum := 0, 0.0
	for _, g := range gateways {
		if known(g) {
			count++
			sum += g.Demand
		}
	}
	mean := 1.0
	if count > 0 {
		mean = sum / float64(count)
	}
	shares := make([]float64, len(gateways))
	total := 0.0
	for i, g := range gateways {
		demand := mean
		if known(g) {
			demand = min(max(g.Demand, mean*minDemandRatio), mean*float64(len(gateways)))
		}
		shares[i] = math.Pow(demandStep, math.Round(math.Log(demand)/math.Log(demandStep)))
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// subsetSize returns the number of endpoints that a gateway uses. The rounding threshold differs by gateway, derived
// from a hash of its name. With a common threshold of one half, a change of the cluster's size could make all
// gateways add or remove a pair at once.
func (r Rule) subsetSize(gateway string, demand float64, endpoints int) int {
	n := int(r.Users*float64(endpoints)*demand + unitInterval(hash(xxh3.HashString(gateway), 0)))
	return min(endpoints, max(n, r.MinEndpoints, 1))
}

// effectiveCapacity returns the capacity of an endpoint that counts when a gateway selects endpoints. For an endpoint
// of another zone it is the capacity multiplied by RemoteZoneOdds, unless that is 0.
func (r Rule) effectiveCapacity(g Gateway, e Endpoint) float64 {
	if e.Zone != g.Zone && r.RemoteZoneOdds > 0 {
		return e.Capacity * r.RemoteZoneOdds
	}
	return e.Capacity
}

// pick returns the n endpoints that weighted rendezvous hashing selects for a gateway, best score first. The chance
// of an endpoint to be selected grows with its capacity.
func (r Rule) pick(g Gateway, endpoints []Endpoint, n int) []pair {
	type scored struct {
		endpoint int
		score    float64
	}
	seed := xxh3.HashString(g.Name)
	capacity := 0.0
	for _, e := range endpoints {
		capacity += r.effectiveCapacity(g, e)
	}
	// The scores are distributed like the arrival times of events whose rate is the total capacity. The best n
	// therefore almost always lie below n mean intervals plus a margin, and only scores up to that limit are sorted.
	// If fewer than n lie below it, all are sorted.
	limit := (float64(n) + 4*math.Sqrt(float64(n)) + 4) / capacity
	var candidates []scored
	for retry := true; retry; limit = math.Inf(1) {
		candidates = candidates[:0]
		for i, e := range endpoints {
			if score := weightedScore(seed, e.ID) / r.effectiveCapacity(g, e); score <= limit {
				candidates = append(candidates, scored{i, score})
			}
		}
		retry = len(candidates) < n
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.endpoint, b.endpoint))
	})
	pairs := make([]pair, n)
	for i := range pairs {
		e := endpoints[candidates[i].endpoint]
		weight := r.effectiveCapacity(g, e) / e.Capacity
		pairs[i] = pair{endpoint: candidates[i].endpoint, weight: weight, score: candidates[i].score}
	}
	return pairs
}

// weightedScore returns a gateway's score for an endpoint; lower is better. The score is exponentially distributed,
// so that once divided by the endpoint's capacity the chance to have the lowest score is proportional to that
// capacity.
func weightedScore(seed, endpoint uint64) float64 {
	return -math.Log(unitInterval(hash(seed, endpoint)))
}

// unitInterval maps the top 53 bits of a hash to a number above 0 and at most 1.
func unitInterval(h uint64) float64 { return (float64(h>>11) + 1) / (1 << 53) }

func hash(seed, endpoint uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], endpoint)
	return xxh3.HashSeed(b[:], seed)
}
