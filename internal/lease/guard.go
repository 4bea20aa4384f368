package lease

import (
	"cmp"
	"slices"
)

// Guard stands where the effects of leased tasks arrive: it admits those with the highest fencing token that it
// has seen, or a higher one. It is bounded: of more leases than its capacity it forgets the one with the lowest
// token, whose holder is likely long gone.
type Guard struct {
	capacity int
	highest  map[string]uint64 // token, by lease
}

// NewGuard has room for so many leases, one at least.
func NewGuard(capacity int) *Guard {
	return &Guard{capacity: max(1, capacity), highest: make(map[string]uint64)}
}

// Admit reports whether an effect under a lease's token may happen. Token 0 is none.
func (g *Guard) Admit(lease string, token uint64) bool {
	highest, known := g.highest[lease]
	if token == 0 || token < highest {
		return false
	}
	if !known && len(g.highest) >= g.capacity {
		byToken := func(a, b string) int { return cmp.Compare(g.highest[a], g.highest[b]) }
		delete(g.highest, slices.MinFunc(sortedKeys(g.highest), byToken))
	}
	g.highest[lease] = token
	return true
}
