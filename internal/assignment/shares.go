// Package assignment works out which hosts each gateway of a fleet uses and for how much of its traffic, from who lives, what
// each has to carry and what hosts can do. Every gateway that knows the same works out the same. It does no I/O, has no
// clock and no state. docs/design/shares.md says why it is so.
package assignment

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// Bounds of what can be divided, and how.
const (
	MaxGateways  = 2000
	MaxEndpoints = 10_000
	step         = 1.25 // demand is rounded to powers of it
	rounds       = 12   // of fitting
	leastWeight  = 1e-9
)

// Gateway is one that lives.
type Gateway struct {
	Name   string
	Demand float64 // requests a second by weight, or any other unit that all have; 0 or less: unknown, the mean counts
	Zone   int
}

// Endpoint is one that may get something.
type Endpoint struct {
	ID       uint64
	Capacity float64 // in any unit, above 0
	Zone     int
}

// Rule says how many use a host on the mean, and how many hosts a gateway uses at least, if there are so many.
type Rule struct {
	Users        float64 // above 0
	MinEndpoints int
	// MaxUsers is how many use a host at most, where hosts hold few connections; 0 is no bound, else at least Users. A gateway that would
	// have no host at all keeps one beyond it.
	MaxUsers int
	// RemoteZoneOdds is how likely a host of another zone is taken, over one of the own: 1 is no difference, 0 counts as 1. Where zones
	// have more traffic than their own hosts can carry, the pairs across zones carry the rest.
	RemoteZoneOdds float64
}

// Assigned is a host that a gateway uses.
type Assigned struct {
	Endpoint uint64
	Weight   float64 // share of the gateway's traffic; those of one gateway add up to 1
	Share    float64 // share of the host's capacity that is this gateway's; those of one host add up to 1
}

// Division is who uses whom. It is not changed once it is made.
type Division struct {
	names []string     // sorted
	hosts []Endpoint   // by id
	uses  [][]Assigned // by gateway
	load  []float64
}

