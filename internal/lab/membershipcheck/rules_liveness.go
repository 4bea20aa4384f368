package membershipcheck

import "time"

const (
	// detectionTime is the longest suspicion, stretched by bad local health, and the last probe.
	detectionTime = 10 * time.Second
	// isolatedDetectionTime is that of a gateway that hears nobody, with the worst local health.
	isolatedDetectionTime = 20 * time.Second
	// leaveSpreadTime is for a leave to be told to eight members, and spread.
	leaveSpreadTime = 1500 * time.Millisecond
	// withoutHelpers is the largest component in which a loss cannot be told from an end, as there are too few helpers.
	withoutHelpers = 3
)

func wronglyRemoved(h *History, report reporter) {
	h.eachObservation(func(was, is *Observation) {
		if was == nil {
			return
		}
		for m, now := range is.Beliefs {
			before := was.Beliefs[m]
			if !now.removed() || before.removed() || before.State == "" || m == is.Gateway {
				continue
			}
			if h.mustNotBeRemoved(is, m) {
				report(is.At, is.Gateway, "holds %s for %s, which has run and could be heard for %v",
					h.names[m], now.State, detectionTime)
			}
		}
	})
}

// mustNotBeRemoved reports whether a gateway could hear a member all the time in which it could have removed it.
func (h *History) mustNotBeRemoved(is *Observation, m int) bool {
	since := is.At - detectionTime
	return since > 0 && h.reachable(is.Gateway, m, since, is.At) &&
		!h.duplicatedDuring(m, since, is.At) && !h.duplicatedDuring(is.Gateway, since, is.At) &&
		(h.componentSize(is.Gateway, since, is.At) > withoutHelpers || !h.losesAny(since, is.At))
}

func deadHeldAlive(h *History, report reporter) {
	h.eachObservation(func(_, is *Observation) {
		since := is.At - detectionTime
		if since < 0 || !h.ran(is.Gateway, since, is.At) {
			return
		}
		if h.componentSize(is.Gateway, since, is.At) == 1 { // it suspects itself first, and has nobody to ask
			if since = is.At - isolatedDetectionTime; since < 0 || !h.ran(is.Gateway, since, is.At) {
				return
			}
		}
		for m, now := range is.Beliefs {
			if (now.State == "alive" || now.State == "suspect") && h.absent(m, since, is.At) {
				report(is.At, is.Gateway, "holds %s for %s, which has had no process for %v",
					h.names[m], now.State, detectionTime)
			}
		}
	})
}

func leaveNotSpread(h *History, report reporter) {
	for i := range h.processes {
		p := &h.processes[i]
		left, until := p.to, h.nextStart(p)
		if !p.left || left < detectionTime/2 || until < left+leaveSpreadTime ||
			h.losesAny(left-time.Second, until) || h.duplicatedDuring(p.gateway, left-detectionTime, until) {
			continue
		}
		before := left - detectionTime/2
		h.eachObservation(func(_, is *Observation) {
			now := is.Beliefs[p.gateway]
			if is.At <= left+leaveSpreadTime || is.At >= until || now.State == "left" || now.State == "" {
				return
			}
			if h.connected(is.Gateway, p.gateway, before, left) && h.ran(is.Gateway, before, is.At) &&
				h.componentSize(is.Gateway, before, is.At) > 1 {
				report(is.At, is.Gateway, "holds %s for %s, which said %v before that it leaves",
					h.names[p.gateway], now.State, is.At-left)
			}
		})
	}
}

// nextStart is when the next process of a gateway starts after one's end, but detectionTime after it at the latest.
func (h *History) nextStart(ended *process) time.Duration {
	at := ended.to + detectionTime
	for _, next := range h.processes {
		if next.gateway == ended.gateway && next.from > ended.to {
			at = min(at, next.from)
		}
	}
	return at
}
