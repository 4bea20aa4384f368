package simulation

import (
	"time"

	"thymebend/internal/lab/registry"
)

// Where lists are pushed, each gateway's machine has an agent: it answers at once with the list that it
// has been sent, is sent changes late and each at its own time, and hears nothing while discovery is
// down or mute. What it has counts as notified.

// maxPushDelay is how much later than the first agent the last is sent a change.
const maxPushDelay = 120 * time.Millisecond

// agent is one machine's agent.
type agent struct {
	server  *discoveryServer
	gateway int
	list    *registry.Registry
	history []*registry.Registry // as it was before, oldest first
	down    bool

	writtenVersion int           // the version that its gateway was written last, if it lives
	writtenAt      time.Duration // and when
}

// minQuietBeforeRestart is how long an agent is left alone before it goes, or goes again: a gateway that could not
// have asked in between could not have been told.
const minQuietBeforeRestart = 500 * time.Millisecond

// maxHistory is how many versions back an agent may return with.
const maxHistory = 6

// listFor is the list that a gateway's calls are answered from: its agent's, or discovery's own where it is asked.
func (d *discoveryServer) listFor(gateway int) *registry.Registry {
	if len(d.agents) == 0 {
		return d.list
	}
	return d.agents[gateway].list
}

// notification is when a gateway was told, or counts as notified, that a host drains or is gone.
func (d *discoveryServer) notification(gateway int, host string) (registry.Notification, bool) {
	t, ok := d.listFor(gateway).Told(gatewayName(gateway), host)
	if by, over := d.deadlines.overdue(host); over && (!ok || by.At < t.At) {
		return by, true
	}
	return t, ok
}

// forget drops what a gateway was told, as one that has restarted knows it no more.
func (d *discoveryServer) forget(gateway int) {
	d.listFor(gateway).Forget(gatewayName(gateway))
}

// push sends the list as it stands to every agent.
func (d *discoveryServer) push() {
	for _, a := range d.agents {
		d.run.sim.After(time.Duration(d.run.sim.Rand.Int64N(int64(maxPushDelay))), a.receive)
	}
}

// receive takes the list as it stands now, if discovery speaks and this agent listens.
func (a *agent) receive() {
	if a.down || a.server.down || a.server.paused || a.list.Seq() >= a.server.list.Seq() {
		return
	}
	if a.history = append(a.history, a.list.Copy()); len(a.history) > maxHistory {
		a.history = a.history[1:]
	}
	a.list.Follow(a.server.list)
	a.notify()
}

// notify has what the agent has count as notified, and writes it to whoever watches.
func (a *agent) notify() {
	if a.server.run.gateways[a.gateway].up && !a.down {
		a.list.Note(gatewayName(a.gateway), a.server.run.sim.Now())
	}
	a.server.notifyAll()
}

// renumber has the agent take a list whose versions have begun anew.
func (a *agent) renumber() {
	a.history = nil
	a.list.Follow(a.server.list)
	a.resetWatches() // an agent that is given another history closes what it told by the old one
}

func (a *agent) resetWatches() {
	a.server.reset(func(c *watch) bool { return c.gateway == a.gateway })
}

// restart takes the agent away, with its watches, and has it come back; old says with an earlier list,
// which the next push replaces a while later. Only what its gateway has read is forgotten so: nobody
// could know of the rest.
func (a *agent) restart(after time.Duration, outdated bool) {
	if a.down || a.writtenVersion < a.list.Seq() ||
		a.server.run.sim.Now()-a.writtenAt < minQuietBeforeRestart || !a.server.run.gateways[a.gateway].up {
		return
	}
	a.down = true
	a.resetWatches()
	a.server.run.sim.After(after, func() {
		a.down = false
		a.server.run.sim.Note("the agent of %s is back", gatewayName(a.gateway))
		if !outdated || len(a.history) == 0 {
			a.receive()
			a.notify()
			return
		}
		a.list.Follow(a.history[0])
		a.server.run.sim.After(2*after+time.Second, a.receive)
	})
}
