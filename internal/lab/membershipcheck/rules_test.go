package membershipcheck

import (
	"slices"
	"testing"
	"time"
)

const second = time.Second

// quietHistory returns a history of n gateways that run from the start. Each has one correct observation per second.
func quietHistory(n int, length time.Duration) *History {
	var names []string
	for i := range n {
		names = append(names, "gateway-"+string(rune('0'+i)))
	}
	h := NewHistory(names)
	for g := range n {
		h.RecordStart(g, 100+g, -second, false, false)
	}
	for at := second; at <= length; at += second {
		for g := range n {
			l := Observation{At: at, Gateway: g, PID: 100 + g, Active: true, Converged: true, Majority: true,
				Alive: n, SentBytes: uint64(500 * at / second)}
			for other := range n {
				l.Members = append(l.Members, MemberView{State: "alive", Start: uint64(1000 + other), Incarnation: 1})
			}
			h.Observe(l)
		}
	}
	return h
}

// editObservations edits the observations of a gateway from one time to another.
func editObservations(h *History, gateway int, from, to time.Duration, edit func(l *Observation)) {
	for i := range h.observations {
		if l := &h.observations[i]; l.Gateway == gateway && l.At >= from && l.At <= to {
			l.Members = slices.Clone(l.Members)
			edit(l)
		}
	}
}

func setState(of int, state string) func(*Observation) {
	return func(l *Observation) { l.Members[of].State = state }
}

// setCut cuts the paths between two sets of gateways in both directions, or restores them.
func setCut(h *History, a, b []int, at time.Duration, on bool) {
	for _, x := range a {
		for _, y := range b {
			h.RecordPath(x, y, PathState{At: at, Cut: on})
			h.RecordPath(y, x, PathState{At: at, Cut: on})
		}
	}
}

// addLoss makes the paths from a gateway to all others lose a share of datagrams for a while.
func addLoss(h *History, g int, loss float64, from, to time.Duration) {
	for o := range h.count {
		if o != g {
			h.RecordPath(g, o, PathState{At: from, Loss: loss})
			h.RecordPath(g, o, PathState{At: to})
		}
	}
}

