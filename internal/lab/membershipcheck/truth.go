package membershipcheck

import (
	"slices"
	"time"
)

// maxLoss is what a path may lose of the datagrams and still count as one that carries.
const maxLoss = 0.2

// ran reports whether a gateway had a process that ran without a stop from a to b, hot restarts included.
func (h *History) ran(gateway int, a, b time.Duration) bool { return h.lived(gateway, a, b, true) }

// lived does so; where stops do not count it may have been stopped meanwhile.
func (h *History) lived(gateway int, a, b time.Duration, stopsCount bool) bool {
	at := a
	for again := true; again; {
		again = false
		for _, p := range h.processes {
			if p.gateway != gateway || p.duplicate || p.from > at || p.to != 0 && p.to <= at ||
				stopsCount && p.stoppedWhileItRan(a, b) {
				continue
			}
			if p.to == 0 || p.to >= b {
				return true
			}
			at, again = p.to, true
		}
	}
	return false
}

// stoppedWhileItRan reports whether a stop overlaps the time from a to b and that from the process's begin to b.
func (p *process) stoppedWhileItRan(a, b time.Duration) bool {
	return slices.ContainsFunc(p.stops, func(stop interval) bool {
		return stop.overlaps(a, b) && stop.overlaps(p.from, b)
	})
}

// absent reports whether a gateway had no process at all from a to b.
func (h *History) absent(gateway int, a, b time.Duration) bool {
	return !slices.ContainsFunc(h.processes, func(p process) bool {
		return p.gateway == gateway && p.lifetime().overlaps(a, b)
	})
}

// duplicatedThroughout reports whether two processes that know nothing of each other used a name all the time from a to
// b.
func (h *History) duplicatedThroughout(gateway int, a, b time.Duration) bool {
	return slices.ContainsFunc(h.processes, func(p process) bool {
		return p.gateway == gateway && p.duplicate && p.from <= a && (p.to == 0 || p.to >= b)
	}) && h.ran(gateway, a, b)
}

// duplicatedDuring reports whether a name was used twice at any moment from a to b.
func (h *History) duplicatedDuring(gateway int, a, b time.Duration) bool {
	return slices.ContainsFunc(h.processes, func(p process) bool {
		return p.gateway == gateway && p.duplicate && p.lifetime().overlaps(a, b)
	})
}

// carried reports whether a path carried from a to b without a break, losing at most a share.
func (h *History) carried(from, to int, a, b time.Duration, most float64) bool {
	ok := true
	for _, state := range h.paths[[2]int{from, to}] {
		if state.At >= b {
			break
		}
		good := !state.Cut && state.Loss <= most
		if state.At <= a {
			ok = good
		} else {
			ok = ok && good
		}
	}
	return ok
}

// carriedAny reports whether anything could come from one gateway to another from a to b.
func (h *History) carriedAny(from, to int, a, b time.Duration) bool {
	if !h.ran(from, a, b) {
		return false
	}
	open := true
	for _, state := range h.paths[[2]int{from, to}] {
		switch {
		case state.At <= a:
			open = !state.Cut
		case state.At < b && !state.Cut:
			return true
		}
	}
	return open
}

// losesAny reports whether any path lost datagrams by chance from a to b.
func (h *History) losesAny(a, b time.Duration) bool {
	for _, states := range h.paths {
		for i, state := range states {
			if state.Loss > 0 && state.At <= b && (i+1 == len(states) || states[i+1].At >= a) {
				return true
			}
		}
	}
	return false
}

// disturbances are the moments at which something was done to gateways or to the paths between them.
func (h *History) disturbances() []time.Duration {
	var out []time.Duration
	for _, p := range h.processes {
		out = append(out, p.from)
		if p.to > 0 {
			out = append(out, p.to)
		}
		for _, stop := range p.stops {
			out = append(out, stop.from)
			if stop.to > 0 {
				out = append(out, stop.to)
			}
		}
	}
	for _, states := range h.paths {
		for _, state := range states {
			if state.At > 0 {
				out = append(out, state.At)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// components are the parts of the cluster in which gateways heard each other both ways, by chains of pairs.
type components struct {
	of     []int // by gateway, the number of its component; -1 where it did not run
	direct []int // by gateway, how many others of its component it heard itself
}

// components are those from a to b.
func (h *History) components(a, b time.Duration) components {
	return h.componentsDespiteStops(a, b, -1)
}

// componentsDespiteStops does so where stops of one gateway do not count: it heard nothing meanwhile, but it lived.
func (h *History) componentsDespiteStops(a, b time.Duration, own int) components {
	c := components{make([]int, h.count), make([]int, h.count)}
	runs := make([]bool, h.count)
	for gateway := range c.of {
		c.of[gateway], runs[gateway] = -1, h.lived(gateway, a, b, gateway != own)
	}
	pair := func(x, y int) bool { return h.carried(x, y, a, b, maxLoss) && h.carried(y, x, a, b, maxLoss) }
	for gateway := range c.of {
		if !runs[gateway] || c.of[gateway] >= 0 {
			continue
		}
		c.of[gateway] = gateway
		for list := []int{gateway}; len(list) > 0; list = list[1:] {
			for other := range c.of {
				if !runs[other] || other == list[0] || !pair(list[0], other) {
					continue
				}
				c.direct[list[0]]++
				if c.of[other] < 0 {
					c.of[other] = gateway
					list = append(list, other)
				}
			}
		}
	}
	return c
}

// size is how many gateways a gateway's component has.
func (c components) size(gateway int) (n int) {
	for _, of := range c.of {
		if of == c.of[gateway] {
			n++
		}
	}
	return n
}

// same reports whether two gateways ran and are of one component.
func (c components) same(x, y int) bool { return c.of[x] >= 0 && c.of[x] == c.of[y] }

// wellConnected reports whether two gateways are of one component and each heard half of it itself.
func (c components) wellConnected(x, y int) bool {
	if !c.same(x, y) {
		return false
	}
	others := c.size(x) - 1
	return 2*c.direct[x] >= others && 2*c.direct[y] >= others
}

// connected reports whether two gateways could have heard each other, themselves or through most of the others, from a
// to b.
func (h *History) connected(x, y int, a, b time.Duration) bool {
	return h.components(a, b).wellConnected(x, y)
}

// reachable reports whether a gateway had no reason to remove another one: that one ran and could be heard. Whether it
// was itself stopped meanwhile does not count: who wakes up knows that it heard nothing.
func (h *History) reachable(gateway, other int, a, b time.Duration) bool {
	return h.componentsDespiteStops(a, b, gateway).wellConnected(gateway, other)
}

// componentSize is how many gateways a gateway's component had from a to b.
func (h *History) componentSize(gateway int, a, b time.Duration) int {
	return h.components(a, b).size(gateway)
}
