package assignment

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// cluster has endpoints of one, two and four cores.
func cluster(gatewayCount, endpointCount int, demand func(i int) float64) (gateways []Gateway, endpoints []Endpoint) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range gatewayCount {
		gateways = append(gateways, Gateway{Name: fmt.Sprintf("gateway-%04d", i), Demand: demand(i)})
	}
	for range endpointCount {
		endpoints = append(endpoints, Endpoint{ID: rng.Uint64(), Capacity: float64(int(1) << rng.IntN(3))})
	}
	return gateways, endpoints
}

func even(int) float64 { return 5 }

// lastTenfold gives the last of n gateways ten times the demand of the others.
func lastTenfold(n int) func(int) float64 {
	return func(i int) float64 { return max(1, 10*float64((i+1)/n)) }
}

func byRank(i int) float64 { return 1 / float64(i+1) }

func compute(t *testing.T, rule Rule, gateways []Gateway, endpoints []Endpoint) *Assignment {
	t.Helper()
	a, err := Compute(rule, gateways, endpoints)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// unboundedRule has no bound on an endpoint's users.
func unboundedRule() Rule { return Rule{Users: 12, MinEndpoints: 2} }

// Guards against an endpoint that gets more than its part, by even demand and by demand of which one has ten times the
// mean, over endpoints of different capacities.
func TestLoadFollowsCapacity(t *testing.T) {
	for _, test := range []struct {
		name                string
		gateways, endpoints int
		demand              func(int) float64
		most                float64
	}{
		{"ten gateways", 10, 50, even, 1.15},
		{"many of both", 300, 200, even, 1.15},
		{"more gateways", 300, 50, even, 1.15},
		{"two endpoints", 50, 2, even, 1.15},
		{"three gateways", 3, 200, even, 1.15},
		{"one with ten times the demand", 50, 50, lastTenfold(50), 1.25},
		{"demand by rank", 300, 200, byRank, 1.25},
	} {
		t.Run(test.name, func(t *testing.T) {
			gateways, endpoints := cluster(test.gateways, test.endpoints, test.demand)
			if load := compute(t, unboundedRule(), gateways, endpoints).RelativeLoad(); load > test.most {
				t.Errorf("an endpoint has %.2f times its part", load)
			}
		})
	}
}

func TestMoreDemandMoreEndpoints(t *testing.T) {
	gateways, endpoints := cluster(300, 200, lastTenfold(300))
	a := compute(t, unboundedRule(), gateways, endpoints)
	if heavy, light := len(a.Of("gateway-0299")), len(a.Of("gateway-0000")); heavy < 7*light {
		t.Errorf("ten times the demand, %d endpoints for %d", heavy, light)
	}
}

// differing counts the pairs of some gateways that one assignment has and the other has not.
func differing(gateways []Gateway, before, after *Assignment) (n int) {
	for _, g := range gateways {
		a, b := before.Of(g.Name), after.Of(g.Name)
		if b == nil {
			continue
		}
		for _, lists := range [][2][]Assigned{{a, b}, {b, a}} {
			for _, one := range lists[0] {
				if !slices.ContainsFunc(lists[1], func(o Assigned) bool { return o.Endpoint == one.Endpoint }) {
					n++
				}
			}
		}
	}
	return n
}

// Guards against a change of one gateway or endpoint that moves the pairs of many others.
func TestFewPairsMove(t *testing.T) {
	gateways, endpoints := cluster(300, 200, even)
	before := compute(t, unboundedRule(), gateways, endpoints)
	had := len(before.Of("gateway-0100"))
	fewer := append(slices.Clone(gateways[:100]), gateways[101:]...)
	if n := differing(gateways, before, compute(t, unboundedRule(), fewer, endpoints)); n > 3*had {
		t.Errorf("a gateway with %d endpoints goes: %d pairs of others move", had, n)
	}
	users := 0
	for _, g := range gateways {
		if slices.ContainsFunc(before.Of(g.Name), func(a Assigned) bool { return a.Endpoint == endpoints[7].ID }) {
			users++
		}
	}
	less := append(slices.Clone(endpoints[:7]), endpoints[8:]...)
	if n := differing(gateways, before, compute(t, unboundedRule(), gateways, less)); n > 4*users {
		t.Errorf("an endpoint with %d users goes: %d pairs move", users, n)
	}
}

// Guards against traffic that leaves its zone without need, and against a busy zone that its own endpoints must carry
// alone.
func TestGatewaysKeepToTheirZone(t *testing.T) {
	gateways, endpoints := cluster(300, 200, even)
	for i := range gateways {
		if gateways[i].Zone = i % 3; gateways[i].Zone == 0 {
			gateways[i].Demand *= 4
		}
	}
	zone := make(map[uint64]int)
	for i := range endpoints {
		endpoints[i].Zone = i % 3
		zone[endpoints[i].ID] = i % 3
	}
	inOwnZone := func(rule Rule) (share float64) {
		a := compute(t, rule, gateways, endpoints)
		if load := a.RelativeLoad(); load > 1.25 {
			t.Errorf("odds %v: an endpoint has %.2f times its part", rule.RemoteZoneOdds, load)
		}
		for _, g := range gateways {
			for _, one := range a.Of(g.Name) {
				if zone[one.Endpoint] == g.Zone {
					share += one.Weight * g.Demand / (5 * 600)
				}
			}
		}
		return share
	}
	// At best two thirds: the busy zone carries a third of all traffic of its two thirds, the others all of theirs.
	rule := unboundedRule()
	indifferent := inOwnZone(rule)
	rule.RemoteZoneOdds = 0.25
	if near := inOwnZone(rule); near < 0.5 || indifferent > 0.4 {
		t.Errorf("%.2f of the traffic stays in its zone, %.2f where zones do not matter", near, indifferent)
	}
}

// Guards against faulty input that is assigned, or refused without its name.
func TestFaultyInputIsRefused(t *testing.T) {
	gateways, endpoints := cluster(3, 3, even)
	many := make([]Endpoint, MaxEndpoints+1)
	for _, test := range []struct {
		name      string
		rule      Rule
		gateways  []Gateway
		endpoints []Endpoint
		input     string
		text      string
	}{
		{"no users", Rule{MinEndpoints: 2}, gateways, endpoints,
			"Rule.Users", "shares: 0 users of a host, 2 hosts at least"},
		{"users no number", Rule{Users: math.NaN(), MinEndpoints: 2}, gateways, endpoints,
			"Rule.Users", "shares: NaN users of a host, 2 hosts at least"},
		{"gateway twice", unboundedRule(), append(gateways, gateways[0]), endpoints,
			"Gateways", "shares: gateway \"gateway-0000\" twice"},
		{"endpoint twice", unboundedRule(), gateways, append(endpoints, endpoints[0]),
			"Endpoints", fmt.Sprintf("shares: host %d twice", endpoints[0].ID)},
		{"odds above 1", Rule{Users: 12, MinEndpoints: 2, RemoteZoneOdds: 2}, gateways, endpoints,
			"Rule.RemoteZoneOdds", "shares: hosts of other zones at 2, 0 to 1 is needed"},
		{"no capacity", unboundedRule(), gateways, []Endpoint{{ID: 5}},
			"Endpoints", "shares: host 5 has a capacity of 0"},
		{"capacity no number", unboundedRule(), gateways, []Endpoint{{ID: 5, Capacity: math.NaN()}},
			"Endpoints", "shares: host 5 has a capacity of NaN"},
		{"too many endpoints", unboundedRule(), gateways, many,
			"Endpoints", "shares: 3 gateways and 10001 hosts, 2000 and 10000 at most"},
	} {
		t.Run(test.name, func(t *testing.T) {
			a, err := Compute(test.rule, test.gateways, test.endpoints)
			if err == nil || err.Error() != test.text || a != nil {
				t.Errorf("%v, wanted %s", err, test.text)
			}
			var faulty *InputError
			if !errors.As(err, &faulty) || faulty.Input != test.input {
				t.Errorf("%#v, wanted input %s", err, test.input)
			}
		})
	}
}

func TestNothingIsAssignedOfNothing(t *testing.T) {
	gateways, endpoints := cluster(3, 3, even)
	for _, test := range []struct {
		name      string
		gateways  []Gateway
		endpoints []Endpoint
	}{{"no gateways", nil, endpoints}, {"no endpoints", gateways, nil}} {
		t.Run(test.name, func(t *testing.T) {
			a := compute(t, unboundedRule(), test.gateways, test.endpoints)
			if len(a.Of("gateway-0000")) != 0 || a.RelativeLoad() < 0 {
				t.Error("something of nothing")
			}
		})
	}
	if (*Assignment)(nil).Of("x") != nil {
		t.Error("no assignment gives something")
	}
}

func drawInput(t *rapid.T) (rule Rule, gateways []Gateway, endpoints []Endpoint) {
	rule = Rule{
		Users:          rapid.Float64Range(0.5, 20).Draw(t, "users"),
		MinEndpoints:   rapid.IntRange(0, 5).Draw(t, "min endpoints"),
		RemoteZoneOdds: rapid.Float64Range(0, 1).Draw(t, "remote zone odds"),
	}
	zone := rapid.IntRange(0, 2)
	demand := rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), 1, 2, 50, 1e9})
	for i := range rapid.IntRange(1, 12).Draw(t, "gateways") {
		gateways = append(gateways, Gateway{fmt.Sprint("g", i), demand.Draw(t, "demand"), zone.Draw(t, "zone")})
	}
	capacity := rapid.SampledFrom([]float64{1e-6, 0.5, 1, 4, 1e6})
	for i := range rapid.IntRange(1, 12).Draw(t, "endpoints") {
		endpoints = append(endpoints, Endpoint{uint64(i * 977), capacity.Draw(t, "capacity"), zone.Draw(t, "zone")})
	}
	return rule, gateways, endpoints
}

