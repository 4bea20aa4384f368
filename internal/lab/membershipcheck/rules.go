package membershipcheck

import (
	"fmt"
	"slices"
	"time"

	"thymebend/internal/lab/requestrecord"
)

// The rules beside those of experiments. To add one: name it here, add it to rules, plant what breaks it in rules_test.go.
const (
	ThrownOut     = "thrown out"                // a gateway that ran and could be heard was newly held gone
	HeldAlive     = "dead held alive"           // a gateway without a process was held alive for too long
	NotAgreed     = "views differ"              // long after the last disturbance a view was not the truth
	FalseMajority = "majority without one"      // a part that is no majority said that it is one
	WentBack      = "incarnation went back"     // what a process holds of a gateway became older
	UpgradeSeen   = "upgrade seen as an end"    // an upgraded gateway was held gone, left, or for another process
	SilentTwin    = "name used twice, not said" // neither of two processes under one name said so
	Stranger      = "stranger in the view"      // a view holds somebody who is no gateway of the fleet
	LeaveUntold   = "leave not told"            // a gateway that was told to end is held gone, not left
	OverBudget    = "datagrams over budget"     // a gateway sent more than the view may cost
	Unexpected    = "expectation not met"       // what the scenario expects was not seen in its time
)

// The rules in figures.
const (
	knowWithin  = 10 * time.Second        // suspicion of 5.4 s, stretched by ill health, and the last look
	aloneWithin = 20 * time.Second        // the same, threefold by the worst ill health
	agreeWithin = 15 * time.Second        // after the last disturbance
	handOver    = 3 * time.Second         // an upgrade takes, from the next process's start on
	leaveWithin = 1500 * time.Millisecond // a leave is told to eight members, and spread
	budgetOver  = 10 * time.Second
	mostBytes   = 4000.0 // a second, with 28 of IP and UDP for each datagram left out, over budgetOver
	// Where all of many start at once, each name goes through all within some seconds.
	fewGateways = 16
	mostEach    = 60.0
	tellsMore   = 1.4 // of it where gateways tell figures of themselves: 1.32 at worst of 612 seeds with up to half of the datagrams lost
)

type rule struct {
	name  string
	check func(h *History, say func(at time.Duration, gateway int, format string, args ...any))
}

func rules() []rule {
	return []rule{{ThrownOut, thrownOut}, {HeldAlive, heldAlive}, {NotAgreed, notAgreed}, {FalseMajority, falseMajority},
		{WentBack, wentBack}, {UpgradeSeen, upgradeSeen}, {SilentTwin, silentTwin}, {Stranger, stranger}, {LeaveUntold, leaveUntold}, {OverBudget, overBudget}}
}

// Names lists the rules.
func Names() (out []string) {
	for _, r := range rules() {
		out = append(out, r.name)
	}
	return out
}

// Judge returns every broken rule, once for each gateway: the first moment counts.
func Judge(h *History) []requestrecord.Finding {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []requestrecord.Finding
	for _, r := range rules() {
		said := make(map[int]bool)
		r.check(h, func(at time.Duration, gateway int, format string, args ...any) {
			if !said[gateway] {
				said[gateway] = true
				found = append(found, requestrecord.Finding{Rule: r.name, ID: h.names[gateway], At: at, Detail: fmt.Sprintf("at %.1f s ", at.Seconds()) + fmt.Sprintf(format, args...)})
			}
		})
	}
	return found
}

// series calls each with every look of a process and the one before it.
func (h *History) series(each func(was, is *Look)) {
	last := make(map[int]*Look)
	for i := range h.looks {
		l := &h.looks[i]
		each(last[l.PID], l)
		last[l.PID] = l
	}
}

func thrownOut(h *History, say func(time.Duration, int, string, ...any)) {
	h.series(func(was, is *Look) {
		if was == nil {
			return
		}
		for m, s := range is.States {
			if before := was.States[m]; !s.dead() || before.dead() || before.State == "" || m == is.Gateway {
				continue
			}
			// Where datagrams get lost it takes helpers to tell a loss from an end: in a part of two or three there are none, or one.
			if a := is.At - knowWithin; a > 0 && h.kept(is.Gateway, m, a, is.At) && !h.twinned(m, a, is.At) && !h.twinned(is.Gateway, a, is.At) &&
				(h.size(is.Gateway, a, is.At) > 3 || !h.loses(a, is.At)) {
				say(is.At, is.Gateway, "holds %s for %s, which has run and could be heard for %v", h.names[m], s.State, knowWithin)
			}
		}
	})
}

