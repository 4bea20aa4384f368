package simulation

import (
	"net/netip"
	"time"

	"thymebend/internal/lab/registry"
	"thymebend/internal/lab/requestrecord"
)

// injectAtHost starts a fault of a host.
func (s *simulator) injectAtHost(f Fault, h *host, undo func(func())) {
	now := s.sim.Now()
	switch f.Kind {
	case "host-down", "host-cold":
		if !h.up || h.draining {
			return
		}
		h.fail()
		if f.Kind == "host-cold" {
			// The host stays down until discovery could have reported the restart: no gateway can know of a
			// restart that is over sooner.
			s.sim.After(s.discovery.lag+10*time.Millisecond, func() { s.restartHost(h, 0) })
			return
		}
		s.announce(h, registry.Removed, false)
		s.sim.After(msec(f.ForMS), func() { s.restartHost(h, s.discovery.lag) })
	case "host-drain", "host-replace":
		s.drain(h, f)
	case "host-hang":
		h.model.SetSuspended(now, true)
		h.advance()
		model := h.model
		undo(func() {
			if h.model == model && h.up {
				model.SetSuspended(s.sim.Now(), false)
				h.advance()
			}
		})
	case "host-deaf":
		h.deaf = true
		undo(func() { h.hearAgain() })
	case "host-drip":
		h.writesSlowly = true
		undo(func() { h.writesSlowly = false })
	case "host-silent":
		h.setSilent(true)
		undo(func() { h.setSilent(false) })
	case "host-errors":
		h.model.SetErrors(now, f.Share)
		model := h.model
		undo(func() { model.SetErrors(s.sim.Now(), 0) })
	case "host-cut", "host-half":
		h.faultShares[f.Kind] = f.Share
		undo(func() { h.faultShares[f.Kind] = 0 })
	case "host-spoil", "host-late":
		h.faultShares[f.Variant] = f.Share
		undo(func() { h.faultShares[f.Variant] = 0 })
	}
}

// sendLate sends a second copy of a response, or random bytes, some time after the response, if the host has that fault
// now.
func (h *host) sendLate(c *hostConn, response []byte) {
	late := response
	switch {
	case h.run.sim.Chance(h.faultShares[lateCopy]):
	case h.run.sim.Chance(h.faultShares[lateBytes]):
		late = make([]byte, 60)
		for i := range late {
			late[i] = byte(h.run.sim.Rand.Uint32())
		}
	default:
		return
	}
	h.run.sim.After(time.Duration(h.run.sim.Rand.Int64N(int64(msec(maxLateMS)))), func() {
		if c.model == h.model && !c.closing {
			h.write(c, late)
		}
	})
}

// drain announces a host as draining, and removes and stops the host later. If the fault is host-replace, it
// then starts a replacement.
func (s *simulator) drain(h *host, f Fault) {
	if !h.up || h.draining {
		return
	}
	h.draining = true // a draining host does not come back: its address may soon belong to another
	s.announce(h, registry.Draining, false)
	s.sim.After(s.discovery.lag+drainGrace+500*time.Millisecond, func() {
		h.model.SetDraining(s.sim.Now(), true)
	})
	s.sim.After(s.discovery.lag+s.drainsFor(f), func() {
		if h.removed {
			return
		}
		s.announce(h, registry.Removed, false)
		s.sim.After(s.discovery.lag+500*time.Millisecond, func() { s.retire(h, f.Kind == "host-replace") })
	})
}

// retire stops a removed host, and starts a replacement at its index if replace is set.
func (s *simulator) retire(h *host, replace bool) {
	if h.removed {
		return
	}
	h.fail()
	h.removed = true
	if replace {
		s.formerHosts = append(s.formerHosts, h.record)
		s.replaced++
		s.addHostAt(h.index, s.plan.Hosts+s.replaced, h.addrs)
	}
}

// drainsFor returns how long a host drains before it is removed. With a call queue, the rule on late
// notifications applies (see notificationDeadlines), and the host drains for longer than a change takes to
// count as notified.
func (s *simulator) drainsFor(f Fault) time.Duration {
	if s.plan.Calls == nil {
		return 4 * time.Second
	}
	return msec(f.ForMS)
}

// restartHost starts a stopped host again, in slow start, and announces it after the given lag.
func (s *simulator) restartHost(h *host, lag time.Duration) {
	if h.removed || h.up || h.draining {
		return
	}
	h.start(true)
	before := s.discovery.lag
	s.discovery.lag = lag
	s.announce(h, registry.Up, true)
	s.discovery.lag = before
}

// addHostAt starts a host with a new name at another's index and addresses.
func (s *simulator) addHostAt(index, n int, addrs []netip.AddrPort) {
	spec := s.file.Spec(s.zone(index), n)
	h := &host{run: s, index: index, name: spec.Name, spec: spec, record: requestrecord.NewEndpointRecord(spec.Name),
		addrs: addrs, faultShares: make(map[string]float64)}
	h.start(true)
	s.hosts[index] = h
	s.announce(h, registry.Up, true)
}
