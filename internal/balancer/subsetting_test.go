package balancer

import (
	"slices"
	"testing"
	"time"

	"thymebend/internal/balancer/concurrency"
)

// With 300 gateways and 40 endpoints, connections run out unless each gateway uses few endpoints and all endpoints are
// used equally often.
func TestSubsetsAreSmallAndBalanced(t *testing.T) {
	rigs := newCluster(t, 300, endpointsInTwoZones(40))
	check := func(when string) {
		t.Helper()
		count := countUsers(rigs)
		for id := range count {
			if n := count[id]; n < 10 || n > 20 { // 300 x 2 / 40 = 15 on average
				t.Errorf("%s: endpoint %d is used by %d gateways, want 10 to 20", when, id, n)
			}
		}
		for _, r := range rigs {
			local := 0
			for _, ep := range r.b.endpoints.subset {
				if ep.Zone == r.b.cfg.Zone {
					local++
				}
			}
			if local == 0 || local == len(r.b.endpoints.subset) || len(r.b.endpoints.subset) > 4 {
				t.Fatalf("%s: gateway %d uses %d endpoints, %d of its zone",
					when, r.b.cfg.Rank, len(r.b.endpoints.subset), local)
			}
		}
	}
	check("at the start")
	closed := 0
	for id := EndpointID(1); id <= 20; id += 4 { // replaces five endpoints one for one
		removed, added := ready(id, int(id-1)%2, int(id-1)/8), ready(id+1000, int(id-1)%2, int(id-1)/8)
		removed.State = EndpointRemoved
		for _, r := range rigs {
			r.takeActions("close")
			r.b.UpdateEndpoints(r.now, Delta, []Endpoint{removed, added})
			r.b.Dispatch(r.now)
			closed += len(r.takeActions("close"))
		}
	}
	check("after a deploy")
	if closed > 5*20 {
		t.Errorf("%d endpoints dropped by gateways, want at most 20 for each of the five that were replaced", closed)
	}
}

// If there are few gateways each one uses every endpoint.
func TestFewGatewaysUseAllEndpoints(t *testing.T) {
	for _, r := range newCluster(t, 3, endpointsInTwoZones(12)) {
		if len(r.b.endpoints.subset) != 12 {
			t.Errorf("gateway %d uses %d of 12 endpoints", r.b.cfg.Rank, len(r.b.endpoints.subset))
		}
	}
}

// An ejected endpoint of the subset is replaced. The replacement is dropped when the ejected endpoint answers again.
func TestEjectedEndpointsAreReplaced(t *testing.T) {
	r := newCluster(t, 300, endpointsInTwoZones(40))[0]
	before := slices.Clone(r.b.endpoints.subset)
	r.b.endpoints.subset[0].health.Ejected, r.b.endpoints.stale = true, true
	r.b.Dispatch(r.now)
	if len(r.b.endpoints.subset) != len(before)+1 {
		t.Fatalf("subset of %d with one of %d endpoints ejected, want one more", len(r.b.endpoints.subset), len(before))
	}
	r.rec.actions = nil
	before[0].health.Ejected, r.b.endpoints.stale = false, true
	r.b.Dispatch(r.now)
	if n := len(r.takeActions("close")); n != 1 || !slices.Equal(r.b.endpoints.subset, before) {
		t.Errorf("subset of %d, %d closed, want the previous subset and one close", len(r.b.endpoints.subset), n)
	}
}

// Endpoint lists may leave zones without endpoints, be empty, shrink to nothing or grow tenfold.
func TestUnusualEndpointListsAreHandled(t *testing.T) {
	for _, list := range [][]Endpoint{nil, {ready(1, 0, 0)}, {ready(1, 1, 0)}, {ready(1, 7, 0), ready(2, 9, 0)}} {
		for _, r := range newCluster(t, 40, list) {
			if len(list) > 0 && len(r.b.endpoints.subset) == 0 {
				t.Fatalf("the subset of a list of %d endpoints is empty", len(list))
			}
			r.b.UpdateEndpoints(r.now, Snapshot, endpointsInTwoZones(10*len(list)+10))
			r.sendRequest(1, 0)
			r.b.UpdateEndpoints(r.now, Snapshot, nil)
			r.b.Dispatch(r.now)
			if len(r.b.endpoints.subset) != 0 || len(r.takeActions("start")) != 1 {
				t.Fatalf("subset of %d of an empty list, want 0, or the earlier request was not dispatched",
					len(r.b.endpoints.subset))
			}
		}
	}
}

