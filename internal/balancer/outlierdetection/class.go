package outlierdetection

import (
	"time"

	"thymebend/internal/balancer/stats"
)

// Constants of stalled classes.
const (
	// stalledFactor is the time without an answer after which a class is stalled, as a multiple of the usual
	// service time. It is above silenceFactor because a heavy request alone does not indicate a stall.
	stalledFactor = 2 * silenceFactor
	// maxProbeDoublings bounds the doublings of the time between two probes.
	maxProbeDoublings = 4
)

// ClassHealth tracks whether one endpoint answers requests of one class. It detects an endpoint that answers
// one class at once and never answers another, and so appears healthy overall. The zero value has no attempt
// in flight.
type ClassHealth struct {
	InFlight int // number of attempts in flight
	// unansweredSince is when the first attempt after the last answer started, or the time of that answer; 0
	// if no attempt is in flight and the class is not stalled.
	unansweredSince time.Duration
	probes          int           // probes sent while the class is stalled
	probeAt         time.Duration // when the next probe of a stalled class may start
}

// Stalled reports whether the endpoint has not answered the class for stalledFactor times usualMS, the usual
// service time of the class or of the endpoint in ms, whichever is longer.
func (c *ClassHealth) Stalled(now time.Duration, usualMS float64) bool {
	return c.unansweredSince > 0 && now-c.unansweredSince > stats.FromMilliseconds(stalledFactor*usualMS)
}

// StalledDespiteResponses reports whether the class is stalled although the endpoint responded to other
// requests: its last response, of any class, came at lastResponseAt, after the first unanswered attempt of
// this class.
func (c *ClassHealth) StalledDespiteResponses(now, lastResponseAt time.Duration, usualMS float64) bool {
	return lastResponseAt > c.unansweredSince && c.Stalled(now, usualMS)
}

// Allows reports whether an attempt may start. For a stalled class only one attempt at a time may be in
// flight, as a probe, and only once the time between two probes is over.
func (c *ClassHealth) Allows(now time.Duration, usualMS float64) bool {
	return !c.Stalled(now, usualMS) || c.InFlight == 0 && now >= c.probeAt
}

// RecordStart records the start of an attempt. If the class is stalled, the attempt is a probe; probeInterval
// is the time between the first two probes and doubles with each probe.
func (c *ClassHealth) RecordStart(now time.Duration, usualMS float64, probeInterval time.Duration) {
	if c.Stalled(now, usualMS) {
		c.probeAt = now + stats.Scale(probeInterval, float64(int(1)<<min(c.probes, maxProbeDoublings)))
		c.probes++
	} else if c.unansweredSince == 0 {
		c.unansweredSince = now
	}
	c.InFlight++
}

// RecordEnd records that an attempt is no longer in flight.
func (c *ClassHealth) RecordEnd() { c.InFlight-- }

// RecordAnswer records an answer, which ends a stall.
func (c *ClassHealth) RecordAnswer(now time.Duration) {
	*c = ClassHealth{InFlight: c.InFlight, unansweredSince: now}
}

// ResetIfIdle resets the start of the unanswered period if no attempt is in flight and the class is not
// stalled. A stalled class remains stalled until a probe is answered, as a timeout is no sign of recovery.
func (c *ClassHealth) ResetIfIdle(now time.Duration, usualMS float64) {
	if c.InFlight == 0 && !c.Stalled(now, usualMS) {
		c.unansweredSince = 0
	}
}

// RecordWithdrawal resets the start of the unanswered period if no attempt is in flight, even if the class is
// stalled. It is called when an attempt no longer counts as in flight because its request is not yet fully
// written: the endpoint has no complete request to answer.
func (c *ClassHealth) RecordWithdrawal() {
	if c.InFlight == 0 {
		c.unansweredSince = 0
	}
}
