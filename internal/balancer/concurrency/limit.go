package concurrency

import (
	"math"
	"time"

	"thymebend/internal/balancer/stats"
)

// MinAnswers is the number of answers that a mean service time must include before it is used.
const MinAnswers = 8

// ServiceTarget is the target of the service times of all endpoints.
type ServiceTarget struct {
	BudgetMS float64 // service share of the shortest latency objective, in ms scaled to the average class
	Response float64 // the current response setpoint, see ResponseSetpoint
}

// NewServiceTarget returns the target for the shortest latency objective, objectiveMS, in ms scaled to the
// average class, and for the response setpoint.
func NewServiceTarget(objectiveMS, response float64) ServiceTarget {
	return ServiceTarget{BudgetMS: ServiceShare * objectiveMS, Response: response}
}

// Limit is the concurrency limit of one endpoint: the number of requests that this gateway may have in flight
// there. Service times are in milliseconds, scaled to the average class. Call Reset before using a zero
// value.
type Limit struct {
	Value       float64    // the limit before rounding up, above 0; the paper's u
	GainMS      float64    // estimated ms of service time per request in flight; 0 if unknown; the paper's K
	BaselineMS  float64    // service time while the endpoint is not congested; 0 if unknown
	ServiceMS   stats.Mean // smoothed service time, ms
	QueueLength float64    // smoothed number of requests waiting at the endpoint; 0 if not reported
	Sample      Sample     // observations of the current sampling period
}

// Sample holds the observations of an endpoint during one sampling period.
type Sample struct {
	Answers, Failures int
	ServiceSumMS      float64 // sum of the answers' service times, ms
	Limited           bool    // the endpoint was at its limit while requests were queued
}

// minEndpointConcurrency is the minimum number of requests that all gateways together may have in flight at
// an endpoint: enough to occupy several cores.
const minEndpointConcurrency = 5.0

// MinLimit returns the initial and minimum limit. It is the share of minEndpointConcurrency of each of the
// gateways that use the endpoint (users, at least 1), and at most 1. A minimum of 1 for each of many gateways
// would congest the endpoint with their first requests, and each gateway would take these congested service
// times for the baseline.
func MinLimit(users float64) float64 { return min(1, minEndpointConcurrency/users) }

// Reset sets the limit to minLimit, see MinLimit.
func (l *Limit) Reset(minLimit float64) { l.Value = minLimit }

// Allowed returns the number of requests that may be in flight: ceil(u) in the paper.
func (l *Limit) Allowed() int { return int(math.Ceil(l.Value)) }

// RecordAnswer counts an answer and its service time, in ms scaled to the average class.
func (l *Limit) RecordAnswer(serviceMS float64) {
	l.Sample.ServiceSumMS += serviceMS
	l.Sample.Answers++
}

// RecordFailure counts an attempt that failed or was rejected.
func (l *Limit) RecordFailure() { l.Sample.Failures++ }

// Constants of the queue length that endpoints report.
const (
	queueLengthWeight = 0.25 // weight of one report in the smoothed length
	// congestedQueueLength is the smoothed number of waiting requests from which an endpoint counts as
	// congested. It is above 1, as one request may wait by chance.
	congestedQueueLength = 1.5
	// minCongestedCut is the minimum by which the limit of a congested endpoint is reduced in each sample, in
	// requests. It is small because a report may be outdated.
	minCongestedCut = 0.08
)

// RecordQueueLength adds the number of waiting requests that an answer reports to the smoothed queue length.
func (l *Limit) RecordQueueLength(length float64) {
	l.QueueLength += (length - l.QueueLength) * queueLengthWeight
}

// MarkLimited records that the limit kept a queued request from being dispatched. The limit grows only in
// samples in which this happened.
func (l *Limit) MarkLimited() { l.Sample.Limited = true }

// Constants of the integral loop on service time.
const (
	integralGain  = 0.16 // c(1-c) for a closed-loop pole c = 0.8; equation 11
	oldGainWeight = 0.5  // weight of the old gain estimate in the new one
	failureFactor = 2.0  // a failure counts as a service time of this multiple of the setpoint
)

