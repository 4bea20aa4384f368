package subset

import (
	"testing"
	"time"
)

// What the gateways of all zones use together is what Users says, or slow-start budgets would not add up.
func TestUsersMatchSubsetSizes(t *testing.T) {
	rule := Rule{Local: 8, Remote: 4, Min: 2}
	for _, ready := range [][]float64{{10, 10}, {23, 59, 30, 38, 29}, {1, 80}, {0, 40}, {5}} {
		var zones []Zone
		for i, n := range ready {
			zones = append(zones, Zone{Zone: i, Ready: n})
		}
		const gateways = 300
		rule.Subsets(gateways, zones)
		used, shared := 0.0, 0.0
		for _, z := range zones {
			used += gateways / float64(len(zones)) * (z.Local + z.Remote)
			if z.Ready > 0 {
				shared += z.Ready * Users(gateways, z.Zone, zones)
			}
		}
		if used < shared*0.99 || used > shared*1.01 {
			t.Errorf("ready %v: gateways use %.1f endpoints, endpoints are used by %.1f", ready, used, shared)
		}
	}
}

// Any run of ranks begins at places spread evenly, and a share of one half makes half of them use one more.
func TestRanksAreSpreadEvenly(t *testing.T) {
	const endpoints, gateways = 30, 300
	var begun [endpoints]int
	whole := 0.0
	for rank := range gateways {
		begun[Start(rank, endpoints)]++
		whole += RoundByRank(rank, 1.5)
	}
	for at, n := range begun {
		if n < 8 || n > 12 {
			t.Errorf("%d gateways begin at place %d, want about 10", n, at)
		}
	}
	if whole < 1.48*gateways || whole > 1.52*gateways {
		t.Errorf("%v endpoints used by %d gateways, want 1.5 each", whole, gateways)
	}
}

func TestExpansionGrowthShrinkageAndCooldown(t *testing.T) {
	var r Expansion
	const sample = 250 * time.Millisecond
	now := time.Duration(0)
	play := func(n int, seen Signals) float64 {
		for range n {
			now += sample
			r.Update(now, seen, 12, time.Second)
		}
		return r.Size
	}
	steps := []struct {
		what string
		n    int
		seen Signals
		want float64
	}{
		{"nothing to do", 4, Signals{}, 0},
		{"the regular subset warms up", 4, Signals{Short: true, Warming: true}, 0},
		{"short of room", 8, Signals{Short: true}, 8},
		{"short, and all endpoints used", 8, Signals{Short: true}, 12},
		{"one is full", 1, Signals{Short: true, Full: true}, 6},
		{"rest", 3, Signals{Short: true}, 6},
		{"grown again", 2, Signals{Short: true}, 8},
		{"full once more", 1, Signals{Short: true, Full: true}, 4},
		{"a rest twice as long", 7, Signals{Short: true}, 4},
		{"and grown", 1, Signals{Short: true}, 5},
	}
	for _, s := range steps {
		if got := play(s.n, s.seen); got != s.want {
			t.Errorf("%s: %v endpoints, want %v", s.what, got, s.want)
		}
	}
	if got := play(4*60, Signals{}); got > 0.2 {
		t.Errorf("%v endpoints a minute later", got)
	}
}

// An endpoint behind a gap is used by whoever begins in the gap: what RelativeLoad says of each is what 3,000
// gateways do.
func TestRelativeLoadOfEndpointsBehindGaps(t *testing.T) {
	const gateways = 3000
	for _, c := range []struct {
		ready []bool
		part  float64
	}{
		{[]bool{true, true, true, true, true, true}, 2},
		{[]bool{false, false, false, true, true, true}, 1},
		{[]bool{true, false, false, true, false, true, true, true}, 2},
		{[]bool{false, true, false, false, true, false}, 2},
		{[]bool{false, false, true}, 1},
		{[]bool{false, false}, 1},
	} {
		users, n := make([]float64, len(c.ready)), 0.0
		for _, up := range c.ready {
			if up {
				n++
			}
		}
		for rank := range gateways {
			start, used := Start(rank, len(c.ready)), 0.0
			for i := 0; i < len(c.ready) && used < c.part; i++ {
				if at := (start + i) % len(c.ready); c.ready[at] {
					users[at]++
					used++
				}
			}
		}
		for i, more := range RelativeLoad(c.ready, c.part) {
			if want := users[i] * n / (gateways * c.part); c.ready[i] && (more < want-0.02 || more > want+0.02) {
				t.Errorf("%v, part %v: place %d has a load of %.2f, used %.2f times the mean",
					c.ready, c.part, i, more, want)
			}
		}
	}
}
