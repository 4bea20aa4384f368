package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestDrainingAndRemovedEndpointsGetNoNewAttempts(t *testing.T) {
	draining := func(endpoint Endpoint) Endpoint { endpoint.State = EndpointDraining; return endpoint }
	removed := func(endpoint Endpoint) Endpoint { endpoint.State = EndpointRemoved; return endpoint }
	one, two := ready(1, 0, 0), ready(2, 0, 0)
	for _, c := range []struct {
		name string
		kind EndpointUpdate
		list []Endpoint
	}{
		{"delta draining", Delta, []Endpoint{draining(one)}},
		{"delta removed", Delta, []Endpoint{removed(one)}},
		{"snapshot omits it", Snapshot, []Endpoint{two}},
		{"cached snapshot omits it", CachedSnapshot, []Endpoint{two}},
		{"snapshot draining", Snapshot, []Endpoint{draining(one), two}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testConfig(), one, two)
			r.b.UpdateEndpoints(r.now, c.kind, c.list)
			for id := range RequestID(20) {
				r.sendRequest(id, 0)
				for _, start := range r.takeActions("start") {
					if start.endpoint == 1 {
						t.Fatalf("request %d was dispatched to an endpoint that is draining or removed", start.id)
					}
					r.endAttempt(start.id, 0, start.endpoint, OutcomeOK, 20*millisecond)
				}
			}
		})
	}
}

// An endpoint that restarts with the same id counts as a new one. Ends of attempts from before the restart do not
// count for it.
func TestRestartedEndpointWithTheSameIDIsNew(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.b.endpoints.all[0].limit.Value = 5
	r.sendRequest(1, 0)
	restarted := ready(1, 0, 0)
	restarted.StartedAt = r.now
	r.b.UpdateEndpoints(r.now, Delta, []Endpoint{restarted})
	if len(r.b.endpoints.all) != 1 || r.b.endpoints.all[0].inFlight != 0 {
		t.Fatalf("endpoints = %+v, want one new endpoint without attempts in flight", r.b.endpoints.all)
	}
	r.endAttempt(1, 0, 1, OutcomeReset, 10*millisecond)
	r.advance(500 * millisecond)                    // it is in slow start
	if n := r.b.endpoints.all[0].inFlight; n != 1 { // the retry of request 1
		t.Errorf("in flight on the restarted endpoint = %d, want only the retry", n)
	}
	r.b.UpdateEndpoints(r.now, Delta, []Endpoint{{ID: 1, State: EndpointRemoved, StartedAt: r.now}})
	if len(r.b.endpoints.all) != 0 || r.b.endpoints.byID[1] != nil {
		t.Errorf("a removed endpoint is still in the list")
	}
}

// A new endpoint takes the position of a removed one. Otherwise a deploy would shift the subsets of all gateways.
func TestNewEndpointsTakeThePositionsOfRemovedOnes(t *testing.T) {
	set := endpointSet{byID: make(map[EndpointID]*endpointState)}
	update := func(entries ...Endpoint) { set.update(time.Second, Delta, entries, 0, 1) }
	ids := func(order []*endpointState) (out []EndpointID) {
		for _, ep := range order {
			out = append(out, ep.ID)
		}
		return out
	}
	update(ready(3, 0, 0), ready(1, 0, 0), ready(2, 1, 0), ready(4, 0, 0))
	if got := ids(set.localOrder); !slices.Equal(got, []EndpointID{1, 3, 4}) {
		t.Fatalf("local order %v, want 1 3 4", got)
	}
	update(Endpoint{ID: 3, State: EndpointRemoved}, ready(9, 0, 0), ready(8, 1, 0))
	if got := ids(set.localOrder); !slices.Equal(got, []EndpointID{1, 9, 4}) {
		t.Errorf("local order %v, want 1 9 4", got)
	}
	if got := ids(set.remoteOrder); !slices.Equal(got, []EndpointID{2, 8}) {
		t.Errorf("remote order %v, want 2 8", got)
	}
	if set.byID[3] != nil || len(set.all) != 5 || !set.stale {
		t.Errorf("%d endpoints, want 5; removed endpoint %v, want nil; stale %v, want true",
			len(set.all), set.byID[3], set.stale)
	}
}
