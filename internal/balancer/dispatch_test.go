package balancer

import (
	"math/rand/v2"
	"testing"

	"thymebend/internal/balancer/stats"
)

func TestLimitsStartAtOneAndHold(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	for id := range RequestID(5) {
		r.request(id, 0)
	}
	starts := r.take("start")
	if len(starts) != 2 || starts[0].endpoint == starts[1].endpoint || starts[0].id != 0 || starts[1].id != 1 {
		t.Fatalf("starts = %+v, want the first two requests, one to each endpoint", starts)
	}
	r.end(0, 0, starts[0].endpoint, OutcomeOK, 50*millisecond)
	next := r.take("start")
	if len(next) != 1 || next[0].id != 2 || next[0].endpoint != starts[0].endpoint {
		t.Fatalf("after an answer starts = %+v, want request 2 on the same endpoint", next)
	}
}

func TestMostRoomIsChosen(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0), ready(3, 0, 0))
	r.b.endpoints.all[0].limit.Value, r.b.endpoints.all[1].limit.Value, r.b.endpoints.all[2].limit.Value = 2, 4.2, 3
	for id := range RequestID(3) {
		r.request(id, 0)
	}
	var got []EndpointID
	for _, s := range r.take("start") {
		got = append(got, s.endpoint)
	}
	if want := []EndpointID{2, 2, 2}; got[0] != want[0] || got[1] != want[1] {
		t.Errorf("sent to %v, want endpoint 2 first: it has room for five", got)
	}
}

func TestLocalZoneGoesFirst(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost = 0.05 // 0.05 x 1000 ms = 50 ms
	r := newRig(t, cfg, ready(1, 0, 0), ready(2, 1, 1))
	r.b.endpoints.byID[2].limit.Value = 5 // more room does not outweigh the crossing
	r.request(1, 0)
	r.request(2, 0)
	if starts := r.take("start"); len(starts) != 1 || starts[0].endpoint != 1 {
		t.Fatalf("starts = %+v, want one to the local zone", starts)
	}
	r.wait(45 * millisecond)
	if starts := r.take("start"); len(starts) != 0 {
		t.Fatalf("crossed after 45 ms: %+v", starts)
	}
	r.wait(10 * millisecond)
	if starts := r.take("start"); len(starts) != 1 || starts[0].endpoint != 2 {
		t.Fatalf("starts = %+v, want one to the other zone", starts)
	}
}

// Guards against endpoints of other zones that idle while requests are shed, where objectives are short.
func TestRequestsCrossZonesBeforeTheyAreShed(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost = 0.1 // 0.1 x 400 ms = 40 ms
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective, cfg.Classes[i].Weight = 400*millisecond, []float64{1, 16, 16}[i]
	}
	r := newRig(t, cfg, ready(1, 0, 0), ready(2, 1, 1))
	for i := range r.b.classes.entries {
		c := &r.b.classes.entries[i]
		// By these nothing is left of the objective for the queue.
		c.service, c.deviation = stats.Mean{N: 100, Value: 90}, stats.Mean{N: 100, Value: 100}
	}
	r.b.classes.referenceMS = 90
	r.b.updateQueueTimes()
	if longest := r.b.classes.entries[0].maxQueueTime.withinQuota; longest >= 40*millisecond {
		t.Fatalf("queued for %v: the case shows nothing", longest)
	}
	r.request(1, 0)
	r.request(2, 0)
	r.wait(100 * millisecond)
	if starts := r.take("start"); len(starts) != 2 || starts[1].endpoint != 2 {
		t.Errorf("starts = %+v, want the second to cross before it is shed", starts)
	}
}

// Guards against a look at every endpoint for every queued request, which takes more CPU than a gateway
// has. Each look draws one random number, so the generator tells how many there were.
func TestLikeRequestsAreLookedAtOnce(t *testing.T) {
	after := func(queued int) uint64 {
		r := newRig(t, testConfig(), ready(1, 0, 0))
		warmUp(r)
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
	if after(50) != after(1) {
		t.Error("fifty like requests are looked at more often than one")
	}
}

// Guards against a non-idempotent request that finds no room and hides a due probe from the next request.
func TestRequestsThatDifferAreLookedAt(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	warmUp(r)
	s := r.b.endpoints.all[0]
	s.health.Ejected, s.health.ProbeAt = true, r.now
	r.b.RequestArrived(r.now, Request{ID: 1, Class: 2, ClientTimeout: 2000 * millisecond})
	r.b.RequestArrived(r.now, Request{ID: 2, Class: 0, ClientTimeout: 2000 * millisecond})
	r.b.Dispatch(r.now)
	if starts := r.take("start"); len(starts) != 1 || starts[0].id != 2 {
		t.Errorf("starts = %+v, want the idempotent request as the probe", starts)
	}
}

// While the endpoint list may be about to change no attempt starts; what is queued starts afterwards, or is
// answered in time.
func TestPauseStopsNewAttempts(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.b.PauseAttempts(true)
	r.request(1, 0)
	if n := len(r.take("start")); n != 0 {
		t.Fatalf("sent %d times while paused", n)
	}
	r.b.PauseAttempts(false)
	r.b.Dispatch(r.now)
	if n := len(r.take("start")); n != 1 {
		t.Fatalf("sent %d times after the pause, want once", n)
	}
	r.b.PauseAttempts(true)
	r.request(2, 0)
	r.wait(testConfig().Classes[0].Deadline)
	if rejected, failed := r.finals(2); rejected+failed != 1 || len(r.take("start")) != 0 {
		t.Errorf("while paused: rejected %d times, failed %d times, want one answer and nothing sent", rejected, failed)
	}
}
