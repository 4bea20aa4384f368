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

// cluster returns gateways with the given demands and endpoints with capacities of 1, 2 and 4.
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

func evenDemand(int) float64 { return 5 }

// lastGatewayTenfold returns demands of which the last of n is ten times each of the others.
func lastGatewayTenfold(n int) func(int) float64 {
	return func(i int) float64 { return max(1, 10*float64((i+1)/n)) }
}

func demandByRank(i int) float64 { return 1 / float64(i+1) }

func compute(t *testing.T, rule Rule, gateways []Gateway, endpoints []Endpoint) *Assignment {
	t.Helper()
	a, err := Compute(rule, gateways, endpoints)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// unboundedRule returns a rule without a maximum number of users per endpoint.
func unboundedRule() Rule { return Rule{Users: 12, MinEndpoints: 2} }

// Guards against an endpoint that receives more load than its capacity calls for. Covers equal demands, one gateway
// with ten times the demand of the others, and demand by rank, over endpoints of different capacities.
func TestLoadFollowsCapacity(t *testing.T) {
	for _, test := range []struct {
		name                string
		gateways, endpoints int
		demand              func(int) float64
		maxLoad             float64
	}{
		{"ten gateways", 10, 50, evenDemand, 1.15},
		{"300 gateways and 200 endpoints", 300, 200, evenDemand, 1.15},
		{"more gateways than endpoints", 300, 50, evenDemand, 1.15},
		{"two endpoints", 50, 2, evenDemand, 1.15},
		{"three gateways", 3, 200, evenDemand, 1.15},
		{"one gateway with ten times the demand", 50, 50, lastGatewayTenfold(50), 1.25},
		{"demand by rank", 300, 200, demandByRank, 1.25},
	} {
		t.Run(test.name, func(t *testing.T) {
			gateways, endpoints := cluster(test.gateways, test.endpoints, test.demand)
			if load := compute(t, unboundedRule(), gateways, endpoints).RelativeLoad(); load > test.maxLoad {
				t.Errorf("relative load is %.2f, want at most %.2f", load, test.maxLoad)
			}
		})
	}
}

func TestHigherDemandGetsMoreEndpoints(t *testing.T) {
	gateways, endpoints := cluster(300, 200, lastGatewayTenfold(300))
	a := compute(t, unboundedRule(), gateways, endpoints)
	if heavy, light := len(a.Of("gateway-0299")), len(a.Of("gateway-0000")); heavy < 7*light {
		t.Errorf("a gateway with ten times the demand has %d endpoints, the others have %d; "+
			"want at least 7 times as many",
			heavy, light)
	}
}

// countMovedPairs counts the pairs of the given gateways that only one of two assignments has. Gateways without
// endpoints in the second assignment are skipped.
func countMovedPairs(gateways []Gateway, before, after *Assignment) (n int) {
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

// Guards against the removal of one gateway or endpoint moving the pairs of many others.
func TestRemovalMovesFewPairs(t *testing.T) {
	gateways, endpoints := cluster(300, 200, evenDemand)
	before := compute(t, unboundedRule(), gateways, endpoints)
	subsetSize := len(before.Of("gateway-0100"))
	fewerGateways := append(slices.Clone(gateways[:100]), gateways[101:]...)
	if n := countMovedPairs(gateways, before, compute(t, unboundedRule(), fewerGateways, endpoints)); n > 3*subsetSize {
		t.Errorf("removing a gateway with %d endpoints moved %d pairs of other gateways, want at most %d", subsetSize,
			n, 3*subsetSize)
	}
	users := 0
	for _, g := range gateways {
		if slices.ContainsFunc(before.Of(g.Name), func(a Assigned) bool { return a.Endpoint == endpoints[7].ID }) {
			users++
		}
	}
	fewerEndpoints := append(slices.Clone(endpoints[:7]), endpoints[8:]...)
	if n := countMovedPairs(gateways, before, compute(t, unboundedRule(), gateways, fewerEndpoints)); n > 4*users {
		t.Errorf("removing an endpoint with %d users moved %d pairs, want at most %d", users, n, 4*users)
	}
}

// Guards against traffic that leaves its zone without need, and against a busy zone whose traffic stays on the
// endpoints of that zone and overloads them.
func TestGatewaysPreferTheirZone(t *testing.T) {
	gateways, endpoints := cluster(300, 200, evenDemand)
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
			t.Errorf("odds %v: relative load is %.2f, want at most 1.25", rule.RemoteZoneOdds, load)
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
	// At best two thirds can stay: the busy zone has two thirds of all traffic and can carry one third, and the other
	// two zones can carry all of theirs.
	rule := unboundedRule()
	withoutOdds := inOwnZone(rule)
	rule.RemoteZoneOdds = 0.25
	if withOdds := inOwnZone(rule); withOdds < 0.5 || withoutOdds > 0.4 {
		t.Errorf("%.2f of the traffic stays in its zone, want at least 0.5; without odds %.2f, want at most 0.4",
			withOdds, withoutOdds)
	}
}

// Guards against invalid input that is accepted, or rejected by an error that does not name the input.
func TestInvalidInputIsRejected(t *testing.T) {
	gateways, endpoints := cluster(3, 3, evenDemand)
	tooManyEndpoints := make([]Endpoint, MaxEndpoints+1)
	for _, test := range []struct {
		name      string
		rule      Rule
		gateways  []Gateway
		endpoints []Endpoint
		input     string
		text      string
	}{
		{"no users", Rule{MinEndpoints: 2}, gateways, endpoints,
			"Rule.Users", "assignment: mean number of users per endpoint is 0, must be above 0"},
		{"users not a number", Rule{Users: math.NaN(), MinEndpoints: 2}, gateways, endpoints,
			"Rule.Users", "assignment: mean number of users per endpoint is NaN, must be above 0"},
		{"gateway listed twice", unboundedRule(), append(gateways, gateways[0]), endpoints,
			"Gateways", "assignment: gateway \"gateway-0000\" is listed twice"},
		{"endpoint listed twice", unboundedRule(), gateways, append(endpoints, endpoints[0]),
			"Endpoints", fmt.Sprintf("assignment: endpoint %d is listed twice", endpoints[0].ID)},
		{"odds above 1", Rule{Users: 12, MinEndpoints: 2, RemoteZoneOdds: 2}, gateways, endpoints,
			"Rule.RemoteZoneOdds", "assignment: odds of endpoints in other zones are 2, must be 0 to 1"},
		{"no capacity", unboundedRule(), gateways, []Endpoint{{ID: 5}},
			"Endpoints", "assignment: endpoint 5 has a capacity of 0, must be above 0 and finite"},
		{"capacity not a number", unboundedRule(), gateways, []Endpoint{{ID: 5, Capacity: math.NaN()}},
			"Endpoints", "assignment: endpoint 5 has a capacity of NaN, must be above 0 and finite"},
		{"too many endpoints", unboundedRule(), gateways, tooManyEndpoints,
			"Endpoints", "assignment: 3 gateways and 10001 endpoints, at most 2000 and 10000 are supported"},
	} {
		t.Run(test.name, func(t *testing.T) {
			a, err := Compute(test.rule, test.gateways, test.endpoints)
			if err == nil || err.Error() != test.text || a != nil {
				t.Errorf("error %v, want %s, and no assignment: %v", err, test.text, a)
			}
			var inputErr *InputError
			if !errors.As(err, &inputErr) || inputErr.Input != test.input {
				t.Errorf("error %#v, want an InputError with input %s", err, test.input)
			}
		})
	}
}

func TestEmptyInputGivesEmptyAssignment(t *testing.T) {
	gateways, endpoints := cluster(3, 3, evenDemand)
	for _, test := range []struct {
		name      string
		gateways  []Gateway
		endpoints []Endpoint
	}{{"no gateways", nil, endpoints}, {"no endpoints", gateways, nil}} {
		t.Run(test.name, func(t *testing.T) {
			a := compute(t, unboundedRule(), test.gateways, test.endpoints)
			if len(a.Of("gateway-0000")) != 0 || a.RelativeLoad() < 0 {
				t.Error("the empty input gave endpoints to a gateway, or a negative relative load")
			}
		})
	}
	if (*Assignment)(nil).Of("x") != nil {
		t.Error("the nil assignment has endpoints for a gateway")
	}
}

// drawInput draws a rule and up to 12 gateways and endpoints, also with unusual demands and capacities.
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

// Guards against gateways that compute different assignments from the same input in another order, shares or weights
// that do not add up to 1, a gateway without endpoints and an endpoint without users.
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
				t.Fatalf("%s: %v\nwith the input in another order: %v", g.Name, list, other.Of(g.Name))
			}
			sum := 0.0
			for i, one := range list {
				if !(one.Weight > 0) || !(one.Share > 0) || i > 0 && list[i-1].Endpoint >= one.Endpoint {
					t.Fatalf("%s: a weight or share is not above 0, or the endpoints are not sorted: %v", g.Name, list)
				}
				sum += one.Weight
				shares[one.Endpoint] += one.Share
			}
			if math.Abs(sum-1) > 1e-6 || len(list) < min(rule.MinEndpoints, len(endpoints)) {
				t.Fatalf("%s: the weights add up to %v over %d endpoints", g.Name, sum, len(list))
			}
		}
		for _, e := range endpoints {
			if math.Abs(shares[e.ID]-1) > 1e-6 {
				t.Fatalf("endpoint %d: the shares add up to %v", e.ID, shares[e.ID])
			}
		}
	})
}

