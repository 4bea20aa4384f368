package balancer

import (
	"slices"
	"testing"
	"time"

	"thymebend/internal/balancer/concurrency"
)

// 300 gateways on 40 endpoints: connections run out unless each uses few endpoints, and all of them are
// used alike.
func TestSubsetsAreSmallAndBalanced(t *testing.T) {
	rigs := newCluster(t, 300, endpointsInTwoZones(40))
	check := func(when string) {
		t.Helper()
		count := countUsers(rigs)
		for id := range count {
			if n := count[id]; n < 10 || n > 20 { // 300 x 2 / 40 = 15 on the average
				t.Errorf("%s: endpoint %d has %d gateways", when, id, n)
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
	for id := EndpointID(1); id <= 20; id += 4 { // five successors, one for one
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
		t.Errorf("%d endpoints replaced for five endpoints of at most 20 gateways each", closed)
	}
}

// Where gateways are few each uses every endpoint.
func TestFewGatewaysUseAllEndpoints(t *testing.T) {
	for _, r := range newCluster(t, 3, endpointsInTwoZones(12)) {
		if len(r.b.endpoints.subset) != 12 {
			t.Errorf("gateway %d uses %d of 12 endpoints", r.b.cfg.Rank, len(r.b.endpoints.subset))
		}
	}
}

// An ejected endpoint of the subset is replaced, and the replacement is given back when it answers again.
func TestEjectedEndpointsAreReplaced(t *testing.T) {
	r := newCluster(t, 300, endpointsInTwoZones(40))[0]
	before := slices.Clone(r.b.endpoints.subset)
	r.b.endpoints.subset[0].health.Ejected, r.b.endpoints.stale = true, true
	r.b.Dispatch(r.now)
	if len(r.b.endpoints.subset) != len(before)+1 {
		t.Fatalf("a subset of %d with one of %d ejected, want one more", len(r.b.endpoints.subset), len(before))
	}
	r.rec.actions = nil
	before[0].health.Ejected, r.b.endpoints.stale = false, true
	r.b.Dispatch(r.now)
	if n := len(r.takeActions("close")); n != 1 || !slices.Equal(r.b.endpoints.subset, before) {
		t.Errorf("subset = %d, closed %d, want the old ones and one close", len(r.b.endpoints.subset), n)
	}
}

// Zones without endpoints, lists that are empty, shrink to nothing or grow tenfold.
func TestUnusualEndpointListsAreHandled(t *testing.T) {
	for _, list := range [][]Endpoint{nil, {ready(1, 0, 0)}, {ready(1, 1, 0)}, {ready(1, 7, 0), ready(2, 9, 0)}} {
		for _, r := range newCluster(t, 40, list) {
			if len(list) > 0 && len(r.b.endpoints.subset) == 0 {
				t.Fatalf("no subset of %d endpoints", len(list))
			}
			r.b.UpdateEndpoints(r.now, Snapshot, endpointsInTwoZones(10*len(list)+10))
			r.sendRequest(1, 0)
			r.b.UpdateEndpoints(r.now, Snapshot, nil)
			r.b.Dispatch(r.now)
			if len(r.b.endpoints.subset) != 0 || len(r.takeActions("start")) != 1 {
				t.Fatalf("a subset of %d of an empty list, or the request was not sent before",
					len(r.b.endpoints.subset))
			}
		}
	}
}

// Guards against endpoints that idle while gateways of a zone with few endpoints, or with much traffic, are
// short of capacity.
func TestAGatewayShortOfCapacityExpandsToOtherZones(t *testing.T) {
	r := newCluster(t, 300, endpointsInTwoZones(40))[0]
	setKnownServiceTimes(r)
	before, rejected := slices.Clone(r.b.endpoints.subset), 0
	var open []recordedAction
	for id := RequestID(1000); id < 1800; id++ { // 100 a second; each answer takes 100 ms
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
		t.Errorf("%d of 200 rejected after 6 s; a subset of %d, %d before",
			rejected, len(r.b.endpoints.subset), len(before))
	}
	for _, ep := range r.b.endpoints.subset {
		if ep.subset.expansion && ep.Zone == r.b.cfg.Zone {
			t.Errorf("endpoint %d is of the local zone, others lack its part", ep.ID)
		}
		if ep.StartedAt = r.now; ep.subset.expansion && r.b.slowStartAllows(ep) { // budgets leave expansions out
			t.Errorf("endpoint %d is in slow start and an expansion, yet gets requests", ep.ID)
		}
		ep.StartedAt = 0
	}
	// A full one tells that all gateways are short: hundreds of gateways would take each other's
	// connections.
	size := r.b.endpoints.expansion.Size
	index := slices.IndexFunc(open, func(a recordedAction) bool { return r.b.endpoints.byID[a.endpoint].subset.expansion })
	r.endAttempt(open[index].id, 0, open[index].endpoint, OutcomeRejected, 5*millisecond)
	open = slices.Delete(open, index, index+1)
	r.advance(concurrency.SamplePeriod)
	r.b.endpoints.signals.Short = true
	r.advance(concurrency.SamplePeriod)
	if r.b.endpoints.expansion.Size > size/2 {
		t.Errorf("the expansion is %.1f half a second after a full endpoint, %.1f before",
			r.b.endpoints.expansion.Size, size)
	}
	// All are answered: one left open is an endpoint's silence.
	for sent := append(open, r.takeActions("start")...); len(sent) > 0; sent = r.takeActions("start") {
		for _, a := range sent { // the one that was turned away is in its second attempt
			r.endAttempt(a.id, len(r.b.requests.byID[a.id].attempts)-1, a.endpoint, OutcomeOK, 100*millisecond)
		}
	}
	r.takeActions("close")
	r.advance(2 * time.Minute)
	if n := len(r.takeActions("close")); n < 4 || len(r.b.endpoints.subset) != len(before) {
		t.Errorf("a subset of %d two minutes later, %d closed; want %d and at least 4",
			len(r.b.endpoints.subset), n, len(before))
	}
}

// Guards against a gateway that ejects none of the dead endpoints of its expansion and tries each over and
// over.
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
		t.Error("not ejected after two connects that failed")
	}
	r.advance(concurrency.SamplePeriod)
	if r.b.endpoints.expansion.Size > 2 {
		t.Errorf("the expansion is %v, want half of 4", r.b.endpoints.expansion.Size)
	}
}

// Guards against a subset whose endpoints of other zones are all in one, which may be lost.
func TestEndpointsOfOtherZonesAreMixed(t *testing.T) {
	var list []Endpoint
	for i := range 200 {
		list = append(list, ready(EndpointID(1+i*7919%100003), i/50, i/10)) // ids tell nothing of zones
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
		t.Errorf("%d of 300 gateways use endpoints of one other zone only", oneZoneOnly)
	}
}

// Guards against an endpoint that failed as an expansion and is left for good.
func TestAnEjectedExpansionIsProbedAgain(t *testing.T) {
	r := newCluster(t, 300, endpointsInTwoZones(40))[0]
	setKnownServiceTimes(r)
	r.b.endpoints.expansion.Size, r.b.endpoints.stale = 30, true
	r.b.Dispatch(r.now)
	ep := r.b.endpoints.subset[len(r.b.endpoints.subset)-1]
	if !ep.subset.expansion {
		t.Fatal("no expansion")
	}
	for !ep.health.Ejected {
		r.b.recordOutcome(&requestState{}, &attempt{endpoint: ep}, AttemptEnd{Outcome: OutcomeConnectFailed})
	}
	r.b.Dispatch(r.now)
	if ep.subset.used {
		t.Error("still used while its probe is not due")
	}
	r.now = ep.health.ProbeAt
	r.b.endpoints.stale = true
	r.b.Dispatch(r.now)
	if r.b.now = r.now; !ep.subset.used || !r.b.usable(ep, &requestState{}) {
		t.Errorf("in the subset %v and not usable when its probe is due", ep.subset.used)
	}
}