// Guards against gateways that work out different assignments from the same input, shares or weights that do not add up
// to 1, a gateway without endpoints and an endpoint without users.
func TestAssignmentInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule, gateways, endpoints := drawInput(t)
		a, err := Compute(rule, gateways, endpoints)
		if err != nil {
			t.Fatal(err)
		}
		other, err := Compute(rule, rapid.Permutation(gateways).Draw(t, "order"),
			rapid.Permutation(endpoints).Draw(t, "order"))
		if err != nil {
			t.Fatal(err)
		}
		shares := make(map[uint64]float64)
		for _, g := range gateways {
			list := a.Of(g.Name)
			if !slices.Equal(list, other.Of(g.Name)) {
				t.Fatalf("%s: %v\nin another order %v", g.Name, list, other.Of(g.Name))
			}
			sum := 0.0
			for i, one := range list {
				if !(one.Weight > 0) || !(one.Share > 0) || i > 0 && list[i-1].Endpoint >= one.Endpoint {
					t.Fatalf("%s: %v", g.Name, list)
				}
				sum += one.Weight
				shares[one.Endpoint] += one.Share
			}
			if math.Abs(sum-1) > 1e-6 || len(list) < min(rule.MinEndpoints, len(endpoints)) {
				t.Fatalf("%s: weights of %v over %d endpoints", g.Name, sum, len(list))
			}
		}
		for _, e := range endpoints {
			if math.Abs(shares[e.ID]-1) > 1e-6 {
				t.Fatalf("endpoint %d: shares of %v", e.ID, shares[e.ID])
			}
		}
	})
}

