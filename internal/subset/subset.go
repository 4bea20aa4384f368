// Package subset computes which subset of the endpoints each gateway uses. The subset is small enough that
// endpoints do not run out of connections and that a gateway has enough answers of each endpoint to measure
// its performance. The subsets are stable, and spread evenly over the endpoints without communication between
// gateways. The package computes with counts, ranks and indices only, does no I/O and has no clock.
package subset

import (
	"iter"
	"math"
	"slices"
)

// Zone holds the numbers of ready endpoints in one zone (Ready) and in all other zones (OtherReady), and how
// many of each a gateway of the zone uses (Local and Remote). Local and Remote are means over gateways: their
// fractional parts are the shares of the gateways that use one more endpoint.
type Zone struct {
	Zone              int
	Ready, OtherReady float64
	Local, Remote     float64
}

// Count counts the ready endpoints of each zone. zones yields the zone of each endpoint and whether it is
// ready. The first element of the result is the local zone.
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

// Rule sets how many gateways use each endpoint: Local gateways of the endpoint's zone and Remote gateways of
// the other zones. A gateway uses at least Min endpoints overall, or all if there are fewer.
type Rule struct{ Local, Remote, Min float64 }

// ComputeSizes sets OtherReady, Local and Remote of each zone from its Ready. Gateways are assumed to be
// distributed evenly over the zones, as no list contains the zones of gateways.
func (r Rule) ComputeSizes(gateways int, zones []Zone) {
	total := 0.0
	for _, z := range zones {
		total += z.Ready
	}
	local := float64(gateways) / float64(len(zones)) // gateways in one zone
	remote := max(1, float64(gateways)-local)
	for i := range zones {
		z := &zones[i]
		z.OtherReady = total - z.Ready
		z.Local, z.Remote = z.Ready*min(1, r.Local/local), z.OtherReady*min(1, r.Remote/remote)
		if z.OtherReady == 0 {
			z.Local = max(z.Local, min(z.Ready, r.Min))
		}
		z.Remote = max(z.Remote, min(z.OtherReady, r.Min-z.Local))
	}
}

// Users returns how many gateways have an endpoint of the given zone in their subsets, at least 1. zones must
// contain the subset sizes, Local and Remote.
func Users(gateways, zone int, zones []Zone) float64 {
	local, n := float64(gateways)/float64(len(zones)), 0.0
	for _, z := range zones {
		if z.Zone == zone {
			n += local * z.Local / max(1, z.Ready)
		} else {
			n += local * z.Remote / max(1, z.OtherReady)
		}
	}
	return max(1, n)
}

// StartIndex returns the index among n endpoints at which the subset of the gateway with the given rank
// starts. It uses multiples of the golden ratio, which distribute any range of ranks evenly.
func StartIndex(rank, n int) int {
	_, fraction := math.Modf(float64(rank) * math.Phi)
	return int(fraction * float64(n))
}

// RoundByRank rounds a number of endpoints to a whole number for the gateway with the given rank. It rounds
// up for a share of the gateways that equals the fractional part, so that the mean over all gateways is size.
func RoundByRank(rank int, size float64) float64 {
	_, offset := math.Modf(float64(rank) * math.Sqrt2)
	return math.Floor(size + offset)
}

// RelativeLoad returns, for the ready endpoint at each index, the number of gateways that use it relative to
// the mean; 1 for endpoints that are not ready. A gateway whose start index has no ready endpoint uses the
// next ones, so that an endpoint behind a gap also serves the gateways that start in the gap. size is how
// many endpoints a gateway uses.
func RelativeLoad(ready []bool, size float64) []float64 {
	out := make([]float64, len(ready))
	var indices []int
	for i := range ready {
		if out[i] = 1; ready[i] {
			indices = append(indices, i)
		}
	}
	n := len(indices)
	k := max(1, min(n, int(math.Round(size))))
	for j, index := range indices {
		span := index - indices[(j-k+n)%n] // distance from the k-th ready endpoint before this one
		if span <= 0 {
			span += len(ready)
		}
		out[index] = float64(span*n) / float64(len(ready)*k)
	}
	return out
}
