package subset

import (
	"strconv"
	"testing"
)

// BenchmarkSubsets counts endpoints by zone and works out what a gateway uses of them, and the relative load of each.
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
				Rule{Local: 8, Remote: 4, Min: 2}.Subsets(1024, parts)
				RelativeLoad(ready, parts[0].Local)
			}
		})
	}
}

// A gateway of 1,024 uses a few of 8,000 endpoints, and those of all gateways come to what the rule says.
func TestSubsetsOfLargeClusters(t *testing.T) {
	for _, size := range [][2]int{{1024, 1024}, {1024, 8000}, {350, 8000}, {8, 8000}} {
		gateways, endpoints := size[0], size[1]
		zones := []Zone{{Zone: 0, Ready: float64(endpoints) / 2}, {Zone: 1, Ready: float64(endpoints) / 2}}
		Rule{Local: 8, Remote: 4, Min: 2}.Subsets(gateways, zones)
		want := min(8, float64(gateways)/2) + min(4, float64(gateways)/2)
		if got := Users(gateways, 0, zones); got < want-0.01 || got > want+0.01 {
			t.Errorf("%d gateways, %d endpoints: %v use an endpoint, want %v", gateways, endpoints, got, want)
		}
		places := make(map[int]bool)
		for rank := range gateways {
			places[Start(rank, endpoints)] = true
		}
		// Multiples of the golden ratio share some places where there are as many.
		if len(places) < min(gateways, endpoints)*4/5 {
			t.Errorf("%d gateways begin at %d places of %d", gateways, len(places), endpoints)
		}
	}
}
