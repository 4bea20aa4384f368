package assignment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func fleetOf(n, hosts int, demand func(i int) float64) (g []Gateway, h []Endpoint) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		g = append(g, Gateway{Name: fmt.Sprintf("gateway-%04d", i), Demand: demand(i)})
	}
	for range hosts {
		h = append(h, Endpoint{ID: rng.Uint64(), Capacity: float64(int(1) << rng.IntN(3))})
	}
	return g, h
}

func even(int) float64 { return 5 }

func work(t *testing.T, r Rule, g []Gateway, h []Endpoint) *Division {
	t.Helper()
	d, err := Compute(r, g, h)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func usual() Rule { return Rule{Users: 12, MinEndpoints: 2} }

// Fair: even traffic and traffic of which one has ten times the mean, over hosts of one, two and four cores.
func TestItIsFair(t *testing.T) {
	for _, c := range []struct {
		n, hosts int
		demand   func(int) float64
		most     float64
	}{
		{10, 50, even, 1.15}, {300, 200, even, 1.15}, {300, 50, even, 1.15}, {50, 2, even, 1.15}, {3, 200, even, 1.15},
		{50, 50, func(i int) float64 { return max(1, 10*float64((i+1)/50)) }, 1.25},
		{300, 200, func(i int) float64 { return 1 / float64(i+1) }, 1.25},
	} {
		g, h := fleetOf(c.n, c.hosts, c.demand)
		if d := work(t, usual(), g, h); d.Crowd() > c.most {
			t.Errorf("%d gateways, %d hosts: a host has %.2f times its part", c.n, c.hosts, d.Crowd())
		}
	}
}

// Who has more to carry uses more hosts.
func TestMoreTrafficMoreHosts(t *testing.T) {
	g, h := fleetOf(300, 200, func(i int) float64 { return max(1, 10*float64((i+1)/300)) })
	d := work(t, usual(), g, h)
	if heavy, light := len(d.Of("gateway-0299")), len(d.Of("gateway-0000")); heavy < 7*light {
		t.Errorf("ten times the traffic, %d hosts for %d", heavy, light)
	}
}

// Stable: one gateway of 300 that goes moves few pairs of others, a host moves those that used it, once.
func TestFewPairsMove(t *testing.T) {
	g, h := fleetOf(300, 200, even)
	before := work(t, usual(), g, h)
	moved := func(after *Division) (n int) {
		for _, x := range g {
			a, b := before.Of(x.Name), after.Of(x.Name)
			if b == nil {
				continue
			}
			for _, list := range [][2][]Assigned{{a, b}, {b, a}} {
				for _, u := range list[0] {
					if !slices.ContainsFunc(list[1], func(o Assigned) bool { return o.Endpoint == u.Endpoint }) {
						n++
					}
				}
			}
		}
		return n
	}
	had := len(before.Of("gateway-0100"))
	if n := moved(work(t, usual(), append(slices.Clone(g[:100]), g[101:]...), h)); n > 3*had {
		t.Errorf("a gateway with %d hosts goes: %d pairs of others move", had, n)
	}
	users := 0
	for _, x := range g {
		if slices.ContainsFunc(before.Of(x.Name), func(u Assigned) bool { return u.Endpoint == h[7].ID }) {
			users++
		}
	}
	if n := moved(work(t, usual(), g, append(slices.Clone(h[:7]), h[8:]...))); n > 4*users {
		t.Errorf("a host with %d users goes: %d pairs move", users, n)
	}
}

// A gateway keeps to its zone, and yet a zone with four times the traffic of its hosts' part is carried by all.
func TestZones(t *testing.T) {
	g, h := fleetOf(300, 200, even)
	for i := range g {
		if g[i].Zone = i % 3; g[i].Zone == 0 {
			g[i].Demand *= 4
		}
	}
	for i := range h {
		h[i].Zone = i % 3
	}
	r := usual()
	own := func(r Rule) (share float64) {
		d := work(t, r, g, h)
		if d.Crowd() > 1.25 {
			t.Errorf("away %v: a host has %.2f times its part", r.RemoteZoneOdds, d.Crowd())
		}
		zone := make(map[uint64]int)
		for _, x := range h {
			zone[x.ID] = x.Zone
		}
		for _, x := range g[:300] {
			for _, u := range d.Of(x.Name) {
				if zone[u.Endpoint] == x.Zone {
					share += u.Weight * x.Demand / (5 * 600)
				}
			}
		}
		return share
	}
	// At best two thirds: the busy zone carries a third of the fleet's traffic of its two thirds, the others all of theirs.
	all := own(r)
	r.RemoteZoneOdds = 0.25
	if near := own(r); near < 0.5 || all > 0.4 {
		t.Errorf("%.2f of the traffic stays in its zone, %.2f where zones are no matter", near, all)
	}
}

func TestFaultyInputIsRefused(t *testing.T) {
	g, h := fleetOf(3, 3, even)
	many := make([]Endpoint, MaxEndpoints+1)
	for want, c := range map[string]struct {
		r Rule
		g []Gateway
		h []Endpoint
	}{
		"shares: 0 users of a host, 2 hosts at least":                {Rule{MinEndpoints: 2}, g, h},
		"shares: NaN users of a host, 2 hosts at least":              {Rule{Users: math.NaN(), MinEndpoints: 2, RemoteZoneOdds: 0}, g, h},
		"shares: gateway \"gateway-0000\" twice":                     {usual(), append(g, g[0]), h},
		fmt.Sprintf("shares: host %d twice", h[0].ID):                {usual(), g, append(h, h[0])},
		"shares: hosts of other zones at 2, 0 to 1 is needed":        {Rule{Users: 12, MinEndpoints: 2, RemoteZoneOdds: 2}, g, h},
		"shares: host 5 has a capacity of 0":                         {usual(), g, []Endpoint{{ID: 5}}},
		"shares: host 5 has a capacity of NaN":                       {usual(), g, []Endpoint{{ID: 5, Capacity: math.NaN()}}},
		"shares: 3 gateways and 10001 hosts, 2000 and 10000 at most": {usual(), g, many},
	} {
		if d, err := Compute(c.r, c.g, c.h); err == nil || err.Error() != want || d != nil {
			t.Errorf("%v, wanted %s", err, want)
		}
	}
	for _, c := range []struct {
		g []Gateway
		h []Endpoint
	}{{nil, h}, {g, nil}} {
		if d := work(t, usual(), c.g, c.h); len(d.Of("gateway-0000")) != 0 || d.Crowd() < 0 {
			t.Error("something of nothing")
		}
	}
	if (*Division)(nil).Of("x") != nil {
		t.Error("no division gives something")
	}
}

func drawn(t *rapid.T) (Rule, []Gateway, []Endpoint) {
	r := Rule{Users: rapid.Float64Range(0.5, 20).Draw(t, "users"), MinEndpoints: rapid.IntRange(0, 5).Draw(t, "least"), RemoteZoneOdds: rapid.Float64Range(0, 1).Draw(t, "away")}
	zone := rapid.IntRange(0, 2)
	var g []Gateway
	for i := range rapid.IntRange(1, 12).Draw(t, "gateways") {
		g = append(g, Gateway{fmt.Sprint("g", i), rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), 1, 2, 50, 1e9}).Draw(t, "demand"), zone.Draw(t, "zone")})
	}
	var h []Endpoint
	for i := range rapid.IntRange(1, 12).Draw(t, "hosts") {
		h = append(h, Endpoint{uint64(i * 977), rapid.SampledFrom([]float64{1e-6, 0.5, 1, 4, 1e6}).Draw(t, "capacity"), zone.Draw(t, "zone")})
	}
	return r, g, h
}

