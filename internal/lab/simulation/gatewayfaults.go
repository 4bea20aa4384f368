package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"time"

	"thymebend/internal/loop"
)

// injectAtGateway starts a fault of a gateway's process, unless another fault of that process is in progress.
func (s *simulator) injectAtGateway(f Fault, undo func(func())) {
	if f.Target >= len(s.gateways) {
		return
	}
	g := s.gateways[f.Target]
	if !g.up || g.withdrawn || g.predecessor != nil || g.halted() {
		return
	}
	switch f.Kind {
	case "gateway-kill":
		s.kill(g)
		undo(g.start)
	case "gateway-halt":
		s.views.halt(g, msec(f.ForMS))
	case "gateway-term":
		s.term(g, f)
	case "gateway-upgrade", "gateway-stillborn":
		s.upgrade(g, f)
	case "gateway-retune":
		s.retune(f)
	case "gateway-reload":
		s.reload(g, f.Variant == "faulty")
	}
}

// kill ends a gateway's process as kill -9 does.
func (s *simulator) kill(g *gatewayNode) {
	now := s.sim.Now()
	g.kills = append(g.kills, now)
	g.loop.Kill()
	if s.views != nil {
		s.views.ended(g.process.pid)
	}
	g.up, g.diedAt = false, now
	g.saveLastList()
}

