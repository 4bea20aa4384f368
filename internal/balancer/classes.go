package balancer

import (
	"math"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// classMeanWeight is the weight of one request in the running means of its class.
const classMeanWeight = 1.0 / 256

// maxServiceFactor caps the service time of one answer at a multiple of the mean of its class, so that a
// heavy request does not look like a congested endpoint.
const maxServiceFactor = 4.0

// arrivalDecay is the share by which the count of arrivals decays in each sampling period.
const arrivalDecay = 1.0 / 64

// classState is a request class with its statistics.
type classState struct {
	Class
	serviceMS       stats.Mean    // service time
	deviationMS     stats.Mean    // mean absolute deviation of the service time
	arrivals        float64       // requests accepted; decays by arrivalDecay per sampling period
	served          stats.Mean    // share answered within the objective (with a LateWeight: the timeout)
	expectedService time.Duration // expected service time of the next request
	timeouts        timeoutVotes
	openRequests    int           // requests not yet released
	retiredAt       time.Duration // when the class left the settings; 0 while it is in them

	goalDensity  float64         // gain in the operators' goal per ms of service time
	maxQueueTime queueTimeLimits // applies while capacity is short
	misses       dispatchMisses  // during the current Dispatch
}

// recordServiceTime records the service time of an answer, capped by maxServiceFactor, and returns the capped
// value in ms.
func (c *classState) recordServiceTime(latency time.Duration) (ms float64) {
	ms = stats.Milliseconds(latency)
	if c.serviceMS.N >= concurrency.MinAnswers {
		ms = min(ms, maxServiceFactor*c.serviceMS.Value)
	}
	c.serviceMS.Add(ms, classMeanWeight)
	c.deviationMS.Add(math.Abs(ms-c.serviceMS.Value), classMeanWeight)
	return ms
}

// recordConcluded records a final answer and whether it came in time.
func (c *classState) recordConcluded(inTime bool) {
	value := 0.0
	if inTime {
		value = 1
	}
	c.served.Add(value, classMeanWeight)
}

// refresh decays the count of arrivals and updates the expected service time of the next request.
func (c *classState) refresh() {
	c.arrivals *= 1 - arrivalDecay
	c.expectedService = stats.Scale(c.LatencyObjective, concurrency.ServiceShare)
	if c.serviceMS.N >= concurrency.MinAnswers {
		c.expectedService = stats.FromMilliseconds(c.serviceMS.Value)
	}
}

// usefulUntil returns the latest time at which a response still earns weight, for a request that its client
// first tried at firstTriedAt and abandons at deadline.
func (c *classState) usefulUntil(firstTriedAt, deadline time.Duration) time.Duration {
	if c.LateWeight > 0 {
		return deadline
	}
	return min(deadline, firstTriedAt+c.LatencyObjective)
}

// classTable holds the classes by the index in Request.Class.
type classTable struct {
	entries []classState
	// referenceMS is the service time of the average class, in ms; 0 means unknown. The service times of all
	// classes are scaled to it so that they can be averaged.
	referenceMS float64
}

// current iterates over the classes that are in the settings.
func (t *classTable) current(yield func(*classState) bool) {
	for i := range t.entries {
		if c := &t.entries[i]; c.retiredAt == 0 && !yield(c) {
			return
		}
	}
}

// updateReference sets referenceMS to the unweighted mean over the classes. It must not depend on the mix of
// served requests: if load shedding hit one class more than another, endpoints would seem to get slower.
func (t *classTable) updateReference() {
	var mean stats.Mean
	for c := range t.current {
		if c.serviceMS.N >= concurrency.MinAnswers {
			mean.Add(c.serviceMS.Value, 0)
		}
	}
	t.referenceMS = mean.Value
}

// relativeCost returns the service time of a class divided by that of the average class; 1 if unknown.
func (t *classTable) relativeCost(c *classState) float64 {
	if c.serviceMS.N < concurrency.MinAnswers || t.referenceMS == 0 {
		return 1
	}
	return c.serviceMS.Value / t.referenceMS
}

// meanObjective returns the mean latency objective of the current classes.
func (t *classTable) meanObjective() time.Duration {
	var sum, n time.Duration
	for c := range t.current {
		sum += c.LatencyObjective
		n++
	}
	return sum / n
}

// minObjectiveMS returns the shortest latency objective, in ms, after scaling each one to the average class.
func (t *classTable) minObjectiveMS() float64 {
	shortest := math.Inf(1)
	for c := range t.current {
		shortest = min(shortest, stats.Milliseconds(c.LatencyObjective)/t.relativeCost(c))
	}
	return shortest
}

// timeoutTolerance is the share by which two client timeouts may differ and still count as equal. Network
// delays before the arrival of a request cause such differences.
const timeoutTolerance = 0.03

// maxTimeoutVotes bounds the votes, so that a change of the clients' timeout is soon adopted.
const maxTimeoutVotes = 64

// timeoutVotes finds the client timeout that the first tries of a class share, by majority vote.
type timeoutVotes struct {
	common time.Duration // the timeout of most requests
	votes  int           // recent requests with the common timeout, minus the others
}

// observe records the client timeout of a request and returns how long ago its client first tried: 0 if its
// timeout is the common one or becomes it, otherwise deadline - timeout. This avoids serving clients' retries
// as first tries, although half of their latency objective may have passed before they arrived.
func (v *timeoutVotes) observe(timeout, deadline time.Duration) (sinceFirstTry time.Duration) {
	tolerance := stats.Scale(v.common, timeoutTolerance)
	if timeout >= v.common-tolerance && timeout <= v.common+tolerance {
		v.votes = min(v.votes+1, maxTimeoutVotes)
		return 0
	}
	if v.votes--; v.votes < 0 {
		v.common, v.votes = timeout, 1
		return 0
	}
	return max(0, deadline-timeout)
}