// kept tells whether a gateway had no reason to throw another one out: that one ran and could be heard. Whether it was itself
// stopped meanwhile does not count: who wakes up knows that he heard nothing.
func (h *History) kept(gateway, other int, a, b time.Duration) bool {
	part, near := h.apart(a, b, gateway)
	return both(part, near, gateway, other)
}

func stranger(h *History, say func(time.Duration, int, string, ...any)) {
	h.series(func(_, is *Look) {
		if is.Strange > 0 {
			say(is.At, is.Gateway, "holds %d that are no gateways of this fleet", is.Strange)
		}
	})
}

// leaveUntold looks at the time between a leave and the next process of that gateway.
func leaveUntold(h *History, say func(time.Duration, int, string, ...any)) {
	for _, l := range h.lives {
		from, to := l.to, l.to+knowWithin
		for _, next := range h.lives {
			if next.gateway == l.gateway && next.from > from {
				to = min(to, next.from)
			}
		}
		if !l.left || from < knowWithin/2 || to < from+leaveWithin || h.loses(from-time.Second, to) || h.twinned(l.gateway, from-knowWithin, to) {
			continue
		}
		before := from - knowWithin/2
		h.series(func(_, is *Look) {
			s := is.States[l.gateway]
			if is.At > from+leaveWithin && is.At < to && s.State != "left" && s.State != "" && h.reached(is.Gateway, l.gateway, before, from) &&
				h.ran(is.Gateway, before, is.At) && h.size(is.Gateway, before, is.At) > 1 {
				say(is.At, is.Gateway, "holds %s for %s, which said %v before that it leaves", h.names[l.gateway], s.State, is.At-from)
			}
		})
	}
}

func heldAlive(h *History, say func(time.Duration, int, string, ...any)) {
	h.series(func(_, is *Look) {
		a := is.At - knowWithin
		if a < 0 || !h.ran(is.Gateway, a, is.At) {
			return
		}
		if h.size(is.Gateway, a, is.At) == 1 { // it doubts itself first, and has nobody to ask
			if a = is.At - aloneWithin; a < 0 || !h.ran(is.Gateway, a, is.At) {
				return
			}
		}
		for m, s := range is.States {
			if (s.State == "alive" || s.State == "suspect") && h.dead(m, a, is.At) {
				say(is.At, is.Gateway, "holds %s for %s, which has had no process for %v", h.names[m], s.State, knowWithin)
			}
		}
	})
}

func notAgreed(h *History, say func(time.Duration, int, string, ...any)) {
	changes := h.changes()
	h.series(func(_, is *Look) {
		a := is.At - agreeWithin
		at, _ := slices.BinarySearch(changes, a)
		if a < 0 || at < len(changes) && changes[at] <= is.At || !h.ran(is.Gateway, a, is.At) {
			return // something was done meanwhile
		}
		part, near := h.together(a, is.At)
		for m, s := range is.States {
			switch {
			case m == is.Gateway, h.twinned(m, a, is.At), h.twinned(is.Gateway, a, is.At):
			case part[m] >= 0 && part[m] == part[is.Gateway] && near[m] > 0 && s.State != "alive":
				// Where datagrams get lost somebody is suspect now and then, and says that he lives.
				if h.reached(is.Gateway, m, a, is.At) && (s.State != "suspect" || !h.loses(a, is.At)) {
					say(is.At, is.Gateway, "holds %s for %q, which lives and can be heard", h.names[m], s.State)
				}
			case h.dead(m, a, is.At) && !s.dead() && s.State != "":
				say(is.At, is.Gateway, "holds %s for %s, which has no process", h.names[m], s.State)
			}
		}
		whole := true
		for g := range part {
			whole = whole && (part[g] == part[is.Gateway] || h.dead(g, a, is.At))
		}
		if is.Twin && whole && !h.twinned(is.Gateway, a-agreeWithin, is.At) {
			say(is.At, is.Gateway, "believes in a second process of its name")
		}
	})
}

func falseMajority(h *History, say func(time.Duration, int, string, ...any)) {
	h.series(func(_, is *Look) {
		a := is.At - knowWithin
		if a < 0 || !is.Majority && !is.Settled {
			return
		}
		part, _ := h.together(a, is.At)
		if part[is.Gateway] < 0 {
			return
		}
		mine, known := 0, 0
		for g := range part {
			if part[g] == part[is.Gateway] {
				mine++
			}
			// Those that left are counted no more; who is cut off, or dead without a word, is.
			if s := is.States[g]; g == is.Gateway || s.State != "left" && s.State != "" {
				known++
			}
			if part[g] < 0 && !h.dead(g, a, is.At) {
				return // somebody stopped, or began, or ended in between
			}
			if part[g] >= 0 && part[g] != part[is.Gateway] && (h.halfHeard(is.Gateway, g, a, is.At) || h.halfHeard(g, is.Gateway, a, is.At)) {
				return // one way is open: who hears may hold the other alive
			}
		}
		if 2*mine <= known {
			say(is.At, is.Gateway, "says that it is of a majority, with %d of %d", mine, known)
		}
	})
}

