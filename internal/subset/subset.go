// Package subset works out which part of many endpoints each of many gateways uses: few enough that endpoints
// are not short of connections and that a gateway learns what its endpoints can do, spread evenly without a
// word between gateways, and stable. It knows numbers only, does no I/O and has no clock.
package subset

import (
	"iter"
	"math"
	"slices"
)

// Zone holds the ready endpoints of one zone and of all others, and how many of each a gateway of the zone
// uses. A fraction is the share of the gateways that use one more.
type Zone struct {
	Zone          int
	Ready, Others float64
	Local, Remote float64
}

// Count counts ready endpoints by their zones, the local zone first.
func Count(local int, zones iter.Seq2[int, bool]) []Zone {
	out := []Zone{{Zone: local}}
	for zone, ready := range zones {
		at := slices.IndexFunc(out, func(z Zone) bool { return z.Zone == zone })
		if at < 0 {
			at, out = len(out), append(out, Zone{Zone: zone})
		}
		if ready {
			out[at].Ready++
		}
	}
	return out
}

// Rule says how many gateways use an endpoint: of its own zone (Local), and of the others (Remote). A gateway
// uses Min endpoints in all at least, if there are so many.
type Rule struct{ Local, Remote, Min float64 }

// Subsets fills in what a gateway of each zone uses; Zone and Ready are given. Gateways are taken to be
// spread evenly over zones, which no list tells.
func (r Rule) Subsets(gateways int, zones []Zone) {
	all := 0.0
	for _, z := range zones {
		all += z.Ready
	}
	local := float64(gateways) / float64(len(zones)) // gateways of one zone
	remote := max(1, float64(gateways)-local)
	for i := range zones {
		z := &zones[i]
		z.Others = all - z.Ready
		z.Local, z.Remote = z.Ready*min(1, r.Local/local), z.Others*min(1, r.Remote/remote)
		if z.Others == 0 {
			z.Local = max(z.Local, min(z.Ready, r.Min))
		}
		z.Remote = max(z.Remote, min(z.Others, r.Min-z.Local))
	}
}

// Users is how many gateways use an endpoint of this zone in their subsets, at least 1.
func Users(gateways, zone int, zones []Zone) float64 {
	local, n := float64(gateways)/float64(len(zones)), 0.0
	for _, z := range zones {
		if z.Zone == zone {
			n += local * z.Local / max(1, z.Ready)
		} else {
			n += local * z.Remote / max(1, z.Others)
		}
	}
	return max(1, n)
}

// Start is the place among n at which the gateway with this rank begins: multiples of the golden ratio spread
// any part of the ranks evenly.
func Start(rank, n int) int {
	_, at := math.Modf(float64(rank) * math.Phi)
	return int(at * float64(n))
}

// RoundByRank makes a number of endpoints whole for the gateway with this rank: a fraction of an endpoint is
// one at that share of the gateways.
func RoundByRank(rank int, want float64) float64 {
	_, chance := math.Modf(float64(rank) * math.Sqrt2)
	return math.Floor(want + chance)
}

// RelativeLoad is by how much more gateways than the mean use the ready endpoint at each place. Whoever
// begins at a place without one goes on to the next, so that an endpoint behind a gap has the gap's
// gateways too. part is how many endpoints a gateway uses.
func RelativeLoad(ready []bool, part float64) []float64 {
	out := make([]float64, len(ready))
	var places []int
	for i := range ready {
		if out[i] = 1; ready[i] {
			places = append(places, i)
		}
	}
	n := len(places)
	k := max(1, min(n, int(math.Round(part))))
	for j, at := range places {
		span := at - places[(j-k+n)%n] // since the k-th ready endpoint before it
		if span <= 0 {
			span += len(ready)
		}
		out[at] = float64(span*n) / float64(len(ready)*k)
	}
	return out
}
