package balancer

import (
	"slices"
	"time"

	"thymebend/internal/balancer/stats"
)

// addInFlight counts an attempt of r among those in flight on ep; removeInFlight reverses it.
func (b *Balancer) addInFlight(r *requestState, ep *endpointState) {
	if b.effectiveInFlight(ep) == 0 {
		ep.health.LastResponseAt = b.now
	}
	ep.inFlight++
	ep.requests = append(ep.requests, r.ID)
	serviceMS := ep.classServiceMS(b.classOf(r))
	ep.classes[r.Class].RecordStart(b.now, serviceMS, b.classes.meanObjective())
}

func (b *Balancer) removeInFlight(r *requestState, ep *endpointState) {
	ep.inFlight--
	index := slices.Index(ep.requests, r.ID)
	ep.requests = slices.Delete(ep.requests, index, index+1)
	ep.classes[r.Class].RecordEnd()
}

// effectiveInFlight returns the number of attempts in flight on ep. Attempts of a stalled class do not count
// while ep answers other requests: they must not use up the capacity for those.
func (b *Balancer) effectiveInFlight(ep *endpointState) int {
	n := ep.inFlight
	for i := range ep.classes {
		c := &ep.classes[i]
		if c.InFlight > 0 && c.StalledDespiteResponses(b.now, ep.health.LastResponseAt,
			ep.classServiceMS(&b.classes.entries[i])) {
			n -= c.InFlight
		}
	}
	return n
}

// RequestWriting reports that the request of an attempt is still being written, which causes no work at its
// endpoint, or, if done is set, that its last byte has been written. Only then do the service time, the
// latency objective and the client timeout of the request start.
func (b *Balancer) RequestWriting(now time.Duration, id RequestID, number int, done bool) {
	b.now = now
	r := b.requests.byID[id]
	if r == nil {
		return
	}
	a := r.activeAttempt(number)
	if a == nil || a.writing != done {
		return
	}
	if a.writing = !done; a.writing {
		b.removeInFlight(r, a.endpoint)
		a.endpoint.classes[r.Class].RecordWithdrawal()
		return
	}
	b.addInFlight(r, a.endpoint)
	a.started, r.arrivedAt, r.firstTriedAt, r.deadline = now, now, now, now+r.ClientTimeout
}

// MayStartAttempt reports whether the gateway may still write an attempt of which it has written nothing. The
// connection may be established long after the decision, and the dedup window of a keyed request must still
// be open when the request is written.
func (b *Balancer) MayStartAttempt(now time.Duration, id RequestID, number int) bool {
	b.now = now
	r := b.requests.byID[id]
	return r != nil && number < len(r.attempts) &&
		b.idempotencyAllows(r, r.attempts[:number], r.attempts[number].endpoint)
}

// AttemptEnded reports the end of an attempt. Ends of unknown or already ended attempts are ignored.
func (b *Balancer) AttemptEnded(now time.Duration, end AttemptEnd) {
	b.now = now
	r := b.requests.byID[end.Request]
	if r == nil {
		return
	}
	a := r.activeAttempt(end.Attempt)
	if a == nil {
		return
	}
	ep, class := a.endpoint, b.classOf(r)
	a.ended, a.neverRan = true, end.Outcome.NeverRan()
	if r.inFlight--; !a.writing {
		b.removeInFlight(r, ep)
	}
	b.recordOutcome(r, a, end)
	ep.classes[r.Class].ResetIfIdle(b.now, ep.classServiceMS(class))
	if !ep.subset.used && ep.inFlight == 0 {
		b.actions.CloseIdle(ep.ID)
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

// recordOutcome updates the concurrency limit, the health and the cooldown of the endpoint of an ended
// attempt.
func (b *Balancer) recordOutcome(r *requestState, a *attempt, end AttemptEnd) {
	ep := a.endpoint
	if end.Reported {
		ep.limit.RecordQueueLength(end.QueueLength)
	}
	switch end.Outcome {
	case OutcomeOK:
		ep.classes[r.Class].RecordAnswer(b.now)
		b.recordAnswer(r, ep, end.Latency)
		b.recordSuccess(ep)
		// The busy time is capped: the duration of one heavy request does not show how loaded the endpoint
		// is.
		b.enforceFractionalLimit(ep,
			min(stats.Milliseconds(end.Latency), 2*ep.serviceMS(b.classes.referenceMS)))
	case OutcomeError, OutcomeReset, OutcomeConnectFailed:
		ep.health.LastResponseAt = b.now
		ep.cooldown.afterFailure(b.now, b.classes.referenceMS, b.classes.meanObjective())
		b.recordFailure(ep)
		if ep.subset.expansion && end.Outcome == OutcomeConnectFailed {
			b.endpoints.signals.ExpansionFull = true
		}
	case OutcomeRejected:
		// The endpoint works but is at capacity: this lowers its concurrency limit, not its health.
		ep.limit.RecordFailure()
		ep.health.LastResponseAt = b.now
		ep.cooldown.afterRejection(b.now, b.classes.referenceMS, b.classes.meanObjective())
		if ep.subset.expansion {
			b.endpoints.signals.ExpansionFull = true
		}
	case OutcomeTimeout:
		// The endpoint may still execute the request: a slow one must not get the next request at once.
		b.enforceFractionalLimit(ep, stats.Milliseconds(end.Latency))
		if ep.health.LastResponseAt <= a.started {
			b.recordFailure(ep)
		} else {
			ep.limit.RecordFailure() // it answered others since: slow or heavy request, not silence
		}
	}
}

// recordAnswer records the service time of an answer for its class and, scaled to the average class, for the
// concurrency limit of ep, and the response time for the response setpoint.
func (b *Balancer) recordAnswer(r *requestState, ep *endpointState, latency time.Duration) {
	c := b.classOf(r)
	ms := c.recordServiceTime(latency)
	ep.limit.RecordAnswer(ms / b.classes.relativeCost(c))
	b.response.Record(float64(b.now-r.arrivedAt) / float64(c.LatencyObjective))
}

// enforceFractionalLimit applies a concurrency limit below one: after an attempt that kept ep busy for busyMS
// milliseconds, ep gets no attempts for a time that the limit determines.
func (b *Balancer) enforceFractionalLimit(ep *endpointState, busyMS float64) {
	if pause := ep.limit.CooldownAfter(busyMS); pause > 0 {
		ep.cooldown.extend(b.now + pause)
	}
}
