package membershipcheck

import "time"

const (
	// detectionTime is the longest suspicion timeout, extended by poor local health, plus the last probe.
	detectionTime = 10 * time.Second
	// isolatedDetectionTime is the detection time of a gateway that receives nothing and has the poorest local
	// health.
	isolatedDetectionTime = 20 * time.Second
	// leavePropagationTime is the time in which a gateway announces its leave to eight members and gossip
	// propagates it.
	leavePropagationTime = 1500 * time.Millisecond
	// maxSizeWithoutHelpers is the size of the largest component with too few helpers for indirect probes to
	// distinguish a lost datagram from a dead member.
	maxSizeWithoutHelpers = 3
)

func wronglyRemoved(h *History, report reporter) {
	h.eachObservation(func(previous, current *Observation) {
		if previous == nil {
			return
		}
		for m, now := range current.Members {
			before := previous.Members[m]
			if !now.removed() || before.removed() || before.State == "" || m == current.Gateway {
				continue
			}
			if h.mustNotBeRemoved(current, m) {
				report(current.At, current.Gateway, "holds %s for %s, which has run and could be heard for %v",
					h.names[m], now.State, detectionTime)
			}
		}
	})
}

// mustNotBeRemoved reports whether the observing gateway could receive the datagrams of member m during the whole
// detectionTime before the observation, so that it had no reason to remove m.
func (h *History) mustNotBeRemoved(current *Observation, m int) bool {
	since := current.At - detectionTime
	return since > 0 && h.reachable(current.Gateway, m, since, current.At) &&
		!h.duplicatedDuring(m, since, current.At) && !h.duplicatedDuring(current.Gateway, since, current.At) &&
		(h.componentSize(current.Gateway, since, current.At) > maxSizeWithoutHelpers || !h.anyLoss(since, current.At))
}

func deadHeldAlive(h *History, report reporter) {
	h.eachObservation(func(_, current *Observation) {
		since := current.At - detectionTime
		if since < 0 || !h.ranThroughout(current.Gateway, since, current.At) {
			return
		}
		// An isolated gateway detects later: it suspects itself first, and no other member can probe for it.
		if h.componentSize(current.Gateway, since, current.At) == 1 {
			if since = current.At - isolatedDetectionTime; since < 0 || !h.ranThroughout(current.Gateway, since, current.At) {
				return
			}
		}
		for m, now := range current.Members {
			if (now.State == "alive" || now.State == "suspect") && h.absent(m, since, current.At) {
				report(current.At, current.Gateway, "holds %s for %s, which has had no process for %v",
					h.names[m], now.State, detectionTime)
			}
		}
	})
}

func leaveNotPropagated(h *History, report reporter) {
	for i := range h.processes {
		p := &h.processes[i]
		leaveTime, until := p.end, h.nextProcessStart(p)
		if !p.leaving || leaveTime < detectionTime/2 || until < leaveTime+leavePropagationTime ||
			h.anyLoss(leaveTime-time.Second, until) || h.duplicatedDuring(p.gateway, leaveTime-detectionTime, until) {
			continue
		}
		before := leaveTime - detectionTime/2
		h.eachObservation(func(_, current *Observation) {
			now := current.Members[p.gateway]
			if current.At <= leaveTime+leavePropagationTime || current.At >= until || now.State == "left" || now.State == "" {
				return
			}
			if h.connected(current.Gateway, p.gateway, before, leaveTime) &&
				h.ranThroughout(current.Gateway, before, current.At) &&
				h.componentSize(current.Gateway, before, current.At) > 1 {
				report(current.At, current.Gateway, "holds %s for %s, which said %v before that it leaves",
					h.names[p.gateway], now.State, current.At-leaveTime)
			}
		})
	}
}

// nextProcessStart returns the time at which the gateway of an ended process first starts another process after that
// end. If none starts within detectionTime of the end, it returns the end plus detectionTime.
func (h *History) nextProcessStart(ended *process) time.Duration {
	at := ended.end + detectionTime
	for _, next := range h.processes {
		if next.gateway == ended.gateway && next.start > ended.end {
			at = min(at, next.start)
		}
	}
	return at
}
