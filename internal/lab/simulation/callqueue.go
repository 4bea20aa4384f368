package simulation

import (
	"errors"
	"time"
)

// CallQueue describes a discovery that answers calls one after another with limited capacity. A call that its
// gateway has abandoned still costs its turn: discovery detects the closed connection only when it writes the
// answer.
type CallQueue struct {
	// LinesPerSecond is discovery's capacity; a line is a unit of work. The work of a call is CallLines, plus
	// HostLines for each host that its answer names.
	LinesPerSecond float64 `json:"lines_per_second"`
	CallLines      float64 `json:"call_lines"`
	HostLines      float64 `json:"host_lines,omitempty"`
	// TimeoutMS limits the wait in the queue. A call that would wait longer is answered with 503: at once if
	// ShedAtOnce is set, otherwise after TimeoutMS.
	TimeoutMS  int  `json:"timeout_ms"`
	ShedAtOnce bool `json:"shed_at_once,omitempty"`
	// EndWatches is the chance that a watch ends, instead of reporting the change, when the list changes.
	EndWatches float64 `json:"end_watches,omitempty"`
	// WholeFirst answers each call with the whole list, without draining hosts.
	WholeFirst bool `json:"whole_first,omitempty"`
}

// clusterCalls describes discovery in runs that check the rates of a large cluster (see clusterRates): it
// answers 667 calls a second, whatever the length of the lists.
func clusterCalls() CallQueue {
	return CallQueue{LinesPerSecond: 1000, CallLines: 1.5, TimeoutMS: 1000}
}

// check returns an error for settings that cannot be simulated.
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

// work returns how long discovery takes for a call whose answer names the given number of hosts.
func (c CallQueue) work(hosts int) time.Duration {
	return time.Duration((c.CallLines + c.HostLines*float64(hosts)) / c.LinesPerSecond * float64(time.Second))
}

// callQueue is a queue of calls that are served in order. Its only state is the time at which the last one
// ends.
type callQueue struct {
	CallQueue
	busyUntil time.Duration // when the last accepted call ends
}

// enqueue adds a call. It returns when the call is answered, and whether it is served then or refused with 503.
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
