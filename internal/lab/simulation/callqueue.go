package simulation

import (
	"errors"
	"time"
)

// CallQueue describes a discovery that works through calls one after another with a limited capacity. A
// call whose gateway has given it up still costs its turn: discovery learns of the closed connection
// only when it writes the answer.
type CallQueue struct {
	// LinesPerSecond is the capacity. A call's work is CallLines and HostLines for each host on the
	// line that answers it.
	LinesPerSecond float64 `json:"lines_per_second"`
	CallLines      float64 `json:"call_lines"`
	HostLines      float64 `json:"host_lines,omitempty"`
	// TimeoutMS bounds the wait for a turn: a call whose turn does not begin by then is answered 503,
	// when the time-out has come, or at once with ShedAtOnce.
	TimeoutMS  int  `json:"timeout_ms"`
	ShedAtOnce bool `json:"shed_at_once,omitempty"`
	// EndWatches is the chance that a watch ends when the list changes, instead of telling.
	EndWatches float64 `json:"end_watches,omitempty"`
	// WholeFirst has each call answered with the whole list, which leaves out draining hosts.
	WholeFirst bool `json:"whole_first,omitempty"`
}

// clusterCalls is the discovery of the fleet profile: it answers 667 calls a second, whatever their lists.
func clusterCalls() CallQueue {
	return CallQueue{LinesPerSecond: 1000, CallLines: 1.5, TimeoutMS: 1000}
}

// check refuses what cannot be played.
func (c CallQueue) check() error {
	switch {
	case c.LinesPerSecond <= 0:
		return errors.New("calls.lines_per_second must be positive")
	case c.CallLines < 0 || c.HostLines < 0 || c.TimeoutMS < 0:
		return errors.New("calls.call_lines, calls.host_lines and calls.timeout_ms must not be negative")
	case c.EndWatches < 0 || c.EndWatches > 1:
		return errors.New("calls.end_watches must be a chance from 0 to 1")
	}
	return nil
}

// work is how long discovery works on a call that is answered with a number of hosts.
func (c CallQueue) work(hosts int) time.Duration {
	return time.Duration((c.CallLines + c.HostLines*float64(hosts)) / c.LinesPerSecond * float64(time.Second))
}

// callQueue is the queue of calls: all of them are known by when the last is done.
type callQueue struct {
	CallQueue
	busyUntil time.Duration // with accepted calls until then
}

// enqueue adds a call and tells when it is answered, and whether it is served then or refused with 503.
func (q *callQueue) enqueue(now, work time.Duration) (at time.Duration, served bool) {
	begin := max(q.busyUntil, now)
	timeout := msec(q.TimeoutMS)
	switch {
	case begin-now <= timeout:
		q.busyUntil = begin + work
		return q.busyUntil, true
	case q.ShedAtOnce:
		return now, false
	default:
		return now + timeout, false
	}
}
