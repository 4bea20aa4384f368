package balancer

import "testing"

func TestDrainingEndpointsGetNothingNew(t *testing.T) {
	drain := func(s Endpoint) Endpoint { s.State = EndpointDraining; return s }
	gone := func(s Endpoint) Endpoint { s.State = EndpointRemoved; return s }
	one, two := ready(1, 0, 0), ready(2, 0, 0)
	for _, c := range []struct {
		name string
		kind EndpointUpdate
		list []Endpoint
	}{
		{"delta draining", Delta, []Endpoint{drain(one)}},
		{"delta gone", Delta, []Endpoint{gone(one)}},
		{"snapshot omits it", Snapshot, []Endpoint{two}},
		{"cached snapshot omits it", CachedSnapshot, []Endpoint{two}},
		{"snapshot draining", Snapshot, []Endpoint{drain(one), two}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testConfig(), one, two)
			r.b.UpdateEndpoints(r.now, c.kind, c.list)
			for id := range RequestID(20) {
				r.request(id, 0)
				for _, s := range r.take("start") {
					if s.endpoint == 1 {
						t.Fatalf("request %d went to an endpoint that leaves", s.id)
					}
					r.end(s.id, 0, s.endpoint, OutcomeOK, 20*millisecond)
				}
			}
		})
	}
}

// An endpoint that starts again under its id is a new one, and ends of attempts on the old one do not count
// on it.
func TestRestartUnderTheSameID(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.b.endpoints.all[0].limit.Value = 5
	r.request(1, 0)
	again := ready(1, 0, 0)
	again.StartedAt = r.now
	r.b.UpdateEndpoints(r.now, Delta, []Endpoint{again})
	if len(r.b.endpoints.all) != 1 || r.b.endpoints.all[0].inFlight != 0 {
		t.Fatalf("endpoints = %+v, want one fresh endpoint", r.b.endpoints.all)
	}
	r.end(1, 0, 1, OutcomeReset, 10*millisecond)
	r.wait(500 * millisecond)                       // it is in slow start
	if n := r.b.endpoints.all[0].inFlight; n != 1 { // the retry of request 1
		t.Errorf("in flight on the fresh endpoint = %d, want the retry alone", n)
	}
	r.b.UpdateEndpoints(r.now, Delta, []Endpoint{{ID: 1, State: EndpointRemoved, StartedAt: r.now}})
	if len(r.b.endpoints.all) != 0 || r.b.endpoints.byID[1] != nil {
		t.Errorf("an endpoint that is gone is still known")
	}
}
