package simulation

import (
	"strings"
	"time"
)

// This file carries out the faults of a plan.

// inject carries out one fault and has it undone after its time.
func (w *simulator) inject(f Fault) {
	w.sim.Note("fault %s %d", f.Do, f.Who)
	undo := func(do func()) { w.sim.After(msec(f.ForMS), do) }
	switch target, _, _ := strings.Cut(f.Do, "-"); target {
	case "host":
		if h := w.host(f.Who); h != nil {
			w.injectAtHost(f, h, undo)
		}
	case "discovery":
		w.injectAtDiscovery(f, undo)
	case "gateway":
		w.injectAtGateway(f, undo)
	case "agent":
		if f.Who < len(w.disc.agents) {
			w.disc.agents[f.Who].restart(msec(f.ForMS), f.Do == "agent-old")
		}
	case "view":
		w.injectAtMembership(f)
	case "clock":
		if f.Who < len(w.gateways) {
			w.gateways[f.Who].clockError = time.Duration(f.Share * float64(time.Second))
		}
	}
}

// injectAtMembership disturbs the datagrams between gateways.
func (w *simulator) injectAtMembership(f Fault) {
	switch f.Do {
	case "view-cut":
		w.views.inject(f)
	case "view-noise":
		w.views.nonsense(f.Who)
	}
}

// injectAtDiscovery carries out a fault of discovery.
func (w *simulator) injectAtDiscovery(f Fault, undo func(func())) {
	switch f.Do {
	case "discovery-down":
		w.disc.setDown(true)
		undo(func() { w.disc.setDown(false) })
	case "discovery-mute":
		w.disc.mute = true
		undo(func() { w.disc.mute = false; w.disc.push(); w.disc.notifyAll() })
	case "discovery-reset":
		w.disc.resetOpen()
	case "discovery-silence":
		w.disc.silence(msec(f.ForMS))
	case "discovery-flap":
		w.disc.list.Flap()
		w.disc.push()
		w.disc.notifyAll()
	case "discovery-anew":
		w.disc.list.Anew()
		for _, a := range w.disc.agents {
			a.anew()
		}
	case "discovery-lag":
		w.disc.lag = msec(int(f.Share))
	}
}
