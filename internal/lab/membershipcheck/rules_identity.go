package membershipcheck

import "time"

// upgradeTime is how long an upgrade takes, from the next process's start on.
const upgradeTime = 3 * time.Second

func incarnationWentBack(h *History, report reporter) {
	h.eachObservation(func(was, is *Observation) {
		if was == nil || is.Join != was.Join { // a membership that began anew, as after an upgrade that failed
			return
		}
		for m, now := range is.Beliefs {
			before := was.Beliefs[m]
			if now.State == "" || before.State == "" {
				continue
			}
			if now.Start < before.Start || now.Start == before.Start && now.Incarnation < before.Incarnation {
				report(is.At, is.Gateway, "has %s at %d/%d after %d/%d",
					h.names[m], now.Start, now.Incarnation, before.Start, before.Incarnation)
			}
		}
	})
}

func upgradeNoticed(h *History, report reporter) {
	for i := range h.processes {
		next := &h.processes[i]
		if !next.upgrade {
			continue
		}
		m := next.gateway
		h.eachObservation(func(was, is *Observation) {
			if was == nil || was.At < next.from || is.Gateway == m || is.At > next.from+detectionTime ||
				!h.connected(is.Gateway, m, next.from-time.Second, is.At) {
				return
			}
			now, before := is.Beliefs[m], was.Beliefs[m]
			switch {
			case is.Join != was.Join || before.State != "alive":
			case now.removed() || now.Start != before.Start:
				report(is.At, is.Gateway, "holds %s, which was upgraded, for %s under start %d after %d",
					h.names[m], now.State, now.Start, before.Start)
			case now.State == "alive" && now.Since > next.from && now.Since < next.from+upgradeTime &&
				before.Since <= next.from && !h.excused(m, now, next.from):
				report(is.At, is.Gateway, "held %s, which was upgraded, for something else between two looks (%s)",
					h.names[m], now.Previous)
			}
		})
	}
}

// excused reports whether an upgraded gateway may have been held for something else until that was taken back, though
// the upgrade gave no reason. A leave never is: only the gateway itself tells one. Where datagrams get lost, suspicions
// come and go. Else a suspicion needs one that raised it and that could not hear the gateway, or not be heard by it.
func (h *History) excused(gateway int, held Belief, upgrade time.Duration) bool {
	switch {
	case held.Previous == "left":
		return false
	case h.losesAny(upgrade-time.Second, held.Since):
		return true
	case held.Previous != "suspect":
		return false
	}
	since := held.Since - detectionTime
	for other, name := range h.names {
		if other == gateway || held.SuspectedBy != "" && held.SuspectedBy != name {
			continue
		}
		if !h.carried(other, gateway, since, held.Since, 0) || !h.carried(gateway, other, since, held.Since, 0) {
			return true
		}
	}
	return false
}

func duplicateNameUnsaid(h *History, report reporter) {
	h.eachObservation(func(_, is *Observation) {
		since := is.At - detectionTime
		if since > 0 && h.duplicatedThroughout(is.Gateway, since, is.At) && !is.DuplicateName && is.Speaking {
			report(is.At, is.Gateway, "does not say that its name is used twice (process %d)", is.PID)
		}
	})
}

func unknownMember(h *History, report reporter) {
	h.eachObservation(func(_, is *Observation) {
		if is.Strangers > 0 {
			report(is.At, is.Gateway, "holds %d that are no gateways of this fleet", is.Strangers)
		}
	})
}
