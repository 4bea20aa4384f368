package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"time"

	"thymebend/internal/loop"
)

// injectAtGateway carries out a fault of a gateway's process, one after another.
func (w *simulator) injectAtGateway(f Fault, undo func(func())) {
	if f.Who >= len(w.gateways) {
		return
	}
	m := w.gateways[f.Who]
	if !m.up || m.left || m.predecessor != nil || m.halted() {
		return
	}
	switch f.Do {
	case "gateway-kill":
		w.kill(m)
		undo(m.start)
	case "gateway-halt":
		w.views.halt(m, msec(f.ForMS))
	case "gateway-term":
		w.term(m, f)
	case "gateway-upgrade", "gateway-stillborn":
		w.upgrade(m, f)
	case "gateway-retune":
		w.retune(f)
	case "gateway-reload":
		w.reload(m, f.What == "faulty")
	}
}

// kill ends a gateway's process as kill -9 does.
func (w *simulator) kill(m *gatewayNode) {
	now := w.sim.Now()
	m.kills = append(m.kills, now)
	m.loop.Kill()
	if w.views != nil {
		w.views.ended(m.process.pid)
	}
	m.up, m.died = false, now
	m.ended()
}

// reload has a gateway read its configuration anew: one that moves discovery, or one that is cut off in
// the middle.
func (w *simulator) reload(m *gatewayNode, faulty bool) {
	if faulty {
		w.reloadFaulty(m)
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

// reloadFaulty has a gateway read a file that is cut off in the middle. The good one is back after 50 ms.
func (w *simulator) reloadFaulty(m *gatewayNode) {
	good := m.conf
	m.conf = good[:len(good)/2]
	broken := m.conf
	m.loop.Signal(loop.Reload)
	w.sim.After(50*time.Millisecond, func() {
		if &m.conf[0] == &broken[0] {
			m.conf = good
		}
	})
}

// upgrade starts the next process of a gateway beside the one that serves. A stillborn one dies within
// its first moments.
func (w *simulator) upgrade(m *gatewayNode, f Fault) {
	elder := m.loop
	m.predecessor = elder
	m.up = false
	m.since = math.MaxInt64 // neither process can know of the other before the next one has the listening socket
	m.start()
	next := m.loop
	// The kernel refuses what goes beyond the limit; none of the two may be driven to that by the other.
	var watch func()
	watch = func() {
		if m.predecessor != elder || !elder.Running() || !next.Running() {
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
				m.loop, m.predecessor, m.until = elder, nil, 0
				next.Kill()
				if w.views != nil {
					w.views.ended(m.process.pid)
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
				if w.views != nil {
					w.views.ended(m.before.pid)
				}
				w.find(Stuck, m.name, "the elder process was alive 3.7 s after SIGTERM")
				m.predecessor = nil
			}
		})
	})
}

// retune changes the settings of every gateway: views become unsafe and a class comes, or the other way
// round. Clients go by the new ones 1.2 s later.
func (w *simulator) retune(f Fault) {
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
func (w *simulator) term(m *gatewayNode, f Fault) {
	m.stops = append(m.stops, w.sim.Now())
	m.loop.Signal(loop.Stop)
	if w.views != nil {
		w.views.history.Leaving(m.n, w.sim.Since()) // it speaks no more
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
			if w.views != nil {
				w.views.ended(m.process.pid)
			}
			m.up, m.died = false, w.sim.Now()
			w.sim.After(0, func() { wait(1) })
		default:
			w.sim.After(100*time.Millisecond, func() { wait(tries - 1) })
		}
	}
	wait(37) // the longest client timeout, the time to take more, and half a second
}
