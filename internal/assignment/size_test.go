package assignment

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// sized is a fleet with so many gateways and hosts.
func sized(gateways, hosts int) (g []Gateway, h []Endpoint) {
	for n := range gateways {
		g = append(g, Gateway{Name: fmt.Sprintf("gw-%d", n), Zone: n % 3})
	}
	for n := range hosts {
		h = append(h, Endpoint{ID: mix(7, uint64(n)), Capacity: 1, Zone: n % 3})
	}
	return g, h
}

// bounded is the rule of a file that states none.
func bounded() Rule { return Rule{Users: 12, MaxUsers: 36, MinEndpoints: 2, RemoteZoneOdds: 0.5} }

// Fleets of 1,024 gateways and of 8,000 hosts are divided: each host is some gateway's, each gateway has hosts, and the parts of
// a host add up to 1. What is longer is an error that names both sizes.
func TestLargeFleetsAreDivided(t *testing.T) {
	for _, size := range [][2]int{{1024, 1024}, {32, 8000}, {1024, 2}, {2, 8000}} {
		g, h := sized(size[0], size[1])
		d, err := Compute(bounded(), g, h)
		if err != nil {
			t.Fatal(err)
		}
		parts := make(map[uint64]float64)
		for _, x := range g {
			uses := d.Of(x.Name)
			if len(uses) == 0 {
				t.Fatalf("%v: %s has no host", size, x.Name)
			}
			for _, u := range uses {
				parts[u.Endpoint] += u.Share
			}
		}
		for _, x := range h {
			if p := parts[x.ID]; p < 0.999 || p > 1.001 {
				t.Fatalf("%v: the parts of a host add up to %v", size, p)
			}
		}
	}
	g, h := sized(3, MaxEndpoints+1)
	if _, err := Compute(bounded(), g, h); err == nil || !strings.Contains(err.Error(), fmt.Sprint(MaxEndpoints+1)) {
		t.Errorf("%d hosts: %v", MaxEndpoints+1, err)
	}
	g, h = sized(MaxGateways+1, 3)
	if _, err := Compute(bounded(), g, h); err == nil || !strings.Contains(err.Error(), fmt.Sprint(MaxGateways+1)) {
		t.Errorf("%d gateways: %v", MaxGateways+1, err)
	}
}

// A list beyond the bound leaves the division as it was.
func TestTooManyHostsChangeNothing(t *testing.T) {
	g, h := sized(3, MaxEndpoints+1)
	k := NewTracker(bounded(), "gw-0", time.Second, nil)
	if _, err := k.Observe(0, Observation{Alive: g, Settled: true, Endpoints: h[:50]}); err != nil {
		t.Fatal(err)
	}
	before := fmt.Sprint(k.Assigned())
	if _, err := k.Observe(time.Minute, Observation{Alive: g, Settled: true, Endpoints: h}); err == nil {
		t.Error("too many hosts were divided")
	}
	if after := fmt.Sprint(k.Assigned()); after != before {
		t.Errorf("it uses %s, before it used %s", after, before)
	}
}

// BenchmarkWorkAtSizes divides hosts among 32 gateways, and the largest fleets that are aimed at.
func BenchmarkWorkAtSizes(b *testing.B) {
	for _, size := range [][2]int{{32, 10}, {32, 100}, {32, 1000}, {32, 7700}, {350, 1000}, {1024, 1024}, {1024, 7700}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			g, h := sized(size[0], size[1])
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Compute(bounded(), g, h); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSpares orders the hosts that one of three gateways does not use.
func BenchmarkSpares(b *testing.B) {
	for _, hosts := range []int{10, 100, 1000, 7700} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			g, h := sized(3, hosts)
			k := NewTracker(Rule{Users: 1.5, MinEndpoints: 2, RemoteZoneOdds: 0.5}, "gw-0", time.Second, nil)
			if _, err := k.Observe(0, Observation{Alive: g, Settled: true, Endpoints: h}); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				k.Spares(0)
			}
		})
	}
}
