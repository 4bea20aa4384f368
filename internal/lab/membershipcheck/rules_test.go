package membershipcheck

import (
	"slices"
	"testing"
	"time"
)

const second = time.Second

// quietHistory is one of n gateways that have run from the begin, each of which believes the truth every second.
func quietHistory(n int, length time.Duration) *History {
	var names []string
	for i := range n {
		names = append(names, "gateway-"+string(rune('0'+i)))
	}
	h := NewHistory(names)
	for g := range n {
		h.Started(g, 100+g, -second, false, false)
	}
	for at := second; at <= length; at += second {
		for g := range n {
			l := Observation{At: at, Gateway: g, PID: 100 + g, Speaking: true, Settled: true, Majority: true,
				Alive: n, Sent: uint64(500 * at / second)}
			for other := range n {
				l.Beliefs = append(l.Beliefs, Belief{State: "alive", Start: uint64(1000 + other), Incarnation: 1})
			}
			h.Observe(l)
		}
	}
	return h
}

// change edits the observations of a gateway in a stretch of time.
func change(h *History, gateway int, from, to time.Duration, edit func(l *Observation)) {
	for i := range h.observations {
		if l := &h.observations[i]; l.Gateway == gateway && l.At >= from && l.At <= to {
			l.Beliefs = slices.Clone(l.Beliefs)
			edit(l)
		}
	}
}

func holds(of int, state string) func(*Observation) {
	return func(l *Observation) { l.Beliefs[of].State = state }
}

// cut cuts the paths between two sets, both ways.
func cut(h *History, a, b []int, at time.Duration, on bool) {
	for _, x := range a {
		for _, y := range b {
			h.Path(x, y, PathState{At: at, Cut: on})
			h.Path(y, x, PathState{At: at, Cut: on})
		}
	}
}

// lossy has a gateway's datagrams to all others lost by a share for a while.
func lossy(h *History, g int, loss float64, from, to time.Duration) {
	for o := range h.count {
		if o != g {
			h.Path(g, o, PathState{At: from, Loss: loss})
			h.Path(g, o, PathState{At: to})
		}
	}
}

