// Package backoff spaces the calls of one gateway to a service that all gateways of its fleet share. The
// service works through calls in turn and turns away those that wait too long, so what one caller may do at
// once, all callers together may not: calls that fail come further apart, as in congestion control. The
// package is pure: the caller passes the time and the random draws.
package backoff

import "time"

// Failure tells how a call failed, as far as it shows whether the service is overloaded.
type Failure uint8

// The kinds of failure.
const (
	// Overloaded is a call that was refused by an answer, reset after it was sent, or not answered in time.
	Overloaded Failure = iota
	// Unreachable is a call whose connection never came up: it cost the service nothing.
	Unreachable
	// Ended is a call that had been answered, and whose answer ended.
	Ended
)

// Times between the beginnings of two calls. A change has to be known 6 s after the service could be
// reached, which bounds the interval until the service has refused so often that its queue, not the
// interval, is what takes long.
const (
	// callGap is the time between two calls of the whole fleet that a service of unknown capacity is taken
	// to bear.
	callGap = 200 * time.Millisecond
	// shortInterval is the longest interval of a small fleet, and of calls that met nobody.
	shortInterval = 1500 * time.Millisecond
	// longInterval is the longest interval before patientFailures failures: with half a second for the
	// answer it stays within 6 s.
	longInterval = 5500 * time.Millisecond
	// farInterval is the longest interval of all.
	farInterval = time.Minute
	// patientFailures is how many failures in a row that cost the service a turn leave the interval within
	// longInterval.
	patientFailures = 5
	// turnTaken is how long a call takes at least that has waited for its turn. One that fails sooner was
	// turned away by a service that is down or sheds: it cost nothing, says nothing of how many calls the
	// service bears, and must not put off the next one beyond longInterval, for the service may be back at
	// any moment.
	turnTaken = 500 * time.Millisecond
	// mostDoublings bounds the shifts: farInterval is reached before.
	mostDoublings = 10
	// endedSpread puts off the call after one that ended: all gateways' answers may have ended together.
	endedSpread = 300 * time.Millisecond
	// failedSpread puts off the call after one that failed.
	failedSpread = 100 * time.Millisecond
)

// Backoff is the state of one caller. The zero value has seen no failure.
type Backoff struct {
	// Initial is the interval after the first failure; 0 is half of the regular one. It doubles up to the
	// regular one.
	Initial  time.Duration
	failures int // in a row
	turns    int // of these, that cost the service a turn
}

// Succeeded notes that a call was answered.
func (p *Backoff) Succeeded() { p.failures, p.turns = 0, 0 }

// Failed notes a failure and returns the delay until the next call. callers is the size of the fleet,
// elapsed the time since the call began, and spread and jitter are drawn evenly from 0 to 1.
func (p *Backoff) Failed(kind Failure, callers int, elapsed time.Duration, spread, jitter float64,
) time.Duration {
	if kind == Ended {
		return fraction(endedSpread, spread)
	}
	interval := p.interval(kind, callers)
	p.failures++
	if kind == Overloaded && elapsed >= turnTaken {
		p.turns++
	}
	remaining := fraction(interval, 0.5+jitter/2) - elapsed
	return max(remaining, fraction(failedSpread, spread))
}

// interval is the longest time between the beginnings of the call that failed and the next one.
func (p *Backoff) interval(kind Failure, callers int) time.Duration {
	bound := shortInterval
	if kind != Unreachable {
		bound = regularInterval(callers)
	}
	first := p.Initial
	if first == 0 {
		first = bound / 2
	}
	interval := min(first<<min(p.failures, mostDoublings), bound)
	if kind == Unreachable || p.turns <= patientFailures {
		return interval
	}
	far := max(bound, min(time.Duration(callers)*callGap, farInterval))
	return min(interval<<min(p.turns-patientFailures, mostDoublings), far)
}

// regularInterval is the interval that fits a fleet.
func regularInterval(callers int) time.Duration {
	return max(shortInterval, min(time.Duration(callers)*callGap, longInterval))
}

func fraction(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
