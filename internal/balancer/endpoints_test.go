package balancer

import (
	"slices"
	"testing"
	"time"
)

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

// Guards against a deploy that shifts the subsets of all gateways: a successor takes the place of the
// endpoint that left.
func TestSuccessorsTakeThePlacesOfThoseThatLeft(t *testing.T) {
	set := endpointSet{byID: make(map[EndpointID]*endpointState)}
	update := func(entries ...Endpoint) { set.update(time.Second, Delta, entries, 0, 1) }
	ids := func(places []*endpointState) (out []EndpointID) {
		for _, ep := range places {
			out = append(out, ep.ID)
		}
		return out
	}
	update(ready(3, 0, 0), ready(1, 0, 0), ready(2, 1, 0), ready(4, 0, 0))
	if got := ids(set.localOrder); !slices.Equal(got, []EndpointID{1, 3, 4}) {
		t.Fatalf("local places %v, want 1 3 4", got)
	}
	update(Endpoint{ID: 3, State: EndpointRemoved}, ready(9, 0, 0), ready(8, 1, 0))
	if got := ids(set.localOrder); !slices.Equal(got, []EndpointID{1, 9, 4}) {
		t.Errorf("local places %v, want 1 9 4", got)
	}
	if got := ids(set.remoteOrder); !slices.Equal(got, []EndpointID{2, 8}) {
		t.Errorf("remote places %v, want 2 8", got)
	}
	if set.byID[3] != nil || len(set.all) != 5 || !set.stale {
		t.Errorf("%d endpoints, one that left %v, stale %v", len(set.all), set.byID[3], set.stale)
	}
}