// Guards against a rule that is not broken by what it is there for, or is broken by what only looks like it.
func TestRules(t *testing.T) {
	for _, c := range []struct {
		name string
		rule string // empty: none
		edit func(h *History)
	}{
		{"nothing happens", "", func(*History) {}},
		{"a living gateway is removed", WronglyRemoved, func(h *History) {
			change(h, 1, 12*second, 14*second, holds(2, "gone"))
		}},
		{"with a single bad pair", WronglyRemoved, func(h *History) {
			cut(h, []int{1}, []int{2}, 2*second, true)
			change(h, 1, 14*second, 14*second, holds(2, "gone"))
		}},
		{"on a path that loses a tenth", WronglyRemoved, func(h *History) {
			h.Path(1, 2, PathState{At: second, Loss: 0.1})
			change(h, 1, 12*second, 14*second, holds(2, "gone"))
		}},
		{"one that was stopped is removed", "", func(h *History) {
			h.Stopped(2, 8*second, true)
			h.Stopped(2, 18*second, false)
			change(h, 1, 12*second, 19*second, holds(2, "gone"))
		}},
		{"one that is cut off is removed", "", func(h *History) {
			cut(h, []int{2}, []int{0, 1, 3, 4}, 8*second, true)
			cut(h, []int{2}, []int{0, 1, 3, 4}, 20*second, false)
			change(h, 1, 14*second, 21*second, holds(2, "gone"))
			change(h, 2, 18*second, 21*second, func(l *Observation) { l.Majority, l.Settled = false, false })
		}},
		{"one that is heard by none is removed", "", func(h *History) {
			for o := range 5 {
				if o != 2 {
					h.Path(2, o, PathState{At: 5 * second, Cut: true})
				}
			}
			change(h, 1, 14*second, 30*second, holds(2, "gone"))
		}},
		{"one that loses half is removed for a while", "", func(h *History) {
			lossy(h, 2, 0.5, 5*second, 20*second)
			change(h, 1, 17*second, 25*second, holds(2, "gone"))
		}},
		{"and stays removed", Diverged, func(h *History) {
			lossy(h, 2, 0.5, 5*second, 8*second)
			change(h, 1, 10*second, 30*second, holds(2, "gone"))
		}},
		{"a dead gateway is held alive", DeadHeldAlive, func(h *History) {
			h.Ended(102, 3*second)
			drop(h, 102, 3*second)
		}},
		{"a dead gateway is held alive for seconds", "", func(h *History) {
			h.Ended(102, 3*second)
			drop(h, 102, 3*second)
			for _, g := range []int{0, 1, 3, 4} {
				change(h, g, 11*second, 30*second, holds(2, "gone"))
			}
		}},
		{"a suspicion that stays", Diverged, func(h *History) {
			change(h, 3, 16*second, 30*second, holds(1, "suspect"))
		}},
		{"a suspicion where datagrams get lost", "", func(h *History) {
			h.Path(0, 4, PathState{At: -second, Loss: 0.1})
			change(h, 3, 16*second, 30*second, holds(1, "suspect"))
		}},
		{"a duplicate name that nobody uses", Diverged, func(h *History) {
			change(h, 3, 16*second, 30*second, func(l *Observation) { l.DuplicateName = true })
		}},
		{"a component is no majority and says so", "", func(h *History) { partition(h, false) }},
		{"a component is no majority and says it is one", FalseMajority, func(h *History) { partition(h, true) }},
		{"an incarnation that goes back", IncarnationWentBack, func(h *History) {
			change(h, 1, 9*second, 30*second, func(l *Observation) { l.Beliefs[2].Incarnation = 4 })
			change(h, 1, 14*second, 30*second, func(l *Observation) { l.Beliefs[2].Incarnation = 3 })
		}},
		{"a later start with a lower incarnation", "", func(h *History) {
			change(h, 1, 9*second, 30*second, func(l *Observation) { l.Beliefs[2].Incarnation = 4 })
			change(h, 1, 14*second, 30*second, func(l *Observation) {
				l.Beliefs[2] = Belief{State: "alive", Start: 5000, Incarnation: 1}
			})
		}},
		{"an upgrade is seen as a leave", UpgradeNoticed, func(h *History) {
			upgrade(h)
			change(h, 1, 11*second, 11*second, holds(2, "left"))
		}},
		{"an upgrade is seen as a restart", UpgradeNoticed, func(h *History) {
			upgrade(h)
			change(h, 1, 11*second, 30*second, func(l *Observation) { l.Beliefs[2].Start++ })
		}},
		{"an upgrade is taken for a leave for a moment", UpgradeNoticed, func(h *History) {
			upgrade(h)
			change(h, 1, 11*second, 30*second, func(l *Observation) { l.Beliefs[2].Since = 10*second + second/2 })
		}},
		{"an upgrade is taken for a leave for a moment, and datagrams get lost", UpgradeNoticed, func(h *History) {
			lossy(h, 0, 0.1, 5*second, 20*second)
			takenBack(h, "left", "")
		}},
		{"an upgraded gateway is suspected by one that hears it", UpgradeNoticed, func(h *History) {
			cut(h, []int{4}, []int{2}, 9*second, true) // which did not raise the suspicion
			takenBack(h, "suspect", "gateway-3")
		}},
		{"an upgraded gateway is suspected by one that cannot hear it", "", func(h *History) {
			cut(h, []int{4}, []int{2}, 9*second, true)
			takenBack(h, "suspect", "gateway-4")
		}},
		{"an upgraded gateway is suspected by one that it cannot hear", "", func(h *History) {
			h.Path(4, 2, PathState{At: 9 * second, Cut: true})
			takenBack(h, "suspect", "")
		}},
		{"an upgraded gateway is suspected, and all hear it", UpgradeNoticed, func(h *History) {
			takenBack(h, "suspect", "")
		}},
		{"an upgraded gateway is gone for a moment, and one cannot hear it", UpgradeNoticed, func(h *History) {
			cut(h, []int{4}, []int{2}, 9*second, true)
			takenBack(h, "gone", "gateway-4")
		}},
		{"an upgraded gateway is suspected where datagrams get lost", "", func(h *History) {
			lossy(h, 0, 0.1, 5*second, 20*second)
			takenBack(h, "suspect", "gateway-3")
		}},
		{"an upgrade that nobody sees", "", upgrade},
		{"one that was stopped removes another when it wakes", WronglyRemoved, func(h *History) {
			h.Stopped(2, 8*second, true)
			h.Stopped(2, 18*second, false)
			change(h, 2, 19*second, 20*second, holds(4, "gone"))
		}},
		{"a leave that is told", "", func(h *History) { leave(h, "left") }},
		{"a leave that is not told", LeaveNotSpread, func(h *History) { leave(h, "gone") }},
		{"a stranger", UnknownMember, func(h *History) {
			change(h, 1, 9*second, 9*second, func(l *Observation) { l.Strangers = 1 })
		}},
		{"a name used twice, and nobody says so", DuplicateNameUnsaid, func(h *History) {
			h.Started(2, 900, 5*second, true, false)
		}},
		{"a name used twice, and said", "", func(h *History) {
			h.Started(2, 900, 5*second, true, false)
			change(h, 2, 8*second, 30*second, func(l *Observation) { l.DuplicateName = true })
		}},
		{"a talker", OverBudget, func(h *History) {
			change(h, 1, 5*second, 30*second, func(l *Observation) { l.Sent = uint64(l.At/second) * 6000 })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := quietHistory(5, 30*second)
			c.edit(h)
			found := make(map[string]bool)
			for _, f := range Check(h) {
				found[f.Rule] = true
				// Some are two things at once.
				also := c.rule == UpgradeNoticed && f.Rule == WronglyRemoved ||
					c.rule == DeadHeldAlive && f.Rule == Diverged
				if f.Rule != c.rule && !also {
					t.Errorf("%s: %s: %s", f.Rule, f.ID, f.Detail)
				}
			}
			if c.rule != "" && !found[c.rule] {
				t.Error("not found")
			}
		})
	}
}

