// Package backoff spaces the calls of one gateway to a service that all gateways of its cluster share. The
// service works through calls in turn and rejects those that wait too long, so what one caller may do at
// once, all callers together may not: calls that fail come further apart, as in congestion control. The
// package has no clock and draws no random numbers: the caller passes the time and the draws.
package backoff

import "time"

// Failure tells how a call failed, as far as it shows whether the service is overloaded.
type Failure uint8

// The kinds of failure.
const (
	// Overloaded is a call that was rejected by an answer, reset after it was sent, or not answered in time.
	Overloaded Failure = iota
	// Unreachable is a call whose connection never came up: it cost the service nothing.
	Unreachable
	// Ended is a call that had been answered, and whose answer ended.
	Ended
)

// Times between the beginnings of two calls. A change has to be known 6 s after the service could be reached,
// which bounds the interval until the service has failed so often that its queue, not the interval, is what
// takes long.
const (
	// clusterInterval is the time between two calls of the whole cluster that a service of unknown capacity
	// is taken to bear.
	clusterInterval = 200 * time.Millisecond
	// minRegularInterval is the regular interval of a small cluster, and that of calls that reach nobody.
	minRegularInterval = 1500 * time.Millisecond
	// maxRegularInterval is the longest regular interval: with half a second for the answer it stays within
	// 6 s.
	maxRegularInterval = 5500 * time.Millisecond
	// maxInterval is the longest interval of all.
	maxInterval = time.Minute
	// maxRegularFailures is how many queued failures in a row leave the interval at the regular one.
	maxRegularFailures = 5
	// minQueuedTime is how long a call takes at least that has waited in the service's queue. One that fails
	// sooner was rejected by a service that is down or sheds load: it says nothing of how many calls the
	// service bears, and the service may be back at any moment.
	minQueuedTime = 500 * time.Millisecond
	// maxDoublings bounds the shifts: maxInterval is reached before.
	maxDoublings = 10
	// endedSpread puts off the call after one that ended: all gateways' answers may have ended together.
	endedSpread = 300 * time.Millisecond
	// failedSpread puts off the call after one that failed.
	failedSpread = 100 * time.Millisecond
)

// Backoff is the state of one caller. The zero value has seen no failure. It is not safe for concurrent use.
type Backoff struct {
	// Initial is the interval after the first failure; 0 is half of the regular one. It doubles up to the
	// regular one.
	Initial  time.Duration
	failures int // in a row
	queued   int // of these, that waited in the service's queue
}

// Succeeded notes that a call was answered.
func (b *Backoff) Succeeded() { b.failures, b.queued = 0, 0 }

// Failed notes a failure and returns the delay until the next call. callers is the size of the cluster,
// elapsed the time since the call began, and spread and jitter are drawn evenly from 0 to 1.
func (b *Backoff) Failed(kind Failure, callers int, elapsed time.Duration, spread, jitter float64,
) time.Duration {
	if kind == Ended {
		return fraction(endedSpread, spread)
	}
	interval := b.interval(kind, callers)
	b.failures++
	if kind == Overloaded && elapsed >= minQueuedTime {
		b.queued++
	}
	remaining := fraction(interval, 0.5+jitter/2) - elapsed
	return max(remaining, fraction(failedSpread, spread))
}

// interval is the longest time between the beginnings of the call that failed and the next one.
func (b *Backoff) interval(kind Failure, callers int) time.Duration {
	regular := minRegularInterval
	if kind != Unreachable {
		regular = regularInterval(callers)
	}
	first := b.Initial
	if first == 0 {
		first = regular / 2
	}
	interval := min(first<<min(b.failures, maxDoublings), regular)
	if kind == Unreachable || b.queued <= maxRegularFailures {
		return interval
	}
	longest := max(regular, min(time.Duration(callers)*clusterInterval, maxInterval))
	return min(interval<<min(b.queued-maxRegularFailures, maxDoublings), longest)
}

// regularInterval is the interval that fits a cluster.
func regularInterval(callers int) time.Duration {
	return max(minRegularInterval, min(time.Duration(callers)*clusterInterval, maxRegularInterval))
}

func fraction(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
