package balancer

import (
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// crossZoneShare is the longest wait before a request may go to another zone, as a share of its maximum
// queue time: an endpoint there takes time to find.
const crossZoneShare = 0.5

// dispatchMisses notes that a request of a class was looked at in this Dispatch and found no free
// capacity, in the local zone or anywhere: others of the class need not be looked at.
type dispatchMisses struct{ local, anyZone bool }

// in returns the flag of the zones that a request may go to.
func (n *dispatchMisses) in(crossZone bool) *bool {
	if crossZone {
		return &n.anyZone
	}
	return &n.local
}

// Dispatch starts attempts of the queued requests for which there is capacity, and answers those that
// are past their deadline or are shed. It is called once after the events that arrived together.
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

// dispatchRequest starts an attempt of a queued request or gives it its final answer, if it is time for
// either, and reports whether it stays queued.
func (b *Balancer) dispatchRequest(r *requestState) (queued bool) {
	if r.done {
		r.queued = false
		b.forget(r)
		return false
	}
	if b.tooLateToStart(r) {
		b.recordWait(r)
		b.rejectOrFail(r)
		return false
	}
	if ep := b.pick(r); ep != nil {
		b.recordWait(r)
		b.startAttempt(r, ep)
		return false
	}
	if b.shed(r) {
		b.recordWait(r)
		b.rejectOrFail(r)
		return false
	}
	longest := b.classOf(r).maxQueueTime.of(r.overQuota)
	if b.now-r.firstTriedAt > longest/2 {
		b.endpoints.signals.Short = true
	}
	return true
}

// recordWait records the queue time of a request that leaves the queue for the first time.
func (b *Balancer) recordWait(r *requestState) {
	if len(r.attempts) == 0 {
		objective := b.classOf(r).LatencyObjective
		b.queueThreshold.RecordWait(float64(b.now-r.arrivedAt) / float64(objective))
	}
}

// chooseSubset chooses the subset anew.
func (b *Balancer) chooseSubset() {
	for _, ep := range b.endpoints.choose(b.now, &b.cfg, b.rng) {
		if !ep.subset.used && ep.inFlight == 0 {
			b.out.CloseIdle(ep.ID)
		}
	}
}

// markLimited notes which limits stand in the way of queued requests.
func (b *Balancer) markLimited() {
	for _, ep := range b.endpoints.subset {
		if b.effectiveInFlight(ep) >= ep.allowed() || ep.cooldown.active(b.now) {
			ep.limit.MarkLimited()
		}
	}
}

// setQueueTimer makes sure that queued requests are looked at again soon even if nothing else happens.
func (b *Balancer) setQueueTimer() {
	if !b.queueTimerSet {
		b.queueTimerSet = true
		b.out.SetTimer(b.cfg.dispatchSlack(), queueTimer)
	}
}

// preference orders endpoints before their free capacity is compared; the least goes first.
type preference int

const (
	// ejected, and its probe is due; it would never be probed otherwise
	preferProbe         preference = iota
	preferLocalZone                // of the subset and the local zone
	preferRemoteZone               // of the subset
	preferOutsideSubset            // for a retry that the subset may not take
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

// pick returns the endpoint with most room for r, or nil. Room only shrinks during a Dispatch, so first
// attempts of one class that may go to the same zones are looked at once: endpoints times queued requests
// would take more than a gateway's CPU.
func (b *Balancer) pick(r *requestState) *endpointState {
	class := b.classOf(r)
	first, candidates := len(r.attempts) == 0, b.endpoints.subset
	if !first && class.Idempotency == KeyedIdempotent {
		candidates = b.endpoints.all // its retry may have to go where the subset has nothing
	}
	crossZone := !first || b.now-r.arrivedAt >= b.crossZoneWait(class, r)
	full := class.misses.in(crossZone)
	if len(candidates) == 0 || first && *full || b.paused {
		return nil
	}
	var best *endpointState
	var bestTier preference
	var bestFree int
	start := b.startIndex(len(candidates), first, crossZone)
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
	if first {
		*full = best == nil
	}
	return best
}

// crossZoneWait is how long a request waits before it may go to another zone: what the crossing costs, in
// time, but in any case before it is shed.
func (b *Balancer) crossZoneWait(class *classState, r *requestState) time.Duration {
	return min(stats.Scale(class.LatencyObjective, min(b.cfg.CrossZoneCost, concurrency.ServiceShare)),
		stats.Scale(class.maxQueueTime.of(r.overQuota), crossZoneShare))
}

// startIndex draws where to begin among n candidates, which decides between endpoints with equal room:
// anywhere, or by the cluster's weights.
func (b *Balancer) startIndex(n int, first, crossZone bool) int {
	total := b.endpoints.localWeight
	if crossZone {
		total = b.endpoints.anyZoneWeight
	}
	if !first || total == 0 {
		return b.rng.IntN(n)
	}
	at := b.rng.Float64() * total
	for i, ep := range b.endpoints.subset {
		if crossZone || ep.Zone == b.cfg.Zone {
			if at -= ep.subset.weight; at < 0 {
				return i
			}
		}
	}
	return 0
}

// usable reports whether ep may get r now.
func (b *Balancer) usable(ep *endpointState, r *requestState) bool {
	return ep.State == EndpointReady && !ep.cooldown.active(b.now) &&
		b.effectiveInFlight(ep) < ep.allowed() &&
		ep.classes[r.Class].Allows(b.now, ep.usualMS(b.classOf(r))) &&
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
	b.out.StartAttempt(r.ID, ep.ID, timeout)
}
