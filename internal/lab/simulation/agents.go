package simulation

import (
	"time"

	"thymebend/internal/lab/registry"
)

// Where lists are pushed, each gateway's machine has an agent: it answers at once with the list that it
// has been sent, is sent changes late and each at its own time, and hears nothing while discovery is
// down or mute. What it has counts as notified.

// pushSpread is how much later than the first agent the last is sent a change.
const pushSpread = 120 * time.Millisecond

// agent is one machine's agent.
type agent struct {
	d    *discoveryServer
	via  int
	list *registry.Registry
	past []*registry.Registry // as it was before, oldest first
	away bool

	written int           // the version that its gateway was written last, if it lives
	since   time.Duration // and when
}

// settle is how long an agent is left alone before it goes, or goes again: a gateway that could not
// have asked in between could not have been told.
const settle = 500 * time.Millisecond

// maxPast is how many versions back an agent may return with.
const maxPast = 6

// of is the list that a gateway's calls are answered from: its agent's, or discovery's own where it is asked.
func (d *discoveryServer) of(via int) *registry.Registry {
	if len(d.agents) == 0 {
		return d.list
	}
	return d.agents[via].list
}

// notification is when a gateway was told, or counts as notified, that a host drains or is gone.
func (d *discoveryServer) notification(gateway int, host string) (registry.Notification, bool) {
	t, ok := d.of(gateway).Told(gatewayName(gateway), host)
	if by, over := d.latest.notified(host); over && (!ok || by.At < t.At) {
		return by, true
	}
	return t, ok
}

// forget drops what a gateway was told, as one that has restarted knows it no more.
func (d *discoveryServer) forget(gateway int) {
	d.of(gateway).Forget(gatewayName(gateway))
}

// push sends the list as it stands to every agent.
func (d *discoveryServer) push() {
	for _, a := range d.agents {
		d.w.sim.After(time.Duration(d.w.sim.Rand.Int64N(int64(pushSpread))), a.sent)
	}
}

// sent takes the list as it stands now, if discovery speaks and this agent listens.
func (a *agent) sent() {
	if a.away || a.d.down || a.d.mute || a.list.Seq() >= a.d.list.Seq() {
		return
	}
	if a.past = append(a.past, a.list.Copy()); len(a.past) > maxPast {
		a.past = a.past[1:]
	}
	a.list.Follow(a.d.list)
	a.notify()
}

// notify has what the agent has count as notified, and writes it to whoever watches.
func (a *agent) notify() {
	if a.d.w.gateways[a.via].up && !a.away {
		a.list.Note(gatewayName(a.via), a.d.w.sim.Now())
	}
	a.d.notifyAll()
}

// anew has the agent take a list whose versions have begun anew.
func (a *agent) anew() {
	a.past = nil
	a.list.Follow(a.d.list)
	a.resetWatches() // an agent that is given another history closes what it told by the old one
}

func (a *agent) resetWatches() {
	a.d.reset(func(c *watch) bool { return c.via == a.via })
}

// restart takes the agent away, with its watches, and has it come back; old says with an earlier list,
// which the next push replaces a while later. Only what its gateway has read is forgotten so: nobody
// could know of the rest.
func (a *agent) restart(after time.Duration, old bool) {
	if a.away || a.written < a.list.Seq() || a.d.w.sim.Now()-a.since < settle || !a.d.w.gateways[a.via].up {
		return
	}
	a.away = true
	a.resetWatches()
	a.d.w.sim.After(after, func() {
		a.away = false
		a.d.w.sim.Note("the agent of %s is back", gatewayName(a.via))
		if !old || len(a.past) == 0 {
			a.sent()
			a.notify()
			return
		}
		a.list.Follow(a.past[0])
		a.d.w.sim.After(2*after+time.Second, a.sent)
	})
}
