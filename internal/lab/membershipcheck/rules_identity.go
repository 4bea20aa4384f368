package membershipcheck

import "time"

// upgradeTime is the duration of an upgrade from the start of the successor.
const upgradeTime = 3 * time.Second

func incarnationWentBack(h *History, report reporter) {
	h.eachObservation(func(previous, current *Observation) {
		if previous == nil || current.JoinCount != previous.JoinCount { // joined again, as after a failed upgrade
			return
		}
		for m, now := range current.Members {
			before := previous.Members[m]
			if now.State == "" || before.State == "" {
				continue
			}
			if now.Start < before.Start || now.Start == before.Start && now.Incarnation < before.Incarnation {
				report(current.At, current.Gateway, "has %s at %d/%d after %d/%d",
					h.names[m], now.Start, now.Incarnation, before.Start, before.Incarnation)
			}
		}
	})
}

// sinceTolerance is by how much two observations of one change may differ: each is the time of an answer less an age in
// whole milliseconds.
const sinceTolerance = 10 * time.Millisecond

func upgradeNoticed(h *History, report reporter) {
	for i := range h.processes {
		next := &h.processes[i]
		if !next.upgrade {
			continue
		}
		m := next.gateway
		h.eachObservation(func(previous, current *Observation) {
			if previous == nil || previous.At < next.start || current.Gateway == m || current.At > next.start+detectionTime ||
				!h.connected(current.Gateway, m, next.start-time.Second, current.At) {
				return
			}
			now, before := current.Members[m], previous.Members[m]
			switch {
			case current.JoinCount != previous.JoinCount || before.State != "alive":
			case now.removed() || now.Start != before.Start:
				report(current.At, current.Gateway, "holds %s, which was upgraded, for %s under start %d after %d",
					h.names[m], now.State, now.Start, before.Start)
			case now.State == "alive" && now.Since > next.start && now.Since < next.start+upgradeTime &&
				before.Since <= next.start && now.Since-before.Since > sinceTolerance && !h.excused(m, now, next.start):
				report(current.At, current.Gateway, "held %s, which was upgraded, for something else between two looks (%s)",
					h.names[m], now.Previous)
			}
		})
	}
}

// excused reports whether a view may have held another state of an upgraded gateway for a moment, for reasons other
// than the upgrade. A leave is never excused, because only the gateway itself announces one. With datagram loss,
// suspicions occur and are refuted. Otherwise a suspicion is excused if a member that may have raised it could not
// receive the gateway's datagrams, or the gateway could not receive the datagrams of that member.
func (h *History) excused(gateway int, held MemberView, upgrade time.Duration) bool {
	switch {
	case held.Previous == "left":
		return false
	case h.anyLoss(upgrade-time.Second, held.Since):
		return true
	case held.Previous != "suspect":
		return false
	}
	since := held.Since - detectionTime
	for other, name := range h.names {
		if other == gateway || held.SuspectedBy != "" && held.SuspectedBy != name {
			continue
		}
		if !h.intact(other, gateway, since, held.Since, 0) || !h.intact(gateway, other, since, held.Since, 0) {
			return true
		}
	}
	return false
}

func duplicateNameUnreported(h *History, report reporter) {
	h.eachObservation(func(_, current *Observation) {
		since := current.At - detectionTime
		if since > 0 && h.duplicatedThroughout(current.Gateway, since, current.At) && !current.DuplicateName &&
			current.Active {
			report(current.At, current.Gateway, "does not say that its name is used twice (process %d)", current.PID)
		}
	})
}

func unknownMember(h *History, report reporter) {
	h.eachObservation(func(_, current *Observation) {
		if current.UnknownMembers > 0 {
			report(current.At, current.Gateway, "holds %d that are no gateways of this fleet", current.UnknownMembers)
		}
	})
}