// Whatever is told: everybody finds the same, parts and weights add up, nobody is left without hosts, no host without users.
func TestWhatAlwaysHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, g, h := drawn(t)
		d, err := Compute(r, g, h)
		if err != nil {
			t.Fatal(err)
		}
		other, err := Compute(r, rapid.Permutation(g).Draw(t, "order"), rapid.Permutation(h).Draw(t, "order"))
		if err != nil {
			t.Fatal(err)
		}
		parts := make(map[uint64]float64)
		for _, x := range g {
			list := d.Of(x.Name)
			if !slices.Equal(list, other.Of(x.Name)) {
				t.Fatalf("%s: %v\nin another order %v", x.Name, list, other.Of(x.Name))
			}
			sum := 0.0
			for i, u := range list {
				if !(u.Weight > 0) || !(u.Share > 0) || i > 0 && list[i-1].Endpoint >= u.Endpoint {
					t.Fatalf("%s: %v", x.Name, list)
				}
				sum += u.Weight
				parts[u.Endpoint] += u.Share
			}
			if math.Abs(sum-1) > 1e-6 || len(list) < min(r.MinEndpoints, len(h)) {
				t.Fatalf("%s: weights of %v over %d hosts", x.Name, sum, len(list))
			}
		}
		for _, x := range h {
			if math.Abs(parts[x.ID]-1) > 1e-6 {
				t.Fatalf("host %d: parts of %v", x.ID, parts[x.ID])
			}
		}
	})
}

// While one division gives way to another no host is given away more than once, whoever has heard how much: as long as nobody
// goes on to the new one while somebody has heard nothing.
func TestNoHostIsGivenAwayTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, g, h := drawn(t)
		old, err := Compute(r, g, h)
		if err != nil {
			t.Fatal(err)
		}
		left := g[:rapid.IntRange(1, len(g)).Draw(t, "live on")]
		fresh, err := Compute(r, append(slices.Clone(left), Gateway{"new", 3, 0}), h)
		if err != nil {
			t.Fatal(err)
		}
		moved := rapid.Bool().Draw(t, "all have heard")
		parts := make(map[uint64]float64)
		for _, x := range append(slices.Clone(g), Gateway{Name: "new"}) {
			list := Both(old.Of(x.Name), fresh.Of(x.Name))
			if rapid.Bool().Draw(t, "waits") { // else it is where all that do not wait are
				if list = old.Of(x.Name); moved {
					list = fresh.Of(x.Name)
				}
			}
			for _, u := range list {
				parts[u.Endpoint] += u.Share
			}
		}
		for host, p := range parts {
			if p > 1+1e-9 {
				t.Fatalf("host %d is given away %v times", host, p)
			}
		}
	})
}

func BenchmarkWork(b *testing.B) {
	for _, size := range [][2]int{{50, 50}, {300, 200}, {1000, 500}} {
		b.Run(fmt.Sprint(size[0], "x", size[1]), func(b *testing.B) {
			g, h := fleetOf(size[0], size[1], func(i int) float64 { return 1 / float64(i+1) })
			for b.Loop() {
				if _, err := Compute(usual(), g, h); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
