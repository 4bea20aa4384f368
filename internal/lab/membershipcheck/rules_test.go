package membershipcheck

import (
	"slices"
	"testing"
	"time"
)

const sec = time.Second

// quiet is a history of n gateways that have run from the begin, each with a view that is the truth, looked at every second.
func quiet(n int, length time.Duration) *History {
	var names []string
	for i := range n {
		names = append(names, "gateway-"+string(rune('0'+i)))
	}
	h := NewHistory(names)
	for g := range n {
		h.Started(g, 100+g, -sec, false, false)
	}
	for at := sec; at <= length; at += sec {
		for g := range n {
			l := Look{At: at, Gateway: g, PID: 100 + g, Speaking: true, Settled: true, Majority: true, Alive: n, Sent: uint64(500 * at / sec)}
			for o := range n {
				l.States = append(l.States, Held{State: "alive", Start: uint64(1000 + o), Incarnation: 1})
			}
			h.Looked(l)
		}
	}
	return h
}

// change edits the looks of a gateway in a stretch of time.
func change(h *History, gateway int, from, to time.Duration, edit func(l *Look)) {
	for i := range h.looks {
		if l := &h.looks[i]; l.Gateway == gateway && l.At >= from && l.At <= to {
			l.States = slices.Clone(l.States)
			edit(l)
		}
	}
}

func holds(of int, state string) func(*Look) { return func(l *Look) { l.States[of].State = state } }

// cut cuts the paths between two sets, both ways.
func cut(h *History, a, b []int, at time.Duration, on bool) {
	for _, x := range a {
		for _, y := range b {
			h.Path(x, y, PathAt{At: at, Cut: on})
			h.Path(y, x, PathAt{At: at, Cut: on})
		}
	}
}

// lossy has a gateway's datagrams to all others lost by a share for a while.
func lossy(h *History, g int, loss float64, from, to time.Duration) {
	for o := range h.count {
		if o != g {
			h.Path(g, o, PathAt{At: from, Loss: loss})
			h.Path(g, o, PathAt{At: to})
		}
	}
}

