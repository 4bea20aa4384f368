package balancer

import "testing"

func TestRepeatedAndUnknownEventsAreIgnored(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.sendRequest(1, 0)
	r.rec.actions = nil
	r.endAttempt(9, 0, 1, OutcomeOK, 0)  // unknown request
	r.endAttempt(1, 5, 1, OutcomeOK, 0)  // unknown attempt
	r.endAttempt(1, -1, 1, OutcomeOK, 0) // negative attempt number
	r.b.RequestAbandoned(r.now, 77)
	r.b.ResponseStarted(r.now, 77)
	r.b.TimerFired(r.now, 12345)
	r.b.UpdateEndpoints(r.now, Snapshot, []Endpoint{ready(1, 0, 0)})
	r.b.UpdateEndpoints(r.now, Snapshot, []Endpoint{ready(1, 0, 0)})
	r.b.UpdateEndpoints(r.now, Delta, []Endpoint{{ID: 99, State: EndpointRemoved}})
	r.sendRequest(1, 0) // the same id again
	if len(r.rec.actions) != 0 || r.b.endpoints.all[0].inFlight != 1 || len(r.b.endpoints.all) != 1 {
		t.Errorf("actions = %+v, endpoint = %+v, want no action and one attempt in flight on one endpoint",
			r.rec.actions, r.b.endpoints.all[0])
	}
	r.endAttempt(1, 0, 1, OutcomeOK, 10*millisecond)
	r.endAttempt(1, 0, 1, OutcomeOK, 10*millisecond) // the same end again
	if r.b.endpoints.all[0].inFlight != 0 {
		t.Errorf("in flight = %d after one answer was reported twice, want 0", r.b.endpoints.all[0].inFlight)
	}
	r.sendRequest(2, 99) // no such class
	if _, failed := r.finalAnswers(2); failed != 1 {
		t.Error("a request of an unknown class did not fail exactly once")
	}
}

func TestAbandonedRequestsAreDropped(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.sendRequest(1, 0)
	r.sendRequest(2, 0) // queued
	r.rec.actions = nil
	r.b.RequestAbandoned(r.now, 1)
	r.b.RequestAbandoned(r.now, 2)
	r.endAttempt(1, 0, 1, OutcomeError, 10*millisecond)
	r.advance(1500 * millisecond)
	for _, a := range r.rec.actions {
		if a.kind != "timer" {
			t.Errorf("action for a concluded request: %+v", a)
		}
	}
	if len(r.b.requests.byID) != 0 {
		t.Errorf("%d abandoned requests are still kept, want 0", len(r.b.requests.byID))
	}
}
