package lease

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// AssignShards returns the living member that should hold each shard, by shard. It uses rendezvous hashing with a
// maximum number of shards per member, so that no member has more than its even share, rounded up, and few shards
// move when a member joins or leaves. All gateways with the same view compute the same assignment; if views differ,
// the leases decide.
func AssignShards(shards, living []string) map[string]string {
	assigned := make(map[string]string, len(shards))
	if len(living) == 0 {
		return assigned
	}
	living = slices.Compact(slices.Sorted(slices.Values(living)))
	shards = slices.Compact(slices.Sorted(slices.Values(shards)))
	type preference struct {
		shard int
		score uint64 // of the best member for the shard; lower is better
	}
	// Each shard gets the best member that is below the maximum, in the order of the best scores.
	preferences := make([]preference, 0, len(shards))
	anyMember := func(int) bool { return true }
	for i, shard := range shards {
		_, score := bestMember(shard, living, anyMember)
		preferences = append(preferences, preference{shard: i, score: score})
	}
	slices.SortFunc(preferences, func(a, b preference) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.shard, b.shard))
	})
	maxShards := (len(shards) + len(living) - 1) / len(living)
	count := make([]int, len(living))
	hasRoom := func(member int) bool { return count[member] < maxShards }
	for _, p := range preferences {
		member, _ := bestMember(shards[p.shard], living, hasRoom)
		count[member]++
		assigned[shards[p.shard]] = living[member]
	}
	return assigned
}

// bestMember returns the index of the eligible member with the lowest score for a shard, and the score. The index is
// -1 if no member is eligible.
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