// Each rule is broken by what it is there for, and by that alone; what looks like it and is none breaks nothing.
func TestRules(t *testing.T) {
	for _, c := range []struct {
		name string
		rule string // empty: none
		edit func(h *History)
	}{
		{"nothing happens", "", func(*History) {}},
		{"a living gateway is thrown out", ThrownOut, func(h *History) { change(h, 1, 12*sec, 14*sec, holds(2, "gone")) }},
		{"with a single bad pair", ThrownOut, func(h *History) {
			cut(h, []int{1}, []int{2}, 2*sec, true)
			change(h, 1, 14*sec, 14*sec, holds(2, "gone"))
		}},
		{"on a path that loses a tenth", ThrownOut, func(h *History) {
			h.Path(1, 2, PathAt{At: sec, Loss: 0.1})
			change(h, 1, 12*sec, 14*sec, holds(2, "gone"))
		}},
		{"one that was stopped is thrown out", "", func(h *History) {
			h.Halted(2, 8*sec, true)
			h.Halted(2, 18*sec, false)
			change(h, 1, 12*sec, 19*sec, holds(2, "gone"))
		}},
		{"one that is cut off is thrown out", "", func(h *History) {
			cut(h, []int{2}, []int{0, 1, 3, 4}, 8*sec, true)
			cut(h, []int{2}, []int{0, 1, 3, 4}, 20*sec, false)
			change(h, 1, 14*sec, 21*sec, holds(2, "gone"))
			change(h, 2, 18*sec, 21*sec, func(l *Look) { l.Majority, l.Settled = false, false })
		}},
		{"one that is heard by none is thrown out", "", func(h *History) {
			for o := range 5 {
				if o != 2 {
					h.Path(2, o, PathAt{At: 5 * sec, Cut: true})
				}
			}
			change(h, 1, 14*sec, 30*sec, holds(2, "gone"))
		}},
		{"one that loses half is thrown out for a while", "", func(h *History) {
			lossy(h, 2, 0.5, 5*sec, 20*sec)
			change(h, 1, 17*sec, 25*sec, holds(2, "gone"))
		}},
		{"and stays thrown out", NotAgreed, func(h *History) {
			lossy(h, 2, 0.5, 5*sec, 8*sec)
			change(h, 1, 10*sec, 30*sec, holds(2, "gone"))
		}},
		{"a dead gateway is held alive", HeldAlive, func(h *History) { h.Ended(102, 3*sec); drop(h, 102, 3*sec) }},
		{"a dead gateway is held alive for seconds", "", func(h *History) {
			h.Ended(102, 3*sec)
			drop(h, 102, 3*sec)
			for _, g := range []int{0, 1, 3, 4} {
				change(h, g, 11*sec, 30*sec, holds(2, "gone"))
			}
		}},
		{"a view that stays a suspicion", NotAgreed, func(h *History) { change(h, 3, 16*sec, 30*sec, holds(1, "suspect")) }},
		{"a suspicion where datagrams get lost", "", func(h *History) {
			h.Path(0, 4, PathAt{At: -sec, Loss: 0.1})
			change(h, 3, 16*sec, 30*sec, holds(1, "suspect"))
		}},
		{"a twin that nobody is", NotAgreed, func(h *History) { change(h, 3, 16*sec, 30*sec, func(l *Look) { l.Twin = true }) }},
		{"a part is no majority and says so", "", func(h *History) { partition(h, false) }},
		{"a part is no majority and says it is one", FalseMajority, func(h *History) { partition(h, true) }},
		{"an incarnation that goes back", WentBack, func(h *History) {
			change(h, 1, 9*sec, 30*sec, func(l *Look) { l.States[2].Incarnation = 4 })
			change(h, 1, 14*sec, 30*sec, func(l *Look) { l.States[2].Incarnation = 3 })
		}},
		{"a later start with a lower incarnation", "", func(h *History) {
			change(h, 1, 9*sec, 30*sec, func(l *Look) { l.States[2].Incarnation = 4 })
			change(h, 1, 14*sec, 30*sec, func(l *Look) { l.States[2] = Held{State: "alive", Start: 5000, Incarnation: 1} })
		}},
		{"an upgrade is seen as a leave", UpgradeSeen, func(h *History) {
			upgrade(h)
			change(h, 1, 11*sec, 11*sec, holds(2, "left"))
		}},
		{"an upgrade is seen as a restart", UpgradeSeen, func(h *History) {
			upgrade(h)
			change(h, 1, 11*sec, 30*sec, func(l *Look) { l.States[2].Start++ })
		}},
		{"an upgrade is taken for a leave for a moment", UpgradeSeen, func(h *History) {
			upgrade(h)
			change(h, 1, 11*sec, 30*sec, func(l *Look) { l.States[2].Since = 10*sec + sec/2 })
		}},
		{"an upgrade is taken for a leave for a moment, and datagrams get lost", UpgradeSeen, func(h *History) {
			lossy(h, 0, 0.1, 5*sec, 20*sec)
			takenBack(h, "left", "")
		}},
		{"an upgraded gateway is suspected by one that hears it", UpgradeSeen, func(h *History) {
			cut(h, []int{4}, []int{2}, 9*sec, true) // which did not raise the suspicion
			takenBack(h, "suspect", "gateway-3")
		}},
		{"an upgraded gateway is suspected by one that cannot hear it", "", func(h *History) {
			cut(h, []int{4}, []int{2}, 9*sec, true)
			takenBack(h, "suspect", "gateway-4")
		}},
		{"an upgraded gateway is suspected by one that it cannot hear", "", func(h *History) {
			h.Path(4, 2, PathAt{At: 9 * sec, Cut: true})
			takenBack(h, "suspect", "")
		}},
		{"an upgraded gateway is suspected, and all hear it", UpgradeSeen, func(h *History) { takenBack(h, "suspect", "") }},
		{"an upgraded gateway is gone for a moment, and one cannot hear it", UpgradeSeen, func(h *History) {
			cut(h, []int{4}, []int{2}, 9*sec, true)
			takenBack(h, "gone", "gateway-4")
		}},
		{"an upgraded gateway is suspected where datagrams get lost", "", func(h *History) {
			lossy(h, 0, 0.1, 5*sec, 20*sec)
			takenBack(h, "suspect", "gateway-3")
		}},
		{"an upgrade that nobody sees", "", upgrade},
		{"one that was stopped throws another out when it wakes", ThrownOut, func(h *History) {
			h.Halted(2, 8*sec, true)
			h.Halted(2, 18*sec, false)
			change(h, 2, 19*sec, 20*sec, holds(4, "gone"))
		}},
		{"a leave that is told", "", func(h *History) { leave(h, "left") }},
		{"a leave that is not told", LeaveUntold, func(h *History) { leave(h, "gone") }},
		{"a stranger", Stranger, func(h *History) { change(h, 1, 9*sec, 9*sec, func(l *Look) { l.Strange = 1 }) }},
		{"a name used twice, and nobody says so", SilentTwin, func(h *History) { h.Started(2, 900, 5*sec, true, false) }},
		{"a name used twice, and said", "", func(h *History) {
			h.Started(2, 900, 5*sec, true, false)
			change(h, 2, 8*sec, 30*sec, func(l *Look) { l.Twin = true })
		}},
		{"a talker", OverBudget, func(h *History) {
			change(h, 1, 5*sec, 30*sec, func(l *Look) { l.Sent = uint64(l.At/sec) * 6000 })
		}},
	} {
		h := quiet(5, 30*sec)
		c.edit(h)
		found := make(map[string]bool)
		for _, f := range Judge(h) {
			found[f.Rule] = true
			// Some are two things at once.
			also := c.rule == UpgradeSeen && f.Rule == ThrownOut || c.rule == HeldAlive && f.Rule == NotAgreed
			if f.Rule != c.rule && !also {
				t.Errorf("%s: %s: %s: %s", c.name, f.Rule, f.ID, f.Detail)
			}
		}
		if c.rule != "" && !found[c.rule] {
			t.Errorf("%s: not found", c.name)
		}
	}
}

