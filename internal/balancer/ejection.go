package balancer

import (
	"thymebend/internal/balancer/outlierdetection"
)

// recordSuccess records an answer of ep. If the answer ends the ejection of ep, the concurrency limit is
// reset to its minimum.
func (b *Balancer) recordSuccess(ep *endpointState) {
	ep.cooldown.answered()
	if ep.health.RecordAnswer(b.now) {
		ep.limit.Reset(ep.minLimit())
		b.endpoints.stale = true
		b.log.printf(b.now, "server %d answers again", ep.ID)
	}
}

// recordFailure records a failure of ep. The failure lowers the concurrency limit at the end of the sampling
// period and may eject ep.
func (b *Balancer) recordFailure(ep *endpointState) {
	ep.limit.RecordFailure()
	ep.health.RecordFailure()
	if ep.health.ShouldEject() {
		b.eject(ep, "fails")
	}
}

// checkSilence ejects an endpoint that has attempts in flight but has not answered for too long, and cancels
// the attempts that may be retried elsewhere.
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

// eject takes ep out of rotation until it answers a probe, unless too large a part of the subset would be
// ejected. If ep is ejected already, its next probe is postponed. An endpoint of the expansion is always
// ejected, without a log line, and does not count towards that part.
func (b *Balancer) eject(ep *endpointState, reason string) {
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
		b.log.printf(b.now, "server %d %s, ejected", ep.ID, reason)
	}
	b.endpoints.stale = true
	ep.health.Eject(b.now, b.classes.meanObjective(), b.rng.Float64())
}

// mayProbe reports whether r may probe the ejected endpoint ep: one request at a time, when the probe is due,
// and only the first attempt of a request that can be retried if the probe fails. An ejected endpoint is
// therefore not restored while all requests are non-idempotent.
func (b *Balancer) mayProbe(ep *endpointState, r *requestState) bool {
	retryable := b.classOf(r).Idempotency != NonIdempotent && len(r.attempts) == 0
	return retryable && ep.inFlight == 0 && ep.health.ProbeDue(b.now)
}

// cancelAttempts cancels the attempts in flight on a silent endpoint whose requests may be retried. Long
// attempts on other endpoints are not cancelled: a cancel seldom stops the work, and the work of the retry
// would be added to it.
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
				b.actions.CancelAttempt(id, i)
			}
		}
	}
}
