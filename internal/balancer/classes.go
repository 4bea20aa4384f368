package balancer

import (
	"math"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// classMemory is the weight of one request in what is learnt of its class.
const classMemory = 1.0 / 256

// maxServiceFactor is the multiple of the class's mean service time that one answer counts for at most, so
// that a heavy request does not look like a congested endpoint.
const maxServiceFactor = 4.0

// arrivalDecay is the share of the counted arrivals that each sampling period forgets.
const arrivalDecay = 1.0 / 64

// classState is what is learnt about one class.
type classState struct {
	Class
	serviceMS   stats.Mean    // service time
	deviationMS stats.Mean    // its mean absolute deviation
	arrivals    float64       // requests taken, with a decay
	served      stats.Mean    // share answered within the objective or, with a LateWeight, the client timeout
	expected    time.Duration // service time of the next request
	timeouts    timeoutVotes
	open        int           // requests not yet forgotten
	retiredAt   time.Duration // no longer in the settings since then; 0 if it is

	goalDensity  float64         // what serving it adds to the operators' goal, for a ms of work
	maxQueueTime queueTimeLimits // while capacity is short
	misses       dispatchMisses  // in this Dispatch
}

// recordService learns the service time of an answer and returns it as it counts, in ms.
func (c *classState) recordService(latency time.Duration) (ms float64) {
	ms = stats.Milliseconds(latency)
	if c.serviceMS.N >= concurrency.MinAnswers {
		ms = min(ms, maxServiceFactor*c.serviceMS.Value)
	}
	c.serviceMS.Add(ms, classMemory)
	c.deviationMS.Add(math.Abs(ms-c.serviceMS.Value), classMemory)
	return ms
}

// recordConcluded counts a final answer, and whether it came in time.
func (c *classState) recordConcluded(inTime bool) {
	share := 0.0
	if inTime {
		share = 1
	}
	c.served.Add(share, classMemory)
}

// refresh forgets a part of the arrivals and works out what the next request is expected to take.
func (c *classState) refresh() {
	c.arrivals *= 1 - arrivalDecay
	c.expected = stats.Scale(c.LatencyObjective, concurrency.ServiceShare)
	if c.serviceMS.N >= concurrency.MinAnswers {
		c.expected = stats.FromMilliseconds(c.serviceMS.Value)
	}
}

// usefulUntil is the moment until which an answer earns anything: that of a request that its client first
// tried at begun and gives up on at deadline.
func (c *classState) usefulUntil(begun, deadline time.Duration) time.Duration {
	if c.LateWeight > 0 {
		return deadline
	}
	return min(deadline, begun+c.LatencyObjective)
}

// classTable holds the classes by the index that requests carry.
type classTable struct {
	entries []classState
	// referenceMS is the service time of the average class, in ms; 0 is unknown. Service times of all
	// classes are scaled to it, so that they can be averaged.
	referenceMS float64
}

// current walks over the classes that the settings name.
func (t *classTable) current(yield func(*classState) bool) {
	for i := range t.entries {
		if c := &t.entries[i]; c.retiredAt == 0 && !yield(c) {
			return
		}
	}
}

// learnReference sets the reference to the plain mean over the classes. It must not follow the mix of
// what is served: work shed more in one class than another would look like endpoints getting slower.
func (t *classTable) learnReference() {
	var all stats.Mean
	for c := range t.current {
		if c.serviceMS.N >= concurrency.MinAnswers {
			all.Add(c.serviceMS.Value, 0)
		}
	}
	t.referenceMS = all.Value
}

// relativeCost is a class's service time over that of the average class.
func (t *classTable) relativeCost(c *classState) float64 {
	if c.serviceMS.N < concurrency.MinAnswers || t.referenceMS == 0 {
		return 1
	}
	return c.serviceMS.Value / t.referenceMS
}

// meanObjective is the mean of the classes' latency objectives.
func (t *classTable) meanObjective() time.Duration {
	var sum, n time.Duration
	for c := range t.current {
		sum += c.LatencyObjective
		n++
	}
	return sum / n
}

// minObjectiveMS is the shortest latency objective, in ms of the average class.
func (t *classTable) minObjectiveMS() float64 {
	least := math.Inf(1)
	for c := range t.current {
		least = min(least, stats.Milliseconds(c.LatencyObjective)/t.relativeCost(c))
	}
	return least
}

// timeoutTolerance is the share by which client timeouts differ that count as one: network delays before a
// request arrives.
const timeoutTolerance = 0.03

// maxTimeoutVotes bounds the votes, so that a change of the clients' timeout is soon seen.
const maxTimeoutVotes = 64

// timeoutVotes finds the client timeout that the first tries of a class share.
type timeoutVotes struct {
	common time.Duration // of most requests
	votes  int           // how many more had it lately than had not
}

// observe records the client timeout of a request and returns how long ago its client first tried: 0
// with the common timeout, else what is gone of the deadline (deadline - timeout). Guards against
// serving clients' retries whose latency objective was half spent before they came.
func (v *timeoutVotes) observe(timeout, deadline time.Duration) (sinceFirstTry time.Duration) {
	near := stats.Scale(v.common, timeoutTolerance)
	if timeout >= v.common-near && timeout <= v.common+near {
		v.votes = min(v.votes+1, maxTimeoutVotes)
		return 0
	}
	if v.votes--; v.votes < 0 {
		v.common, v.votes = timeout, 1
		return 0
	}
	return max(0, deadline-timeout)
}
