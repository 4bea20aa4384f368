package invariant

import (
	"time"

	"thymebend/internal/balancer"
)

// Request is the record of one request.
type Request struct {
	ID          string
	Idempotency balancer.Idempotency
	DedupScope  balancer.DedupScope
	DedupWindow time.Duration
	Deadline    time.Duration // after which its client waits no longer
	done        bool          // it has its final answer, or its client has left
	attempts    []attempt
}

// attempt is an attempt of which something was written.
type attempt struct {
	endpoint  Endpoint
	startedAt time.Duration
	running   bool
	neverRan  bool // it is proven that the endpoint did not run it
}

// Endpoint is where an attempt goes.
type Endpoint struct {
	Zone, Cell int
	Leaving    bool // it drains or is removed
}

// Attempt is an attempt that is about to be written.
type Attempt struct {
	Now      time.Duration
	Until    time.Duration // the endpoint is told that it is waited for until then
	Endpoint Endpoint
}

// ClientLeft records that the client has left: no attempt may begin for it any more.
func (r *Request) ClientLeft() { r.done = true }

// mayFollow reports whether an attempt may follow an earlier one that is over.
func (r *Request) mayFollow(previous *attempt, a Attempt) bool {
	if previous.neverRan || r.Idempotency == balancer.Idempotent {
		return true
	}
	if r.Idempotency == balancer.NonIdempotent || a.Now > previous.startedAt+r.DedupWindow {
		return false
	}
	switch r.DedupScope {
	case balancer.DedupZone:
		return previous.endpoint.Zone == a.Endpoint.Zone
	case balancer.DedupCell:
		return previous.endpoint.Zone == a.Endpoint.Zone && previous.endpoint.Cell == a.Endpoint.Cell
	}
	return true
}

// AttemptEnded records the end of an attempt, and whether that proves that it did not run.
func (r *Request) AttemptEnded(index int, neverRan bool) {
	if index < len(r.attempts) {
		r.attempts[index].running = false
		r.attempts[index].neverRan = neverRan
	}
}
