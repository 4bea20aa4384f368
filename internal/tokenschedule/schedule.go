// Package tokenschedule divides what an endpoint in slow start can bear among the gateways that use it, in whole
// requests, by the common clock and without a message between them. It does no I/O and reads no clock; all times are
// Unix time.
//
// # How
//
// From an endpoint's start its slow-start budget grows along its warm-up, and the n-th request may be sent when n is
// reached: a token with a number ([Rule], schedule.go). The token's owner follows from endpoint, number and the
// owners' shares ([Owner], [Owners], owners.go). A token is good for a stated time, for which the budget is smaller
// by as much, so that any window of the rule's length holds no more than the rule allows ([Taker], taker.go).
//
// docs/design/assignment.md gives the reasons.
package tokenschedule

import (
	"fmt"
	"math"
	"time"
)

const (
	// validityDivisor of the window is how long a token is good, before clocks are allowed for.
	validityDivisor = 4
	// minValidity is the least for which tokens are worth issuing.
	minValidity = 10 * time.Millisecond
)

// Rule is what the settings say of endpoints in slow start.
type Rule struct {
	InitialFraction  float64       // of its capacity, at which an endpoint starts; above 0
	Duration         time.Duration // of slow start, above 0
	OverloadMultiple float64       // of what an endpoint can do at the moment, allowed over Window
	Window           time.Duration
	ClockSkew        time.Duration // by which clocks differ at most
}

// Canonical is the text of the rule whose hash gateways exchange to find out whether they have the same
// settings. It must not change: gateways of different versions compare it.
func (r Rule) Canonical() string {
	return fmt.Sprintf("{From:%v Warm:%v Multiple:%v Window:%v Skew:%v}",
		r.InitialFraction, r.Duration, r.OverloadMultiple, r.Window, r.ClockSkew)
}

// Usable reports whether there can be tokens at all: endpoints start with something and warm up, and what is left of
// the window is longer than clocks differ by.
func (r Rule) Usable() bool {
	return r.InitialFraction > 0 && r.Duration > 0 && r.OverloadMultiple > 0 && r.ValidFor() >= minValidity
}

// ValidFor is for how long a token may be used from its begin on.
func (r Rule) ValidFor() time.Duration { return r.Window/validityDivisor - 2*r.ClockSkew }

// rateFactor is by what the capacity is multiplied, so that tokens of any window, with those that are still good from
// before it and one that is cut by each end, come to no more than the multiple allows.
func (r Rule) rateFactor() float64 {
	window := r.Window.Seconds()
	return r.OverloadMultiple * window / (window + (r.ValidFor() + 2*r.ClockSkew).Seconds())
}

// Endpoint is one in slow start.
type Endpoint struct {
	ID        uint64
	StartedAt time.Duration // Unix time
	Capacity  float64       // requests a second once it is warm
}

// issued is how many tokens have begun by a time since the endpoint's start: the integral of its budget.
func (r Rule) issued(e Endpoint, since time.Duration) float64 {
	if since <= 0 {
		return 0
	}
	t, duration := since.Seconds(), r.Duration.Seconds()
	inSlowStart := min(t, duration)
	n := r.InitialFraction*inSlowStart + (1-r.InitialFraction)*inSlowStart*inSlowStart/(2*duration)
	n += max(0, t-duration)
	return n * r.rateFactor() * e.Capacity
}

// issuedAt is when a token begins, since the endpoint's start: the inverse of issued.
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