// Compute divides. The order of gateways and hosts does not matter. Names and ids must each occur once.
func Compute(r Rule, gateways []Gateway, hosts []Endpoint) (*Division, error) {
	switch {
	case !(r.Users > 0) || r.MinEndpoints < 0:
		return nil, fmt.Errorf("shares: %v users of a host, %d hosts at least", r.Users, r.MinEndpoints)
	case r.MaxUsers != 0 && float64(r.MaxUsers) < r.Users:
		return nil, fmt.Errorf("shares: %d users of a host at most, with %v on the mean", r.MaxUsers, r.Users)
	case !(r.RemoteZoneOdds >= 0 && r.RemoteZoneOdds <= 1):
		return nil, fmt.Errorf("shares: hosts of other zones at %v, 0 to 1 is needed", r.RemoteZoneOdds)
	case len(gateways) > MaxGateways || len(hosts) > MaxEndpoints:
		return nil, fmt.Errorf("shares: %d gateways and %d hosts, %d and %d at most", len(gateways), len(hosts), MaxGateways, MaxEndpoints)
	}
	g := slices.SortedFunc(slices.Values(gateways), func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
	h := slices.SortedFunc(slices.Values(hosts), func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	d := &Division{hosts: h, uses: make([][]Assigned, len(g)), load: make([]float64, len(h))}
	for i, x := range g {
		if i > 0 && g[i-1].Name == x.Name {
			return nil, fmt.Errorf("shares: gateway %q twice", x.Name)
		}
		d.names = append(d.names, x.Name)
	}
	capacity := 0.0
	for i, x := range h {
		if i > 0 && h[i-1].ID == x.ID {
			return nil, fmt.Errorf("shares: host %d twice", x.ID)
		}
		if !(x.Capacity > 0) || math.IsInf(x.Capacity, 0) {
			return nil, fmt.Errorf("shares: host %d has a capacity of %v", x.ID, x.Capacity)
		}
		capacity += x.Capacity
	}
	if len(g) == 0 || len(h) == 0 {
		return d, nil
	}
	demand := demands(g)
	pairs := make([][]pair, len(g)) // by gateway
	for i, x := range g {
		pairs[i] = r.pick(x, h, numberOf(r, x.Name, demand[i], len(h)))
	}
	if r.MaxUsers > 0 {
		r.bound(g, h, pairs)
	}
	d.fill(pairs)
	d.fit(pairs, demand, capacity)
	return d, nil
}

// demands are the gateways' shares of all demand, in steps. They add up to 1.
func demands(g []Gateway) []float64 {
	out := make([]float64, len(g))
	known, sum := 0, 0.0
	for _, x := range g {
		if x.Demand > 0 && !math.IsInf(x.Demand, 0) {
			known++
			sum += x.Demand
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	total := 0.0
	for i, x := range g {
		v := mean
		if x.Demand > 0 && !math.IsInf(x.Demand, 0) {
			v = min(max(x.Demand, mean/64), mean*float64(len(g))) // who has nothing now may have something soon
		}
		out[i] = math.Pow(step, math.Round(math.Log(v)/math.Log(step)))
		total += out[i]
	}
	for i := range out {
		out[i] /= total
	}
	return out
}

// numberOf is how many hosts a gateway uses. Each rounds at a point of its own, or all would move a pair at once where the
// fleet's size takes their number over a half.
func numberOf(r Rule, name string, demand float64, hosts int) int {
	n := int(r.Users*float64(hosts)*demand + unit(mix(xxh3.HashString(name), 0)))
	return min(hosts, max(n, r.MinEndpoints, 1))
}

type pair struct {
	host   int // by place
	weight float64
	score  float64 // of gateway and host, the least is best
}

// pick takes the hosts that rendezvous gives a gateway: those with the best score of name and host, larger hosts more often.
func (r Rule) pick(g Gateway, hosts []Endpoint, n int) []pair {
	type scored struct {
		host  int
		score float64
	}
	seed := xxh3.HashString(g.Name)
	pull := func(h Endpoint) float64 {
		if h.Zone != g.Zone && r.RemoteZoneOdds > 0 {
			return h.Capacity * r.RemoteZoneOdds
		}
		return h.Capacity
	}
	capacity := 0.0
	for _, h := range hosts {
		capacity += pull(h)
	}
	// The scores of all arrive like events of the rate of all capacity: the best n lie below n and some more of its intervals.
	// Only those are sorted; where chance has it otherwise, all are.
	low := (float64(n) + 4*math.Sqrt(float64(n)) + 4) / capacity
	var list []scored
	for again := true; again; low = math.Inf(1) {
		list = list[:0]
		for i, h := range hosts {
			// The logarithm makes the chance follow the capacity.
			if s := -math.Log(unit(mix(seed, h.ID))) / pull(h); s <= low {
				list = append(list, scored{i, s})
			}
		}
		again = len(list) < n
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.host, b.host)) })
	out := make([]pair, n)
	for i := range out {
		h := hosts[list[i].host]
		out[i] = pair{host: list[i].host, weight: pull(h) / h.Capacity, score: list[i].score}
	}
	return out
}

// nextBest is how many hosts further down its list a gateway looks that is one too many at a host.
const nextBest = 16

// bound has each host keep the users that score best for it, as many as it may have. The others, by name, go to the next host on
// their list that has room; where none has, they use one host less, but never none.
func (r Rule) bound(g []Gateway, h []Endpoint, pairs [][]pair) {
	type user struct {
		gateway int
		score   float64
	}
	users := make([][]user, len(h))
	for i, list := range pairs {
		for _, p := range list {
			users[p.host] = append(users[p.host], user{i, p.score})
		}
	}
	count := make([]int, len(h))
	moves := make([][]int, len(g)) // hosts that a gateway has to leave
	for j, list := range users {
		count[j] = len(list)
		if len(list) <= r.MaxUsers {
			continue
		}
		slices.SortFunc(list, func(a, b user) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.gateway, b.gateway)) })
		for _, u := range list[r.MaxUsers:] {
			moves[u.gateway] = append(moves[u.gateway], j)
		}
	}
	for i, leave := range moves {
		if len(leave) == 0 {
			continue
		}
		more := r.pick(g[i], h, min(len(h), len(pairs[i])+nextBest))[len(pairs[i]):]
		for _, j := range leave {
			at := slices.IndexFunc(more, func(p pair) bool { return count[p.host] < r.MaxUsers })
			own := slices.IndexFunc(pairs[i], func(p pair) bool { return p.host == j })
			switch {
			case at >= 0:
				pairs[i][own] = more[at]
				count[more[at].host]++
				more = slices.Delete(more, at, at+1)
			case len(pairs[i]) > 1:
				pairs[i] = slices.Delete(pairs[i], own, own+1)
			default:
				continue
			}
			count[j]--
		}
	}
}

