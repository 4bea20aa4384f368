package balancer

import (
	"slices"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
	"thymebend/internal/subset"
)

// closeSample ends one sampling period. It updates the concurrency limit of each endpoint, then the expansion
// of the subset, the queue-time threshold, the response setpoint, and the maximum queue times that depend on
// them.
func (b *Balancer) closeSample() {
	target := b.serviceTarget()
	var warmAnswers stats.Mean // answers per warm endpoint, extrapolated to all gateways that use it
	for _, ep := range b.endpoints.all {
		b.checkSilence(ep)
		if ep.subset.used && !ep.health.Ejected && b.warmUpFraction(ep) == 1 {
			warmAnswers.Add(float64(ep.limit.Sample.Answers)*ep.subset.users, 0)
		}
		ep.closeSample(target)
	}
	if warmAnswers.N > 0 {
		b.slowStart.warmRate.Observe(warmAnswers.Value, concurrency.SamplePeriod)
	}
	b.classes.updateReference()
	b.updateExpansion()
	b.queueThreshold.CloseSample(b.response.Value)
	b.response.CloseSample()
	b.updateQueueTimes()
	if b.cfg.PollDiscovery && b.watch.overdue(b.now, b.cfg.PollInterval) {
		b.watchEndpoints()
	}
}

// serviceTarget returns the target for the service times of the endpoints in this sampling period.
func (b *Balancer) serviceTarget() concurrency.ServiceTarget {
	return concurrency.NewServiceTarget(b.classes.minObjectiveMS(), b.response.Value)
}

// updateExpansion grows or shrinks the expansion of the subset by the signals of the sampling period.
func (b *Balancer) updateExpansion() {
	s := &b.endpoints
	s.signals.WarmingUp = slices.ContainsFunc(s.subset, func(ep *endpointState) bool {
		return ep.subset.regular && b.warmUpFraction(ep) < 1
	})
	initialCooldown := stats.Scale(b.classes.meanObjective(), 0.5+b.rng.Float64())
	if s.expansion.Update(b.now, s.signals, float64(len(s.all)), initialCooldown) {
		s.stale = true
	}
	s.signals = subset.Signals{}
}

// updateQueueTimes recomputes the maximum queue times of each class, after it has decayed the arrival counts
// and updated the expected service times, from which they are computed.
func (b *Balancer) updateQueueTimes() {
	for i := range b.classes.entries {
		b.classes.entries[i].refresh()
	}
	completionInterval := b.endpoints.completionInterval(b.classes.referenceMS)
	newLoadShedding(&b.cfg).setMaxQueueTimes(&b.classes, b.queueThreshold.Value, completionInterval)
}
