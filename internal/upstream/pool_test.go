package upstream

import (
	"testing"

	"thymebend/internal/balancer"
)

// When the limit is lowered, the surplus consists of idle connections, oldest first, and never of connections in use.
func TestPoolSurplus(t *testing.T) {
	pool := NewPool(6)
	var conns []*Conn
	for n := range 6 {
		conns = append(conns, pool.Open(balancer.EndpointID(n%2)))
	}
	for _, n := range []int{3, 1, 4, 2} {
		pool.Release(conns[n])
	}
	for _, c := range []struct {
		limit int
		want  []*Conn
	}{
		{6, nil},
		{4, []*Conn{conns[1], conns[2]}},
		{0, []*Conn{conns[1], conns[2], conns[3], conns[4]}},
	} {
		pool.Resize(c.limit)
		got := pool.Surplus()
		if len(got) != len(c.want) {
			t.Fatalf("limit %d: %d surplus connections, want %d", c.limit, len(got), len(c.want))
		}
		for n := range got {
			if got[n] != c.want[n] {
				t.Errorf("limit %d: connection %d at index %d, want %d", c.limit, got[n].ID, n, c.want[n].ID)
			}
		}
	}
}
