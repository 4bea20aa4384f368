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

// This file compares what happened in a run with the rules.

// addFinding records a broken rule and notes it in the trace.
func (s *simulator) addFinding(rule, id, format string, args ...any) {
	s.findings = append(s.findings, Finding{rule, id, fmt.Sprintf(format, args...)})
	s.sim.Note("BROKEN %s: %s", rule, id)
}

// checkArrival verifies that a request was not sent to a host more than drainGrace after its gateway was notified
// that the host drains or is removed.
func (s *simulator) checkArrival(h *host, gateway int, id string, firstByteAt time.Duration) {
	s.rates.countSend(h)
	if notice, ok := s.discovery.notification(gateway, h.name); ok && firstByteAt-notice.At > drainGrace {
		s.addFinding(requestrecord.SentAfterDrain, id, "%s got it from %s %v after it counted as told %s", h.name,
			gatewayName(gateway), firstByteAt-notice.At, notice.State)
	}
}

// stopAll ends the run with SIGTERM to every gateway, and verifies that each process exits within shutdownLimit.
func (s *simulator) stopAll() {
	for _, l := range append([]*idleLink(nil), s.idle...) {
		l.end.ready = nil
		l.end.Close()
	}
	s.sim.Run(s.sim.Now() + 100*time.Millisecond)
	for _, g := range s.gateways {
		if g.up {
			g.loop.Signal(loop.Stop)
		}
	}
	s.sim.Run(s.sim.Now() + shutdownLimit)
	for _, g := range s.gateways {
		if g.up {
			sockets, timers := g.loop.OpenCounts()
			s.addFinding(Stuck, g.name, "alive %v after SIGTERM at rest, with %d sockets and %d timers", shutdownLimit,
				sockets, timers)
		}
	}
}

// checkIdle lets quietPeriod pass without requests and faults. It verifies that the gateways hardly wake up and
// hold no more timers than idle connections need.
func (s *simulator) checkIdle() {
	s.sim.Run(s.sim.Now() + quietPeriod/2)
	before := make([]uint64, len(s.gateways))
	for i, g := range s.gateways {
		before[i] = g.loop.wakeups
	}
	s.sim.Run(s.sim.Now() + quietPeriod/2)
	for i, g := range s.gateways {
		if !g.up {
			continue
		}
		limit := uint64(maxIdleWakeups)
		if s.views != nil {
			limit += membershipWakeups
		}
		if n := g.loop.wakeups - before[i]; n > limit {
			s.addFinding(WokeUpIdle, g.name, "woke up %d times in %v of nothing", n, quietPeriod/2)
		}
		idle := 0
		for _, l := range s.idle {
			if l.gateway == g {
				idle++
			}
		}
		sockets, timers := g.loop.OpenCounts()
		// Each idle upstream and downstream connection has a timer; the watch and the balancer have a few.
		if limit := 2*idle + sockets + 60; timers > limit {
			s.addFinding(Leaked, g.name, "%d timers with %d sockets and %d client links at rest", timers, sockets, idle)
		}
	}
}

// excused reports whether the missing response of an attempt counts as caused by the client, by the network, or
// by a kill, planned stop or halt of the gateway during the attempt.
func (s *simulator) excused(t requestrecord.Attempt) bool {
	if t.Cause == "cut by the network" || t.Cause == "left" || t.Cause == "half a large answer" {
		return true
	}
	margin := killNoticeMargin + 3*(s.net.Latency+s.net.Jitter)
	for _, g := range s.gateways {
		if g.name != t.Target {
			continue
		}
		for _, h := range g.halts {
			if t.Sent <= h[1]+excuseAfter && t.Ended >= h[0] {
				return true
			}
		}
		return t.Excused(g.kills, g.stops, margin)
	}
	return false
}

// compareRecords compares the requests recorded by the clients with those recorded by the hosts.
func (s *simulator) compareRecords() {
	var hosts []*requestrecord.EndpointRecord
	for _, h := range s.hosts {
		hosts = append(hosts, h.record)
		if h.model.PeakBudgetShare() > 1 {
			s.addFinding(requestrecord.ColdHostPushed, h.name, "sent %.2f times the most that it survives while cold",
				h.model.PeakBudgetShare())
		}
	}
	hosts = append(hosts, s.formerHosts...)
	found, _ := requestrecord.Compare(s.clients.Attempts(), hosts, s.excused)
	for _, f := range found {
		s.addFinding(f.Rule, f.ID, "%s", f.Detail)
	}
}

// checkSuppressed records a finding for every rule whose violation a gateway's invariant checker has suppressed.
func (s *simulator) checkSuppressed() {
	for _, process := range s.checkers {
		violations := process.gateway.Violations()
		for _, rule := range slices.Sorted(maps.Keys(violations)) {
			s.addFinding(EffectSuppressed, process.name, "%s, %d times", rule, violations[rule])
		}
	}
}

func (s *simulator) outcome() Outcome {
	o := Outcome{Hash: s.sim.Hash(), Findings: s.findings, Attempts: s.attempts, Steps: s.sim.Steps(),
		Duration: s.sim.Elapsed(), PeakRates: s.rates.String(),
		Partial: s.sim.interrupted()}
	for status, n := range s.statuses {
		switch {
		case status == 200:
			o.Served += n
		case status == 429 || status == 503:
			o.Rejected += n
		default:
			o.Failed += n
		}
	}
	slices.SortStableFunc(o.Findings, func(a, b Finding) int { return strings.Compare(a.Rule, b.Rule) })
	return o
}
