package balancer

import (
	"testing"
	"time"
)

// Guards against an endpoint that fails fast, has room all the time and draws the queue.
func TestFastFailuresDoNotDrawTheQueue(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	r.b.classes.referenceMS = 100
	bad := 0
	for id := range RequestID(60) {
		r.request(id, 0)
		for starts := r.take("start"); len(starts) > 0; starts = r.take("start") {
			a := starts[0]
			attempt := len(r.b.requests.byID[a.id].attempts) - 1
			if a.endpoint == 1 {
				bad++
				r.now += millisecond
				r.end(a.id, attempt, 1, OutcomeError, millisecond)
			} else {
				r.now += 40 * millisecond
				r.end(a.id, attempt, 2, OutcomeOK, 40*millisecond)
			}
		}
	}
	if bad == 0 || bad > 8 {
		t.Errorf("the failing endpoint got %d requests", bad)
	}
	if s := r.b.endpoints.byID[1]; !s.health.Ejected {
		t.Error("the failing endpoint was not ejected")
	}
}

// An endpoint that answers nothing is ejected by its silence, probed with one idempotent request at a time,
// and taken back at its first answer.
func TestSilentEndpointIsEjectedProbedAndTakenBack(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0), ready(3, 0, 0))
	warmUp(r)
	r.b.endpoints.byID[1].limit.Value = 3
	r.request(1, 2) // not idempotent: no timeout shows the silence
	r.wait(550 * millisecond)
	s := r.b.endpoints.byID[1]
	if s.health.Ejected {
		t.Fatal("ejected before six service times")
	}
	r.wait(200 * millisecond)
	if !s.health.Ejected || !s.health.Silent {
		t.Fatal("a silent endpoint is not ejected")
	}
	s.health.ProbeAt = r.now
	r.take("start")
	r.request(2, 2)
	if starts := r.take("start"); len(starts) != 1 || starts[0].endpoint == 1 {
		t.Fatalf("a non-idempotent request was used as a probe: %+v", starts)
	}
	r.end(1, 0, 1, OutcomeTimeout, 2*time.Second)
	s.health.ProbeAt = r.now
	r.request(3, 0)
	r.request(4, 0)
	probes := 0
	for _, a := range r.take("start") {
		if a.endpoint == 1 {
			probes++
		}
	}
	if probes != 1 {
		t.Fatalf("%d requests as probes, want 1", probes)
	}
	r.end(3, 0, 1, OutcomeOK, 100*millisecond)
	if s.health.Ejected || s.limit.Value != 1 {
		t.Errorf("after a good probe ejected = %v, u = %v", s.health.Ejected, s.limit.Value)
	}
}

// What is in flight on a silent endpoint is cancelled and retried elsewhere if it may be; what may not,
// waits.
func TestAttemptsOnASilentEndpointAreCancelled(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0), ready(3, 0, 0))
	warmUp(r)
	r.b.endpoints.byID[1].limit.Value = 9
	for class := range 3 {
		r.request(RequestID(class), class)
	}
	if starts := r.take("start"); len(starts) != 3 || starts[2].endpoint != 1 || starts[2].timeout != 0 {
		t.Fatalf("starts = %+v, want three to endpoint 1 without a time-out", starts)
	}
	r.wait(750 * millisecond)
	cancels := r.take("cancel")
	if len(cancels) != 2 || cancels[0].id != 0 || cancels[1].id != 1 {
		t.Fatalf("cancels = %+v, want the idempotent and the keyed request", cancels)
	}
	r.end(0, 0, 1, OutcomeCancelled, 700*millisecond)
	if starts := r.take("start"); len(starts) != 1 || starts[0].id != 0 || starts[0].endpoint == 1 {
		t.Errorf("starts = %+v, want request 0 on another endpoint", starts)
	}
	if n := r.b.endpoints.byID[1].inFlight; n != 2 || len(r.b.endpoints.byID[1].requests) != 2 {
		t.Errorf("in flight on the silent endpoint = %d, want 2", n)
	}
}

// A false alarm does little harm: the first answer takes the endpoint back.
func TestFalseSilenceEndsWithTheAnswer(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0), ready(3, 0, 0))
	warmUp(r)
	r.b.endpoints.byID[1].limit.Value = 2
	r.request(1, 2)
	r.wait(800 * millisecond)
	if !r.b.endpoints.byID[1].health.Silent {
		t.Fatal("the silence was not noticed")
	}
	r.end(1, 0, 1, OutcomeOK, 800*millisecond)
	if s := r.b.endpoints.byID[1]; s.health.Ejected || s.health.Silent {
		t.Error("the endpoint is still ejected")
	}
}

// If most endpoints look bad the load is suspected, and they stay in use.
func TestCapacityStaysInUseWhenAllLookBad(t *testing.T) {
	var list []Endpoint
	for id := range EndpointID(6) {
		list = append(list, ready(id+1, 0, 0))
	}
	r := newRig(t, testConfig(), list...)
	for _, s := range r.b.endpoints.all {
		for range 10 {
			r.b.recordFailure(s)
		}
	}
	ejected := 0
	for _, s := range r.b.endpoints.all {
		if s.health.Ejected {
			ejected++
		}
	}
	if ejected != 3 {
		t.Errorf("%d of 6 endpoints ejected, want half", ejected)
	}
}

// A heavy request that times out while others are answered says nothing about its endpoint.
func TestTimeoutOfHeavyWorkDoesNotEject(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	s := r.b.endpoints.byID[1]
	s.limit.Value = 9
	for id := range RequestID(8) {
		r.request(id, 0)
	}
	r.now += 300 * millisecond
	r.end(0, 0, 1, OutcomeOK, 300*millisecond)
	for id := RequestID(1); id < 8; id++ {
		r.end(id, 0, 1, OutcomeTimeout, 300*millisecond)
	}
	if s.health.Ejected || s.health.FailureRate > 0 {
		t.Errorf("ejected = %v, fail share = %v", s.health.Ejected, s.health.FailureRate)
	}
	if s.limit.Sample.Failures == 0 {
		t.Error("the time-outs do not count for the limit")
	}
}
