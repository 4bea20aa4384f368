package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"strings"
	"time"

	"thymebend/internal/lab/registry"
	"thymebend/internal/lab/requestrecord"
	"thymebend/internal/loop"
)

// This file carries out the faults of a plan.

// happen is one fault, undone after its time.
func (w *world) happen(f Fault) {
	w.sim.Note("fault %s %d", f.Do, f.Who)
	after := func(do func()) { w.sim.After(msec(f.ForMS), do) }
	now := w.sim.Now()
	if strings.HasPrefix(f.Do, "host-") {
		if h := w.host(f.Who); h != nil {
			w.toHost(f, h, after)
		}
		return
	}
	switch f.Do {
	case "view-cut":
		w.beliefs.happen(f)
	case "view-noise":
		w.beliefs.nonsense(f.Who)
	case "discovery-down":
		w.disc.setDown(true)
		after(func() { w.disc.setDown(false) })
	case "discovery-mute":
		w.disc.mute = true
		after(func() { w.disc.mute = false; w.disc.push(); w.disc.tellAll() })
	case "discovery-reset":
		w.disc.resetOpen()
	case "discovery-silence":
		w.disc.silence(msec(f.ForMS))
	case "discovery-flap":
		w.disc.list.Flap()
		w.disc.push()
		w.disc.tellAll()
	case "agent-restart", "agent-old":
		if f.Who < len(w.disc.agents) {
			w.disc.agents[f.Who].restart(msec(f.ForMS), f.Do == "agent-old")
		}
	case "discovery-anew":
		w.disc.list.Anew()
		for _, a := range w.disc.agents {
			a.anew()
		}
	case "discovery-lag":
		w.disc.lag = msec(int(f.Share))
	case "clock-step":
		if f.Who < len(w.gateways) {
			w.gateways[f.Who].clockError = time.Duration(f.Share * float64(time.Second))
		}
	case "gateway-kill", "gateway-term", "gateway-reload", "gateway-upgrade", "gateway-halt", "gateway-stillborn", "gateway-retune":
		if f.Who >= len(w.gateways) || !w.gateways[f.Who].up || w.gateways[f.Who].left {
			return
		}
		m := w.gateways[f.Who]
		if m.elder != nil || m.halted() {
			return // one thing after another
		}
		switch f.Do {
		case "gateway-kill":
			m.kills = append(m.kills, now)
			m.loop.Kill()
			if w.beliefs != nil {
				w.beliefs.ended(m.process.pid)
			}
			m.up, m.died = false, now
			m.ended()
			after(m.start)
		case "gateway-halt":
			w.beliefs.halt(m, msec(f.ForMS))
		case "gateway-term":
			w.term(m, f)
		case "gateway-upgrade", "gateway-stillborn":
			w.upgrade(m, f)
		case "gateway-retune":
			w.retune(f)
		default:
			if f.What == "faulty" {
				good := m.conf
				m.conf = good[:len(good)/2]
				broken := m.conf
				m.loop.Signal(loop.Reload)
				w.sim.After(50*time.Millisecond, func() {
					if &m.conf[0] == &broken[0] {
						m.conf = good
					}
				})
				return
			}
			var fields map[string]any
			if err := json.Unmarshal(m.conf, &fields); err != nil {
				return // the good file is not back yet
			}
			w.disc.open(m.n)
			fields["discovery"] = w.disc.addrs[m.n].String()
			m.conf, _ = json.Marshal(fields) // plain values cannot fail
			m.loop.Signal(loop.Reload)
		}
	}
}

// upgrade starts the next process of a gateway beside the one that serves. A stillborn one dies within its first moments.
func (w *world) upgrade(m *machine, f Fault) {
	elder := m.loop
	m.elder = elder
	m.up = false
	m.since = math.MaxInt64 // neither process can know of the other before the next one has the listening socket
	m.start()
	next := m.loop
	// The kernel refuses what goes beyond the limit; none of the two may be driven to that by the other.
	var watch func()
	watch = func() {
		if m.elder != elder || !elder.Running() || !next.Running() {
			return
		}
		if n := elder.files() + next.files(); n > w.plan.Sockets {
			w.find(Overspent, m.name, "%d descriptors of %d", n, w.plan.Sockets)
			return
		}
		w.sim.After(5*time.Millisecond, watch)
	}
	watch()
	if f.Do == "gateway-stillborn" {
		w.sim.After(time.Duration(w.sim.Rand.IntN(3000))*time.Microsecond, func() {
			if next.Running() && elder.Running() {
				m.kills = append(m.kills, w.sim.Now()) // the links that it has die with it
				m.loop, m.elder, m.until = elder, nil, 0
				next.Kill()
				if w.beliefs != nil {
					w.beliefs.ended(m.process.pid)
				}
				m.process, m.before = m.before, process{}
			}
		})
		return
	}
	m.until = w.sim.Now() + 4*time.Second
	w.sim.After(500*time.Millisecond, func() {
		elder.Signal(loop.Stop)
		w.sim.After(3700*time.Millisecond, func() {
			if elder.Running() {
				elder.Kill()
				if w.beliefs != nil {
					w.beliefs.ended(m.before.pid)
				}
				w.find(Stuck, m.name, "the elder process was alive 3.7 s after SIGTERM")
				m.elder = nil
			}
		})
	})
}

