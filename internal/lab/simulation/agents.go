package simulation

import (
	"time"

	"thymebend/internal/lab/registry"
)

// In runs with Plan.Pushed, discovery pushes the list of hosts to an agent on each gateway's machine, and the
// gateway calls its agent instead of discovery. The agent answers its gateway's watches (calls whose responses
// stay open and report changes) at once with the list that it has received. A change reaches each agent after a
// random delay, and not while discovery is down or paused. A change counts as notified to a gateway as soon as
// the gateway's agent has received it.

// maxPushDelay is the greatest delay with which an agent receives a pushed change.
const maxPushDelay = 120 * time.Millisecond

// agent is the agent on one gateway's machine.
type agent struct {
	server  *discoveryServer
	gateway int
	list    *registry.Registry   // the list that it has received
	history []*registry.Registry // earlier versions of list, oldest first
	down    bool

	writtenVersion int           // version last written to the gateway, if its process is alive
	writtenAt      time.Duration // time of the last write to the gateway
}

// minQuietBeforeRestart is the least time between an agent's last write to its gateway and a restart of the
// agent. A gateway that had no time to call its agent between two restarts could not have been notified.
const minQuietBeforeRestart = 500 * time.Millisecond

// maxHistory is the largest number of versions by which a restarted agent's list may be out of date.
const maxHistory = 6

// listFor returns the list that answers the calls of a gateway: its agent's list, or discovery's where there are
// no agents.
func (d *discoveryServer) listFor(gateway int) *registry.Registry {
	if len(d.agents) == 0 {
		return d.list
	}
	return d.agents[gateway].list
}

// notification returns when a gateway was notified that a host drains or is removed. If the deadline by which
// this counts as notified (see notificationDeadlines) has passed and is earlier, it returns the deadline.
func (d *discoveryServer) notification(gateway int, host string) (registry.Notification, bool) {
	t, ok := d.listFor(gateway).Notified(gatewayName(gateway), host)
	if by, over := d.deadlines.overdue(host); over && (!ok || by.At < t.At) {
		return by, true
	}
	return t, ok
}

// forget deletes the notifications of a gateway whose process has ended: the next process does not know them.
func (d *discoveryServer) forget(gateway int) {
	d.listFor(gateway).Forget(gatewayName(gateway))
}

// push sends the current list to every agent.
func (d *discoveryServer) push() {
	for _, a := range d.agents {
		d.run.sim.After(time.Duration(d.run.sim.Rand.Int64N(int64(maxPushDelay))), a.receive)
	}
}

// receive copies discovery's current list, unless discovery or this agent is down or discovery is paused.
func (a *agent) receive() {
	if a.down || a.server.down || a.server.paused || a.list.Version() >= a.server.list.Version() {
		return
	}
	if a.history = append(a.history, a.list.Copy()); len(a.history) > maxHistory {
		a.history = a.history[1:]
	}
	a.list.CopyFrom(a.server.list)
	a.notify()
}

// notify records the agent's list as notified to its gateway, and writes it to the open watches.
func (a *agent) notify() {
	if a.server.run.gateways[a.gateway].up && !a.down {
		a.list.RecordNotification(gatewayName(a.gateway), a.server.run.sim.Now())
	}
	a.server.notifyAll()
}

// renumber makes the agent adopt discovery's list after its version numbers have started again.
func (a *agent) renumber() {
	a.history = nil
	a.list.CopyFrom(a.server.list)
	a.resetWatches() // an agent that adopts another history closes the watches that reported the old one
}

func (a *agent) resetWatches() {
	a.server.reset(func(c *watch) bool { return c.gateway == a.gateway })
}

// restart takes the agent down, resets its watches and brings it back after the given time. If outdated is set,
// the agent comes back with an earlier version of its list, and copies discovery's current list 2*after + 1 s
// later. The agent does not restart unless it has written its whole list to its gateway, at least
// minQuietBeforeRestart ago: otherwise the gateway would miss changes that count as notified to it.
func (a *agent) restart(after time.Duration, outdated bool) {
	if a.down || a.writtenVersion < a.list.Version() ||
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
		a.list.CopyFrom(a.history[0])
		a.server.run.sim.After(2*after+time.Second, a.receive)
	})
}