// unit is a hash's top 53 bits as a number above 0 and up to 1.
func unit(hash uint64) float64 { return (float64(hash>>11) + 1) / (1 << 53) }

func mix(seed, id uint64) uint64 {
	b := [8]byte{byte(id), byte(id >> 8), byte(id >> 16), byte(id >> 24), byte(id >> 32), byte(id >> 40), byte(id >> 48), byte(id >> 56)}
	return xxh3.HashSeed(b[:], seed)
}

// fill gives every host that nobody uses to the gateway that scores best for it, or its capacity would lie idle.
func (d *Division) fill(pairs [][]pair) {
	used := make([]bool, len(d.hosts))
	for _, list := range pairs {
		for _, p := range list {
			used[p.host] = true
		}
	}
	for j, h := range d.hosts {
		if used[j] {
			continue
		}
		best, low := 0, math.Inf(1)
		for i, name := range d.names {
			if s := -math.Log(unit(mix(xxh3.HashString(name), h.ID))); s < low {
				best, low = i, s
			}
		}
		pairs[best] = append(pairs[best], pair{host: j, weight: 1})
	}
}

// fit scales weights until each gateway's add up to its demand and, as far as the pairs allow, each host's to its capacity.
func (d *Division) fit(pairs [][]pair, demand []float64, capacity float64) {
	for range rounds {
		clear(d.load)
		for i, list := range pairs {
			normal(list, demand[i])
			for _, p := range list {
				d.load[p.host] += p.weight
			}
		}
		for _, list := range pairs {
			for k := range list {
				p := &list[k]
				p.weight = max(leastWeight, p.weight*d.hosts[p.host].Capacity/capacity/d.load[p.host])
			}
		}
	}
	clear(d.load)
	for i, list := range pairs {
		normal(list, demand[i])
		for _, p := range list {
			d.load[p.host] += p.weight
		}
	}
	for i, list := range pairs {
		for _, p := range list {
			d.uses[i] = append(d.uses[i], Assigned{Endpoint: d.hosts[p.host].ID, Weight: p.weight / demand[i], Share: p.weight / d.load[p.host]})
		}
		slices.SortFunc(d.uses[i], func(a, b Assigned) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	}
	for j, h := range d.hosts {
		d.load[j] *= capacity / h.Capacity
	}
}

func normal(list []pair, to float64) {
	sum := 0.0
	for _, p := range list {
		sum += p.weight
	}
	for k := range list {
		list[k].weight *= to / sum
	}
}

// Of returns what a gateway uses, by host, or nothing where it is not in the division. It must not be changed.
func (d *Division) Of(name string) []Assigned {
	if d == nil {
		return nil
	}
	if at, ok := slices.BinarySearch(d.names, name); ok {
		return d.uses[at]
	}
	return nil
}

// Crowd is the largest load of a host for its capacity over the mean, by the demand that the division was worked out
// from. 1 is perfect.
func (d *Division) Crowd() float64 {
	if len(d.load) == 0 {
		return 1
	}
	return slices.Max(d.load)
}

// Both is what a gateway may use while one division gives way to another: of each host the smaller part, of those that
// both give it. Parts of a host add up to 1 at most as long as nobody goes by the new division alone while somebody still
// goes by the old one alone: each has to wait in between for as long as news takes to reach the last.
func Both(a, b []Assigned) []Assigned {
	var out []Assigned
	for i, j := 0, 0; i < len(a) && j < len(b); {
		switch x, y := a[i], b[j]; {
		case x.Endpoint < y.Endpoint:
			i++
		case x.Endpoint > y.Endpoint:
			j++
		default:
			out = append(out, Assigned{Endpoint: x.Endpoint, Weight: min(x.Weight, y.Weight), Share: min(x.Share, y.Share)})
			i, j = i+1, j+1
		}
	}
	sum := 0.0
	for _, u := range out {
		sum += u.Weight
	}
	for i := range out {
		out[i].Weight /= sum
	}
	return out
}