func leave(h *History, state string) {
	h.Leaving(2, 14*sec)
	drop(h, 102, 14*sec)
	for _, g := range []int{0, 1, 3, 4} {
		change(h, g, 15*sec, 30*sec, holds(2, state))
	}
}

func drop(h *History, pid int, from time.Duration) {
	h.looks = slices.DeleteFunc(h.looks, func(l Look) bool { return l.PID == pid && l.At >= from })
}

// partition has two gateways cut off from three, with views that say so; lying has the two claim a majority.
func partition(h *History, lying bool) {
	few, many := []int{3, 4}, []int{0, 1, 2}
	cut(h, few, many, 3*sec, true)
	for g := range 5 {
		other := few
		if g >= 3 {
			other = many
		}
		change(h, g, 10*sec, 30*sec, func(l *Look) {
			for _, o := range other {
				l.States[o].State = "gone"
			}
			l.Majority = g < 3 || lying
			l.Settled = l.Majority
		})
	}
}

// takenBack has a gateway hold the upgraded one for something else, raised by somebody, until a moment after the upgrade.
func takenBack(h *History, state, by string) {
	upgrade(h)
	change(h, 1, 11*sec, 30*sec, func(l *Look) {
		l.States[2].Since, l.States[2].Previous, l.States[2].SuspectedBy = 10*sec+sec/2, state, by
	})
}

func upgrade(h *History) {
	h.Started(2, 800, 10*sec, false, true)
	h.Ended(102, 11*sec)
	for i := range h.looks {
		if l := &h.looks[i]; l.PID == 102 && l.At >= 11*sec {
			l.PID = 800
		}
	}
}