// Guards against an endpoint that is given away more than once while one assignment gives way to another, whoever has
// heard how much: as long as nobody goes on to the new one while somebody has heard nothing.
func TestNoEndpointIsAssignedTwiceDuringAChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule, gateways, endpoints := drawInput(t)
		old, err := Compute(rule, gateways, endpoints)
		if err != nil {
			t.Fatal(err)
		}
		remaining := gateways[:rapid.IntRange(1, len(gateways)).Draw(t, "remaining")]
		fresh, err := Compute(rule, append(slices.Clone(remaining), Gateway{"new", 3, 0}), endpoints)
		if err != nil {
			t.Fatal(err)
		}
		allHaveHeard := rapid.Bool().Draw(t, "all have heard")
		shares := make(map[uint64]float64)
		for _, g := range append(slices.Clone(gateways), Gateway{Name: "new"}) {
			list := Intersect(old.Of(g.Name), fresh.Of(g.Name))
			if rapid.Bool().Draw(t, "waits") { // else it is where all that do not wait are
				if list = old.Of(g.Name); allHaveHeard {
					list = fresh.Of(g.Name)
				}
			}
			for _, one := range list {
				shares[one.Endpoint] += one.Share
			}
		}
		for endpoint, sum := range shares {
			if sum > 1+1e-9 {
				t.Fatalf("endpoint %d is given away %v times", endpoint, sum)
			}
		}
	})
}

// BenchmarkCompute assigns endpoints in clusters with demand by rank.
func BenchmarkCompute(b *testing.B) {
	for _, size := range [][2]int{{50, 50}, {300, 200}, {1000, 500}} {
		b.Run(fmt.Sprint(size[0], "x", size[1]), func(b *testing.B) {
			gateways, endpoints := cluster(size[0], size[1], byRank)
			for b.Loop() {
				if _, err := Compute(unboundedRule(), gateways, endpoints); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