// CloseSample ends a sampling period and updates the limit: u(k+1) = u(k) + 0.16/K (setpoint - service time),
// equation 11. A sample with neither answers nor failures leaves the limit unchanged. Failures affect only
// the limit, not the averages and the gain estimate.
func (l *Limit) CloseSample(target ServiceTarget, minLimit float64) {
	sample := l.Sample
	l.Sample = Sample{}
	if sample.Answers > 0 {
		l.updateEstimates(sample.ServiceSumMS/float64(sample.Answers), sample.Answers)
	}
	if sample.Answers+sample.Failures == 0 || l.GainMS == 0 {
		return
	}
	setpoint := l.SetpointMS(target)
	service := (sample.ServiceSumMS + float64(sample.Failures)*failureFactor*setpoint) /
		float64(sample.Answers+sample.Failures)
	step := integralGain / l.GainMS * (setpoint - service)
	if l.congested() {
		step = min(step, -minCongestedCut)
	}
	if step < 0 || sample.Limited {
		l.applyStep(step, minLimit)
	}
}

// smoothingAnswers is the number of answers over which the service time of an endpoint is smoothed.
const smoothingAnswers = 64

// updateEstimates updates the gain estimate, K(k+1) = 0.5 K(k) + 0.5 service time / ceil(u), the smoothed
// service time and the baseline. meanMS is the mean service time of the sample, answers the number of its
// answers.
func (l *Limit) updateEstimates(meanMS float64, answers int) {
	ratio := meanMS / math.Ceil(l.Value)
	if l.GainMS == 0 {
		l.GainMS = ratio
	}
	l.GainMS = oldGainWeight*l.GainMS + (1-oldGainWeight)*ratio
	l.ServiceMS.Add(meanMS, float64(answers)/float64(answers+smoothingAnswers))
	l.updateBaseline()
}

// baselineDecay is the share of the difference to the smoothed service time by which the baseline changes in
// each sample. The baseline of an endpoint that became permanently slower adapts within some minutes.
const baselineDecay = 1e-3

// updateBaseline sets the baseline to the minimum of the smoothed service time. In each sample the baseline
// also moves a little towards the present smoothed service time, see baselineDecay. Until more than
// MinAnswers samples are recorded it equals the smoothed service time.
func (l *Limit) updateBaseline() {
	if l.ServiceMS.N <= MinAnswers || l.ServiceMS.Value < l.BaselineMS {
		l.BaselineMS = l.ServiceMS.Value
	}
	l.BaselineMS += (l.ServiceMS.Value - l.BaselineMS) * baselineDecay
}

// applyStep adds step to the limit, which stays at least minLimit. Unlike in the paper, the limit may be
// below one, for endpoints that are congested by one request of each gateway. It is then the share of time in
// which one request may be in flight, which the cooldown after each attempt enforces, and steps are scaled by
// it.
func (l *Limit) applyStep(step, minLimit float64) {
	l.Value = max(minLimit, l.Value+step*min(1, l.Value))
}

// congested reports whether requests wait at the endpoint instead of in the gateways' queues. The paper has
// no such check. It is needed because gateways raise their limits at the same time and may overload endpoints
// before service times show it.
func (l *Limit) congested() bool { return l.QueueLength >= congestedQueueLength }

// Constants of the minimum setpoint, which is relative to the baseline service time.
const (
	setpointFactor = 1.4 // multiple of the baseline service time; the excess allows for noise
	setpointShare  = 0.6 // maximum excess over the baseline, as a share of the service time budget
)

// SetpointMS returns the service time that the limit is regulated to, in ms scaled to the average class.
// Unlike in the paper, it has a minimum above the baseline service time; otherwise the limit would stay at
// its minimum where the budget is shorter than the uncongested service time. Short latency objectives bound
// the excess over the baseline too: requests then wait at the gateway, which can still choose their endpoint.
func (l *Limit) SetpointMS(target ServiceTarget) float64 {
	baseline, budget := l.BaselineMS, target.BudgetMS
	return max(budget*target.Response, min(setpointFactor*baseline, baseline+setpointShare*budget))
}

// CooldownAfter returns the cooldown of an endpoint with a limit below one after an attempt that kept it busy
// for busyMS milliseconds. It is 0 for other limits.
func (l *Limit) CooldownAfter(busyMS float64) time.Duration {
	if l.Value >= 1 {
		return 0
	}
	return stats.FromMilliseconds(busyMS * (1/l.Value - 1))
}
