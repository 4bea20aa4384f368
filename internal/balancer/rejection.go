package balancer

import (
	"time"

	"thymebend/internal/balancer/stats"
)

// rejectOrFail gives r its final answer without an endpoint's: a rejection if trying again is harmless,
// else a failure.
func (b *Balancer) rejectOrFail(r *requestState) {
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

// minRetryAfter is the least Retry-After in mean latency objectives; up to one more is drawn at random,
// so that clients do not come back together.
const minRetryAfter = 0.5

// retryAfter asks clients to stay away until the queue has had time to drain.
func (b *Balancer) retryAfter() time.Duration {
	if !b.cfg.RetryAfter {
		return 0
	}
	return min(stats.Scale(b.classes.meanObjective(), minRetryAfter+b.rng.Float64()), b.cfg.MaxRetryAfter)
}

// tooLateToStart reports whether the answer to an attempt of r that started now would come after it
// still earns weight: after the latency objective, counted from the client's first try, or after the
// client's deadline where a late answer earns something (LateWeight). Such a request is rejected at
// once: its client hears sooner, and the endpoints are left to work that counts.
func (b *Balancer) tooLateToStart(r *requestState) bool {
	c := b.classOf(r)
	return b.now+c.expected+b.cfg.dispatchSlack() >= c.usefulUntil(r.firstTriedAt, r.deadline)
}

// shed reports whether a queued request is past its maximum queue time, which is counted from its
// client's first try, not from its arrival here: a client's retry may be shed at once. A request that
// was attempted is not shed.
func (b *Balancer) shed(r *requestState) bool {
	longest := b.classOf(r).maxQueueTime.of(r.overQuota)
	return len(r.attempts) == 0 && b.now-r.firstTriedAt > longest
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
