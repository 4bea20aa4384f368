package balancer

import (
	"time"

	"thymebend/internal/balancer/stats"
)

// finish gives r its final answer without an endpoint's: a rejection if trying again is harmless, else a
// failure.
func (b *Balancer) finish(r *requestState) {
	r.queued = false
	if b.mayReject(r) {
		b.out.Reject(r.ID, b.retryAfter())
	} else {
		b.out.Fail(r.ID)
	}
	b.conclude(r, false)
}

// mayReject guards the promise of a rejection: another try by the client must not repeat an effect.
func (b *Balancer) mayReject(r *requestState) bool {
	c := b.classOf(r)
	return c.Idempotency == Idempotent || c.Idempotency == KeyedIdempotent && c.DedupScope == DedupAll ||
		!r.mayHaveRun()
}

// retryAfter asks clients to stay away until the queue has had time to drain.
func (b *Balancer) retryAfter() time.Duration {
	if !b.cfg.RetryAfter {
		return 0
	}
	return min(stats.Scale(b.classes.meanObjective(), 0.5+b.rng.Float64()), b.cfg.MaxRetryAfter)
}

// pastDeadline reports whether an answer to r could no longer count if an attempt started now. To reject it
// at once tells the client sooner and leaves the endpoints to work that counts. It also keeps the deadline.
func (b *Balancer) pastDeadline(r *requestState) bool {
	c := b.classOf(r)
	return b.now+c.expected+2*b.cfg.DispatchInterval >= c.usefulUntil(r.begun, r.deadline)
}

// shed reports whether a queued request has waited for its maximum queue time. A request that was attempted
// is not shed.
func (b *Balancer) shed(r *requestState) bool {
	longest := b.classOf(r).maxQueueTime.of(r.overQuota)
	return len(r.attempts) == 0 && b.now-r.begun > longest
}

// conclude notes that r has its final answer; it is kept while attempts are in flight.
func (b *Balancer) conclude(r *requestState, inTime bool) {
	if !r.done {
		b.classOf(r).recordConcluded(inTime)
	}
	r.done = true
	b.forget(r)
}

// forget drops a concluded request once nothing refers to it.
func (b *Balancer) forget(r *requestState) {
	if b.requests.forget(r) {
		b.classOf(r).open--
	}
}