// reload makes a gateway read its configuration again: a truncated file if faulty is set, otherwise one with a
// new address of discovery.
func (s *simulator) reload(g *gatewayNode, faulty bool) {
	if faulty {
		s.reloadFaulty(g)
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(g.configFile, &fields); err != nil {
		return // the complete file is not back yet
	}
	s.discovery.listen(g.index)
	fields["discovery"] = s.discovery.addrs[g.index].String()
	g.configFile, _ = json.Marshal(fields) // plain values cannot fail
	g.loop.Signal(loop.Reload)
}

// reloadFaulty makes a gateway read a truncated configuration file. The complete file is back after 50 ms.
func (s *simulator) reloadFaulty(g *gatewayNode) {
	good := g.configFile
	g.configFile = good[:len(good)/2]
	broken := g.configFile
	g.loop.Signal(loop.Reload)
	s.sim.After(50*time.Millisecond, func() {
		if &g.configFile[0] == &broken[0] {
			g.configFile = good
		}
	})
}

// upgrade starts a gateway's successor process beside the running one. With gateway-stillborn, the successor dies
// within its first 3 ms.
func (s *simulator) upgrade(g *gatewayNode, f Fault) {
	predecessor := g.loop
	g.predecessor = predecessor
	g.up = false
	// The upgrade counts from the time at which the successor has the listening socket, set by OnListen: before,
	// neither process can know of the other.
	g.upgradeFrom = math.MaxInt64
	g.start()
	next := g.loop
	// The two processes of an upgrade share one limit on descriptors, beyond which the kernel refuses more.
	// Neither process may drive the other to that limit.
	var watch func()
	watch = func() {
		if g.predecessor != predecessor || !predecessor.Running() || !next.Running() {
			return
		}
		if n := predecessor.descriptors() + next.descriptors(); n > s.plan.Sockets {
			s.addFinding(DescriptorsExceeded, g.name, "%d descriptors of %d", n, s.plan.Sockets)
			return
		}
		s.sim.After(5*time.Millisecond, watch)
	}
	watch()
	if f.Kind == "gateway-stillborn" {
		s.sim.After(time.Duration(s.sim.Rand.IntN(3000))*time.Microsecond, func() {
			if next.Running() && predecessor.Running() {
				g.kills = append(g.kills, s.sim.Now()) // the successor's connections die with it
				g.loop, g.predecessor, g.upgradeUntil = predecessor, nil, 0
				next.Kill()
				if s.views != nil {
					s.views.ended(g.process.pid)
				}
				g.process, g.previous = g.previous, process{}
			}
		})
		return
	}
	const stopAfter, margin = 500 * time.Millisecond, 200 * time.Millisecond
	g.upgradeUntil = s.sim.Now() + stopAfter + s.plan.killDelay() - margin
	s.sim.After(stopAfter, func() {
		predecessor.Signal(loop.Stop)
		s.sim.After(s.plan.killDelay(), func() {
			if predecessor.Running() {
				predecessor.Kill()
				if s.views != nil {
					s.views.ended(g.previous.pid)
				}
				if !s.hasSlowReader(g) {
					s.addFinding(Stuck, g.name, "the elder process was alive %v after SIGTERM", s.plan.killDelay())
				}
				g.predecessor = nil
			}
		})
	})
}

// retune changes the settings of every gateway: the class tender-view becomes unsafe (not idempotent) and
// another class is added, or the reverse. Clients use the new settings 1.2 s later.
func (s *simulator) retune(f Fault) {
	unsafeViews := !s.unsafeViews
	for _, g := range s.gateways {
		if !json.Valid(g.configFile) {
			return // the complete file is not back yet
		}
	}
	s.file.Classes[0].Unsafe = unsafeViews // also for processes that start later
	for _, g := range s.gateways {
		var fields map[string]any
		_ = json.Unmarshal(g.configFile, &fields) // it is valid
		settings := s.file.Settings(g.index)
		if unsafeViews {
			classes := settings["classes"].([]map[string]any)
			extra := maps.Clone(classes[0])
			extra["repeat"] = "repeatable"
			extra["name"] = fmt.Sprintf("new-%d", f.AtMS)
			settings["classes"] = []map[string]any{extra, classes[1], classes[0]} // the classes change their indices
			settings["bounds"].(map[string]any)["most_tries"] = 2
		}
		fields["settings"] = settings
		g.configFile, _ = json.Marshal(fields) // plain values cannot fail
		if g.up {
			g.loop.Signal(loop.Reload)
		}
	}
	s.sim.After(1200*time.Millisecond, func() { s.unsafeViews = unsafeViews })
}

// termCheckInterval is the time between two looks whether a process that was told to end has ended.
const termCheckInterval = 100 * time.Millisecond

// killDelay returns the time from SIGTERM to SIGKILL: the longest client timeout, the time to accept more requests, and
// half a second. With slow peers it is the shortest that the platform allows.
func (p Plan) killDelay() time.Duration {
	const usual, longestTimeout, killAfter = 3700 * time.Millisecond, 2500 * time.Millisecond, 700 * time.Millisecond
	if p.Profile == slowPeersProfile {
		return longestTimeout + killAfter
	}
	return usual
}

// term performs a planned restart of a gateway: it sends SIGTERM, waits for the process to exit and starts a
// new one after f.ForMS.
func (s *simulator) term(g *gatewayNode, f Fault) {
	g.stops = append(g.stops, s.sim.Now())
	g.loop.Signal(loop.Stop)
	if s.views != nil {
		s.views.history.Leaving(g.index, s.sim.Elapsed()) // from now on the process sends no gossip datagrams
	}
	s.sim.After(withdrawDelay, func() { g.withdrawn = true })
	life := g.generation
	var wait func(tries int)
	wait = func(tries int) {
		switch {
		case g.generation != life:
		case !g.up:
			g.saveLastList()
			s.sim.After(msec(f.ForMS), func() {
				if !g.up {
					g.start()
				}
			})
		case tries == 0:
			// The platform kills the process now. Requests that it accepted in time and has not answered count as
			// lost by the gateway's fault.
			g.loop.Kill()
			if s.views != nil {
				s.views.ended(g.process.pid)
			}
			g.up, g.diedAt = false, s.sim.Now()
			s.sim.After(0, func() { wait(1) })
		default:
			s.sim.After(termCheckInterval, func() { wait(tries - 1) })
		}
	}
	wait(int(s.plan.killDelay() / termCheckInterval))
}
