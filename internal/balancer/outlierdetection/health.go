// Package outlierdetection decides which endpoints are out of rotation because they fail or are silent,
// when such an endpoint is probed, and which classes of requests an endpoint leaves unanswered. The
// types have no clock, draw no random numbers, log nothing and are not safe for concurrent use.
package outlierdetection

import (
	"time"

	"thymebend/internal/balancer/stats"
)

// Constants of ejection.
const (
	failureWeight    = 0.2  // weight of one outcome in the failure rate
	maxFailureRate   = 0.35 // passed by two failures in a row, or by about one failure in three
	silenceFactor    = 6.0  // an endpoint is silent after this multiple of its service time without an answer
	suspectedFactor  = 0.5  // of the failures and of the silence that eject an endpoint that peers suspect
	maxEjectedShare  = 0.5  // with more than this share looking bad, the load is suspected, not the endpoints
	maxEjectDoubling = 3    // doublings of the ejection time
)

// ProbeTimeoutFactor is the timeout of a probe request as a multiple of the expected service time: it must
// leave time for another attempt.
const ProbeTimeoutFactor = silenceFactor

// Health is what the outcomes of attempts say of one endpoint. Times are on the caller's clock.
type Health struct {
	FailureRate      float64       // smoothed share of failures, 0 to 1
	LastHeard        time.Duration // the last answer, or the attempt that ended a time without any in flight
	Ejected          bool          // gets probe requests only
	Silent           bool          // ejected for silence
	ProbeAt          time.Duration // when an ejected endpoint may be probed
	Ejections        int           // since its failure rate was low
	SuspectedByPeers bool          // other gateways found it bad
}

// RecordAnswer notes an answer and reports whether it ends an ejection: that of an endpoint that was only
// slow to answer, or whose failure rate is low again.
func (h *Health) RecordAnswer(now time.Duration) (restored bool) {
	h.FailureRate *= 1 - failureWeight
	h.LastHeard = now
	if h.Ejected && (h.Silent || h.FailureRate < maxFailureRate) {
		h.Ejected, h.Silent, restored = false, false, true
	}
	if h.FailureRate < maxFailureRate {
		h.Ejections = 0
	}
	return restored
}

// RecordFailure notes a failure. See ShouldEject for what follows.
func (h *Health) RecordFailure() { h.FailureRate += (1 - h.FailureRate) * failureWeight }

// ShouldEject reports whether the endpoint is to be ejected after a failure: its failure rate is too
// high, or the failure was that of a probe.
func (h *Health) ShouldEject() bool {
	return h.Ejected || h.FailureRate > maxFailureRate*h.evidence()
}

// IsSilent reports whether an endpoint with attempts in flight has answered nothing for long: it shows in
// no outcome until the attempts time out, and those of requests that are not idempotent have no timeout.
// serviceMS is its service time.
func (h *Health) IsSilent(now time.Duration, serviceMS float64) bool {
	return !h.Ejected && now-h.LastHeard >= stats.FromMilliseconds(silenceFactor*h.evidence()*serviceMS)
}

// evidence is the part of the usual evidence that ejects the endpoint. Peers alone eject nothing.
func (h *Health) evidence() float64 {
	if h.SuspectedByPeers {
		return suspectedFactor
	}
	return 1
}

// TooManyEjected reports whether so many endpoints look bad, of so many that are ready, that the load
// is more likely the cause. None is ejected then.
func TooManyEjected(ejected, ready int) bool {
	return float64(ejected) > maxEjectedShare*float64(ready)
}

// Eject takes the endpoint out of rotation, or keeps it out after a failed probe, for longer each time.
// base is the first ejection time, and draw an even draw from 0 to 1 that varies it by a quarter either
// way.
func (h *Health) Eject(now, base time.Duration, draw float64) {
	h.Ejected = true
	wait := stats.Scale(base, float64(int(1)<<min(h.Ejections, maxEjectDoubling))*(0.75+draw/2))
	h.Ejections++
	h.ProbeAt = now + wait
}

// ProbeDue reports whether an ejected endpoint may be probed.
func (h *Health) ProbeDue(now time.Duration) bool { return now >= h.ProbeAt }

// SetSuspected takes the peers' opinion. Once they find the endpoint good again it may be probed at once.
func (h *Health) SetSuspected(now time.Duration, suspected bool) {
	if h.SuspectedByPeers && !suspected {
		h.ProbeAt = now
	}
	h.SuspectedByPeers = suspected
}
