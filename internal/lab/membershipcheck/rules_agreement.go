package membershipcheck

import (
	"slices"
	"time"
)

// convergenceTime is for all to believe the truth after the last disturbance.
const convergenceTime = 15 * time.Second

func diverged(h *History, report reporter) {
	disturbances := h.disturbances()
	h.eachObservation(func(_, is *Observation) {
		since := is.At - convergenceTime
		next, _ := slices.BinarySearch(disturbances, since)
		disturbed := next < len(disturbances) && disturbances[next] <= is.At
		if since < 0 || disturbed || !h.ran(is.Gateway, since, is.At) {
			return
		}
		c := h.components(since, is.At)
		for m := range is.Beliefs {
			if m == is.Gateway || h.duplicatedDuring(m, since, is.At) || h.duplicatedDuring(is.Gateway, since, is.At) {
				continue
			}
			h.checkBelief(is, m, since, c, report)
		}
		if is.DuplicateName && h.undivided(c, is.Gateway, since, is.At) &&
			!h.duplicatedDuring(is.Gateway, since-convergenceTime, is.At) {
			report(is.At, is.Gateway, "believes in a second process of its name")
		}
	})
}

// checkBelief holds what a gateway believes of a member against what has been so since a time.
func (h *History) checkBelief(is *Observation, m int, since time.Duration, c components, report reporter) {
	now := is.Beliefs[m]
	switch {
	case c.same(m, is.Gateway) && c.direct[m] > 0 && now.State != "alive":
		// Where datagrams get lost a member is suspect now and then, and refutes it.
		if h.connected(is.Gateway, m, since, is.At) && (now.State != "suspect" || !h.losesAny(since, is.At)) {
			report(is.At, is.Gateway, "holds %s for %q, which lives and can be heard", h.names[m], now.State)
		}
	case h.absent(m, since, is.At) && !now.removed() && now.State != "":
		report(is.At, is.Gateway, "holds %s for %s, which has no process", h.names[m], now.State)
	}
}

// undivided reports whether all gateways that have a process are of one gateway's component.
func (h *History) undivided(c components, gateway int, a, b time.Duration) bool {
	for g := range c.of {
		if c.of[g] != c.of[gateway] && !h.absent(g, a, b) {
			return false
		}
	}
	return true
}

func falseMajority(h *History, report reporter) {
	h.eachObservation(func(_, is *Observation) {
		since := is.At - detectionTime
		if since < 0 || !is.Majority && !is.Settled {
			return
		}
		c := h.components(since, is.At)
		if c.of[is.Gateway] < 0 || !h.cleanlyDivided(c, is.Gateway, since, is.At) {
			return
		}
		known := 0
		for m, now := range is.Beliefs {
			// Those that left are counted no more; who is cut off, or dead without a word, is.
			if m == is.Gateway || now.State != "left" && now.State != "" {
				known++
			}
		}
		if own := c.size(is.Gateway); 2*own <= known {
			report(is.At, is.Gateway, "says that it is of a majority, with %d of %d", own, known)
		}
	})
}

// cleanlyDivided reports whether each gateway had no process, or ran all the time and is of one gateway's component, or
// could neither hear that gateway nor be heard by it. Where one way is open, who hears may hold the other alive.
func (h *History) cleanlyDivided(c components, gateway int, a, b time.Duration) bool {
	for g := range c.of {
		if c.of[g] < 0 {
			if !h.absent(g, a, b) {
				return false
			}
			continue
		}
		if c.of[g] != c.of[gateway] && (h.carriedAny(gateway, g, a, b) || h.carriedAny(g, gateway, a, b)) {
			return false
		}
	}
	return true
}
