package backoff

import (
	"testing"
	"time"
)

// longestIntervals returns the longest times between the beginnings of two calls, after each of so many failures in a row
// that took so long.
func longestIntervals(t *testing.T, kind Failure, callers, failures int, took time.Duration) []time.Duration {
	t.Helper()
	var p Backoff
	intervals := make([]time.Duration, failures)
	for i := range intervals {
		intervals[i] = took + p.Failed(kind, callers, took, 1, 1)
	}
	return intervals
}

func TestIntervalGrowsWithFailures(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    Failure
		callers int
		took    time.Duration
		want    []time.Duration // in units of 50 ms
	}{
		{
			"a small cluster stays within 1.5 s", Overloaded, 3, minQueuedTime,
			[]time.Duration{15, 30, 30, 30, 30, 30, 30, 30},
		},
		{
			"nobody is reached", Unreachable, 350, minQueuedTime,
			[]time.Duration{15, 30, 30, 30, 30, 30, 30, 30},
		},
		{
			"thirty gateways", Overloaded, 32, minQueuedTime,
			[]time.Duration{55, 110, 110, 110, 110, 110, 128, 128},
		},
		{
			"a large cluster", Overloaded, 350, minQueuedTime,
			[]time.Duration{55, 110, 110, 110, 110, 110, 220, 440, 880, 1200, 1200},
		},
		{
			"a large cluster that is rejected at once", Overloaded, 350, 0,
			[]time.Duration{55, 110, 110, 110, 110, 110, 110, 110, 110, 110, 110},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i, got := range longestIntervals(t, c.kind, c.callers, len(c.want), c.took) {
				if want := c.want[i] * 50 * time.Millisecond; got != want {
					t.Errorf("failure %d has the next call begin %v later, want %v", i+1, got, want)
				}
			}
		})
	}
}

func TestElapsedTimeCountsTowardInterval(t *testing.T) {
	var p Backoff
	if got := p.Failed(Overloaded, 32, 2*time.Second, 1, 1); got != 750*time.Millisecond {
		t.Errorf("after a call of 2 s the next comes %v later, want 750 ms", got)
	}
	if got := p.Failed(Overloaded, 32, time.Minute, 0.5, 1); got != maxFailedJitter/2 {
		t.Errorf("after a call of a minute the next comes %v later, want %v", got, maxFailedJitter/2)
	}
}

func TestAnswerResetsBackoff(t *testing.T) {
	p := Backoff{Initial: 200 * time.Millisecond}
	for range 4 {
		p.Failed(Overloaded, 32, 0, 0, 1)
	}
	p.Succeeded()
	if got := p.Failed(Ended, 32, time.Hour, 1, 1); got != maxEndedDelay {
		t.Errorf("the call after an answer's end comes %v later, want %v", got, maxEndedDelay)
	}
	if got := p.Failed(Overloaded, 32, 0, 0, 1); got != p.Initial {
		t.Errorf("the first failure after an answer puts the next call off by %v, want %v", got, p.Initial)
	}
}
