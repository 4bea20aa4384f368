package upstream

import (
	"testing"

	"thymebend/internal/balancer"
)

// What a smaller budget has no room for goes, oldest first, but never a connection in use.
func TestPoolSurplus(t *testing.T) {
	pool := NewPool(6)
	var links []*Conn
	for n := range 6 {
		links = append(links, pool.Open(balancer.EndpointID(n%2)))
	}
	for _, n := range []int{3, 1, 4, 2} {
		pool.Release(links[n])
	}
	for _, c := range []struct {
		budget int
		want   []*Conn
	}{
		{6, nil},
		{4, []*Conn{links[1], links[2]}},
		{0, []*Conn{links[1], links[2], links[3], links[4]}},
	} {
		pool.Resize(c.budget)
		got := pool.Surplus()
		if len(got) != len(c.want) {
			t.Fatalf("budget %d: %d links are too many, want %d", c.budget, len(got), len(c.want))
		}
		for n := range got {
			if got[n] != c.want[n] {
				t.Errorf("budget %d: link %d goes in place %d, want link %d", c.budget, got[n].ID, n, c.want[n].ID)
			}
		}
	}
}
