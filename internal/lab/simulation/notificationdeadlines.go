package simulation

import (
	"time"

	"thymebend/internal/lab/registry"
)

// The rule on drains for a discovery that works through calls in turn: a change counts as notified to
// every gateway at the latest 6 s after discovery had it and could be reached, whatever has become of
// the gateway's calls. The settings' grace comes on top. A gateway that was told sooner has to keep to
// it from then on.
//
// Excluded is what no gateway could do: where discovery's capacity does not suffice to answer, within
// that time, all the calls that it has caused itself. These are the calls of gateways whose watches it
// ended, reset or let fall silent, and the first calls of all gateways. They need gateways x work of a
// call / capacity, added up where one storm follows another before the work is done. The change then
// counts as notified silenceNoticed + workStretch x that time after discovery had it, if that is later
// than 6 s. Calls that gateways begin again by their own decision extend nothing.
//
// A discovery that is down or mute is not played with this rule: no fault of the profile is one.
const (
	notificationLimit = 6 * time.Second
	silenceDetection  = 2800 * time.Millisecond // a missed beat, 2.4 s, and the spread of the calls after it, 0.4 s
	workStretch       = 1.5                     // refused calls come again up to 1.5 s later, in no order
)

// departure is a host that drains or is gone, and when that counts as notified at the latest.
type departure struct {
	host     string
	state    string
	deadline time.Duration
}

// notificationDeadlines keeps when changes count as notified at the latest.
type notificationDeadlines struct {
	sim        *Sim
	work       time.Duration // of one call
	busyUntil  time.Duration // with the calls that discovery caused, if none is wasted
	departures []departure   // in the order in which they came
}

// allowance is the time that gateways have from now on.
func (n *notificationDeadlines) allowance() time.Duration {
	backlog := max(0, n.busyUntil-n.sim.Now())
	return max(notificationLimit, silenceDetection+time.Duration(workStretch*float64(backlog)))
}

// recordChange notes a change of the list.
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
		return // the first notice of its leaving counts
	}
	if e.State != registry.Up {
		n.departures = append(n.departures, departure{e.Host, e.State, n.sim.Now() + n.allowance()})
	}
}

// addCalls notes calls that discovery has caused, which put off what does not yet count as notified where
// there are too many.
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

// overdue is when a host's leaving counts as notified at the latest; ok is false if it does not leave
// or the time is not over.
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