func leave(h *History, state string) {
	h.Leaving(2, 14*second)
	drop(h, 102, 14*second)
	for _, g := range []int{0, 1, 3, 4} {
		change(h, g, 15*second, 30*second, holds(2, state))
	}
}

func drop(h *History, pid int, from time.Duration) {
	h.observations = slices.DeleteFunc(h.observations, func(l Observation) bool { return l.PID == pid && l.At >= from })
}

// partition has two gateways cut off from three, with observations that say so; lying has the two claim a majority.
func partition(h *History, lying bool) {
	few, many := []int{3, 4}, []int{0, 1, 2}
	cut(h, few, many, 3*second, true)
	for g := range 5 {
		other := few
		if g >= 3 {
			other = many
		}
		change(h, g, 10*second, 30*second, func(l *Observation) {
			for _, o := range other {
				l.Beliefs[o].State = "gone"
			}
			l.Majority = g < 3 || lying
			l.Settled = l.Majority
		})
	}
}

// takenBack has a gateway hold the upgraded one for something else, raised by somebody, until a moment after the
// upgrade.
func takenBack(h *History, state, by string) {
	upgrade(h)
	change(h, 1, 11*second, 30*second, func(l *Observation) {
		l.Beliefs[2].Since, l.Beliefs[2].Previous, l.Beliefs[2].SuspectedBy = 10*second+second/2, state, by
	})
}

func upgrade(h *History) {
	h.Started(2, 800, 10*second, false, true)
	h.Ended(102, 11*second)
	for i := range h.observations {
		if l := &h.observations[i]; l.PID == 102 && l.At >= 11*second {
			l.PID = 800
		}
	}
}
