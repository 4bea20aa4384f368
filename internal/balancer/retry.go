package balancer

import (
	"slices"
	"time"

	"thymebend/internal/balancer/outlierdetection"
	"thymebend/internal/balancer/stats"
)

// retry queues r for another attempt if that is allowed and can still be answered in time; otherwise it gives
// r its final answer.
func (b *Balancer) retry(r *requestState) {
	if b.now >= r.deadline || b.tooLateToStart(r) || !b.mayRetry(r) {
		b.rejectOrFail(r)
		return
	}
	b.queue.insert(r)
}

// mayRetry reports whether r may have another attempt: it has not used all its attempts and, if an attempt
// may have run, there is retry budget and a ready endpoint within the dedup scope and window.
func (b *Balancer) mayRetry(r *requestState) bool {
	if len(r.attempts) >= b.cfg.MaxAttempts {
		return false
	}
	if !r.mayHaveRun() {
		return true
	}
	if !b.retryBudget.Available() {
		return false
	}
	return slices.ContainsFunc(b.endpoints.all, func(ep *endpointState) bool {
		return ep.State == EndpointReady && b.mayStart(r, ep)
	})
}

// mayStart reports whether another attempt of r may start on ep.
func (b *Balancer) mayStart(r *requestState, ep *endpointState) bool {
	return r.inFlight == 0 && len(r.attempts) < b.cfg.MaxAttempts && b.idempotencyAllows(r, r.attempts, ep)
}

// idempotencyAllows enforces that no effect happens twice. After the previous attempts, a non-idempotent
// request may start on ep only if none of them may have run; a keyed request only within the dedup scope and
// window of each previous attempt that may have run. The window ends earlier by the dispatch slack, because
// the new attempt may start that much later. The gateway's invariant checker applies the same rule
// independently, to its own record.
func (b *Balancer) idempotencyAllows(r *requestState, previous []attempt, ep *endpointState) bool {
	c := b.classOf(r)
	for i := range previous {
		a := &previous[i]
		if a.neverRan || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NonIdempotent || !sameDedupScope(c.DedupScope, a.endpoint, ep) ||
			b.now+b.cfg.dispatchSlack() >= a.started+c.DedupWindow {
			return false
		}
	}
	return true
}

// attemptTimeout returns the timeout of an attempt: 0, which means until the client's deadline, except for a
// probe of an ejected endpoint.
func (b *Balancer) attemptTimeout(r *requestState, ep *endpointState) time.Duration {
	if !ep.health.Ejected {
		return 0
	}
	return stats.Scale(b.classOf(r).expectedService, outlierdetection.ProbeTimeoutFactor)
}
