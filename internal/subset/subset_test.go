package subset

import (
	"testing"
	"time"
)

// The sum of the endpoints that all gateways use must equal the sum of Users over all endpoints; otherwise the
// slow-start budgets of the gateways would not add up.
func TestUsersMatchSubsetSizes(t *testing.T) {
	rule := Rule{Local: 8, Remote: 4, Min: 2}
	for _, ready := range [][]float64{{10, 10}, {23, 59, 30, 38, 29}, {1, 80}, {0, 40}, {5}} {
		var zones []Zone
		for i, n := range ready {
			zones = append(zones, Zone{Zone: i, Ready: n})
		}
		const gateways = 300
		rule.ComputeSizes(gateways, zones)
		used, shared := 0.0, 0.0
		for _, z := range zones {
			used += gateways / float64(len(zones)) * (z.Local + z.Remote)
			if z.Ready > 0 {
				shared += z.Ready * Users(gateways, z.Zone, zones)
			}
		}
		if used < shared*0.99 || used > shared*1.01 {
			t.Errorf("ready %v: the subsets of all gateways sum to %.1f, the users of all endpoints to %.1f",
				ready, used, shared)
		}
	}
}

// Start indices must be spread evenly over the endpoints, and RoundByRank must round 1.5 up for half of the gateways.
func TestRanksAreSpreadEvenly(t *testing.T) {
	const endpoints, gateways = 30, 300
	var starts [endpoints]int
	total := 0.0
	for rank := range gateways {
		starts[StartIndex(rank, endpoints)]++
		total += RoundByRank(rank, 1.5)
	}
	for index, n := range starts {
		if n < 8 || n > 12 {
			t.Errorf("%d gateways start at index %d, want 8 to 12", n, index)
		}
	}
	if total < 1.48*gateways || total > 1.52*gateways {
		t.Errorf("%v endpoints used by %d gateways, want 1.5 per gateway", total, gateways)
	}
}

func TestExpansionGrowthShrinkageAndCooldown(t *testing.T) {
	var e Expansion
	const sample = 250 * time.Millisecond
	now := time.Duration(0)
	update := func(n int, signals Signals) float64 {
		for range n {
			now += sample
			e.Update(now, signals, 12, time.Second)
		}
		return e.Size
	}
	steps := []struct {
		name    string
		n       int // samples with these signals
		signals Signals
		want    float64
	}{
		{"no signals", 4, Signals{}, 0},
		{"short, but the regular subset is warming up", 4, Signals{ShortOfCapacity: true, WarmingUp: true}, 0},
		{"short of capacity", 8, Signals{ShortOfCapacity: true}, 8},
		{"short, bounded by the maximum size", 8, Signals{ShortOfCapacity: true}, 12},
		{"an endpoint is full", 1, Signals{ShortOfCapacity: true, ExpansionFull: true}, 6},
		{"no growth during the cooldown", 3, Signals{ShortOfCapacity: true}, 6},
		{"growth after the cooldown", 2, Signals{ShortOfCapacity: true}, 8},
		{"an endpoint is full again", 1, Signals{ShortOfCapacity: true, ExpansionFull: true}, 4},
		{"no growth during a cooldown twice as long", 7, Signals{ShortOfCapacity: true}, 4},
		{"growth after the second cooldown", 1, Signals{ShortOfCapacity: true}, 5},
	}
	for _, s := range steps {
		if got := update(s.n, s.signals); got != s.want {
			t.Errorf("%s: %v endpoints, want %v", s.name, got, s.want)
		}
	}
	if got := update(4*60, Signals{}); got > 0.2 {
		t.Errorf("%v endpoints after a minute without need, want at most 0.2", got)
	}
}

// An endpoint behind a gap is also used by the gateways that start in the gap. RelativeLoad must match the number of
// users that each endpoint has among 3,000 simulated gateways.
func TestRelativeLoadOfEndpointsBehindGaps(t *testing.T) {
	const gateways = 3000
	for _, c := range []struct {
		ready []bool
		size  float64
	}{
		{[]bool{true, true, true, true, true, true}, 2},
		{[]bool{false, false, false, true, true, true}, 1},
		{[]bool{true, false, false, true, false, true, true, true}, 2},
		{[]bool{false, true, false, false, true, false}, 2},
		{[]bool{false, false, true}, 1},
		{[]bool{false, false}, 1},
	} {
		users, n := make([]float64, len(c.ready)), 0.0
		for _, ready := range c.ready {
			if ready {
				n++
			}
		}
		for rank := range gateways {
			start, used := StartIndex(rank, len(c.ready)), 0.0
			for i := 0; i < len(c.ready) && used < c.size; i++ {
				if index := (start + i) % len(c.ready); c.ready[index] {
					users[index]++
					used++
				}
			}
		}
		for i, load := range RelativeLoad(c.ready, c.size) {
			if want := users[i] * n / (gateways * c.size); c.ready[i] && (load < want-0.02 || load > want+0.02) {
				t.Errorf("%v, subset size %v: endpoint %d has a relative load of %.2f, want %.2f",
					c.ready, c.size, i, load, want)
			}
		}
	}
}
