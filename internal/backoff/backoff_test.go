package backoff

import (
	"testing"
	"time"
)

// longestIntervals returns the interval between the starts of two calls after each of the given number of consecutive
// failures, without the reduction by jitter. Each call fails after the time elapsed.
func longestIntervals(t *testing.T, kind Failure, callers, failures int, elapsed time.Duration) []time.Duration {
	t.Helper()
	var b Backoff
	intervals := make([]time.Duration, failures)
	for i := range intervals {
		intervals[i] = elapsed + b.Failed(kind, callers, elapsed, 1, 1)
	}
	return intervals
}

func TestIntervalGrowsWithFailures(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    Failure
		callers int
		elapsed time.Duration
		want    []time.Duration // in units of 50 ms
	}{
		{
			"a small cluster, at most 1.5 s", Overloaded, 3, minQueuedTime,
			[]time.Duration{15, 30, 30, 30, 30, 30, 30, 30},
		},
		{
			"service unreachable", Unreachable, 350, minQueuedTime,
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
			"a large cluster, rejected at once", Overloaded, 350, 0,
			[]time.Duration{55, 110, 110, 110, 110, 110, 110, 110, 110, 110, 110},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i, got := range longestIntervals(t, c.kind, c.callers, len(c.want), c.elapsed) {
				if want := c.want[i] * 50 * time.Millisecond; got != want {
					t.Errorf("after failure %d the next call starts %v after the start of the failed one, want %v", i+1, got, want)
				}
			}
		})
	}
}

func TestElapsedTimeCountsTowardInterval(t *testing.T) {
	var b Backoff
	if got := b.Failed(Overloaded, 32, 2*time.Second, 1, 1); got != 750*time.Millisecond {
		t.Errorf("delay %v after a call of 2 s, want 750 ms", got)
	}
	if got := b.Failed(Overloaded, 32, time.Minute, 0.5, 1); got != maxFailedJitter/2 {
		t.Errorf("delay %v after a call of a minute, want %v", got, maxFailedJitter/2)
	}
}

func TestAnswerResetsBackoff(t *testing.T) {
	b := Backoff{Initial: 200 * time.Millisecond}
	for range 4 {
		b.Failed(Overloaded, 32, 0, 0, 1)
	}
	b.Succeeded()
	if got := b.Failed(Ended, 32, time.Hour, 1, 1); got != maxEndedDelay {
		t.Errorf("delay %v after the end of an answer, want %v", got, maxEndedDelay)
	}
	if got := b.Failed(Overloaded, 32, 0, 0, 1); got != b.Initial {
		t.Errorf("delay %v after the first failure since an answer, want %v", got, b.Initial)
	}
}
