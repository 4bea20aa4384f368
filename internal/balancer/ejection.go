package balancer

import (
	"thymebend/internal/balancer/outlierdetection"
)

// recordSuccess notes an answer of ep. One that was ejected may come back, with the least limit.
func (b *Balancer) recordSuccess(ep *endpointState) {
	ep.cooldown.answered()
	if ep.health.RecordAnswer(b.now) {
		ep.limit.Reset(ep.minLimit())
		b.endpoints.stale = true
		b.log.printf(b.now, "server %d answers again", ep.ID)
	}
}

// recordFailure notes a failure of ep, which lowers its limit at the end of the sampling period and may
// eject it.
func (b *Balancer) recordFailure(ep *endpointState) {
	ep.limit.RecordFailure()
	ep.health.RecordFailure()
	if ep.health.ShouldEject() {
		b.eject(ep, "fails")
	}
}

// checkSilence ejects an endpoint that has work and is silent, and takes back the work that may be retried.
func (b *Balancer) checkSilence(ep *endpointState) {
	reference := b.classes.referenceMS
	if reference == 0 || b.effectiveInFlight(ep) == 0 || !ep.health.IsSilent(b.now, ep.serviceMS(reference)) {
		return
	}
	b.eject(ep, "is silent")
	if ep.health.Ejected {
		ep.health.Silent = true
		b.cancelAttempts(ep)
	}
}

// eject keeps ordinary requests from ep, until a probe is answered, unless too many of the subset look bad.
// An expansion is ejected in any case and without a log line, and does not count among those that look bad.
func (b *Balancer) eject(ep *endpointState, why string) {
	if !ep.health.Ejected && !ep.subset.expansion {
		ejected, ready := 1, 0
		for _, other := range b.endpoints.subset {
			if other.State == EndpointReady && !other.subset.expansion {
				ready++
				if other.health.Ejected {
					ejected++
				}
			}
		}
		if outlierdetection.TooManyEjected(ejected, ready) {
			return
		}
		b.log.printf(b.now, "server %d %s, ejected", ep.ID, why)
	}
	b.endpoints.stale = true
	ep.health.Eject(b.now, b.classes.meanObjective(), b.rng.Float64())
}

// mayProbe reports whether r may probe an ejected endpoint: one request at a time, when the probe is
// due, and only the first attempt of a request that can be retried if it fails. So an ejected endpoint
// does not come back while all requests are non-idempotent.
func (b *Balancer) mayProbe(ep *endpointState, r *requestState) bool {
	retryable := b.classOf(r).Idempotency != NonIdempotent && len(r.attempts) == 0
	return retryable && ep.inFlight == 0 && ep.health.ProbeDue(b.now)
}

// cancelAttempts cancels what is in flight on a silent endpoint and may be retried. A long attempt on any
// other is waited for: a cancel seldom stops work, and the retry would be paid twice.
func (b *Balancer) cancelAttempts(ep *endpointState) {
	if !b.cfg.CancelAllowed {
		return
	}
	for _, id := range ep.requests {
		r := b.requests.byID[id]
		c := b.classOf(r)
		if r.done || c.Idempotency == NonIdempotent || len(r.attempts) >= b.cfg.MaxAttempts ||
			b.tooLateToStart(r) {
			continue
		}
		for i := range r.attempts {
			if a := &r.attempts[i]; a.endpoint == ep && !a.ended {
				b.out.CancelAttempt(id, i)
			}
		}
	}
}
