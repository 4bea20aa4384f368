package balancer

import (
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// crossZoneShare is the longest wait before a request may go to another zone, as a share of its maximum queue
// time: finding an endpoint there takes part of that time.
const crossZoneShare = 0.5

// dispatchMisses records, for one class, that a request found no free capacity during the current Dispatch,
// in the local zone or in any zone. The search is then skipped for further requests of the class.
type dispatchMisses struct{ local, anyZone bool }

// flagFor returns the flag for the zones that a request may go to.
func (m *dispatchMisses) flagFor(crossZone bool) *bool {
	if crossZone {
		return &m.anyZone
	}
	return &m.local
}

// Dispatch starts attempts for the queued requests for which there is capacity, and gives a final answer to
// those that cannot be answered in time or are shed. The gateway calls it once after each group of events
// that arrived together.
func (b *Balancer) Dispatch(now time.Duration) {
	b.now = now
	for i := range b.classes.entries {
		b.classes.entries[i].misses = dispatchMisses{}
	}
	if b.endpoints.stale {
		b.chooseSubset()
	}
	b.queue.retain(b.dispatchRequest)
	if len(b.queue) > 0 {
		b.markLimited()
		b.setQueueTimer()
	}
}

// dispatchRequest starts an attempt of a queued request, gives it its final answer, or does neither, and
// reports whether it stays queued.
func (b *Balancer) dispatchRequest(r *requestState) (queued bool) {
	if r.done {
		r.queued = false
		b.release(r)
		return false
	}
	if b.tooLateToStart(r) {
		b.recordWait(r)
		b.rejectOrFail(r)
		return false
	}
	if ep := b.pickEndpoint(r); ep != nil {
		b.recordWait(r)
		b.startAttempt(r, ep)
		return false
	}
	if b.shouldShed(r) {
		b.recordWait(r)
		b.rejectOrFail(r)
		return false
	}
	maxTime := b.classOf(r).maxQueueTime.forQuota(r.overQuota)
	if b.now-r.firstTriedAt > maxTime/2 {
		b.endpoints.signals.ShortOfCapacity = true
	}
	return true
}

// recordWait records the queue time of a request that leaves the queue, unless it was attempted before.
func (b *Balancer) recordWait(r *requestState) {
	if len(r.attempts) == 0 {
		objective := b.classOf(r).LatencyObjective
		b.queueThreshold.RecordWait(float64(b.now-r.arrivedAt) / float64(objective))
	}
}

// chooseSubset chooses the subset again and closes the idle connections to endpoints that are no longer used.
func (b *Balancer) chooseSubset() {
	for _, ep := range b.endpoints.choose(b.now, &b.cfg, b.rng) {
		if !ep.subset.used && ep.inFlight == 0 {
			b.actions.CloseIdle(ep.ID)
		}
	}
}

// markLimited marks the concurrency limits of the endpoints that keep queued requests waiting.
func (b *Balancer) markLimited() {
	for _, ep := range b.endpoints.subset {
		if b.effectiveInFlight(ep) >= ep.allowed() || ep.cooldown.active(b.now) {
			ep.limit.MarkLimited()
		}
	}
}

// setQueueTimer makes sure that the queue is examined again soon even if no other event arrives.
func (b *Balancer) setQueueTimer() {
	if !b.queueTimerSet {
		b.queueTimerSet = true
		b.actions.SetTimer(b.cfg.dispatchSlack(), queueTimer)
	}
}

// preference ranks endpoints; the lowest value is used first. Free capacity decides among equal ranks.
type preference int

const (
	// ejected, with a probe due: it is preferred, because otherwise it would never be probed
	preferProbe         preference = iota
	preferLocalZone                // in the subset and the local zone
	preferRemoteZone               // in the subset, in another zone
	preferOutsideSubset            // for a retry that must not go to the subset
)

func (b *Balancer) preference(ep *endpointState) preference {
	switch {
	case ep.health.Ejected:
		return preferProbe
	case !ep.subset.used:
		return preferOutsideSubset
	case ep.Zone == b.cfg.Zone:
		return preferLocalZone
	default:
		return preferRemoteZone
	}
}

// pickEndpoint returns the most preferred endpoint with the most free capacity for r, or nil. Free capacity
// only shrinks during a Dispatch. Once the search for a first attempt finds none, it is therefore skipped for
// further first attempts of the same class that may go to the same zones: examining every endpoint for every
// queued request would take more CPU than a gateway has.
func (b *Balancer) pickEndpoint(r *requestState) *endpointState {
	class := b.classOf(r)
	firstAttempt, candidates := len(r.attempts) == 0, b.endpoints.subset
	if !firstAttempt && class.Idempotency == KeyedIdempotent {
		candidates = b.endpoints.all // the dedup scope of a retry may lie outside the subset
	}
	crossZone := !firstAttempt || b.now-r.arrivedAt >= b.crossZoneWait(class, r)
	noCapacity := class.misses.flagFor(crossZone)
	if len(candidates) == 0 || firstAttempt && *noCapacity || b.paused {
		return nil
	}
	var best *endpointState
	var bestTier preference
	var bestFree int
	start := b.startIndex(len(candidates), firstAttempt, crossZone)
	for i := range candidates {
		ep := candidates[(start+i)%len(candidates)]
		if ep.Zone != b.cfg.Zone && !crossZone || !b.usable(ep, r) {
			continue
		}
		tier, free := b.preference(ep), ep.allowed()-b.effectiveInFlight(ep)
		if best == nil || tier < bestTier || tier == bestTier && free > bestFree {
			best, bestTier, bestFree = ep, tier, free
		}
	}
	if firstAttempt {
		*noCapacity = best == nil
	}
	return best
}

// crossZoneWait returns how long a request waits before it may go to another zone: CrossZoneCost as a share
// of its latency objective, but at most ServiceShare of that objective and at most crossZoneShare of the
// queue time after which the request is shed.
func (b *Balancer) crossZoneWait(class *classState, r *requestState) time.Duration {
	return min(stats.Scale(class.LatencyObjective, min(b.cfg.CrossZoneCost, concurrency.ServiceShare)),
		stats.Scale(class.maxQueueTime.forQuota(r.overQuota), crossZoneShare))
}

// startIndex draws the index at which the search of n candidates starts. The first of several endpoints with
// equal free capacity is used, so the draw decides between them: evenly, or by the cluster's weights.
func (b *Balancer) startIndex(n int, firstAttempt, crossZone bool) int {
	total := b.endpoints.localWeight
	if crossZone {
		total = b.endpoints.anyZoneWeight
	}
	if !firstAttempt || total == 0 {
		return b.rng.IntN(n)
	}
	draw := b.rng.Float64() * total
	for i, ep := range b.endpoints.subset {
		if crossZone || ep.Zone == b.cfg.Zone {
			if draw -= ep.subset.weight; draw < 0 {
				return i
			}
		}
	}
	return 0
}

// usable reports whether an attempt of r may start on ep now.
func (b *Balancer) usable(ep *endpointState, r *requestState) bool {
	return ep.State == EndpointReady && !ep.cooldown.active(b.now) &&
		b.effectiveInFlight(ep) < ep.allowed() &&
		ep.classes[r.Class].Allows(b.now, ep.classServiceMS(b.classOf(r))) &&
		(!ep.health.Ejected || b.mayProbe(ep, r)) && b.mayStart(r, ep) && b.slowStartAllows(ep)
}

// startAttempt starts an attempt of r on ep.
func (b *Balancer) startAttempt(r *requestState, ep *endpointState) {
	if len(r.attempts) > 0 && r.mayHaveRun() {
		b.retryBudget.Spend()
	}
	timeout := b.attemptTimeout(r, ep)
	r.attempts = append(r.attempts, attempt{endpoint: ep, started: b.now})
	r.inFlight++
	r.queued = false
	b.addInFlight(r, ep)
	if b.warmUpFraction(ep) < 1 {
		ep.warmUp.Spend()
	}
	b.actions.StartAttempt(r.ID, ep.ID, timeout)
}
