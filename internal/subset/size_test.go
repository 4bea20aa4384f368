package subset

import (
	"strconv"
	"testing"
)

// BenchmarkSubsets measures counting endpoints by zone and computing the subset sizes and the relative loads.
func BenchmarkSubsets(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1000, 7700} {
		b.Run(strconv.Itoa(endpoints), func(b *testing.B) {
			ready := make([]bool, endpoints)
			for i := range ready {
				ready[i] = i%7 != 0
			}
			zones := func(yield func(int, bool) bool) {
				for i, up := range ready {
					if !yield(i%3, up) {
						return
					}
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				parts := Count(0, zones)
				Rule{Local: 8, Remote: 4, Min: 2}.ComputeSizes(1024, parts)
				RelativeLoad(ready, parts[0].Local)
			}
		})
	}
}

// In clusters of up to 1,024 gateways and 8,000 endpoints, each endpoint must have the number of users that the rule
// sets, and the start indices of the gateways must be distinct for at least four fifths of them.
func TestSubsetsOfLargeClusters(t *testing.T) {
	for _, size := range [][2]int{{1024, 1024}, {1024, 8000}, {350, 8000}, {8, 8000}} {
		gateways, endpoints := size[0], size[1]
		zones := []Zone{{Zone: 0, Ready: float64(endpoints) / 2}, {Zone: 1, Ready: float64(endpoints) / 2}}
		Rule{Local: 8, Remote: 4, Min: 2}.ComputeSizes(gateways, zones)
		want := min(8, float64(gateways)/2) + min(4, float64(gateways)/2)
		if got := Users(gateways, 0, zones); got < want-0.01 || got > want+0.01 {
			t.Errorf("%d gateways, %d endpoints: an endpoint has %v users, want %v", gateways, endpoints, got, want)
		}
		starts := make(map[int]bool)
		for rank := range gateways {
			starts[StartIndex(rank, endpoints)] = true
		}
		// Some multiples of the golden ratio share an index where there are as many gateways as endpoints.
		if len(starts) < min(gateways, endpoints)*4/5 {
			t.Errorf("%d gateways start at %d different indices of %d, want at least 4/5 of the smaller number",
				gateways, len(starts), endpoints)
		}
	}
}
