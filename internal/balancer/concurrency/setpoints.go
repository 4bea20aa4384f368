package concurrency

import (
	"slices"

	"thymebend/internal/balancer/stats"
)

// Constants of the queue-time threshold.
const (
	thresholdGain      = 0.07 // integral gain
	maxThresholdFactor = 2.0  // maximum threshold as a multiple of its setpoint
)

// QueueThreshold is the maximum time that a request may be queued, as a multiple of its class's latency
// objective (the paper's psi). An integral loop adjusts it to keep the mean queue time at its setpoint.
type QueueThreshold struct {
	Value float64
	waits stats.Mean // queue times of the current sampling period, as multiples of the latency objectives
}

// NewQueueThreshold returns a threshold at its setpoint in a gateway that is not overloaded, QueueingShare.
func NewQueueThreshold() QueueThreshold { return QueueThreshold{Value: QueueingShare} }

// Restore sets the threshold to the value reached by a previous process.
func (t *QueueThreshold) Restore(value float64) { t.Value = stats.Clamp(value, 0, maxThresholdFactor) }

// RecordWait records the queue time of a request that left the queue, as a multiple of its latency objective.
func (t *QueueThreshold) RecordWait(wait float64) { t.waits.Add(wait, 0) }

// CloseSample ends a sampling period: psi(k+1) = psi(k) + 0.07 (gamma R - mean queue time), bounded to the
// range from zero to twice the setpoint, gamma R. response is R. If no request left the queue the threshold
// stays unchanged.
func (t *QueueThreshold) CloseSample(response float64) {
	if t.waits.N == 0 {
		return
	}
	setpoint := QueueingShare * response
	t.Value = stats.Clamp(t.Value+thresholdGain*(setpoint-t.waits.Value), 0, maxThresholdFactor*setpoint)
	t.waits = stats.Mean{}
}

// Constants of the response setpoint.
const (
	responseGain       = 0.01 // integral gain of the top-level loop; equation 12
	responsePercentile = 95   // percentile of response times that is regulated to the objective
)

// MinResponse is the minimum of the response setpoint.
const MinResponse = 0.5

// ResponseSetpoint is the target of the response time, which the two inner loops (Limit and QueueThreshold)
// share, as a multiple of the latency objective (the paper's R, 0.5 to 1). The top-level loop lowers it while
// the 95th percentile of response times exceeds the objective, and raises it again otherwise.
type ResponseSetpoint struct {
	Value     float64
	responses [64]float64 // response times, as multiples of the latency objectives
	count     int         // number of responses recorded, from the start of the array
}

// NewResponseSetpoint returns a setpoint equal to the latency objective.
func NewResponseSetpoint() ResponseSetpoint { return ResponseSetpoint{Value: 1} }

// Restore sets the setpoint to the value reached by a previous process, reduced to 1 if above. The caller
// checks that it is at least MinResponse.
func (s *ResponseSetpoint) Restore(value float64) { s.Value = min(value, 1) }

// Record records the response time of an answered request, as a multiple of its latency objective. Once 64
// are recorded, further ones are ignored until CloseSample has used these.
func (s *ResponseSetpoint) Record(response float64) {
	if s.count < len(s.responses) {
		s.responses[s.count] = response
		s.count++
	}
}

// CloseSample ends a sampling period. Once 64 responses are recorded it sets R(k+1) = R(k) + 0.01 (1 -
// percentile), bounded to the range from MinResponse to 1, and discards them.
func (s *ResponseSetpoint) CloseSample() {
	if s.count < len(s.responses) {
		return
	}
	s.count = 0
	slices.Sort(s.responses[:])
	percentile := s.responses[len(s.responses)*responsePercentile/100]
	s.Value = stats.Clamp(s.Value+responseGain*(1-percentile), MinResponse, 1)
}
