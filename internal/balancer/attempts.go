package balancer

import (
	"slices"
	"time"

	"thymebend/internal/balancer/stats"
)

// addInFlight counts an attempt of r among what ep works on; vacate takes it back.
func (b *Balancer) addInFlight(r *requestState, ep *endpointState) {
	if b.effectiveInFlight(ep) == 0 {
		ep.health.LastHeard = b.now
	}
	ep.inFlight++
	ep.requests = append(ep.requests, r.ID)
	usual := ep.usualMS(b.classOf(r))
	ep.classes[r.Class].Started(b.now, usual, b.classes.meanObjective())
}

func (b *Balancer) removeInFlight(r *requestState, ep *endpointState) {
	ep.inFlight--
	at := slices.Index(ep.requests, r.ID)
	ep.requests = slices.Delete(ep.requests, at, at+1)
	ep.classes[r.Class].Ended()
}

// effectiveInFlight is what ep has in flight. Attempts of a stalled class do not count while other work
// is answered: they must not take the place of that work.
func (b *Balancer) effectiveInFlight(ep *endpointState) int {
	n := ep.inFlight
	for i := range ep.classes {
		c := &ep.classes[i]
		if c.InFlight > 0 && c.StalledSince(b.now, ep.health.LastHeard, ep.usualMS(&b.classes.entries[i])) {
			n -= c.InFlight
		}
	}
	return n
}

// RequestWriting tells that an attempt's request is still being written, which is no work for its endpoint,
// and later that its last byte is: only then do its work, its objective and its client's timeout begin.
func (b *Balancer) RequestWriting(now time.Duration, id RequestID, number int, done bool) {
	b.now = now
	r := b.requests.byID[id]
	if r == nil {
		return
	}
	a := r.unended(number)
	if a == nil || a.writing != done {
		return
	}
	if a.writing = !done; a.writing {
		b.removeInFlight(r, a.endpoint)
		a.endpoint.classes[r.Class].Withdrawn()
		return
	}
	b.addInFlight(r, a.endpoint)
	a.started, r.arrivedAt, r.firstTriedAt, r.deadline = now, now, now, now+r.ClientTimeout
}

// MayStartAttempt reports whether an attempt of which nothing is written may still be: connections come up
// late, and the window of a keyed request ends by the moment of writing, not by that of deciding.
func (b *Balancer) MayStartAttempt(now time.Duration, id RequestID, number int) bool {
	b.now = now
	r := b.requests.byID[id]
	return r != nil && number < len(r.attempts) &&
		b.idempotencyAllows(r, r.attempts[:number], r.attempts[number].endpoint)
}

// AttemptEnded tells how an attempt ended.
func (b *Balancer) AttemptEnded(now time.Duration, end AttemptEnd) {
	b.now = now
	r := b.requests.byID[end.Request]
	if r == nil {
		return
	}
	a := r.unended(end.Attempt)
	if a == nil {
		return
	}
	ep, class := a.endpoint, b.classOf(r)
	a.ended, a.neverRan = true, end.Outcome.NeverRan()
	if r.inFlight--; !a.writing {
		b.removeInFlight(r, ep)
	}
	b.recordOutcome(r, a, end)
	ep.classes[r.Class].Settle(b.now, ep.usualMS(class))
	if !ep.subset.used && ep.inFlight == 0 {
		b.out.CloseIdle(ep.ID)
	}
	switch {
	case end.RequestDone || r.done:
		b.conclude(r, end.Outcome == OutcomeOK && b.now <= class.usefulUntil(r.firstTriedAt, r.deadline))
	case r.inFlight == 0 && end.BodyConsumed:
		b.rejectOrFail(r)
	case r.inFlight == 0:
		b.retry(r)
	}
}

// recordOutcome updates the limit, the health and the cooldown of the endpoint with the end of an attempt.
func (b *Balancer) recordOutcome(r *requestState, a *attempt, end AttemptEnd) {
	ep := a.endpoint
	if end.Reported {
		ep.limit.RecordQueueLength(end.QueueLength)
	}
	switch end.Outcome {
	case OutcomeOK:
		ep.classes[r.Class].Answered(b.now)
		b.recordAnswer(r, ep, end.Latency)
		b.recordSuccess(ep)
		// A single heavy request tells little of how long to rest.
		b.rest(ep, min(stats.Milliseconds(end.Latency), 2*ep.serviceMS(b.classes.referenceMS)))
	case OutcomeError, OutcomeReset, OutcomeConnectFailed:
		ep.health.LastHeard = b.now
		ep.cooldown.afterFailure(b.now, b.classes.referenceMS, b.classes.meanObjective())
		b.recordFailure(ep)
		if ep.subset.expansion && end.Outcome == OutcomeConnectFailed {
			b.endpoints.signals.Full = true
		}
	case OutcomeRejected:
		// The endpoint is there and has enough: that is for its limit to learn, not for its health.
		ep.limit.RecordFailure()
		ep.health.LastHeard = b.now
		ep.cooldown.afterRejection(b.now, b.classes.referenceMS, b.classes.meanObjective())
		if ep.subset.expansion {
			b.endpoints.signals.Full = true
		}
	case OutcomeTimeout:
		// The endpoint may be at work on it still: a slow one must not get the next request at once.
		b.rest(ep, stats.Milliseconds(end.Latency))
		if ep.health.LastHeard <= a.started {
			b.recordFailure(ep)
		} else {
			ep.limit.RecordFailure() // others were answered meanwhile: slow or heavy, not silent
		}
	}
}

// recordAnswer learns the service time of an answer, scaled to the average class, and its response time.
func (b *Balancer) recordAnswer(r *requestState, ep *endpointState, latency time.Duration) {
	c := b.classOf(r)
	ms := c.recordService(latency)
	ep.limit.RecordAnswer(ms / b.classes.relativeCost(c))
	b.response.Record(float64(b.now-r.arrivedAt) / float64(c.LatencyObjective))
}

// rest keeps attempts from an endpoint with a limit below one after one that kept it busy for so many ms.
func (b *Balancer) rest(ep *endpointState, busyMS float64) {
	if rest := ep.limit.RestAfter(busyMS); rest > 0 {
		ep.cooldown.extend(b.now + rest)
	}
}
