package lease

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// AssignShards says which of the living members should hold each shard: by rendezvous hashing, with a bound on
// each member's part, so that parts are even to one and few shards move where somebody comes or goes. Every gateway
// with the same view works out the same; where views differ the leases decide.
func AssignShards(shards, living []string) map[string]string {
	assigned := make(map[string]string, len(shards))
	if len(living) == 0 {
		return assigned
	}
	living = slices.Compact(slices.Sorted(slices.Values(living)))
	shards = slices.Compact(slices.Sorted(slices.Values(shards)))
	type favourite struct {
		shard int
		score uint64 // of the member that ranks first, the less the better
	}
	// Shards take, one after another, the best member that has room; those with a strong favourite go first.
	order := make([]favourite, 0, len(shards))
	everybody := func(int) bool { return true }
	for i, shard := range shards {
		_, score := bestMember(shard, living, everybody)
		order = append(order, favourite{shard: i, score: score})
	}
	slices.SortFunc(order, func(a, b favourite) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.shard, b.shard))
	})
	limit := (len(shards) + len(living) - 1) / len(living)
	count := make([]int, len(living))
	hasRoom := func(member int) bool { return count[member] < limit }
	for _, f := range order {
		member, _ := bestMember(shards[f.shard], living, hasRoom)
		count[member]++
		assigned[shards[f.shard]] = living[member]
	}
	return assigned
}

// bestMember is the eligible member that ranks first for a shard, and its score; -1 if none is eligible.
func bestMember(shard string, members []string, eligible func(member int) bool) (best int, score uint64) {
	best = -1
	for m, name := range members {
		s := xxh3.HashStringSeed(name, xxh3.HashString(shard))
		if eligible(m) && (best < 0 || s < score) {
			best, score = m, s
		}
	}
	return best, score
}
