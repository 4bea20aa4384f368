package lease

import (
	"cmp"
	"slices"
)

// Guard checks the effects of leased tasks at their receiver. It admits an effect if its fencing token is at least
// the highest one admitted for the lease. Its memory is bounded: if there are more leases than its capacity, it
// forgets the one with the lowest token, because the holder of that lease has probably ended long ago.
type Guard struct {
	capacity int
	highest  map[string]uint64 // highest admitted token, by lease name
}

// NewGuard returns a guard that remembers up to capacity leases, at least one.
func NewGuard(capacity int) *Guard {
	return &Guard{capacity: max(1, capacity), highest: make(map[string]uint64)}
}

// Admit reports whether an effect with a fencing token of a lease may happen, and records the token if so. Token 0 is
// never admitted.
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
