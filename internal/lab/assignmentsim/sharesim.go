// Package assignmentsim compares ways to divide hosts among gateways, at sizes that no machine holds as processes.
package assignmentsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"thymebend/internal/assignment"
	"thymebend/internal/subset"
)

// Way is how hosts are divided.
type Way string

// The ways: today's places by number; rendezvous with each gateway's traffic spread alike over its hosts; the same with
// fitted weights.
const (
	Places   Way = "places"
	Alike    Way = "rendezvous"
	Fitted   Way = "shares"
	MeanOnly Way = "shares, demand unknown"
)

// Ways lists them.
func Ways() []Way { return []Way{Places, Alike, Fitted, MeanOnly} }

// Case is a fleet.
type Case struct {
	Gateways, Hosts int
	Zipf            bool // traffic by rank to the power of -1, else even
	Mixed           bool // hosts of one, two and four cores, else alike
	Seed            uint64
}

// Figures are what a division comes to.
type Figures struct {
	Crowd       float64       // largest load of a host for its capacity, over the mean
	Refused     float64       // share of the demand that finds no room, where all demand is 0.8 of all capacity
	Links       int           // pairs
	MostLinks   int           // at one host
	GatewayGone float64       // pairs of others that move when a gateway goes, as a multiple of the pairs that it had
	HostGone    float64       // the same for a host
	Took        time.Duration // of one division, on this machine
}

// rule is that of today's parts: eight users of the own zone and four of others, two hosts at least; and as many users at most as a
// fleet file asks for by itself.
func rule() assignment.Rule { return assignment.Rule{Users: 12, MaxUsers: 36, MinEndpoints: 2} }

type fleet struct {
	gateways []assignment.Gateway
	ranks    []int // by place, as configured
	all      int   // the configured count
	hosts    []assignment.Endpoint
}

func (c Case) fleet() fleet {
	rng := rand.New(rand.NewPCG(c.Seed, 0x5a4e))
	f := fleet{all: c.Gateways}
	order := rng.Perm(c.Gateways)
	for i := range c.Gateways {
		demand := 1.0
		if c.Zipf {
			demand = 1 / float64(order[i]+1)
		}
		f.gateways = append(f.gateways, assignment.Gateway{Name: fmt.Sprintf("gateway-%04d", i), Demand: demand})
		f.ranks = append(f.ranks, i)
	}
	for range c.Hosts {
		capacity := 1.0
		if c.Mixed {
			capacity = float64(int(1) << rng.IntN(3))
		}
		f.hosts = append(f.hosts, assignment.Endpoint{ID: rng.Uint64(), Capacity: capacity})
	}
	return f
}

// uses is who uses whom and for which share of its traffic, by gateway and host.
func (f fleet) uses(way Way) ([]map[uint64]float64, error) {
	out := make([]map[uint64]float64, len(f.gateways))
	if way == Places {
		part := min(float64(len(f.hosts)), max(2, 12*float64(len(f.hosts))/float64(f.all)))
		for i, rank := range f.ranks {
			out[i] = make(map[uint64]float64)
			n := int(subset.RoundByRank(rank, part))
			for k := range n {
				out[i][f.hosts[(subset.Start(rank, len(f.hosts))+k)%len(f.hosts)].ID] = 1 / float64(n)
			}
		}
		return out, nil
	}
	gateways := f.gateways
	if way == MeanOnly {
		gateways = nil
		for _, g := range f.gateways {
			gateways = append(gateways, assignment.Gateway{Name: g.Name})
		}
	}
	d, err := assignment.Compute(rule(), gateways, f.hosts)
	if err != nil {
		return nil, err
	}
	for i, g := range f.gateways {
		out[i] = make(map[uint64]float64)
		list := d.Of(g.Name)
		for _, u := range list {
			if out[i][u.Endpoint] = u.Weight; way == Alike {
				out[i][u.Endpoint] = 1 / float64(len(list))
			}
		}
	}
	return out, nil
}

// Measure divides a fleet and looks at what comes of it.
func Measure(c Case, way Way) (Figures, error) {
	f := c.fleet()
	began := time.Now()
	uses, err := f.uses(way)
	out := Figures{Took: time.Since(began)}
	if err != nil {
		return out, err
	}
	demand, capacity := 0.0, 0.0
	for _, g := range f.gateways {
		demand += g.Demand
	}
	for _, h := range f.hosts {
		capacity += h.Capacity
	}
	load, links := make(map[uint64]float64), make(map[uint64]int)
	for i, g := range f.gateways {
		for _, h := range f.hosts { // in order: sums of numbers must not depend on it
			if w, ok := uses[i][h.ID]; ok {
				load[h.ID] += w * g.Demand / demand
				links[h.ID]++
				out.Links++
			}
		}
	}
	for _, h := range f.hosts {
		out.Crowd = max(out.Crowd, load[h.ID]*capacity/h.Capacity)
		out.Refused += max(0, 0.8*load[h.ID]-h.Capacity/capacity) / 0.8
		out.MostLinks = max(out.MostLinks, links[h.ID])
	}
	gone := c.Gateways / 3
	less := f
	less.gateways = append(append([]assignment.Gateway(nil), f.gateways[:gone]...), f.gateways[gone+1:]...)
	less.ranks = nil // who configures a smaller fleet numbers it anew
	for i := range less.gateways {
		less.ranks = append(less.ranks, i)
	}
	less.all--
	after, err := less.uses(way)
	if err != nil {
		return out, err
	}
	moved := 0
	for i := range after {
		at := i
		if i >= gone {
			at++
		}
		moved += differ(uses[at], after[i])
	}
	out.GatewayGone = float64(moved) / math.Max(1, float64(len(uses[gone])))
	fewer := f
	lost := f.hosts[c.Hosts/3]
	fewer.hosts = append(append([]assignment.Endpoint(nil), f.hosts[:c.Hosts/3]...), f.hosts[c.Hosts/3+1:]...)
	if after, err = fewer.uses(way); err != nil {
		return out, err
	}
	moved = 0
	for i := range after {
		had := uses[i]
		delete(had, lost.ID)
		moved += differ(had, after[i])
	}
	out.HostGone = float64(moved) / math.Max(1, float64(links[lost.ID]))
	return out, nil
}

// differ counts the pairs that one has and the other has not.
func differ(a, b map[uint64]float64) (n int) {
	for h := range a {
		if _, ok := b[h]; !ok {
			n++
		}
	}
	for h := range b {
		if _, ok := a[h]; !ok {
			n++
		}
	}
	return n
}
