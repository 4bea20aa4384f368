package invariant

import (
	"slices"
	"time"

	"thymebend/internal/balancer"
)

// Request records the attempts and the end of one request, for Checker.
type Request struct {
	ID          string
	Idempotency balancer.Idempotency
	DedupScope  balancer.DedupScope
	DedupWindow time.Duration
	Deadline    time.Duration // when its client stops waiting
	done        bool          // its final answer was allowed, or its client has left
	attempts    []attempt
}

// attempt is an attempt that was allowed to be written.
type attempt struct {
	endpoint  Endpoint
	startedAt time.Duration
	running   bool
	neverRan  bool // the endpoint provably did not run it
}

// Endpoint is the endpoint of an attempt.
type Endpoint struct {
	Zone, Cell int
	Leaving    bool // it is draining or removed
}

// Attempt is an attempt that is about to be written.
type Attempt struct {
	Now               time.Duration
	AnnouncedDeadline time.Duration // the deadline that the request announces to the endpoint
	Endpoint          Endpoint
}

// ClientLeft records that the client has left. No further attempt of the request is allowed.
func (r *Request) ClientLeft() { r.done = true }

// MayReject reports whether the client may receive a rejection, which states that the request never ran or that a retry
// is safe.
func (r *Request) MayReject() bool {
	return r.Repeatable() || !r.mayHaveRun()
}

// Repeatable reports whether the request may run more than once, at any endpoint.
func (r *Request) Repeatable() bool {
	return r.Idempotency == balancer.Idempotent ||
		r.Idempotency == balancer.KeyedIdempotent && r.DedupScope == balancer.DedupAll
}

// mayHaveRun reports whether one of the attempts may have run.
func (r *Request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

// mayFollow reports whether attempt a may be written after the ended attempt previous. Work that may have run may be
// repeated only if the request is idempotent, or has an idempotency key and stays within the window and the scope in
// which endpoints deduplicate by the key.
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

// AttemptEnded records the end of the attempt with the index that AllowAttempt returned. neverRan is whether the
// endpoint provably did not run it.
func (r *Request) AttemptEnded(index int, neverRan bool) {
	if index < len(r.attempts) {
		r.attempts[index].running = false
		r.attempts[index].neverRan = neverRan
	}
}