// retune changes the settings of every gateway: views become unsafe and a class comes, or the other way round. Clients
// go by the new ones 1.2 s later.
func (w *world) retune(f Fault) {
	strict := !w.strict
	for _, m := range w.gateways {
		if !json.Valid(m.conf) {
			return // the good file is not back yet
		}
	}
	w.file.Classes[0].Unsafe = strict // also for what starts from now on
	for _, m := range w.gateways {
		var fields map[string]any
		_ = json.Unmarshal(m.conf, &fields) // it is valid
		settings := w.file.Settings(m.n)
		if strict {
			classes := settings["classes"].([]map[string]any)
			extra := maps.Clone(classes[0])
			extra["repeat"] = "repeatable"
			extra["name"] = fmt.Sprintf("new-%d", f.AtMS)
			settings["classes"] = []map[string]any{extra, classes[1], classes[0]} // places move
			settings["bounds"].(map[string]any)["most_tries"] = 2
		}
		fields["settings"] = settings
		m.conf, _ = json.Marshal(fields) // plain values cannot fail
		if m.up {
			m.loop.Signal(loop.Reload)
		}
	}
	w.sim.After(1200*time.Millisecond, func() { w.strict = strict })
}

// term restarts a gateway as planned.
func (w *world) term(m *machine, f Fault) {
	m.stops = append(m.stops, w.sim.Now())
	m.loop.Signal(loop.Stop)
	if w.beliefs != nil {
		w.beliefs.history.Leaving(m.n, w.sim.Since()) // it speaks no more
	}
	w.sim.After(leaveFront, func() { m.left = true })
	life := m.life
	var wait func(tries int)
	wait = func(tries int) {
		switch {
		case m.life != life:
		case !m.up:
			m.ended()
			w.sim.After(msec(f.ForMS), func() {
				if !m.up {
					m.start()
				}
			})
		case tries == 0:
			// The platform kills it now. What it had taken in time and not answered is lost by its own fault.
			m.loop.Kill()
			if w.beliefs != nil {
				w.beliefs.ended(m.process.pid)
			}
			m.up, m.died = false, w.sim.Now()
			w.sim.After(0, func() { wait(1) })
		default:
			w.sim.After(100*time.Millisecond, func() { wait(tries - 1) })
		}
	}
	wait(37) // the longest patience, the time to take more, and half a second
}

func (w *world) toHost(f Fault, h *host, after func(func())) {
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
			w.sim.After(w.disc.lag+500*time.Millisecond, func() {
				if h.gone {
					return
				}
				h.stop()
				h.gone = true
				if f.Do == "host-replace" {
					w.former = append(w.former, h.ledger)
					w.replaced++
					n := h.n
					fresh := w.plan.Hosts + w.replaced
					w.addHostAt(n, fresh, h.addrs)
				}
			})
		})
	case "host-hang":
		h.model.Hold(now, true)
		h.settle()
		model := h.model
		after(func() {
			if h.model == model && h.up {
				model.Hold(w.sim.Now(), false)
				h.settle()
			}
		})
	case "host-silent":
		h.setSilent(true)
		after(func() { h.setSilent(false) })
	case "host-errors":
		h.model.SetErrors(now, f.Share)
		model := h.model
		after(func() { model.SetErrors(w.sim.Now(), 0) })
	case "host-cut", "host-half":
		h.share[f.Do] = f.Share
		after(func() { h.share[f.Do] = 0 })
	case "host-spoil":
		h.share[f.What] = f.Share
		after(func() { h.share[f.What] = 0 })
	}
}

// drainsFor is how long a host drains before it is removed. It is longer than a change takes to count as told where the rule
// on that is held.
func (w *world) drainsFor(f Fault) time.Duration {
	if w.plan.Calls == nil {
		return 4 * time.Second
	}
	return msec(f.ForMS)
}

// back brings a host back, cold, and has discovery tell so.
func (w *world) back(h *host, lag time.Duration) {
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
func (w *world) addHostAt(place, n int, addrs []netip.AddrPort) {
	spec := w.file.Spec(w.zone(place), n)
	h := &host{w: w, n: place, name: spec.Name, spec: spec, ledger: requestrecord.NewHost(spec.Name), addrs: addrs, share: make(map[string]float64)}
	h.start(true)
	w.hosts[place] = h
	w.list(h, registry.Up, true)
}
