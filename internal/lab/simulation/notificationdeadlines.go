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
	notifiedAtTheLatest = 6 * time.Second
	silenceNoticed      = 2800 * time.Millisecond // a missed beat, 2.4 s, and the spread of the calls after it, 0.4 s
	workStretch         = 1.5                     // refused calls come again up to 1.5 s later, in no order
)

// departure is a host that drains or is gone, and when that counts as notified at the latest.
type departure struct {
	host  string
	state string
	by    time.Duration
}

// notificationDeadlines keeps when changes count as notified at the latest.
type notificationDeadlines struct {
	sim        *Sim
	work       time.Duration // of one call
	busyUntil  time.Duration // with the calls that discovery caused, if none is wasted
	departures []departure   // in the order in which they came
}

// within is the time that gateways have from now on.
func (t *notificationDeadlines) within() time.Duration {
	backlog := max(0, t.busyUntil-t.sim.Now())
	return max(notifiedAtTheLatest, silenceNoticed+time.Duration(workStretch*float64(backlog)))
}

// changed notes a change of the list.
func (t *notificationDeadlines) changed(e registry.Entry) {
	if t == nil {
		return
	}
	for i, d := range t.departures {
		if d.host != e.Host {
			continue
		}
		if e.State == registry.Up {
			t.departures = append(t.departures[:i:i], t.departures[i+1:]...)
		}
		return // the first notice of its leaving counts
	}
	if e.State != registry.Up {
		t.departures = append(t.departures, departure{e.Host, e.State, t.sim.Now() + t.within()})
	}
}

// caused notes calls that discovery has caused, which put off what does not yet count as notified where
// there are too many.
func (t *notificationDeadlines) caused(calls int) {
	if t == nil || calls == 0 {
		return
	}
	now := t.sim.Now()
	t.busyUntil = max(t.busyUntil, now) + time.Duration(calls)*t.work
	if t.within() <= notifiedAtTheLatest {
		return
	}
	for i := range t.departures {
		if d := &t.departures[i]; d.by > now {
			d.by = max(d.by, now+t.within())
		}
	}
}

// notified is when a host's leaving counts as notified at the latest; ok is false if it does not leave
// or the time is not over.
func (t *notificationDeadlines) notified(host string) (at registry.Notification, ok bool) {
	if t == nil {
		return registry.Notification{}, false
	}
	for _, d := range t.departures {
		if d.host == host && d.by <= t.sim.Now() {
			return registry.Notification{At: d.by, State: d.state}, true
		}
	}
	return registry.Notification{}, false
}
