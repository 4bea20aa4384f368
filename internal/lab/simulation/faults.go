package simulation

import (
	"strings"
	"time"
)

// This file injects the faults of a plan.

// inject starts one fault and schedules its end.
func (s *simulator) inject(f Fault) {
	s.sim.Note("fault %s %d", f.Kind, f.Target)
	undo := func(do func()) { s.sim.After(msec(f.ForMS), do) }
	switch target, _, _ := strings.Cut(f.Kind, "-"); target {
	case "host":
		if h := s.host(f.Target); h != nil {
			s.injectAtHost(f, h, undo)
		}
	case "discovery":
		s.injectAtDiscovery(f, undo)
	case "gateway":
		s.injectAtGateway(f, undo)
	case "agent":
		if f.Target < len(s.discovery.agents) {
			s.discovery.agents[f.Target].restart(msec(f.ForMS), f.Kind == "agent-old")
		}
	case "view":
		s.injectAtMembership(f)
	case "clock":
		if f.Target < len(s.gateways) {
			s.gateways[f.Target].clockError = time.Duration(f.Share * float64(time.Second))
		}
	}
}

// injectAtMembership disturbs the datagrams between gateways.
func (s *simulator) injectAtMembership(f Fault) {
	switch f.Kind {
	case "view-cut":
		s.views.inject(f)
	case "view-noise":
		s.views.sendMalformed(f.Target)
	}
}

// injectAtDiscovery starts a fault of discovery.
func (s *simulator) injectAtDiscovery(f Fault, undo func(func())) {
	switch f.Kind {
	case "discovery-down":
		s.discovery.setDown(true)
		undo(func() { s.discovery.setDown(false) })
	case "discovery-mute":
		s.discovery.paused = true
		undo(func() { s.discovery.paused = false; s.discovery.push(); s.discovery.notifyAll() })
	case "discovery-reset":
		s.discovery.resetOpen()
	case "discovery-silence":
		s.discovery.silenceWatches(msec(f.ForMS))
	case "discovery-flap":
		s.discovery.list.LoseHistory()
		s.discovery.push()
		s.discovery.notifyAll()
	case "discovery-anew":
		s.discovery.list.ResetVersions()
		for _, a := range s.discovery.agents {
			a.renumber()
		}
	case "discovery-lag":
		s.discovery.lag = msec(int(f.Share))
	}
}
