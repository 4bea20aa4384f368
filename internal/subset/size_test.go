package subset

import (
	"strconv"
	"testing"
)

// BenchmarkParts counts hosts by zone and works out what a gateway uses of them, and how crowded each is.
func BenchmarkParts(b *testing.B) {
	for _, hosts := range []int{10, 100, 1000, 7700} {
		b.Run(strconv.Itoa(hosts), func(b *testing.B) {
			standing := make([]bool, hosts)
			for i := range standing {
				standing[i] = i%7 != 0
			}
			zones := func(yield func(int, bool) bool) {
				for i, ready := range standing {
					if !yield(i%3, ready) {
						return
					}
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				parts := Count(0, zones)
				Rule{Local: 8, Remote: 4, Min: 2}.Subsets(1024, parts)
				RelativeLoad(standing, parts[0].Local)
			}
		})
	}
}

// A gateway of 1,024 uses a few of 8,000 hosts, and those of all gateways come to what the rule says.
func TestPartsOfLargeFleets(t *testing.T) {
	for _, size := range [][2]int{{1024, 1024}, {1024, 8000}, {350, 8000}, {8, 8000}} {
		gateways, hosts := size[0], size[1]
		zones := []Zone{{Zone: 0, Ready: float64(hosts) / 2}, {Zone: 1, Ready: float64(hosts) / 2}}
		Rule{Local: 8, Remote: 4, Min: 2}.Subsets(gateways, zones)
		want := min(8, float64(gateways)/2) + min(4, float64(gateways)/2)
		if got := Users(gateways, 0, zones); got < want-0.01 || got > want+0.01 {
			t.Errorf("%d gateways, %d hosts: %v use a host, want %v", gateways, hosts, got, want)
		}
		places := make(map[int]bool)
		for rank := range gateways {
			places[Start(rank, hosts)] = true
		}
		if len(places) < min(gateways, hosts)*4/5 { // multiples of the golden ratio share some places where there are as many
			t.Errorf("%d gateways begin at %d places of %d", gateways, len(places), hosts)
		}
	}
}
