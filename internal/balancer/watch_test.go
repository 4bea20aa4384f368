package balancer

import (
	"testing"
	"time"
)

func TestFailedWatchesBackOff(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	r := newRig(t, cfg, ready(1, 0, 0))
	if n := len(r.take("watch")); n != 1 {
		t.Fatalf("watched %d times at the start, want once", n)
	}
	var last time.Duration
	for i := range 3 {
		r.b.UpdateEndpoints(r.now, WatchFailed, nil)
		timers := r.take("timer")
		if len(timers) != 1 || timers[0].token != watchTimer || timers[0].timeout <= last/3 {
			t.Fatalf("call %d: timers = %+v after %v", i, timers, last)
		}
		last = timers[0].timeout
		if len(r.b.endpoints.all) != 1 {
			t.Fatal("a failed call took endpoints off the list")
		}
		r.b.TimerFired(r.now, watchTimer)
		if n := len(r.take("watch")); n != 1 {
			t.Fatalf("call %d: watched %d times, want once", i, n)
		}
	}
	r.b.UpdateEndpoints(r.now, Delta, nil)
	r.b.TimerFired(r.now, watchTimer)
	if n := len(r.take("watch")); n != 0 {
		t.Error("watched again though subscribed")
	}
	r.b.UpdateEndpoints(r.now, WatchFailed, nil) // the subscription broke
	r.b.TimerFired(r.now, watchTimer)
	if n := len(r.take("watch")); n != 1 {
		t.Error("a broken subscription was not renewed")
	}
}
