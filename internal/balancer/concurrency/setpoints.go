package concurrency

import (
	"slices"

	"thymebend/internal/balancer/stats"
)

// Constants of the queue-time threshold.
const (
	thresholdGain    = 0.07 // integral gain
	thresholdMaximum = 2.0  // the threshold stays under this multiple of its setpoint
)

// QueueThreshold bounds the time that a request may be queued, as a multiple of its class's latency
// objective (the paper's psi). An integral loop holds the mean queue time at its setpoint.
type QueueThreshold struct {
	Value float64
	waits stats.Mean // queue times of this sampling period, as multiples of the objectives
}

// NewQueueThreshold starts at the setpoint of a gateway that is not overloaded.
func NewQueueThreshold() QueueThreshold { return QueueThreshold{Value: QueueingShare} }

// Restore takes over a threshold that another process had reached.
func (t *QueueThreshold) Restore(value float64) { t.Value = stats.Clamp(value, 0, thresholdMaximum) }

// RecordWait takes the queue time of a request that left the queue, as a multiple of its objective.
func (t *QueueThreshold) RecordWait(wait float64) { t.waits.Add(wait, 0) }

// CloseSample ends a sampling period: psi(k+1) = psi(k) + 0.07 (gamma R - mean queue time), from zero to
// twice the setpoint. response is R. Where no request left the queue the threshold stays.
func (t *QueueThreshold) CloseSample(response float64) {
	if t.waits.N == 0 {
		return
	}
	setpoint := QueueingShare * response
	t.Value = stats.Clamp(t.Value+thresholdGain*(setpoint-t.waits.Value), 0, thresholdMaximum*setpoint)
	t.waits = stats.Mean{}
}

// Constants of the response setpoint.
const (
	responseGain       = 0.01 // integral gain of the top-level loop; equation 12
	responsePercentile = 95   // the statistic of response times that is held at the objective
)

// MinResponse is the least response setpoint.
const MinResponse = 0.5

// ResponseSetpoint is the response time that both inner loops aim at together, as a multiple of the latency
// objective (the paper's R, 0.5 to 1). The top-level loop lowers it while the 95th percentile of response
// times is over the objective, and gives back what it took.
type ResponseSetpoint struct {
	Value     float64
	responses [64]float64 // response times, as multiples of the objectives
	n         int         // of these that are set
}

// NewResponseSetpoint starts at the objective itself.
func NewResponseSetpoint() ResponseSetpoint { return ResponseSetpoint{Value: 1} }

// Restore takes over a setpoint that another process had reached, at least MinResponse.
func (s *ResponseSetpoint) Restore(value float64) { s.Value = min(value, 1) }

// Record takes the response time of an answered request, as a multiple of its objective. What comes
// after the 64th since the last step is not needed.
func (s *ResponseSetpoint) Record(response float64) {
	if s.n < len(s.responses) {
		s.responses[s.n] = response
		s.n++
	}
}

// CloseSample ends a sampling period: R(k+1) = R(k) + 0.01 (1 - percentile), once 64 responses were
// recorded.
func (s *ResponseSetpoint) CloseSample() {
	if s.n < len(s.responses) {
		return
	}
	s.n = 0
	slices.Sort(s.responses[:])
	percentile := s.responses[len(s.responses)*responsePercentile/100]
	s.Value = stats.Clamp(s.Value+responseGain*(1-percentile), MinResponse, 1)
}
