package membershipcheck

import (
	"slices"
	"time"
)

// convergenceTime is the time after the last disturbance within which every view must be correct.
const convergenceTime = 15 * time.Second

func diverged(h *History, report reporter) {
	disturbances := h.disturbances()
	h.eachObservation(func(_, current *Observation) {
		since := current.At - convergenceTime
		next, _ := slices.BinarySearch(disturbances, since)
		disturbed := next < len(disturbances) && disturbances[next] <= current.At
		if since < 0 || disturbed || !h.ranThroughout(current.Gateway, since, current.At) {
			return
		}
		c := h.components(since, current.At)
		for m := range current.Members {
			if m == current.Gateway || h.duplicatedDuring(m, since, current.At) ||
				h.duplicatedDuring(current.Gateway, since, current.At) {
				continue
			}
			h.checkBelief(current, m, since, c, report)
		}
		if current.DuplicateName && h.inOneComponent(c, current.Gateway, since, current.At) &&
			!h.duplicatedDuring(current.Gateway, since-convergenceTime, current.At) {
			report(current.At, current.Gateway, "believes in a second process of its name")
		}
	})
}

// checkBelief compares a view's state of member m with the facts that have held since the given time.
func (h *History) checkBelief(current *Observation, m int, since time.Duration, c components, report reporter) {
	now := current.Members[m]
	switch {
	case c.same(m, current.Gateway) && c.directPeers[m] > 0 && now.State != "alive":
		// With datagram loss a member is suspected now and then and refutes the suspicion.
		if h.connected(current.Gateway, m, since, current.At) && (now.State != "suspect" || !h.anyLoss(since, current.At)) {
			report(current.At, current.Gateway, "holds %s for %q, which lives and can be heard", h.names[m], now.State)
		}
	case h.absent(m, since, current.At) && !now.removed() && now.State != "":
		report(current.At, current.Gateway, "holds %s for %s, which has no process", h.names[m], now.State)
	}
}

// inOneComponent reports whether all gateways that have a process belong to the component of the given gateway.
func (h *History) inOneComponent(c components, gateway int, a, b time.Duration) bool {
	for g := range c.component {
		if c.component[g] != c.component[gateway] && !h.absent(g, a, b) {
			return false
		}
	}
	return true
}

func falseMajority(h *History, report reporter) {
	h.eachObservation(func(_, current *Observation) {
		since := current.At - detectionTime
		if since < 0 || !current.Majority && !current.Converged {
			return
		}
		c := h.components(since, current.At)
		if c.component[current.Gateway] < 0 || !h.cleanlyDivided(c, current.Gateway, since, current.At) {
			return
		}
		known := 0
		for m, now := range current.Members {
			// A majority is counted without members that left, but with unreachable and crashed ones.
			if m == current.Gateway || now.State != "left" && now.State != "" {
				known++
			}
		}
		if size := c.size(current.Gateway); 2*size <= known {
			report(current.At, current.Gateway, "says that it is of a majority, with %d of %d", size, known)
		}
	})
}

// cleanlyDivided reports whether every other gateway had no process, ran throughout in the gateway's component, or
// could not exchange datagrams with the gateway in either direction. If one direction is open, its receiver may
// rightly consider the other alive.
func (h *History) cleanlyDivided(c components, gateway int, a, b time.Duration) bool {
	for g := range c.component {
		if c.component[g] < 0 {
			if !h.absent(g, a, b) {
				return false
			}
			continue
		}
		if c.component[g] != c.component[gateway] && (h.mayCarry(gateway, g, a, b) || h.mayCarry(g, gateway, a, b)) {
			return false
		}
	}
	return true
}
