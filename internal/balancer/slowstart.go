package balancer

import (
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/slowstart"
)

// slowStart is what the budgets of endpoints that are warming up share.
type slowStart struct {
	warmRate       slowstart.WarmRate
	tokensRequired bool // since the first AssignEndpoints: only GrantSlowStartToken lets requests through
	yielded        bool // another process of this gateway has the budgets
}

// GrantSlowStartToken gives this gateway one request for an endpoint in slow start, to be sent before a
// time.
func (b *Balancer) GrantSlowStartToken(now time.Duration, id EndpointID, until time.Duration) {
	b.now = now
	if ep := b.endpoints.byID[id]; ep != nil && !b.slowStart.yielded {
		ep.warmUp.Grant(until)
	}
}

// YieldSlowStart stops sending to endpoints in slow start, as another process of this gateway has their
// budgets; or, if that has died, begins again with empty ones.
func (b *Balancer) YieldSlowStart(now time.Duration, yes bool) {
	b.now, b.slowStart.yielded = now, yes
	for _, ep := range b.endpoints.all {
		ep.warmUp.Reset(now)
	}
}

// warmUpFraction is the share of its capacity that an endpoint surely has, 1 when it is warm.
func (b *Balancer) warmUpFraction(ep *endpointState) float64 {
	schedule := slowstart.Schedule{
		InitialFraction: b.cfg.SlowStartFraction, Duration: b.cfg.SlowStartDuration,
	}
	return schedule.Fraction(b.now, ep.StartedAt)
}

// slowStartAllows reports whether the slow-start budget of an endpoint allows one more request; it
// always does for a warm endpoint. One that is warming up gets nothing while another process of this
// gateway has the budgets, without a token where tokens are required, from gateways that use it as an
// expansion, and when this gateway's part of its budget is used up.
func (b *Balancer) slowStartAllows(ep *endpointState) bool {
	fraction := b.warmUpFraction(ep)
	switch {
	case fraction == 1:
		return true
	case b.slowStart.yielded:
		return false
	case b.slowStart.tokensRequired:
		return ep.warmUp.HasGrant(b.now)
	}
	// A gateway that has just started knows no more than what one core answers.
	capacity := max(float64(b.slowStart.warmRate),
		slowstart.MinCapacity(b.classes.referenceMS, b.serviceBudgetSeconds()))
	rate := slowstart.TokenRate(b.cfg.OverloadMultiple, fraction, capacity,
		ep.subset.users*ep.subset.relativeLoad)
	ep.warmUp.Refill(b.now, rate, b.cfg.OverloadWindow)
	return ep.warmUp.Available() && ep.subset.regular
}

// serviceBudgetSeconds is the part of the mean latency objective that is meant for service.
func (b *Balancer) serviceBudgetSeconds() float64 {
	return concurrency.ServiceShare * b.classes.meanObjective().Seconds()
}

// MinCoreRate is how many requests of the average class a second one core answers at least, where latency
// objectives are all that is known.
func (b *Balancer) MinCoreRate() float64 { return slowstart.MinCapacity(0, b.serviceBudgetSeconds()) }
