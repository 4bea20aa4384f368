package balancer

import (
	"slices"
	"time"

	"thymebend/internal/balancer/outlierdetection"
	"thymebend/internal/balancer/stats"
)

// retry queues r for another attempt if that is allowed and can still help; otherwise r gets its final
// answer.
func (b *Balancer) retry(r *requestState) {
	if b.now >= r.deadline || b.tooLateToStart(r) || !b.mayRetry(r) {
		b.rejectOrFail(r)
		return
	}
	b.queue.insert(r)
}

// mayRetry reports whether r may have another attempt: attempts are left and, if one may have run, so
// is retry budget, and some endpoint is within its dedup scope and window.
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

// idempotencyAllows guards the rule that no effect happens twice: after these attempts a request that
// is not idempotent may start only if it never ran, a keyed one only in the scope and within the window
// of each attempt that may have run. The window ends a dispatch slack early, as an attempt may start
// that late. The invariant checker of the gateway applies the same rule once more, on its own record.
func (b *Balancer) idempotencyAllows(r *requestState, earlier []attempt, ep *endpointState) bool {
	c := b.classOf(r)
	for i := range earlier {
		a := &earlier[i]
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

// attemptTimeout is how long an attempt is awaited: 0, until the client gives up, but for a probe of an
// ejected endpoint.
func (b *Balancer) attemptTimeout(r *requestState, ep *endpointState) time.Duration {
	if !ep.health.Ejected {
		return 0
	}
	return stats.Scale(b.classOf(r).expected, outlierdetection.ProbeTimeoutFactor)
}
