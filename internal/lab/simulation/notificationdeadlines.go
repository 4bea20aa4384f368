package simulation

import (
	"time"

	"thymebend/internal/lab/registry"
)

// This file extends the rule on drains for a discovery with a call queue. The rule forbids a gateway to send to
// a host after the gateway was notified that the host drains or is removed. With a call queue, a change counts
// as notified to every gateway at the latest 6 s after discovery has the change and can be reached, whatever
// happened to the gateway's calls. The grace period (drainGrace) is added to that. A gateway that is notified
// earlier has to act on the change from then on.
//
// An exception covers what no gateway can achieve: discovery's capacity may not suffice to answer, within 6 s,
// the calls that discovery has caused itself. These are the calls of gateways whose watches discovery has
// ended, reset or let fall silent, and the first calls of all gateways. A burst of such calls needs (number of
// gateways) x (work of a call) / capacity; the times of bursts add up if one follows before the work of another
// is done. The change then counts as notified silenceDetection + workStretch x the remaining time after
// discovery has the change, if that is later than 6 s. Calls that gateways repeat by their own decision extend
// nothing.
//
// The rule does not cover a discovery that is down or paused: the profile discovery-load has no such fault.
const (
	notificationLimit = 6 * time.Second
	silenceDetection  = 2800 * time.Millisecond // a missed heartbeat, 2.4 s, and the jitter of the calls after it, 0.4 s
	workStretch       = 1.5                     // refused calls are repeated up to 1.5 s later, in no particular order
)

// departure is a host that drains or is removed, with the time at which this counts as notified at the latest.
type departure struct {
	host     string
	state    string
	deadline time.Duration
}

// notificationDeadlines holds when changes count as notified at the latest.
type notificationDeadlines struct {
	sim        *Sim
	work       time.Duration // of one call
	busyUntil  time.Duration // end of the work on calls that discovery caused, if no call is wasted
	departures []departure   // in order of their announcement
}

// allowance returns the time that gateways have from now on to receive a change.
func (n *notificationDeadlines) allowance() time.Duration {
	backlog := max(0, n.busyUntil-n.sim.Now())
	return max(notificationLimit, silenceDetection+time.Duration(workStretch*float64(backlog)))
}

// recordChange records that a host's entry in discovery's list has changed.
func (n *notificationDeadlines) recordChange(e registry.Entry) {
	if n == nil {
		return
	}
	for i, d := range n.departures {
		if d.host != e.Host {
			continue
		}
		if e.State == registry.Up {
			n.departures = append(n.departures[:i:i], n.departures[i+1:]...)
		}
		return // the first notice of the departure counts
	}
	if e.State != registry.Up {
		n.departures = append(n.departures, departure{e.Host, e.State, n.sim.Now() + n.allowance()})
	}
}

// addCalls records calls that discovery has caused. If discovery cannot answer them within notificationLimit,
// they extend the deadlines that have not passed.
func (n *notificationDeadlines) addCalls(calls int) {
	if n == nil || calls == 0 {
		return
	}
	now := n.sim.Now()
	n.busyUntil = max(n.busyUntil, now) + time.Duration(calls)*n.work
	if n.allowance() <= notificationLimit {
		return
	}
	for i := range n.departures {
		if d := &n.departures[i]; d.deadline > now {
			d.deadline = max(d.deadline, now+n.allowance())
		}
	}
}

// overdue returns the deadline by which a host's departure counts as notified, once it has passed. ok is false
// if the host does not leave or its deadline has not passed.
func (n *notificationDeadlines) overdue(host string) (at registry.Notification, ok bool) {
	if n == nil {
		return registry.Notification{}, false
	}
	for _, d := range n.departures {
		if d.host == host && d.deadline <= n.sim.Now() {
			return registry.Notification{At: d.deadline, State: d.state}, true
		}
	}
	return registry.Notification{}, false
}
