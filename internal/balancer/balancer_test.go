package balancer

import "testing"

func TestRepeatedAndUnknownEventsAreHarmless(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.request(1, 0)
	r.rec.acts = nil
	r.end(9, 0, 1, OutcomeOK, 0)  // unknown request
	r.end(1, 5, 1, OutcomeOK, 0)  // unknown attempt
	r.end(1, -1, 1, OutcomeOK, 0) // no attempt at all
	r.b.RequestAbandoned(r.now, 77)
	r.b.ResponseStarted(r.now, 77)
	r.b.TimerFired(r.now, 12345)
	r.b.UpdateEndpoints(r.now, Snapshot, []Endpoint{ready(1, 0, 0)})
	r.b.UpdateEndpoints(r.now, Snapshot, []Endpoint{ready(1, 0, 0)})
	r.b.UpdateEndpoints(r.now, Delta, []Endpoint{{ID: 99, State: EndpointRemoved}})
	r.request(1, 0) // the same id again
	if len(r.rec.acts) != 0 || r.b.endpoints.all[0].inFlight != 1 || len(r.b.endpoints.all) != 1 {
		t.Errorf("acts = %+v, endpoints = %+v", r.rec.acts, r.b.endpoints.all[0])
	}
	r.end(1, 0, 1, OutcomeOK, 10*millisecond)
	r.end(1, 0, 1, OutcomeOK, 10*millisecond) // the same end again
	if r.b.endpoints.all[0].inFlight != 0 {
		t.Errorf("in flight = %d after one answer reported twice", r.b.endpoints.all[0].inFlight)
	}
	r.request(2, 99) // no such class
	if _, failed := r.finals(2); failed != 1 {
		t.Error("a request of an unknown class got no answer")
	}
}

func TestAbandonedRequestsAreDropped(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.request(1, 0)
	r.request(2, 0) // queued
	r.rec.acts = nil
	r.b.RequestAbandoned(r.now, 1)
	r.b.RequestAbandoned(r.now, 2)
	r.end(1, 0, 1, OutcomeError, 10*millisecond)
	r.wait(1500 * millisecond)
	for _, a := range r.rec.acts {
		if a.what != "timer" {
			t.Errorf("acted on a concluded request: %+v", a)
		}
	}
	if len(r.b.requests.byID) != 0 {
		t.Errorf("%d requests are kept", len(r.b.requests.byID))
	}
}
