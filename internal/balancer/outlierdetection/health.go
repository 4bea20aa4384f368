// Package outlierdetection decides which endpoints are ejected because they fail or do not answer, when an
// ejected endpoint is probed, and which classes of requests an endpoint does not answer. The types have no
// clock, draw no random numbers, log nothing and are not safe for concurrent use.
package outlierdetection

import (
	"time"

	"thymebend/internal/balancer/stats"
)

// Constants of ejection.
const (
	failureWeight = 0.2 // weight of one outcome in the failure rate
	// maxFailureRate is the failure rate above which an endpoint is ejected. Two consecutive failures exceed
	// it, and so does about one failure in three attempts.
	maxFailureRate = 0.35
	silenceFactor  = 6.0 // an endpoint is silent after this multiple of its service time without an answer
	// suspectedFactor scales the failure rate and the silence that eject an endpoint, if peers suspect it.
	suspectedFactor = 0.5
	// maxEjectedShare is the share of the ready endpoints that may be ejected. If more look bad, overload is
	// the probable cause, not the endpoints.
	maxEjectedShare      = 0.5
	maxEjectionDoublings = 3 // maximum doublings of the ejection time
)

// ProbeTimeoutFactor is the timeout of a probe request as a multiple of the expected service time. It must
// leave time for another attempt of the same request.
const ProbeTimeoutFactor = silenceFactor

// Health is the health of one endpoint as derived from the outcomes of attempts. Times are on the caller's
// clock.
type Health struct {
	FailureRate float64 // smoothed share of failures, 0 to 1
	// LastResponseAt is the time of the last answer, rejection, error, reset or failed connect, or of the
	// start of the first attempt after a period without attempts in flight, whichever is later.
	LastResponseAt   time.Duration
	Ejected          bool          // receives probe requests only
	Silent           bool          // ejected because it did not answer
	ProbeAt          time.Duration // when an ejected endpoint may be probed
	Ejections        int           // ejections since its failure rate was last below the maximum
	SuspectedByPeers bool          // other gateways report it as failing
}

// RecordAnswer records an answer and reports whether it ends an ejection. It does if the endpoint was ejected
// only for not answering, or if its failure rate is below the maximum again.
func (h *Health) RecordAnswer(now time.Duration) (restored bool) {
	h.FailureRate *= 1 - failureWeight
	h.LastResponseAt = now
	if h.Ejected && (h.Silent || h.FailureRate < maxFailureRate) {
		h.Ejected, h.Silent, restored = false, false, true
	}
	if h.FailureRate < maxFailureRate {
		h.Ejections = 0
	}
	return restored
}

// RecordFailure records a failure. The caller then calls ShouldEject.
func (h *Health) RecordFailure() { h.FailureRate += (1 - h.FailureRate) * failureWeight }

// ShouldEject reports whether the endpoint must be ejected after a failure: its failure rate is above the
// maximum, or it is ejected already, so that the failure is that of a probe.
func (h *Health) ShouldEject() bool {
	return h.Ejected || h.FailureRate > maxFailureRate*h.thresholdFactor()
}

// IsSilent reports whether an endpoint that is not ejected and has attempts in flight has not responded for
// silenceFactor times its service time, serviceMS in ms. Outcomes alone do not show this until the attempts
// time out, and attempts of requests that are not idempotent have no timeout.
func (h *Health) IsSilent(now time.Duration, serviceMS float64) bool {
	return !h.Ejected &&
		now-h.LastResponseAt >= stats.FromMilliseconds(silenceFactor*h.thresholdFactor()*serviceMS)
}

// thresholdFactor returns the factor applied to the thresholds of ejection. It is lower if peers suspect the
// endpoint; suspicion alone does not eject it.
func (h *Health) thresholdFactor() float64 {
	if h.SuspectedByPeers {
		return suspectedFactor
	}
	return 1
}

// TooManyEjected reports whether the share of ejected endpoints among the ready ones is so high that overload
// is the more probable cause. The caller then ejects no further endpoint.
func TooManyEjected(ejected, ready int) bool {
	return float64(ejected) > maxEjectedShare*float64(ready)
}

// Eject takes the endpoint out of rotation, or keeps it out after a failed probe. baseTime is the duration of
// the first ejection; it doubles with each further one, up to maxEjectionDoublings times. draw is a uniform
// random number from 0 to 1 that varies the duration by up to a quarter in either direction.
func (h *Health) Eject(now, baseTime time.Duration, draw float64) {
	h.Ejected = true
	duration := stats.Scale(baseTime, float64(int(1)<<min(h.Ejections, maxEjectionDoublings))*(0.75+draw/2))
	h.Ejections++
	h.ProbeAt = now + duration
}

// ProbeDue reports whether an ejected endpoint may be probed.
func (h *Health) ProbeDue(now time.Duration) bool { return now >= h.ProbeAt }

// SetSuspected sets whether peers suspect the endpoint. When they no longer do, an ejected endpoint may be
// probed at once.
func (h *Health) SetSuspected(now time.Duration, suspected bool) {
	if h.SuspectedByPeers && !suspected {
		h.ProbeAt = now
	}
	h.SuspectedByPeers = suspected
}
