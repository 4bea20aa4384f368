package balancer

import (
	"math/rand/v2"
	"testing"

	"thymebend/internal/balancer/stats"
)

func TestLimitsStartAtOneAndAreEnforced(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	for id := range RequestID(5) {
		r.sendRequest(id, 0)
	}
	starts := r.takeActions("start")
	if len(starts) != 2 || starts[0].endpoint == starts[1].endpoint || starts[0].id != 0 || starts[1].id != 1 {
		t.Fatalf("starts = %+v, want the first two requests, one to each endpoint", starts)
	}
	r.endAttempt(0, 0, starts[0].endpoint, OutcomeOK, 50*millisecond)
	next := r.takeActions("start")
	if len(next) != 1 || next[0].id != 2 || next[0].endpoint != starts[0].endpoint {
		t.Fatalf("after an answer starts = %+v, want request 2 on the same endpoint", next)
	}
}

func TestEndpointWithMostFreeCapacityIsChosen(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0), ready(3, 0, 0))
	r.b.endpoints.all[0].limit.Value, r.b.endpoints.all[1].limit.Value, r.b.endpoints.all[2].limit.Value = 2, 4.2, 3
	for id := range RequestID(3) {
		r.sendRequest(id, 0)
	}
	var got []EndpointID
	for _, start := range r.takeActions("start") {
		got = append(got, start.endpoint)
	}
	if want := []EndpointID{2, 2, 2}; got[0] != want[0] || got[1] != want[1] {
		t.Errorf("dispatched to %v, want endpoint 2 first: it may have five requests in flight", got)
	}
}

func TestLocalZoneIsPreferred(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost = 0.05 // 0.05 x the objective of 1000 ms: requests wait 50 ms for the local zone
	r := newRig(t, cfg, ready(1, 0, 0), ready(2, 1, 1))
	r.b.endpoints.byID[2].limit.Value = 5 // more free capacity does not outweigh the zone preference
	r.sendRequest(1, 0)
	r.sendRequest(2, 0)
	if starts := r.takeActions("start"); len(starts) != 1 || starts[0].endpoint != 1 {
		t.Fatalf("starts = %+v, want one to the local zone", starts)
	}
	r.advance(45 * millisecond)
	if starts := r.takeActions("start"); len(starts) != 0 {
		t.Fatalf("dispatched to the other zone after 45 ms, want after 50 ms: %+v", starts)
	}
	r.advance(10 * millisecond)
	if starts := r.takeActions("start"); len(starts) != 1 || starts[0].endpoint != 2 {
		t.Fatalf("starts = %+v, want one to the other zone", starts)
	}
}

// With short objectives, requests must not be shed while endpoints of other zones are idle.
func TestRequestsCrossZonesBeforeTheyAreShed(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost = 0.1 // 0.1 x the objective of 400 ms: a wait of 40 ms
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective, cfg.Classes[i].Weight = 400*millisecond, []float64{1, 16, 16}[i]
	}
	r := newRig(t, cfg, ready(1, 0, 0), ready(2, 1, 1))
	for i := range r.b.classes.entries {
		c := &r.b.classes.entries[i]
		// With these statistics no time of the objective is left for queueing.
		c.serviceMS, c.deviationMS = stats.Mean{N: 100, Value: 90}, stats.Mean{N: 100, Value: 100}
	}
	r.b.classes.referenceMS = 90
	r.b.updateQueueTimes()
	if maxTime := r.b.classes.entries[0].maxQueueTime.withinQuota; maxTime >= 40*millisecond {
		t.Fatalf("maximum queue time %v, want less than the 40 ms before crossing: the case tests nothing", maxTime)
	}
	r.sendRequest(1, 0)
	r.sendRequest(2, 0)
	r.advance(100 * millisecond)
	if starts := r.takeActions("start"); len(starts) != 2 || starts[1].endpoint != 2 {
		t.Errorf("starts = %+v, want the second request in the other zone before it is shed", starts)
	}
}

// Examining every endpoint for every queued request would take more CPU than a gateway has. Each search draws one
// random number, so the state of the generator afterwards shows how many searches there were.
func TestSimilarRequestsAreSearchedForOnce(t *testing.T) {
	randomAfter := func(queued int) uint64 {
		r := newRig(t, testConfig(), ready(1, 0, 0))
		setKnownServiceTimes(r)
		for id := range RequestID(queued + 1) {
			r.b.RequestArrived(r.now, Request{ID: id, ClientTimeout: 2000 * millisecond})
		}
		r.b.Dispatch(r.now) // starts the first, queues the others
		r.b.rng = rand.New(rand.NewPCG(1, 1))
		r.b.Dispatch(r.now)
		if len(r.b.queue) != queued {
			t.Fatalf("%d requests queued, want %d", len(r.b.queue), queued)
		}
		return r.b.rng.Uint64()
	}
	if randomAfter(50) != randomAfter(1) {
		t.Error("fifty similar queued requests cause a different number of searches than one request")
	}
}

// A non-idempotent request that finds no free capacity must not keep the next request, of another class, from a due
// probe.
func TestMissOfOneClassDoesNotStopTheSearchForAnother(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	setKnownServiceTimes(r)
	ep := r.b.endpoints.all[0]
	ep.health.Ejected, ep.health.ProbeAt = true, r.now
	r.b.RequestArrived(r.now, Request{ID: 1, Class: 2, ClientTimeout: 2000 * millisecond})
	r.b.RequestArrived(r.now, Request{ID: 2, Class: 0, ClientTimeout: 2000 * millisecond})
	r.b.Dispatch(r.now)
	if starts := r.takeActions("start"); len(starts) != 1 || starts[0].id != 2 {
		t.Errorf("starts = %+v, want the idempotent request as the probe", starts)
	}
}

// While attempts are paused because the endpoint list may be about to change, no attempt starts. Queued requests start
// afterwards or get a final answer in time.
func TestPauseStopsNewAttempts(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.b.PauseAttempts(true)
	r.sendRequest(1, 0)
	if n := len(r.takeActions("start")); n != 0 {
		t.Fatalf("%d attempts started while paused, want 0", n)
	}
	r.b.PauseAttempts(false)
	r.b.Dispatch(r.now)
	if n := len(r.takeActions("start")); n != 1 {
		t.Fatalf("%d attempts started after the pause, want 1", n)
	}
	r.b.PauseAttempts(true)
	r.sendRequest(2, 0)
	r.advance(testConfig().Classes[0].Deadline)
	if rejected, failed := r.finalAnswers(2); rejected+failed != 1 || len(r.takeActions("start")) != 0 {
		t.Errorf("while paused: rejected %d times, failed %d times, want one final answer and no attempt",
			rejected, failed)
	}
}
