package balancer

import (
	"testing"
	"time"

	"thymebend/internal/backoff"
)

func TestFailedWatchesBackOff(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	r := newRig(t, cfg, ready(1, 0, 0))
	if n := len(r.takeActions("watch")); n != 1 {
		t.Fatalf("watched %d times at the start, want once", n)
	}
	var lastDelay time.Duration
	for i := range 3 {
		r.b.UpdateEndpoints(r.now, WatchFailed, nil)
		timers := r.takeActions("timer")
		if len(timers) != 1 || timers[0].token != watchTimer || timers[0].timeout <= lastDelay/3 {
			t.Fatalf("call %d: timers = %+v after %v", i, timers, lastDelay)
		}
		lastDelay = timers[0].timeout
		if len(r.b.endpoints.all) != 1 {
			t.Fatal("a failed call took endpoints off the list")
		}
		r.b.TimerFired(r.now, watchTimer)
		if n := len(r.takeActions("watch")); n != 1 {
			t.Fatalf("call %d: watched %d times, want once", i, n)
		}
	}
	r.b.UpdateEndpoints(r.now, Delta, nil)
	r.b.TimerFired(r.now, watchTimer)
	if n := len(r.takeActions("watch")); n != 0 {
		t.Error("watched again though subscribed")
	}
	r.b.UpdateEndpoints(r.now, WatchFailed, nil) // the subscription broke
	r.b.TimerFired(r.now, watchTimer)
	if n := len(r.takeActions("watch")); n != 1 {
		t.Error("a broken subscription was not renewed")
	}
}

func TestWatchReportsHowItEnded(t *testing.T) {
	for _, c := range []struct {
		name        string
		prepare     func(*endpointWatch)
		unreachable bool
		want        backoff.Failure
	}{
		{"no answer", func(w *endpointWatch) { w.callStarted(0) }, false, backoff.Overloaded},
		{"nobody reached", func(w *endpointWatch) { w.callStarted(0) }, true, backoff.Unreachable},
		{"changes came", func(w *endpointWatch) { w.callStarted(0); w.answered() }, false, backoff.Ended},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w endpointWatch
			c.prepare(&w)
			if got := w.ended(c.unreachable); got != c.want || w.calling || w.active {
				t.Errorf("ended as %v, want %v: %+v", got, c.want, w)
			}
		})
	}
	var w endpointWatch
	if w.callStarted(0); w.overdue(5*time.Second, 10*time.Second) || !w.overdue(5*time.Second+1, 10*time.Second) {
		t.Error("a call is not overdue after half of the interval")
	}
	if w.answered(); w.overdue(time.Hour, 10*time.Second) {
		t.Error("an answered call is overdue")
	}
}
