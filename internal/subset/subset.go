// Package subset works out which part of many servers each of many gateways uses: few enough that servers
// are not short of connections and that a gateway learns what its servers can do, spread evenly without a
// word between gateways, and stable. It knows numbers only, does no I/O and has no clock.
package subset

import (
	"iter"
	"math"
	"slices"
	"time"
)

// Zone holds the ready servers of one zone and of all others, and how many of each a gateway of the zone
// uses. A fraction is the share of the gateways that use one more.
type Zone struct {
	Zone          int
	Ready, Others float64
	Local, Remote float64
}

// Count counts ready servers by their zones, the own zone first.
func Count(own int, zones iter.Seq2[int, bool]) []Zone {
	out := []Zone{{Zone: own}}
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

// Rule says how many gateways use a server: of its own zone, and of the others. A gateway uses Least
// servers in all at least, if there are so many.
type Rule struct{ Local, Remote, Min float64 }

// Subsets fills in what a gateway of each zone uses; Zone and Ready are given. Gateways are taken to be
// spread evenly over zones, which no list tells.
func (r Rule) Subsets(gateways int, zones []Zone) {
	all := 0.0
	for _, z := range zones {
		all += z.Ready
	}
	near := float64(gateways) / float64(len(zones))
	away := max(1, float64(gateways)-near)
	for i := range zones {
		z := &zones[i]
		z.Others = all - z.Ready
		z.Local, z.Remote = z.Ready*min(1, r.Local/near), z.Others*min(1, r.Remote/away)
		if z.Others == 0 {
			z.Local = max(z.Local, min(z.Ready, r.Min))
		}
		z.Remote = max(z.Remote, min(z.Others, r.Min-z.Local))
	}
}

// Users is how many gateways use a server of this zone as a part of theirs.
func Users(gateways, zone int, zones []Zone) float64 {
	near, n := float64(gateways)/float64(len(zones)), 0.0
	for _, z := range zones {
		if z.Zone == zone {
			n += near * z.Local / max(1, z.Ready)
		} else {
			n += near * z.Remote / max(1, z.Others)
		}
	}
	return max(1, n)
}

// Start is the place among n at which the gateway with this number begins: multiples of the golden ratio
// spread any part of the numbers evenly.
func Start(rank, n int) int {
	_, at := math.Modf(float64(rank) * math.Phi)
	return int(at * float64(n))
}

// RoundByRank makes a number of servers whole for the gateway with this number: a fraction of a server is
// one at that share of the gateways.
func RoundByRank(rank int, want float64) float64 {
	_, chance := math.Modf(float64(rank) * math.Sqrt2)
	return math.Floor(want + chance)
}

// Expansion is what a gateway that is short of room uses beyond its even part, and how it gives that up:
// traffic and servers are not spread alike over zones and gateways, which no list tells. It grows by one a
// sample and shrinks by half where a server beyond the even part is full or cannot be reached, for then
// others need it or a zone is lost: hundreds of gateways that are short together would take each other's
// connections. Growth then rests, longer each time.
type Expansion struct {
	Size     float64 // servers, and a part of one
	fails    int
	resumeAt time.Duration
}

// Signals are what a gateway saw in one sample. Short says that requests waited, Full that a server beyond
// the even part had no room or could not be reached, Warming that one of the even part is cold: room then
// comes by itself, and the whole fleet is likely short.
type Signals struct{ Short, Full, Warming bool }

const (
	reachDecay  = 1.0 / 64 // of the reach, a sample without need: a quarter minute
	maxDoubling = 3        // doublings of the rest
)

// Update takes the signs of a sample and reports whether the whole number of servers changed. rest is how
// long growth rests at first; the caller varies it, or gateways would stay in step.
func (r *Expansion) Update(now time.Duration, seen Signals, most float64, rest time.Duration) bool {
	had := r.Size
	switch {
	case seen.Full:
		r.Size /= 2
		r.resumeAt = now + rest*time.Duration(1<<min(r.fails, maxDoubling))
		r.fails++
	case now < r.resumeAt: // as it is
	case seen.Short && !seen.Warming:
		r.Size = min(had+1, most)
	default:
		r.Size *= 1 - reachDecay
		r.fails = 0
	}
	return r.Endpoints() != math.Floor(had)
}

// Endpoints is how many servers that is.
func (r *Expansion) Endpoints() float64 { return math.Floor(r.Size) }

// RelativeLoad is by how much more gateways than the mean use the ready server at each place. Whoever
// begins at a place without one goes on to the next, so that a server behind a gap has the gap's gateways
// too. part is how many servers a gateway uses.
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
		span := at - places[(j-k+n)%n] // since the k-th ready server before it
		if span <= 0 {
			span += len(ready)
		}
		out[at] = float64(span*n) / float64(len(ready)*k)
	}
	return out
}