// Guards against shares of an endpoint that add up to more than 1 during a change from one assignment to another.
// Some gateways use the intersection; the others all use the previous assignment or all use the next one.
func TestIntersectSharesNeverExceedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule, gateways, endpoints := drawInput(t)
		previous, err := Compute(rule, gateways, endpoints)
		if err != nil {
			t.Fatal(err)
		}
		remaining := gateways[:rapid.IntRange(1, len(gateways)).Draw(t, "remaining")]
		next, err := Compute(rule, append(slices.Clone(remaining), Gateway{"new", 3, 0}), endpoints)
		if err != nil {
			t.Fatal(err)
		}
		allNotified := rapid.Bool().Draw(t, "all notified")
		shares := make(map[uint64]float64)
		for _, g := range append(slices.Clone(gateways), Gateway{Name: "new"}) {
			list := Intersect(previous.Of(g.Name), next.Of(g.Name))
			if rapid.Bool().Draw(t, "outside the change") { // uses only the previous or only the next assignment
				if list = previous.Of(g.Name); allNotified {
					list = next.Of(g.Name)
				}
			}
			for _, one := range list {
				shares[one.Endpoint] += one.Share
			}
		}
		for endpoint, sum := range shares {
			if sum > 1+1e-9 {
				t.Fatalf("endpoint %d: the shares add up to %v, want at most 1", endpoint, sum)
			}
		}
	})
}

// BenchmarkCompute computes assignments for three cluster sizes with demand by rank.
func BenchmarkCompute(b *testing.B) {
	for _, size := range [][2]int{{50, 50}, {300, 200}, {1000, 500}} {
		b.Run(fmt.Sprint(size[0], "x", size[1]), func(b *testing.B) {
			gateways, endpoints := cluster(size[0], size[1], demandByRank)
			for b.Loop() {
				if _, err := Compute(unboundedRule(), gateways, endpoints); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
