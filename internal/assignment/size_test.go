package assignment

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// clusterOfSize returns gateways and endpoints in three zones, all endpoints of equal capacity.
func clusterOfSize(gatewayCount, endpointCount int) (gateways []Gateway, endpoints []Endpoint) {
	for n := range gatewayCount {
		gateways = append(gateways, Gateway{Name: fmt.Sprintf("gw-%d", n), Zone: n % 3})
	}
	for n := range endpointCount {
		endpoints = append(endpoints, Endpoint{ID: hash(7, uint64(n)), Capacity: 1, Zone: n % 3})
	}
	return gateways, endpoints
}

// defaultRule returns the rule that applies if the configuration file states none.
func defaultRule() Rule { return Rule{Users: 12, MaxUsers: 36, MinEndpoints: 2, RemoteZoneOdds: 0.5} }

// Guards against size limits below the largest clusters: each endpoint is used by a gateway, each gateway has
// endpoints, and the shares of an endpoint add up to 1. Larger input is rejected by an error that states both sizes.
func TestLargeClustersAreAssigned(t *testing.T) {
	for _, size := range [][2]int{{1024, 1024}, {32, 8000}, {1024, 2}, {2, 8000}} {
		gateways, endpoints := clusterOfSize(size[0], size[1])
		a, err := Compute(defaultRule(), gateways, endpoints)
		if err != nil {
			t.Fatal(err)
		}
		shares := make(map[uint64]float64)
		for _, one := range gateways {
			assigned := a.Of(one.Name)
			if len(assigned) == 0 {
				t.Fatalf("%v: %s has no endpoint", size, one.Name)
			}
			for _, share := range assigned {
				shares[share.Endpoint] += share.Share
			}
		}
		for _, one := range endpoints {
			if sum := shares[one.ID]; sum < 0.999 || sum > 1.001 {
				t.Fatalf("%v: the shares of an endpoint add up to %v, want 1", size, sum)
			}
		}
	}
	gateways, endpoints := clusterOfSize(3, MaxEndpoints+1)
	_, err := Compute(defaultRule(), gateways, endpoints)
	if err == nil || !strings.Contains(err.Error(), fmt.Sprint(MaxEndpoints+1)) {
		t.Errorf("%d endpoints: error %v, want an error that states the number", MaxEndpoints+1, err)
	}
	gateways, endpoints = clusterOfSize(MaxGateways+1, 3)
	_, err = Compute(defaultRule(), gateways, endpoints)
	if err == nil || !strings.Contains(err.Error(), fmt.Sprint(MaxGateways+1)) {
		t.Errorf("%d gateways: error %v, want an error that states the number", MaxGateways+1, err)
	}
}

// Guards against an endpoint list above the maximum size changing the assignment in force.
func TestTooManyEndpointsChangeNothing(t *testing.T) {
	gateways, endpoints := clusterOfSize(3, MaxEndpoints+1)
	tracker := NewTracker(defaultRule(), "gw-0", time.Second, nil)
	first := Observation{Alive: gateways, Converged: true, Endpoints: endpoints[:50]}
	if _, err := tracker.Observe(0, first); err != nil {
		t.Fatal(err)
	}
	before := fmt.Sprint(tracker.Assigned())
	all := Observation{Alive: gateways, Converged: true, Endpoints: endpoints}
	if _, err := tracker.Observe(time.Minute, all); err == nil {
		t.Error("Observe accepted too many endpoints")
	}
	if after := fmt.Sprint(tracker.Assigned()); after != before {
		t.Errorf("the rejected list changed the assignment to %s from %s", after, before)
	}
}

// BenchmarkComputeAtSizes computes assignments for 32 gateways and for the largest intended clusters.
func BenchmarkComputeAtSizes(b *testing.B) {
	for _, size := range [][2]int{
		{32, 10}, {32, 100}, {32, 1000}, {32, 7700}, {350, 1000}, {1024, 1024}, {1024, 7700},
	} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			gateways, endpoints := clusterOfSize(size[0], size[1])
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Compute(defaultRule(), gateways, endpoints); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSpares ranks the endpoints that one of three gateways does not use.
func BenchmarkSpares(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 7700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			gateways, endpoints := clusterOfSize(3, count)
			tracker := NewTracker(Rule{Users: 1.5, MinEndpoints: 2, RemoteZoneOdds: 0.5}, "gw-0", time.Second, nil)
			all := Observation{Alive: gateways, Converged: true, Endpoints: endpoints}
			if _, err := tracker.Observe(0, all); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				tracker.Spares(0)
			}
		})
	}
}
