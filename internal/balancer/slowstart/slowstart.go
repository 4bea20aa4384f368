// Package slowstart bounds what an endpoint gets that has just started and is warming up. Its capacity
// rises evenly over a stated time; what all gateways together send it must stay under what would
// overload it. Each gateway spends a part of that budget of its own, or, where gateways share the
// endpoint by a token schedule, the tokens that it is granted.
//
// The types have no clock, draw no random numbers and are not safe for concurrent use.
package slowstart

import "time"

// safetyShare is the part of the work that would overload an endpoint which all gateways together send it.
const safetyShare = 0.5

// minBurst is the least number of tokens that may be saved up.
const minBurst = 0.5

// warmRateWeight is the weight of one sampling period in the warm rate.
const warmRateWeight = 0.2

// Schedule is how an endpoint warms up.
type Schedule struct {
	InitialFraction float64       // the least share of its capacity that it has at its start, 0 to 1
	Duration        time.Duration // the longest until it has all of it
}

// Fraction is the share of its capacity that an endpoint surely has, 1 when it is warm. startedAt is its
// start on the caller's clock; 0 or less is long ago.
func (s Schedule) Fraction(now, startedAt time.Duration) float64 {
	age := now - startedAt
	if startedAt <= 0 || age >= s.Duration {
		return 1
	}
	return s.InitialFraction + (1-s.InitialFraction)*max(0, age.Seconds())/s.Duration.Seconds()
}

// WarmRate is how many requests a second a warm endpoint answers to all gateways, as far as seen here; 0 is
// unknown. Answers are counted, not their times, which are longer where endpoints are congested.
type WarmRate float64

// Observe takes the mean number of answers of the warm endpoints in one sampling period, over all gateways.
func (r *WarmRate) Observe(answers float64, period time.Duration) {
	*r += WarmRate((answers/period.Seconds() - float64(*r)) * warmRateWeight)
}

// Restore takes over the rate that another process had seen.
func (r *WarmRate) Restore(perSecond float64) { *r = WarmRate(perSecond) }

// MinCapacity is how many requests of the average class a second one core answers at least. serviceMS is
// their service time in ms, 0 if it is unknown; budgetSeconds is the time that they are meant to take.
func MinCapacity(serviceMS, budgetSeconds float64) float64 {
	return 1 / max(serviceMS/1000, budgetSeconds)
}

// TokenRate is how many requests a second this gateway may send to an endpoint that is warming up.
// overloadMultiple is the multiple of its capacity that overloads it, capacity the requests a second
// that it answers when warm, and users the number of gateways that share the budget.
func TokenRate(overloadMultiple, fraction, capacity, users float64) float64 {
	return safetyShare * overloadMultiple * fraction * capacity / users
}

// Budget is what this gateway may still send to one endpoint that is warming up.
type Budget struct {
	Tokens     float64       // requests, may be negative
	refilledAt time.Duration // when Tokens was last refilled
	granted    []time.Duration
}

// NewBudget returns an empty budget.
func NewBudget(now time.Duration) Budget { return Budget{refilledAt: now} }

// Restore takes over the tokens that another process had left.
func (b *Budget) Restore(now time.Duration, tokens float64) { b.Tokens, b.refilledAt = tokens, now }

// Begin starts the budget of an endpoint that this gateway comes to use. debt is an even draw from 0 to 1:
// the first tokens of many gateways come spread over an interval, and none is saved up from before.
func (b *Budget) Begin(now time.Duration, debt float64) {
	b.Tokens, b.refilledAt = min(b.Tokens, -debt), now
}

// Reset drops all tokens and grants, as another process had them: what it spent is not known.
func (b *Budget) Reset(now time.Duration) {
	b.Tokens, b.refilledAt, b.granted = min(b.Tokens, 0), now, nil
}

// Refill adds the tokens since the last time. window is how long an overload lasts until the endpoint
// fails; no more than half of that is saved up.
func (b *Budget) Refill(now time.Duration, rate float64, window time.Duration) {
	burst := max(minBurst, rate*window.Seconds()/2)
	b.Tokens = min(b.Tokens+rate*(now-b.refilledAt).Seconds(), burst)
	b.refilledAt = now
}

// Available reports whether a request may be sent.
func (b *Budget) Available() bool { return b.Tokens > 0 }

// Grant adds one token of the schedule, valid until a time.
func (b *Budget) Grant(until time.Duration) { b.granted = append(b.granted, until) }

// HasGrant drops granted tokens whose time is over and reports whether one is left.
func (b *Budget) HasGrant(now time.Duration) bool {
	for len(b.granted) > 0 && now >= b.granted[0] {
		b.granted = b.granted[1:]
	}
	return len(b.granted) > 0
}

// Spend takes a token for a request that is sent, and a granted one if there is any.
func (b *Budget) Spend() {
	b.Tokens--
	b.granted = b.granted[min(1, len(b.granted)):]
}
