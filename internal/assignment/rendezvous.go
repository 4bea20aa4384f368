package assignment

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// demandStep is the factor that demand is rounded to powers of, so that small changes move no pairs.
	demandStep = 1.25
	// minDemandShare is the least demand that counts, over the mean: who has nothing now may have something soon.
	minDemandShare = 1.0 / 64
)

// pair is an endpoint that a gateway uses.
type pair struct {
	endpoint int // by place
	weight   float64
	score    float64 // of gateway and endpoint; the least is best
}

// demandShares are the gateways' shares of all demand, in steps. They add up to 1.
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
			demand = min(max(g.Demand, mean*minDemandShare), mean*float64(len(gateways)))
		}
		shares[i] = math.Pow(demandStep, math.Round(math.Log(demand)/math.Log(demandStep)))
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// subsetSize is how many endpoints a gateway uses. Each gateway rounds at a point of its own, or all would move a pair
// at once where the cluster's size takes their number over a half.
func (r Rule) subsetSize(gateway string, demand float64, endpoints int) int {
	n := int(r.Users*float64(endpoints)*demand + unitInterval(hash(xxh3.HashString(gateway), 0)))
	return min(endpoints, max(n, r.MinEndpoints, 1))
}

// effectiveCapacity is what an endpoint counts for at a gateway.
func (r Rule) effectiveCapacity(g Gateway, e Endpoint) float64 {
	if e.Zone != g.Zone && r.RemoteZoneOdds > 0 {
		return e.Capacity * r.RemoteZoneOdds
	}
	return e.Capacity
}

// pick takes the n endpoints that rendezvous hashing gives a gateway, best score first; larger ones more often.
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
	// The scores arrive like events at the rate of all capacity: the best n lie below n and some more of its intervals.
	// Only those are sorted; where chance has it otherwise, all are.
	limit := (float64(n) + 4*math.Sqrt(float64(n)) + 4) / capacity
	var list []scored
	for again := true; again; limit = math.Inf(1) {
		list = list[:0]
		for i, e := range endpoints {
			if score := weightedScore(seed, e.ID) / r.effectiveCapacity(g, e); score <= limit {
				list = append(list, scored{i, score})
			}
		}
		again = len(list) < n
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.endpoint, b.endpoint))
	})
	pairs := make([]pair, n)
	for i := range pairs {
		e := endpoints[list[i].endpoint]
		weight := r.effectiveCapacity(g, e) / e.Capacity
		pairs[i] = pair{endpoint: list[i].endpoint, weight: weight, score: list[i].score}
	}
	return pairs
}

// weightedScore is a gateway's score for an endpoint; the least is best. Divided by a capacity, the logarithm makes the
// chance to be best follow that capacity.
func weightedScore(seed, endpoint uint64) float64 {
	return -math.Log(unitInterval(hash(seed, endpoint)))
}

// unitInterval is a hash's top 53 bits as a number above 0 and up to 1.
func unitInterval(h uint64) float64 { return (float64(h>>11) + 1) / (1 << 53) }

func hash(seed, endpoint uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], endpoint)
	return xxh3.HashSeed(b[:], seed)
}
