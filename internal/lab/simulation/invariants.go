package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"thymebend/internal/lab/requestrecord"
	"thymebend/internal/loop"
)

// This file holds what happened in a run against the rules.

func (w *simulator) find(rule, id, format string, args ...any) {
	w.found = append(w.found, Finding{rule, id, fmt.Sprintf(format, args...)})
	w.sim.Note("BROKEN %s: %s", rule, id)
}

// arrived holds every request against what its gateway had been told.
func (w *simulator) arrived(h *host, via int, id string, first time.Duration) {
	w.rates.send(h)
	if told, ok := w.disc.notification(via, h.name); ok && first-told.At > drainGrace {
		w.find(requestrecord.LateToDrained, id, "%s got it from %s %v after it counted as told %s", h.name,
			gatewayName(via), first-told.At, told.State)
	}
}

// stopAll ends the day with SIGTERM everywhere: each gateway must end by itself.
func (w *simulator) stopAll() {
	for _, l := range append([]*link(nil), w.idle...) {
		l.end.ready = nil
		l.end.Close()
	}
	w.sim.Run(w.sim.Now() + 100*time.Millisecond)
	for _, m := range w.gateways {
		if m.up {
			m.loop.Signal(loop.Stop)
		}
	}
	w.sim.Run(w.sim.Now() + endWithin)
	for _, m := range w.gateways {
		if m.up {
			sockets, timers := m.loop.OpenCounts()
			w.find(Stuck, m.name, "alive %v after SIGTERM at rest, with %d sockets and %d timers", endWithin,
				sockets, timers)
		}
	}
}

// quiet lets nothing happen for a while, and looks whether the gateways sleep and hold no more than at rest.
func (w *simulator) quiet() {
	w.sim.Run(w.sim.Now() + quietFor/2)
	before := make([]uint64, len(w.gateways))
	for i, m := range w.gateways {
		before[i] = m.loop.rounds
	}
	w.sim.Run(w.sim.Now() + quietFor/2)
	for i, m := range w.gateways {
		if !m.up {
			continue
		}
		most := uint64(maxRounds)
		if w.views != nil {
			most += viewRounds
		}
		if n := m.loop.rounds - before[i]; n > most {
			w.find(NotAsleep, m.name, "woke up %d times in %v of nothing", n, quietFor/2)
		}
		resting := 0
		for _, l := range w.idle {
			if l.gw == m {
				resting++
			}
		}
		sockets, timers := m.loop.OpenCounts()
		// Each upstream connection at rest has a timer, each downstream connection too; the watch and
		// the balancer have a few.
		if most := 2*resting + sockets + 60; timers > most {
			w.find(Leaked, m.name, "%d timers with %d sockets and %d client links at rest", timers, sockets, resting)
		}
	}
}

func (w *simulator) excused(t requestrecord.Attempt) bool {
	if t.Cause == "cut by the network" || t.Cause == "left" || t.Cause == "half a large answer" {
		return true
	}
	spread := killSpread + 3*(w.net.Latency+w.net.Jitter)
	for _, m := range w.gateways {
		if m.name != t.Target {
			continue
		}
		for _, h := range m.halts {
			if t.Sent <= h[1]+excuseAfter && t.Ended >= h[0] {
				return true
			}
		}
		return t.Excuses(m.kills, m.stops, spread)
	}
	return false
}

func (w *simulator) compare() {
	var hosts []*requestrecord.EndpointRecord
	for _, h := range w.hosts {
		hosts = append(hosts, h.record)
		if h.model.ColdPeak() > 1 {
			w.find(requestrecord.PushedOver, h.name, "sent %.2f times the most that it survives while cold",
				h.model.ColdPeak())
		}
	}
	hosts = append(hosts, w.formerHosts...)
	found, _ := requestrecord.Compare(w.clients.Tries(), hosts, w.excused)
	for _, f := range found {
		w.find(f.Rule, f.ID, "%s", f.Detail)
	}
}

// checkSuppressed finds what the gateways' guards suppressed.
func (w *simulator) checkSuppressed() {
	for _, process := range w.checkers {
		violations := process.gateway.Violations()
		for _, rule := range slices.Sorted(maps.Keys(violations)) {
			w.find(HeldBack, process.name, "%s, %d times", rule, violations[rule])
		}
	}
}

func (w *simulator) outcome() Outcome {
	o := Outcome{Hash: w.sim.Hash(), Findings: w.found, Tries: w.asked, Steps: w.sim.Steps(),
		Lasted: w.sim.Since(), Sums: w.rates.String(),
		Partial: w.sim.interrupted()}
	for s, n := range w.statuses {
		switch {
		case s == 200:
			o.Served += n
		case s == 429 || s == 503:
			o.Refused += n
		default:
			o.Failed += n
		}
	}
	slices.SortStableFunc(o.Findings, func(a, b Finding) int { return strings.Compare(a.Rule, b.Rule) })
	return o
}
