package balancer

import (
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/slowstart"
)

// slowStart is the state that the budgets of all endpoints in slow start share.
type slowStart struct {
	warmRate       slowstart.WarmRate
	tokensRequired bool // since the first AssignEndpoints: each request needs a GrantSlowStartToken
	yielded        bool // another process of this gateway uses the budgets
}

// GrantSlowStartToken allows this gateway to send one request to an endpoint in slow start, before the time
// until.
func (b *Balancer) GrantSlowStartToken(now time.Duration, id EndpointID, until time.Duration) {
	b.now = now
	if ep := b.endpoints.byID[id]; ep != nil && !b.slowStart.yielded {
		ep.warmUp.Grant(until)
	}
}

// YieldSlowStart stops sending to endpoints in slow start if yielded is set, because another process of this
// gateway now uses their budgets. If yielded is not set, because that process has died, this one resumes with
// empty budgets.
func (b *Balancer) YieldSlowStart(now time.Duration, yielded bool) {
	b.now, b.slowStart.yielded = now, yielded
	for _, ep := range b.endpoints.all {
		ep.warmUp.Reset(now)
	}
}

// warmUpFraction returns the share of its capacity that an endpoint is certain to have; 1 when it is warm.
func (b *Balancer) warmUpFraction(ep *endpointState) float64 {
	schedule := slowstart.Schedule{
		InitialFraction: b.cfg.SlowStartFraction, Duration: b.cfg.SlowStartDuration,
	}
	return schedule.Fraction(b.now, ep.StartedAt)
}

// slowStartAllows reports whether the slow-start budget of an endpoint allows one more request. A warm
// endpoint always allows it. An endpoint in slow start gets no request while another process of this gateway
// uses the budgets, or where tokens are required and none is granted. Where no tokens are required it gets
// none if it belongs to this gateway's expansion, or when this gateway's part of its budget is spent.
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
	// A gateway that has just started has measured nothing and assumes the capacity of one core.
	capacity := max(float64(b.slowStart.warmRate),
		slowstart.MinCapacity(b.classes.referenceMS, b.serviceBudgetSeconds()))
	rate := slowstart.TokenRate(b.cfg.OverloadMultiple, fraction, capacity,
		ep.subset.users*ep.subset.relativeLoad)
	ep.warmUp.Refill(b.now, rate, b.cfg.OverloadWindow)
	return ep.warmUp.Available() && ep.subset.regular
}

// serviceBudgetSeconds returns the part of the mean latency objective that is intended for service, in
// seconds.
func (b *Balancer) serviceBudgetSeconds() float64 {
	return concurrency.ServiceShare * b.classes.meanObjective().Seconds()
}

// MinCoreRate returns how many requests of the average class one core answers per second at least, if only
// the latency objectives are known.
func (b *Balancer) MinCoreRate() float64 { return slowstart.MinCapacity(0, b.serviceBudgetSeconds()) }
