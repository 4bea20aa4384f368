// Package slowstart limits the requests sent to an endpoint that has just started and is warming up. Its
// capacity is taken to rise linearly over a configured duration, and the requests of all gateways together
// must stay below the rate that would overload it. Each gateway either spends its share of that rate
// independently or, where gateways share the endpoint by a token schedule, spends the tokens that it is
// granted.
//
// The types have no clock, draw no random numbers and are not safe for concurrent use.
package slowstart

import "time"

// safetyShare is the share of the overloading request rate that all gateways together send to an endpoint.
const safetyShare = 0.5

// minBurst is the minimum capacity of a Budget, in tokens.
const minBurst = 0.5

// warmRateWeight is the weight of one sampling period in the warm rate.
const warmRateWeight = 0.2

// Schedule describes how the capacity of an endpoint rises after its start.
type Schedule struct {
	InitialFraction float64       // minimum share of its full capacity at its start, 0 to 1
	Duration        time.Duration // maximum time until it reaches its full capacity
}

// Fraction returns the share of its full capacity that an endpoint has at least, 1 when it is warm. startedAt
// is its start on the caller's clock; 0 or less means that it started long ago.
func (s Schedule) Fraction(now, startedAt time.Duration) float64 {
	age := now - startedAt
	if startedAt <= 0 || age >= s.Duration {
		return 1
	}
	return s.InitialFraction + (1-s.InitialFraction)*max(0, age.Seconds())/s.Duration.Seconds()
}

// WarmRate is the number of requests per second that a warm endpoint answers to all gateways, as estimated by
// this gateway; 0 if unknown. It is derived from the number of answers, not from service times, as these are
// longer while endpoints are congested.
type WarmRate float64

// Observe updates the rate with answers, the mean number of answers of a warm endpoint to all gateways in one
// sampling period.
func (r *WarmRate) Observe(answers float64, period time.Duration) {
	*r += WarmRate((answers/period.Seconds() - float64(*r)) * warmRateWeight)
}

// Restore sets the rate to the value estimated by a previous process, in requests per second.
func (r *WarmRate) Restore(perSecond float64) { *r = WarmRate(perSecond) }

// MinCapacity returns the minimum number of requests of the average class that one core answers per second.
// serviceMS is their service time in ms, 0 if unknown; budgetSeconds is their service time budget in seconds.
func MinCapacity(serviceMS, budgetSeconds float64) float64 {
	return 1 / max(serviceMS/1000, budgetSeconds)
}

// TokenRate returns the number of requests per second that this gateway may send to an endpoint that is
// warming up. overloadMultiple is the multiple of its current capacity that overloads it, fraction the share
// of its full capacity that it has now (see Schedule.Fraction), capacity the number of requests per second
// that it answers when warm, and users the number of gateways that share it.
func TokenRate(overloadMultiple, fraction, capacity, users float64) float64 {
	return safetyShare * overloadMultiple * fraction * capacity / users
}

// Budget is the number of requests that this gateway may send now to one endpoint that is warming up.
type Budget struct {
	Tokens     float64         // requests, may be negative
	refilledAt time.Duration   // when Tokens was last refilled
	granted    []time.Duration // expiry of each token from the token schedule, in the order of the grants
}

// NewBudget returns an empty budget.
func NewBudget(now time.Duration) Budget { return Budget{refilledAt: now} }

// Restore sets the tokens to the value that remained in a previous process.
func (b *Budget) Restore(now time.Duration, tokens float64) { b.Tokens, b.refilledAt = tokens, now }

// StartInDebt starts the budget of an endpoint that was added to this gateway's subset. debt is a uniform
// random number from 0 to 1, by which the first tokens of many gateways are spread over an interval. Tokens
// saved up earlier are dropped.
func (b *Budget) StartInDebt(now time.Duration, debt float64) {
	b.Tokens, b.refilledAt = min(b.Tokens, -debt), now
}

// Reset drops all tokens and grants but keeps a debt. It is called where another process used the budget
// meanwhile, so that the tokens spent are unknown.
func (b *Budget) Reset(now time.Duration) {
	b.Tokens, b.refilledAt, b.granted = min(b.Tokens, 0), now, nil
}

// Refill adds the tokens accrued since the last refill, at rate tokens per second. window is how long an
// endpoint withstands overload before it fails; no more than the tokens of half a window (at least minBurst)
// are saved up.
func (b *Budget) Refill(now time.Duration, rate float64, window time.Duration) {
	burst := max(minBurst, rate*window.Seconds()/2)
	b.Tokens = min(b.Tokens+rate*(now-b.refilledAt).Seconds(), burst)
	b.refilledAt = now
}

// Available reports whether a request may be sent.
func (b *Budget) Available() bool { return b.Tokens > 0 }

// Grant adds one token granted by the token schedule, valid until the given time.
func (b *Budget) Grant(until time.Duration) { b.granted = append(b.granted, until) }

// HasGrant drops expired granted tokens and reports whether a valid one remains.
func (b *Budget) HasGrant(now time.Duration) bool {
	for len(b.granted) > 0 && now >= b.granted[0] {
		b.granted = b.granted[1:]
	}
	return len(b.granted) > 0
}

// Spend deducts a token for a request that is sent, and the oldest granted token if there is one.
func (b *Budget) Spend() {
	b.Tokens--
	b.granted = b.granted[min(1, len(b.granted)):]
}
