package simulation

import (
	"net/netip"
	"time"

	"thymebend/internal/lab/registry"
	"thymebend/internal/lab/requestrecord"
)

// injectAtHost carries out a fault of a host.
func (w *simulator) injectAtHost(f Fault, h *host, undo func(func())) {
	now := w.sim.Now()
	switch f.Do {
	case "host-down", "host-cold":
		if !h.up || h.leaving {
			return
		}
		h.stop()
		if f.Do == "host-cold" {
			// It is back when discovery tells so: of a restart that is over sooner no gateway can know.
			w.sim.After(w.disc.lag+10*time.Millisecond, func() { w.back(h, 0) })
			return
		}
		w.list(h, registry.Removed, false)
		w.sim.After(msec(f.ForMS), func() { w.back(h, w.disc.lag) })
	case "host-drain", "host-replace":
		w.drain(h, f)
	case "host-hang":
		h.model.Hold(now, true)
		h.settle()
		model := h.model
		undo(func() {
			if h.model == model && h.up {
				model.Hold(w.sim.Now(), false)
				h.settle()
			}
		})
	case "host-silent":
		h.setSilent(true)
		undo(func() { h.setSilent(false) })
	case "host-errors":
		h.model.SetErrors(now, f.Share)
		model := h.model
		undo(func() { model.SetErrors(w.sim.Now(), 0) })
	case "host-cut", "host-half":
		h.share[f.Do] = f.Share
		undo(func() { h.share[f.Do] = 0 })
	case "host-spoil":
		h.share[f.What] = f.Share
		undo(func() { h.share[f.What] = 0 })
	}
}

// drain has a host announced as draining, then removed and stopped, and replaced where the fault says so.
func (w *simulator) drain(h *host, f Fault) {
	if !h.up || h.leaving {
		return
	}
	h.leaving = true // who leaves does not come back: its address may soon be another's
	w.list(h, registry.Draining, false)
	w.sim.After(w.disc.lag+drainGrace+500*time.Millisecond, func() {
		h.model.Drain(w.sim.Now(), true)
	})
	w.sim.After(w.disc.lag+w.drainsFor(f), func() {
		if h.gone {
			return
		}
		w.list(h, registry.Removed, false)
		w.sim.After(w.disc.lag+500*time.Millisecond, func() { w.retire(h, f.Do == "host-replace") })
	})
}

// retire ends a host that was removed, and puts another in its place if it is to be replaced.
func (w *simulator) retire(h *host, replace bool) {
	if h.gone {
		return
	}
	h.stop()
	h.gone = true
	if replace {
		w.formerHosts = append(w.formerHosts, h.record)
		w.replaced++
		w.addHostAt(h.n, w.plan.Hosts+w.replaced, h.addrs)
	}
}

// drainsFor is how long a host drains before it is removed. It is longer than a change takes to count
// as notified where the rule on that is held.
func (w *simulator) drainsFor(f Fault) time.Duration {
	if w.plan.Calls == nil {
		return 4 * time.Second
	}
	return msec(f.ForMS)
}

// back brings a host back, cold, and has discovery tell so.
func (w *simulator) back(h *host, lag time.Duration) {
	if h.gone || h.up || h.leaving {
		return
	}
	h.start(true)
	was := w.disc.lag
	w.disc.lag = lag
	w.list(h, registry.Up, true)
	w.disc.lag = was
}

// addHostAt puts a new host with a name of its own in another's place, at its addresses.
func (w *simulator) addHostAt(place, n int, addrs []netip.AddrPort) {
	spec := w.file.Spec(w.zone(place), n)
	h := &host{w: w, n: place, name: spec.Name, spec: spec, record: requestrecord.NewEndpointRecord(spec.Name),
		addrs: addrs, share: make(map[string]float64)}
	h.start(true)
	w.hosts[place] = h
	w.list(h, registry.Up, true)
}