// Guards against rules that miss the violation they are meant for, and against rules that report a violation for
// similar but correct behaviour.
func TestEachRuleDetectsItsViolationOnly(t *testing.T) {
	for _, c := range []struct {
		name string
		rule string // rule that must be violated; empty: none
		edit func(h *History)
	}{
		{"no fault", "", func(*History) {}},
		{"a running gateway is removed", WronglyRemoved, func(h *History) {
			editObservations(h, 1, 12*second, 14*second, setState(2, "gone"))
		}},
		{"a running gateway is removed and one pair is cut", WronglyRemoved, func(h *History) {
			setCut(h, []int{1}, []int{2}, 2*second, true)
			editObservations(h, 1, 14*second, 14*second, setState(2, "gone"))
		}},
		{"a running gateway is removed on a path that loses a tenth", WronglyRemoved, func(h *History) {
			h.RecordPath(1, 2, PathState{At: second, Loss: 0.1})
			editObservations(h, 1, 12*second, 14*second, setState(2, "gone"))
		}},
		{"a stopped gateway is removed", "", func(h *History) {
			h.RecordStop(2, 8*second, true)
			h.RecordStop(2, 18*second, false)
			editObservations(h, 1, 12*second, 19*second, setState(2, "gone"))
		}},
		{"an isolated gateway is removed", "", func(h *History) {
			setCut(h, []int{2}, []int{0, 1, 3, 4}, 8*second, true)
			setCut(h, []int{2}, []int{0, 1, 3, 4}, 20*second, false)
			editObservations(h, 1, 14*second, 21*second, setState(2, "gone"))
			editObservations(h, 2, 18*second, 21*second, func(l *Observation) { l.Majority, l.Converged = false, false })
		}},
		{"a gateway whose datagrams reach no other is removed", "", func(h *History) {
			for o := range 5 {
				if o != 2 {
					h.RecordPath(2, o, PathState{At: 5 * second, Cut: true})
				}
			}
			editObservations(h, 1, 14*second, 30*second, setState(2, "gone"))
		}},
		{"a gateway that loses half of its datagrams is removed for a while", "", func(h *History) {
			addLoss(h, 2, 0.5, 5*second, 20*second)
			editObservations(h, 1, 17*second, 25*second, setState(2, "gone"))
		}},
		{"a gateway stays removed after a period of loss", Diverged, func(h *History) {
			addLoss(h, 2, 0.5, 5*second, 8*second)
			editObservations(h, 1, 10*second, 30*second, setState(2, "gone"))
		}},
		{"a dead gateway is considered alive", DeadHeldAlive, func(h *History) {
			h.RecordEnd(102, 3*second)
			dropObservations(h, 102, 3*second)
		}},
		{"a dead gateway is considered alive for a few seconds", "", func(h *History) {
			h.RecordEnd(102, 3*second)
			dropObservations(h, 102, 3*second)
			for _, g := range []int{0, 1, 3, 4} {
				editObservations(h, g, 11*second, 30*second, setState(2, "gone"))
			}
		}},
		{"a suspicion that does not end", Diverged, func(h *History) {
			editObservations(h, 3, 16*second, 30*second, setState(1, "suspect"))
		}},
		{"a suspicion with datagram loss", "", func(h *History) {
			h.RecordPath(0, 4, PathState{At: -second, Loss: 0.1})
			editObservations(h, 3, 16*second, 30*second, setState(1, "suspect"))
		}},
		{"a duplicate name is reported without a duplicate", Diverged, func(h *History) {
			editObservations(h, 3, 16*second, 30*second, func(l *Observation) { l.DuplicateName = true })
		}},
		{"a component without a majority reports none", "", func(h *History) { partition(h, false) }},
		{"a component without a majority reports one", FalseMajority, func(h *History) { partition(h, true) }},
		{"an incarnation that goes back", IncarnationWentBack, func(h *History) {
			editObservations(h, 1, 9*second, 30*second, func(l *Observation) { l.Members[2].Incarnation = 4 })
			editObservations(h, 1, 14*second, 30*second, func(l *Observation) { l.Members[2].Incarnation = 3 })
		}},
		{"a later start with a lower incarnation", "", func(h *History) {
			editObservations(h, 1, 9*second, 30*second, func(l *Observation) { l.Members[2].Incarnation = 4 })
			editObservations(h, 1, 14*second, 30*second, func(l *Observation) {
				l.Members[2] = MemberView{State: "alive", Start: 5000, Incarnation: 1}
			})
		}},
		{"an upgrade is seen as a leave", UpgradeNoticed, func(h *History) {
			upgrade(h)
			editObservations(h, 1, 11*second, 11*second, setState(2, "left"))
		}},
		{"an upgrade is seen as a restart", UpgradeNoticed, func(h *History) {
			upgrade(h)
			editObservations(h, 1, 11*second, 30*second, func(l *Observation) { l.Members[2].Start++ })
		}},
		{"an upgrade is seen as a leave between two observations", UpgradeNoticed, func(h *History) {
			upgrade(h)
			editObservations(h, 1, 11*second, 30*second, func(l *Observation) { l.Members[2].Since = 10*second + second/2 })
		}},
		{"an upgrade is seen as a leave between two observations, with datagram loss", UpgradeNoticed, func(h *History) {
			addLoss(h, 0, 0.1, 5*second, 20*second)
			correctedAfterUpgrade(h, "left", "")
		}},
		{"an upgraded gateway is suspected by a member that receives its datagrams", UpgradeNoticed, func(h *History) {
			setCut(h, []int{4}, []int{2}, 9*second, true) // gateway-4 did not raise the suspicion
			correctedAfterUpgrade(h, "suspect", "gateway-3")
		}},
		{"an upgraded gateway is suspected by a member cut off from it", "", func(h *History) {
			setCut(h, []int{4}, []int{2}, 9*second, true)
			correctedAfterUpgrade(h, "suspect", "gateway-4")
		}},
		{"an upgraded gateway is suspected by a member whose datagrams it cannot receive", "", func(h *History) {
			h.RecordPath(4, 2, PathState{At: 9 * second, Cut: true})
			correctedAfterUpgrade(h, "suspect", "")
		}},
		{"an upgraded gateway is suspected with all paths open", UpgradeNoticed, func(h *History) {
			correctedAfterUpgrade(h, "suspect", "")
		}},
		{"an upgraded gateway is gone for a moment, and one member is cut off from it", UpgradeNoticed, func(h *History) {
			setCut(h, []int{4}, []int{2}, 9*second, true)
			correctedAfterUpgrade(h, "gone", "gateway-4")
		}},
		{"an upgraded gateway is suspected, with datagram loss", "", func(h *History) {
			addLoss(h, 0, 0.1, 5*second, 20*second)
			correctedAfterUpgrade(h, "suspect", "gateway-3")
		}},
		{"an upgrade without a change in any view", "", upgrade},
		{"a change just before an upgrade, whose age is rounded differently in two observations", "", func(h *History) {
			upgrade(h)
			for at := second; at <= 30*second; at += second {
				since := 10*second - 2*time.Millisecond
				if at == 14*second {
					since += 4 * time.Millisecond
				}
				editObservations(h, 1, at, at, func(l *Observation) { l.Members[2].Since = since })
			}
		}},
		{"a gateway removes another after it was stopped", WronglyRemoved, func(h *History) {
			h.RecordStop(2, 8*second, true)
			h.RecordStop(2, 18*second, false)
			editObservations(h, 2, 19*second, 20*second, setState(4, "gone"))
		}},
		{"a leave is propagated", "", func(h *History) { leave(h, "left") }},
		{"a leave is not propagated", LeaveNotPropagated, func(h *History) { leave(h, "gone") }},
		{"an unknown member", UnknownMember, func(h *History) {
			editObservations(h, 1, 9*second, 9*second, func(l *Observation) { l.UnknownMembers = 1 })
		}},
		{"a duplicate name is not reported", DuplicateNameUnreported, func(h *History) {
			h.RecordStart(2, 900, 5*second, true, false)
		}},
		{"a duplicate name is reported", "", func(h *History) {
			h.RecordStart(2, 900, 5*second, true, false)
			editObservations(h, 2, 8*second, 30*second, func(l *Observation) { l.DuplicateName = true })
		}},
		{"a gateway sends too much", OverBudget, func(h *History) {
			editObservations(h, 1, 5*second, 30*second, func(l *Observation) { l.SentBytes = uint64(l.At/second) * 6000 })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := quietHistory(5, 30*second)
			c.edit(h)
			found := make(map[string]bool)
			for _, f := range Check(h) {
				found[f.Rule] = true
				// Some cases violate two rules.
				also := c.rule == UpgradeNoticed && f.Rule == WronglyRemoved ||
					c.rule == DeadHeldAlive && f.Rule == Diverged
				if f.Rule != c.rule && !also {
					t.Errorf("%s: %s: %s", f.Rule, f.ID, f.Detail)
				}
			}
			if c.rule != "" && !found[c.rule] {
				t.Errorf("no finding for rule %q", c.rule)
			}
		})
	}
}

