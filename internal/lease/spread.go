package lease

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Spread says which of the living should hold each shard: by rendezvous, with a bound on each one's part, so that they are even to one and few move
// where somebody comes or goes. Every gateway with the same view works out the same; where views differ the leases decide.
func Spread(shards, living []string) map[string]string {
	out := make(map[string]string, len(shards))
	if len(living) == 0 {
		return out
	}
	living = slices.Compact(slices.Sorted(slices.Values(living)))
	shards = slices.Compact(slices.Sorted(slices.Values(shards)))
	type pair struct {
		shard int
		score uint64
	}
	// Shards by turns take the best member that has room; those with a strong favourite go first.
	order := make([]pair, 0, len(shards))
	best := func(shard string, room func(member int) bool) (member int, score uint64) {
		member = -1
		for m, name := range living {
			if s := xxh3.HashStringSeed(name, xxh3.HashString(shard)); room(m) && (member < 0 || s < score) {
				member, score = m, s
			}
		}
		return member, score
	}
	for i, s := range shards {
		_, score := best(s, func(int) bool { return true })
		order = append(order, pair{shard: i, score: score})
	}
	slices.SortFunc(order, func(a, b pair) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.shard, b.shard)) })
	most := (len(shards) + len(living) - 1) / len(living)
	count := make([]int, len(living))
	for _, p := range order {
		m, _ := best(shards[p.shard], func(m int) bool { return count[m] < most })
		count[m]++
		out[shards[p.shard]] = living[m]
	}
	return out
}
