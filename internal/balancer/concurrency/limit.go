package concurrency

import (
	"math"
	"time"

	"thymebend/internal/balancer/stats"
)

// MinAnswers is how many answers a mean of service times needs before it is relied on.
const MinAnswers = 8

// ServiceTarget is what the service times of the endpoints are held to.
type ServiceTarget struct {
	BudgetMS float64 // the part of the shortest latency objective meant for service, ms of the average class
	Response float64 // the response setpoint, see ResponseSetpoint
}

// NewServiceTarget returns the target for a shortest latency objective, in ms of the average class.
func NewServiceTarget(objectiveMS, response float64) ServiceTarget {
	return ServiceTarget{BudgetMS: ServiceShare * objectiveMS, Response: response}
}

// Limit is the concurrency limit of one endpoint: how many requests this gateway may have in flight there.
// Service times are those of the average class, in milliseconds. The zero value needs a Reset.
type Limit struct {
	Value       float64    // the limit before rounding up, above 0; the paper's u
	GainMS      float64    // ms of service for each request in flight; 0 is unknown; the paper's K
	BaselineMS  float64    // service time while the endpoint is not congested; 0 is unknown
	ServiceMS   stats.Mean // smoothed service time, ms
	QueueLength float64    // requests waiting at the endpoint as its answers report, smoothed; else 0
	Sample      Sample     // of the running sampling period
}

// Sample is what was seen of an endpoint in one sampling period.
type Sample struct {
	Answers, Failures int
	ServiceSumMS      float64 // of the answers' service times
	Limited           bool    // the endpoint was full while requests were queued
}

// minEndpointConcurrency is the least number of requests that all gateways together let an endpoint have in
// flight: some cores' worth.
const minEndpointConcurrency = 5.0

// MinLimit is where limits start, and their least: one, or this gateway's part of a few requests over
// all the gateways that use the endpoint (users, at least 1). Guards against many gateways that each
// take for uncongested what they find congested from their first request on.
func MinLimit(users float64) float64 { return min(1, minEndpointConcurrency/users) }

// Reset sets the limit to its least.
func (l *Limit) Reset(minLimit float64) { l.Value = minLimit }

// Allowed is the number of requests that may be in flight: ceil(u) in the paper.
func (l *Limit) Allowed() int { return int(math.Ceil(l.Value)) }

// RecordAnswer counts an answer with its service time in ms of the average class.
func (l *Limit) RecordAnswer(serviceMS float64) {
	l.Sample.ServiceSumMS += serviceMS
	l.Sample.Answers++
}

// RecordFailure counts an attempt that failed or was rejected.
func (l *Limit) RecordFailure() { l.Sample.Failures++ }

// Constants of the queue that endpoints report.
const (
	queueLengthWeight = 0.25 // weight of one report in the smoothed length
	// requests waiting, from which an endpoint is congested: more than one by chance
	congestedQueueLength = 1.5
	// least cut of the limit of a congested endpoint, a sample; a report may be late
	congestedStep = 0.08
)

// RecordQueueLength takes the number of waiting requests that an answer reports.
func (l *Limit) RecordQueueLength(length float64) {
	l.QueueLength += (length - l.QueueLength) * queueLengthWeight
}

// MarkLimited notes that the limit stands in the way of a queued request. Only such a limit may grow.
func (l *Limit) MarkLimited() { l.Sample.Limited = true }

// Constants of the integral loop on service time.
const (
	integralGain  = 0.16 // c(1-c) for a closed-loop pole c = 0.8; equation 11
	gainMemory    = 0.5  // weight of the old gain estimate in the new one
	failureFactor = 2.0  // a failure counts as a service time of this multiple of the setpoint
)

// CloseSample ends a sampling period and moves the limit: u(k+1) = u(k) + 0.16/K (setpoint - service
// time), equation 11. A sample without answers or failures changes nothing; failures stay out of the
// averages and of the gain estimate.
func (l *Limit) CloseSample(target ServiceTarget, minLimit float64) {
	seen := l.Sample
	l.Sample = Sample{}
	if seen.Answers > 0 {
		l.learnService(seen.ServiceSumMS/float64(seen.Answers), seen.Answers)
	}
	if seen.Answers+seen.Failures == 0 || l.GainMS == 0 {
		return
	}
	setpoint := l.SetpointMS(target)
	service := (seen.ServiceSumMS + float64(seen.Failures)*failureFactor*setpoint) /
		float64(seen.Answers+seen.Failures)
	step := integralGain / l.GainMS * (setpoint - service)
	if l.congested() {
		step = min(step, -congestedStep)
	}
	if step < 0 || seen.Limited {
		l.move(step, minLimit)
	}
}

// smoothingAnswers is how many answers the smoothed service time of an endpoint remembers.
const smoothingAnswers = 64

// learnService updates the gain estimate and the averages of the service time:
// K(k+1) = 0.5 K(k) + 0.5 service time / ceil(u).
func (l *Limit) learnService(meanMS float64, answers int) {
	ratio := meanMS / math.Ceil(l.Value)
	if l.GainMS == 0 {
		l.GainMS = ratio
	}
	l.GainMS = gainMemory*l.GainMS + (1-gainMemory)*ratio
	l.ServiceMS.Add(meanMS, float64(answers)/float64(answers+smoothingAnswers))
	l.learnBaseline()
}

// baselineForgetting is the share, a sample, by which the baseline service time follows the smoothed one: a
// machine that got slower for good is believed after some minutes.
const baselineForgetting = 1e-3

// learnBaseline keeps the least smoothed service time, slowly forgotten.
func (l *Limit) learnBaseline() {
	if l.ServiceMS.N <= MinAnswers || l.ServiceMS.Value < l.BaselineMS {
		l.BaselineMS = l.ServiceMS.Value
	}
	l.BaselineMS += (l.ServiceMS.Value - l.BaselineMS) * baselineForgetting
}

// move applies a step. Exception to the paper: below one, where one request of each gateway already
// congests an endpoint, the limit is the share of time in which a limit of one is open, and steps
// shrink with it.
func (l *Limit) move(step, minLimit float64) {
	l.Value = max(minLimit, l.Value+step*min(1, l.Value))
}

// congested reports whether requests wait at the endpoint although they should wait at the gateways.
// Exception to the paper: gateways grow their limits together, and may overload endpoints before
// service times tell.
func (l *Limit) congested() bool { return l.QueueLength >= congestedQueueLength }

// Bounds of the setpoint over the baseline service time.
const (
	setpointFactor = 1.4 // of the baseline service time: room for noise
	setpointShare  = 0.6 // of the service time budget: the most over the baseline service time
)

// SetpointMS is the service time that the limit is steered to, in ms of the average class. Exception to
// the paper: it is never under a multiple of the baseline service time, or the limit would stay at one
// where the budget is less than the bare work takes. Short objectives leave little for that excess
// either: requests then wait at the gateway, which can still choose.
func (l *Limit) SetpointMS(target ServiceTarget) float64 {
	baseline, budget := l.BaselineMS, target.BudgetMS
	return max(budget*target.Response, min(setpointFactor*baseline, baseline+setpointShare*budget))
}

// RestAfter is how long an endpoint with a limit below one rests after an attempt that kept it busy for so
// many ms; else 0.
func (l *Limit) RestAfter(busyMS float64) time.Duration {
	if l.Value >= 1 {
		return 0
	}
	return stats.FromMilliseconds(busyMS * (1/l.Value - 1))
}