func leave(h *History, state string) {
	h.Leaving(2, 14*second)
	dropObservations(h, 102, 14*second)
	for _, g := range []int{0, 1, 3, 4} {
		editObservations(h, g, 15*second, 30*second, setState(2, state))
	}
}

func dropObservations(h *History, pid int, from time.Duration) {
	h.observations = slices.DeleteFunc(h.observations, func(l Observation) bool { return l.PID == pid && l.At >= from })
}

// partition cuts two gateways off from the other three and adjusts the observations. If lying is true, the
// two report a majority.
func partition(h *History, lying bool) {
	few, many := []int{3, 4}, []int{0, 1, 2}
	setCut(h, few, many, 3*second, true)
	for g := range 5 {
		other := few
		if g >= 3 {
			other = many
		}
		editObservations(h, g, 10*second, 30*second, func(l *Observation) {
			for _, o := range other {
				l.Members[o].State = "gone"
			}
			l.Majority = g < 3 || lying
			l.Converged = l.Majority
		})
	}
}

// correctedAfterUpgrade makes gateway-1 hold the given state of the upgraded gateway, raised by the
// named member, until shortly after the upgrade.
func correctedAfterUpgrade(h *History, state, by string) {
	upgrade(h)
	editObservations(h, 1, 11*second, 30*second, func(l *Observation) {
		l.Members[2].Since, l.Members[2].Previous, l.Members[2].SuspectedBy = 10*second+second/2, state, by
	})
}

func upgrade(h *History) {
	h.RecordStart(2, 800, 10*second, false, true)
	h.RecordEnd(102, 11*second)
	for i := range h.observations {
		if l := &h.observations[i]; l.PID == 102 && l.At >= 11*second {
			l.PID = 800
		}
	}
}
