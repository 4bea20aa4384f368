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
		t.Fatalf("%d WatchEndpoints calls at the start, want 1", n)
	}
	var lastDelay time.Duration
	for i := range 3 {
		r.b.UpdateEndpoints(r.now, WatchFailed, nil)
		timers := r.takeActions("timer")
		if len(timers) != 1 || timers[0].token != watchTimer || timers[0].timeout <= lastDelay/3 {
			t.Fatalf("call %d: timers = %+v, want one watch timer of more than a third of the previous delay of %v",
				i, timers, lastDelay)
		}
		lastDelay = timers[0].timeout
		if len(r.b.endpoints.all) != 1 {
			t.Fatal("a failed call removed endpoints from the list")
		}
		r.b.TimerFired(r.now, watchTimer)
		if n := len(r.takeActions("watch")); n != 1 {
			t.Fatalf("call %d: %d WatchEndpoints calls, want 1", i, n)
		}
	}
	r.b.UpdateEndpoints(r.now, Delta, nil)
	r.b.TimerFired(r.now, watchTimer)
	if n := len(r.takeActions("watch")); n != 0 {
		t.Error("WatchEndpoints called although changes arrive")
	}
	r.b.UpdateEndpoints(r.now, WatchFailed, nil) // the watch was interrupted
	r.b.TimerFired(r.now, watchTimer)
	if n := len(r.takeActions("watch")); n != 1 {
		t.Error("no WatchEndpoints call after the watch was interrupted")
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
		{"discovery not reached", func(w *endpointWatch) { w.callStarted(0) }, true, backoff.Unreachable},
		{"changes arrived before", func(w *endpointWatch) { w.callStarted(0); w.answered() }, false, backoff.Ended},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w endpointWatch
			c.prepare(&w)
			if got := w.ended(c.unreachable); got != c.want || w.calling || w.active {
				t.Errorf("the watch ended as %v, want %v: %+v", got, c.want, w)
			}
		})
	}
	var w endpointWatch
	if w.callStarted(0); w.overdue(5*time.Second, 10*time.Second) || !w.overdue(5*time.Second+1, 10*time.Second) {
		t.Error("a call is overdue before half of the poll interval, or not after it")
	}
	if w.answered(); w.overdue(time.Hour, 10*time.Second) {
		t.Error("an answered call is overdue")
	}
}
