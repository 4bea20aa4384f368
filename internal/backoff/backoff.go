// Package backoff determines the interval between calls of one gateway to a service that all gateways of its
// cluster share. The service processes calls one by one and rejects calls that wait too long in its queue. A
// call rate that is harmless for one caller may overload the service if all callers use it, so the interval
// grows with each failed call, as in congestion control. The package has no clock and draws no random
// numbers: the caller passes the elapsed time and the random numbers.
package backoff

import "time"

// Failure is how a call failed. The kinds differ in what they show about overload of the service.
type Failure uint8

// The kinds of failure.
const (
	// Overloaded is a call that was rejected by an answer, reset after it was sent, or not answered in time.
	Overloaded Failure = iota
	// Unreachable is a call whose connection was never established, and which caused the service no work.
	Unreachable
	// Ended is a call that was answered and whose answer, a stream, has ended.
	Ended
)

// Intervals between the starts of two consecutive calls. The gateway must know a change 6 s after the service
// became reachable, which bounds the interval. The bound no longer applies once the service has failed so
// often that the time in its queue, not the interval, is the main delay.
const (
	// clusterInterval is the interval between any two calls of the whole cluster that a service of unknown
	// capacity is assumed to sustain.
	clusterInterval = 200 * time.Millisecond
	// minRegularInterval is the regular interval of a small cluster, and of calls that cannot reach the
	// service.
	minRegularInterval = 1500 * time.Millisecond
	// maxRegularInterval is the maximum regular interval. Together with half a second for the answer it is
	// within the 6 s.
	maxRegularInterval = 5500 * time.Millisecond
	// maxInterval is the maximum of all intervals.
	maxInterval = time.Minute
	// maxRegularFailures is the number of consecutive queued failures up to which the interval stays at the
	// regular one. Further ones double it.
	maxRegularFailures = 5
	// minQueuedTime is the minimum duration of a call that waited in the service's queue. A call that fails
	// sooner was rejected by a service that is down or sheds load. Such a failure does not show how many
	// calls the service can handle, and the service may recover at any moment.
	minQueuedTime = 500 * time.Millisecond
	// maxDoublings bounds the shifts against overflow. The interval reaches maxInterval with fewer doublings.
	maxDoublings = 10
	// maxEndedDelay is the maximum of the random delay after a call whose answer ended. The delay is needed
	// because the answers to all gateways may have ended at the same time.
	maxEndedDelay = 300 * time.Millisecond
	// maxFailedJitter is the maximum of the random minimum delay after a call that failed.
	maxFailedJitter = 100 * time.Millisecond
)

// Backoff is the backoff state of one caller. The zero value has recorded no failure. It is not safe for
// concurrent use.
type Backoff struct {
	// Initial is the interval after the first failure; 0 means half the regular interval. Each further
	// failure doubles it, up to the regular interval.
	Initial        time.Duration
	failures       int // consecutive failures other than Ended
	queuedFailures int // how many of them waited in the service's queue, see minQueuedTime
}

// Succeeded records that a call was answered, which resets the backoff.
func (b *Backoff) Succeeded() { b.failures, b.queuedFailures = 0, 0 }

// Failed records a failure and returns the delay from now until the next call. callers is the number of
// gateways in the cluster and elapsed the time since the failed call started. delayDraw and intervalDraw are
// uniform random numbers from 0 to 1: delayDraw varies the minimum delay and the delay after Ended,
// intervalDraw varies the interval between half of it and all of it.
func (b *Backoff) Failed(kind Failure, callers int, elapsed time.Duration, delayDraw, intervalDraw float64,
) time.Duration {
	if kind == Ended {
		return scale(maxEndedDelay, delayDraw)
	}
	interval := b.interval(kind, callers)
	b.failures++
	if kind == Overloaded && elapsed >= minQueuedTime {
		b.queuedFailures++
	}
	remaining := scale(interval, 0.5+intervalDraw/2) - elapsed
	return max(remaining, scale(maxFailedJitter, delayDraw))
}

// interval returns the interval, before jitter, from the start of the call that failed to the start of the
// next one.
func (b *Backoff) interval(kind Failure, callers int) time.Duration {
	regular := minRegularInterval
	if kind != Unreachable {
		regular = regularInterval(callers)
	}
	initial := b.Initial
	if initial == 0 {
		initial = regular / 2
	}
	interval := min(initial<<min(b.failures, maxDoublings), regular)
	if kind == Unreachable || b.queuedFailures <= maxRegularFailures {
		return interval
	}
	maxQueuedInterval := max(regular, min(time.Duration(callers)*clusterInterval, maxInterval))
	return min(interval<<min(b.queuedFailures-maxRegularFailures, maxDoublings), maxQueuedInterval)
}

// regularInterval returns the interval at which each of callers gateways may call without overloading the
// service, in the range from minRegularInterval to maxRegularInterval.
func regularInterval(callers int) time.Duration {
	return max(minRegularInterval, min(time.Duration(callers)*clusterInterval, maxRegularInterval))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