// A gateway that is short of capacity uses further endpoints of other zones. Otherwise these could be idle while the
// gateways of a zone with few endpoints or much traffic reject requests.
func TestAGatewayShortOfCapacityExpandsToOtherZones(t *testing.T) {
	r := newCluster(t, 300, endpointsInTwoZones(40))[0]
	setKnownServiceTimes(r)
	before, rejected := slices.Clone(r.b.endpoints.subset), 0
	var open []recordedAction
	for id := RequestID(1000); id < 1800; id++ { // 100 per second; each answer takes 100 ms
		r.sendRequest(id, 0)
		r.advance(10 * millisecond)
		for _, a := range r.rec.actions {
			if a.kind == "reject" && id > 1600 {
				rejected++
			}
		}
		open = append(open, r.takeActions("start")...)
		for len(open) > 10 {
			r.endAttempt(open[0].id, 0, open[0].endpoint, OutcomeOK, 100*millisecond)
			open = open[1:]
		}
	}
	if rejected > 0 || len(r.b.endpoints.subset) < len(before)+8 {
		t.Errorf("%d of 200 requests rejected after 6 s, want 0; subset of %d, want at least 8 more than %d",
			rejected, len(r.b.endpoints.subset), len(before))
	}
	for _, ep := range r.b.endpoints.subset {
		if ep.subset.expansion && ep.Zone == r.b.cfg.Zone {
			t.Errorf("the expansion has endpoint %d of the local zone", ep.ID)
		}
		// Slow-start budgets do not count gateways that use the endpoint as an expansion.
		if ep.StartedAt = r.now; ep.subset.expansion && r.b.slowStartAllows(ep) {
			t.Errorf("endpoint %d of the expansion gets requests in slow start", ep.ID)
		}
		ep.StartedAt = 0
	}
	// A full endpoint of the expansion indicates that all gateways are short of capacity. If they all expanded
	// further, hundreds of gateways would compete for connections. So the expansion is halved.
	size := r.b.endpoints.expansion.Size
	index := slices.IndexFunc(open, func(a recordedAction) bool {
		return r.b.endpoints.byID[a.endpoint].subset.expansion
	})
	r.endAttempt(open[index].id, 0, open[index].endpoint, OutcomeRejected, 5*millisecond)
	open = slices.Delete(open, index, index+1)
	r.advance(concurrency.SamplePeriod)
	r.b.endpoints.signals.ShortOfCapacity = true
	r.advance(concurrency.SamplePeriod)
	if r.b.endpoints.expansion.Size > size/2 {
		t.Errorf("the expansion is %.1f endpoints half a second after a full endpoint, want at most half of %.1f",
			r.b.endpoints.expansion.Size, size)
	}
	// All open attempts are answered: an endpoint with an unanswered attempt would be ejected for silence.
	for sent := append(open, r.takeActions("start")...); len(sent) > 0; sent = r.takeActions("start") {
		for _, a := range sent { // the rejected request is in its second attempt
			r.endAttempt(a.id, len(r.b.requests.byID[a.id].attempts)-1, a.endpoint, OutcomeOK, 100*millisecond)
		}
	}
	r.takeActions("close")
	r.advance(2 * time.Minute)
	if n := len(r.takeActions("close")); n < 4 || len(r.b.endpoints.subset) != len(before) {
		t.Errorf("subset of %d two minutes later, %d closed; want %d and at least 4",
			len(r.b.endpoints.subset), n, len(before))
	}
}

// Unreachable endpoints of the expansion are ejected, and the expansion is halved. Otherwise a gateway would try
// each of them again and again.
func TestAnUnreachableExpansionIsEjectedAndHalved(t *testing.T) {
	r := newCluster(t, 300, endpointsInTwoZones(40))[0]
	setKnownServiceTimes(r)
	for _, ep := range r.b.endpoints.subset {
		ep.health.Ejected, ep.health.ProbeAt = true, r.now+time.Hour
	}
	r.b.endpoints.expansion.Size, r.b.endpoints.stale = 4, true
	r.b.Dispatch(r.now)
	var expansion *endpointState
	for _, ep := range r.b.endpoints.subset {
		if ep.subset.expansion {
			expansion = ep
		}
	}
	a := &attempt{endpoint: expansion}
	for range 2 {
		r.b.recordOutcome(&requestState{}, a, AttemptEnd{Outcome: OutcomeConnectFailed, Latency: 250 * millisecond})
	}
	if !expansion.health.Ejected {
		t.Error("the endpoint is not ejected after two failed connects")
	}
	r.advance(concurrency.SamplePeriod)
	if r.b.endpoints.expansion.Size > 2 {
		t.Errorf("the expansion is %v endpoints, want at most 2, half of 4", r.b.endpoints.expansion.Size)
	}
}

// The endpoints of other zones in a subset must not all be in one zone, which may be lost.
func TestEndpointsOfOtherZonesAreMixed(t *testing.T) {
	var list []Endpoint
	for i := range 200 {
		list = append(list, ready(EndpointID(1+i*7919%100003), i/50, i/10)) // ids are unrelated to zones
	}
	oneZoneOnly := 0
	for _, r := range newCluster(t, 300, list) {
		r.b.endpoints.expansion.Size, r.b.endpoints.stale = 6, true
		r.b.Dispatch(r.now)
		zones := make(map[int]bool)
		for _, ep := range r.b.endpoints.subset {
			if ep.Zone != r.b.cfg.Zone {
				zones[ep.Zone] = true
			}
		}
		if len(zones) < 2 {
			oneZoneOnly++
		}
	}
	if oneZoneOnly > 0 {
		t.Errorf("%d of 300 gateways use endpoints of only one other zone", oneZoneOnly)
	}
}

// An endpoint that was ejected as part of the expansion is probed again, so that it is not excluded forever.
func TestAnEjectedExpansionIsProbedAgain(t *testing.T) {
	r := newCluster(t, 300, endpointsInTwoZones(40))[0]
	setKnownServiceTimes(r)
	r.b.endpoints.expansion.Size, r.b.endpoints.stale = 30, true
	r.b.Dispatch(r.now)
	ep := r.b.endpoints.subset[len(r.b.endpoints.subset)-1]
	if !ep.subset.expansion {
		t.Fatal("the last endpoint of the subset is not part of the expansion")
	}
	for !ep.health.Ejected {
		r.b.recordOutcome(&requestState{}, &attempt{endpoint: ep}, AttemptEnd{Outcome: OutcomeConnectFailed})
	}
	r.b.Dispatch(r.now)
	if ep.subset.used {
		t.Error("an ejected endpoint of the expansion is used before its probe is due")
	}
	r.now = ep.health.ProbeAt
	r.b.endpoints.stale = true
	r.b.Dispatch(r.now)
	if r.b.now = r.now; !ep.subset.used || !r.b.usable(ep, &requestState{}) {
		t.Errorf("when its probe is due the endpoint is not usable; in the subset: %v", ep.subset.used)
	}
}
