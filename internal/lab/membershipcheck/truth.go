package membershipcheck

import (
	"slices"
	"time"
)

// maxLoss is the share of lost datagrams up to which a path counts as intact.
const maxLoss = 0.2

// ranThroughout reports whether a gateway had a process, including successors of hot restarts, that ran from a to b
// without being stopped.
func (h *History) ranThroughout(gateway int, a, b time.Duration) bool {
	return h.hadProcess(gateway, a, b, true)
}

// hadProcess reports whether a gateway had a process throughout the period from a to b, including successors of hot
// restarts. If stopsCount is true, these processes must also not have been stopped in that period.
func (h *History) hadProcess(gateway int, a, b time.Duration, stopsCount bool) bool {
	at := a
	for again := true; again; {
		again = false
		for _, p := range h.processes {
			if p.gateway != gateway || p.duplicate || p.start > at || p.end != 0 && p.end <= at ||
				stopsCount && p.stoppedWhileRunning(a, b) {
				continue
			}
			if p.end == 0 || p.end >= b {
				return true
			}
			at, again = p.end, true
		}
	}
	return false
}

// stoppedWhileRunning reports whether a stop overlaps both the period from a to b and the period from the process's
// start to b.
func (p *process) stoppedWhileRunning(a, b time.Duration) bool {
	return slices.ContainsFunc(p.stops, func(stop interval) bool {
		return stop.overlaps(a, b) && stop.overlaps(p.start, b)
	})
}

// absent reports whether a gateway had no process at any moment from a to b.
func (h *History) absent(gateway int, a, b time.Duration) bool {
	return !slices.ContainsFunc(h.processes, func(p process) bool {
		return p.gateway == gateway && p.lifetime().overlaps(a, b)
	})
}

// duplicatedThroughout reports whether two processes that do not know each other had the gateway's name during the
// whole period from a to b.
func (h *History) duplicatedThroughout(gateway int, a, b time.Duration) bool {
	return slices.ContainsFunc(h.processes, func(p process) bool {
		return p.gateway == gateway && p.duplicate && p.start <= a && (p.end == 0 || p.end >= b)
	}) && h.ranThroughout(gateway, a, b)
}

// duplicatedDuring reports whether two processes had the gateway's name at any moment from a to b.
func (h *History) duplicatedDuring(gateway int, a, b time.Duration) bool {
	return slices.ContainsFunc(h.processes, func(p process) bool {
		return p.gateway == gateway && p.duplicate && p.lifetime().overlaps(a, b)
	})
}

// intact reports whether a path was open throughout the period from a to b and never lost more than the share most
// of its datagrams.
func (h *History) intact(from, to int, a, b time.Duration, most float64) bool {
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

// mayCarry reports whether any datagram could get from one gateway to another from a to b.
func (h *History) mayCarry(from, to int, a, b time.Duration) bool {
	if !h.ranThroughout(from, a, b) {
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

// anyLoss reports whether any path dropped datagrams at random from a to b.
func (h *History) anyLoss(a, b time.Duration) bool {
	for _, states := range h.paths {
		for i, state := range states {
			if state.Loss > 0 && state.At <= b && (i+1 == len(states) || states[i+1].At >= a) {
				return true
			}
		}
	}
	return false
}

// disturbances returns the times at which a fault of a gateway or of a path between gateways started or ended, in
// ascending order.
func (h *History) disturbances() []time.Duration {
	var out []time.Duration
	for _, p := range h.processes {
		out = append(out, p.start)
		if p.end > 0 {
			out = append(out, p.end)
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

// components divides the cluster into sets of gateways that could exchange datagrams in both directions, directly
// or through other pairs.
type components struct {
	component   []int // by gateway: number of its component; -1 if it did not run
	directPeers []int // by gateway: number of gateways with which it could exchange datagrams directly
}

// components returns the components during the period from a to b.
func (h *History) components(a, b time.Duration) components {
	return h.componentsIgnoringStops(a, b, -1)
}

// componentsIgnoringStops returns the components during the period from a to b. It ignores stops of the gateway own:
// while stopped, that gateway received nothing, but it had a process.
func (h *History) componentsIgnoringStops(a, b time.Duration, own int) components {
	c := components{make([]int, h.count), make([]int, h.count)}
	runs := make([]bool, h.count)
	for gateway := range c.component {
		c.component[gateway], runs[gateway] = -1, h.hadProcess(gateway, a, b, gateway != own)
	}
	pair := func(x, y int) bool { return h.intact(x, y, a, b, maxLoss) && h.intact(y, x, a, b, maxLoss) }
	for gateway := range c.component {
		if !runs[gateway] || c.component[gateway] >= 0 {
			continue
		}
		c.component[gateway] = gateway
		for list := []int{gateway}; len(list) > 0; list = list[1:] {
			for other := range c.component {
				if !runs[other] || other == list[0] || !pair(list[0], other) {
					continue
				}
				c.directPeers[list[0]]++
				if c.component[other] < 0 {
					c.component[other] = gateway
					list = append(list, other)
				}
			}
		}
	}
	return c
}

// size returns the number of gateways in the gateway's component.
func (c components) size(gateway int) (n int) {
	for _, of := range c.component {
		if of == c.component[gateway] {
			n++
		}
	}
	return n
}

// same reports whether two gateways ran and belong to the same component.
func (c components) same(x, y int) bool {
	return c.component[x] >= 0 && c.component[x] == c.component[y]
}

// wellConnected reports whether two gateways are in the same component and each could exchange datagrams directly
// with at least half of the other gateways of that component.
func (c components) wellConnected(x, y int) bool {
	if !c.same(x, y) {
		return false
	}
	others := c.size(x) - 1
	return 2*c.directPeers[x] >= others && 2*c.directPeers[y] >= others
}

// connected reports whether two gateways could exchange datagrams from a to b, directly or through most of the
// others.
func (h *History) connected(x, y int, a, b time.Duration) bool {
	return h.components(a, b).wellConnected(x, y)
}

// reachable reports whether a gateway had no reason to remove another one, which ran and whose datagrams could
// arrive. Stops of the observing gateway are ignored: a process that continues knows that it received nothing while
// stopped.
func (h *History) reachable(gateway, other int, a, b time.Duration) bool {
	return h.componentsIgnoringStops(a, b, gateway).wellConnected(gateway, other)
}

// componentSize returns the size of a gateway's component from a to b.
func (h *History) componentSize(gateway int, a, b time.Duration) int {
	return h.components(a, b).size(gateway)
}