// halfHeard tells whether anything came from one to the other from a to b.
func (h *History) halfHeard(from, to int, a, b time.Duration) bool {
	if !h.ran(from, a, b) {
		return false
	}
	open := true
	for _, p := range h.paths[[2]int{from, to}] {
		switch {
		case p.At <= a:
			open = !p.Cut
		case p.At < b && !p.Cut:
			return true
		}
	}
	return open
}

func wentBack(h *History, say func(time.Duration, int, string, ...any)) {
	h.series(func(was, is *Look) {
		if was == nil {
			return
		}
		for m, s := range is.States {
			b := was.States[m]
			if s.State == "" || b.State == "" || is.Joined != was.Joined { // a view that began anew, as after an upgrade that came to nothing
				continue
			}
			if s.Start < b.Start || s.Start == b.Start && s.Incarnation < b.Incarnation {
				say(is.At, is.Gateway, "has %s at %d/%d after %d/%d", h.names[m], s.Start, s.Incarnation, b.Start, b.Incarnation)
			}
		}
	})
}

func upgradeSeen(h *History, say func(time.Duration, int, string, ...any)) {
	for _, next := range h.lives {
		if !next.upgrade {
			continue
		}
		m := next.gateway
		h.series(func(was, is *Look) {
			if was == nil || was.At < next.from || is.Gateway == m || is.At > next.from+knowWithin || !h.reached(is.Gateway, m, next.from-time.Second, is.At) {
				return
			}
			s, b := is.States[m], was.States[m]
			switch {
			case is.Joined != was.Joined || b.State != "alive":
			case s.dead() || s.Start != b.Start:
				say(is.At, is.Gateway, "holds %s, which was upgraded, for %s under start %d after %d", h.names[m], s.State, s.Start, b.Start)
			case s.State == "alive" && s.Since > next.from && s.Since < next.from+handOver && b.Since <= next.from && !h.excused(m, s, next.from):
				say(is.At, is.Gateway, "held %s, which was upgraded, for something else between two looks (%s)", h.names[m], s.Previous)
			}
		})
	}
}

// excused tells whether an upgraded gateway may have been held for something else until it took that back, though the upgrade
// gave no reason. A leave never is: only the gateway itself tells one. Where datagrams get lost, suspicions come and go. Else a
// suspicion needs one that raised it and that could not hear the gateway, or not be heard by it.
func (h *History) excused(gateway int, s Held, upgrade time.Duration) bool {
	switch {
	case s.Previous == "left":
		return false
	case h.loses(upgrade-time.Second, s.Since):
		return true
	case s.Previous != "suspect":
		return false
	}
	from := s.Since - knowWithin
	for other, name := range h.names {
		if other == gateway || s.SuspectedBy != "" && s.SuspectedBy != name {
			continue
		}
		if !h.heard(other, gateway, from, s.Since, 0) || !h.heard(gateway, other, from, s.Since, 0) {
			return true
		}
	}
	return false
}

func silentTwin(h *History, say func(time.Duration, int, string, ...any)) {
	h.series(func(_, is *Look) {
		if a := is.At - knowWithin; a > 0 && h.twins(is.Gateway, a, is.At) && !is.Twin && is.Speaking {
			say(is.At, is.Gateway, "does not say that its name is used twice (process %d)", is.PID)
		}
	})
}

func overBudget(h *History, say func(time.Duration, int, string, ...any)) {
	most := mostBytes + mostEach*float64(max(0, h.count-fewGateways))
	if h.tells {
		most *= tellsMore
	}
	first := make(map[int][]*Look)
	h.series(func(_, is *Look) {
		list := append(first[is.PID], is)
		for is.At-list[0].At > budgetOver {
			rate := float64(is.Sent-list[0].Sent) / (is.At - list[0].At).Seconds()
			if rate > most && is.Sent > list[0].Sent {
				say(is.At, is.Gateway, "sent %.0f bytes a second over %v", rate, budgetOver)
			}
			list = list[1:]
		}
		first[is.PID] = list
	})
}
