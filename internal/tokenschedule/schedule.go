// Package tokenschedule divides the requests that an endpoint in slow start can handle among the gateways that use
// it. Each token permits one request. Gateways derive the tokens from their synchronized clocks, without exchanging
// messages about them. The package does no I/O and reads no clock; all times are Unix time.
//
// # Algorithm
//
//   - Schedule ([Rule], schedule.go): the slow-start budget of an endpoint is the number of requests allowed since
//     the endpoint's start. Its rate grows during slow start. Token n begins when the budget reaches n.
//   - Ownership ([Owner], [Owners], owners.go): the owner of a token follows from the endpoint, the token's number
//     and the shares of the endpoint's owners.
//   - Use ([Taker], taker.go): a token is valid for a fixed time. The rate of the budget is reduced to compensate for
//     this time, so that no window of the length set in the rule holds more requests than the rule allows.
//
// docs/design/assignment.md gives the reasons.
package tokenschedule

import (
	"fmt"
	"math"
	"time"
)

const (
	// validityDivisor divides the window: the quotient, less twice the clock skew, is the time for which a token is
	// valid.
	validityDivisor = 4
	// minValidity is the minimum time for which a token must be valid for tokens to be used at all.
	minValidity = 10 * time.Millisecond
)

// Rule holds the settings for endpoints in slow start. They must be the same on all gateways.
type Rule struct {
	InitialFraction  float64       // share of its capacity with which an endpoint starts, above 0
	Duration         time.Duration // length of slow start, above 0
	OverloadMultiple float64       // multiple of the endpoint's present capacity that is allowed over Window
	Window           time.Duration
	ClockSkew        time.Duration // maximum difference between the clocks of two gateways
}

// Canonical returns the rule as a text. Gateways exchange a hash of it to detect different settings. The format must
// not change, because gateways of different versions compare the hashes.
func (r Rule) Canonical() string {
	return fmt.Sprintf("{From:%v Warm:%v Multiple:%v Window:%v Skew:%v}",
		r.InitialFraction, r.Duration, r.OverloadMultiple, r.Window, r.ClockSkew)
}

// Usable reports whether the rule yields any tokens: endpoints start with some capacity, slow start has a length, and
// a token remains valid for at least 10 ms (minValidity) after the clock skew is subtracted.
func (r Rule) Usable() bool {
	return r.InitialFraction > 0 && r.Duration > 0 && r.OverloadMultiple > 0 && r.ValidFor() >= minValidity
}

// ValidFor returns how long a token may be used after it begins.
func (r Rule) ValidFor() time.Duration { return r.Window/validityDivisor - 2*r.ClockSkew }

// rateFactor returns the factor by which the capacity is multiplied to get the rate of tokens. It is lower than
// OverloadMultiple. The requests of a window use the tokens that begin in it, earlier tokens that are still valid
// by clocks that differ by up to ClockSkew, and one partial token at each end of the window. With this factor they
// stay within OverloadMultiple.
func (r Rule) rateFactor() float64 {
	window := r.Window.Seconds()
	return r.OverloadMultiple * window / (window + (r.ValidFor() + 2*r.ClockSkew).Seconds())
}

// Endpoint is an endpoint in slow start.
type Endpoint struct {
	ID        uint64
	StartedAt time.Duration // Unix time
	Capacity  float64       // in requests a second, after slow start
}

// issued returns the number of tokens that begin within the given time since the endpoint's start: the integral of
// the token rate.
func (r Rule) issued(e Endpoint, since time.Duration) float64 {
	if since <= 0 {
		return 0
	}
	t, duration := since.Seconds(), r.Duration.Seconds()
	slowStartTime := min(t, duration)
	n := r.InitialFraction*slowStartTime + (1-r.InitialFraction)*slowStartTime*slowStartTime/(2*duration)
	n += max(0, t-duration)
	return n * r.rateFactor() * e.Capacity
}

// issuedAt returns the time since the endpoint's start at which a token begins. It is the inverse of issued.
func (r Rule) issuedAt(e Endpoint, token float64) time.Duration {
	n, duration := token/(r.rateFactor()*e.Capacity), r.Duration.Seconds()
	duringSlowStart := (1 + r.InitialFraction) / 2 * duration
	if n >= duringSlowStart {
		return seconds(duration + n - duringSlowStart)
	}
	if r.InitialFraction >= 1 {
		return seconds(n)
	}
	slope := (1 - r.InitialFraction) / (2 * duration)
	root := math.Sqrt(r.InitialFraction*r.InitialFraction + 4*slope*n)
	return seconds((root - r.InitialFraction) / (2 * slope))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
