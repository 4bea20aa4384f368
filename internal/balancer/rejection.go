package balancer

import (
	"time"

	"thymebend/internal/balancer/stats"
)

// rejectOrFail gives r a final answer from the gateway: a rejection if a retry by the client is safe,
// otherwise a failure.
func (b *Balancer) rejectOrFail(r *requestState) {
	r.queued = false
	if b.mayReject(r) {
		b.actions.Reject(r.ID, b.retryAfter())
	} else {
		b.actions.Fail(r.ID)
	}
	b.conclude(r, false)
}

// mayReject reports whether r may be rejected. A rejection promises that another try by the client does not
// repeat an effect.
func (b *Balancer) mayReject(r *requestState) bool {
	c := b.classOf(r)
	return c.Idempotency == Idempotent || c.Idempotency == KeyedIdempotent && c.DedupScope == DedupAll ||
		!r.mayHaveRun()
}

// minRetryAfter is the shortest Retry-After as a multiple of the mean latency objective. A random part of up
// to one objective is added so that clients do not return at the same time.
const minRetryAfter = 0.5

// retryAfter returns a Retry-After that gives the queue time to drain, or 0 if the settings allow none.
func (b *Balancer) retryAfter() time.Duration {
	if !b.cfg.RetryAfter {
		return 0
	}
	return min(stats.Scale(b.classes.meanObjective(), minRetryAfter+b.rng.Float64()), b.cfg.MaxRetryAfter)
}

// tooLateToStart reports whether an attempt of r that starts now would be answered too late to earn weight:
// after the latency objective, counted from the client's first try, or after the client's deadline if a late
// answer earns something (LateWeight). Such a request is rejected at once: its client gets the answer sooner,
// and the endpoints can work on requests that still earn weight.
func (b *Balancer) tooLateToStart(r *requestState) bool {
	c := b.classOf(r)
	return b.now+c.expectedService+b.cfg.dispatchSlack() >= c.usefulUntil(r.firstTriedAt, r.deadline)
}

// shouldShed reports whether a queued request has exceeded its maximum queue time. The time is counted from
// the client's first try, not from the arrival at this gateway, so a client's retry may be shed at once. A
// request that was attempted before is not shed.
func (b *Balancer) shouldShed(r *requestState) bool {
	maxTime := b.classOf(r).maxQueueTime.forQuota(r.overQuota)
	return len(r.attempts) == 0 && b.now-r.firstTriedAt > maxTime
}

// conclude records that r has its final answer, and releases r unless attempts are still in flight.
func (b *Balancer) conclude(r *requestState, inTime bool) {
	if !r.done {
		b.classOf(r).recordConcluded(inTime)
	}
	r.done = true
	b.release(r)
}

// release removes a concluded request once it is neither queued nor in flight.
func (b *Balancer) release(r *requestState) {
	if b.requests.release(r) {
		b.classOf(r).openRequests--
	}
}
