package assignment

import (
	"fmt"
	"testing"
	"time"
)

func crew(n int) (out []Gateway) {
	for i := range n {
		out = append(out, Gateway{Name: fmt.Sprintf("g%02d", i)})
	}
	return out
}

func rack(n int) (out []Endpoint) {
	for i := range n {
		out = append(out, Endpoint{ID: uint64(i + 1), Capacity: 1})
	}
	return out
}

// look tells a keeper something and fails the test where that is an error.
func look(t *testing.T, k *Tracker, at time.Duration, gateways int, settled bool, hosts int) bool {
	t.Helper()
	changed, err := k.Observe(at, Observation{Alive: crew(gateways), Settled: settled, Endpoints: rack(hosts)})
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

// No division before a view has settled; the last settled one goes on while it has not; another takes over by way of both.
func TestTheLastSettledDivisionStaysInForce(t *testing.T) {
	k := NewTracker(Rule{Users: 4, MinEndpoints: 2}, "g00", time.Second, nil)
	if look(t, k, 0, 12, false, 40) || len(k.Assigned()) > 0 || k.Stage() != Waiting {
		t.Errorf("%d hosts before a view settled, %v", len(k.Assigned()), k.Stage())
	}
	if !look(t, k, time.Second, 12, true, 40) || k.Stage() != Settled || len(k.Assigned()) < 10 {
		t.Errorf("%d hosts, %v", len(k.Assigned()), k.Stage())
	}
	before := k.Assigned()
	if look(t, k, 2*time.Second, 6, false, 40) || k.Stage() != Retained {
		t.Errorf("a view that is not settled changed the division, %v", k.Stage())
	}
	if look(t, k, 3*time.Second, 6, false, 39); k.Stage() != Retained {
		t.Errorf("%v", k.Stage())
	}
	for _, u := range k.Assigned() {
		if u.Endpoint == 40 {
			t.Error("a host that is gone is in use")
		}
	}
	look(t, k, 4*time.Second, 12, true, 40)
	if !look(t, k, 5*time.Second, 6, true, 40) || k.Stage() != Changing {
		t.Fatalf("%v", k.Stage())
	}
	for _, u := range k.Assigned() {
		found := false
		for _, b := range before {
			found = found || b.Endpoint == u.Endpoint && b.Share >= u.Share-1e-12
		}
		if !found {
			t.Errorf("host %d: more than the former division gives, while others go by that", u.Endpoint)
		}
	}
	if at, ok := k.Due(); !ok || at != 6*time.Second {
		t.Errorf("due at %v, %v", at, ok)
	}
	if !look(t, k, 6*time.Second, 6, true, 40) || k.Stage() != Settled {
		t.Errorf("%v", k.Stage())
	}
	if _, ok := k.Due(); ok || k.RelativeLoad() < 0.99 {
		t.Errorf("it changes again by time, crowd %v", k.RelativeLoad())
	}
	if spares := k.Spares(0); len(spares)+len(k.Assigned()) != 40 {
		t.Errorf("%d spares and %d in use of 40", len(spares), len(k.Assigned()))
	}
	if _, err := k.Observe(7*time.Second, Observation{Alive: crew(3), Settled: true, Endpoints: append(rack(2), Endpoint{ID: 1, Capacity: 1})}); err == nil || k.Stage() != Settled {
		t.Error("a host listed twice")
	}
	if len(k.Gateways()) != 6 {
		t.Error("an error changed the gateways in force")
	}
}

// While some gateways go by the old division, some by both and some by the new, no host is given away more than once.
func TestPartsOfAHostAddUpToOneAtMostThroughAChange(t *testing.T) {
	var all []*Tracker
	for i := range 12 {
		k := NewTracker(Rule{Users: 4, MinEndpoints: 2}, fmt.Sprintf("g%02d", i), time.Second, nil)
		look(t, k, 0, 12, true, 30)
		all = append(all, k)
	}
	for at := time.Second; at < 5*time.Second; at += 100 * time.Millisecond {
		parts := make(map[uint64]float64)
		for i, k := range all[:9] { // three are killed at 1 s; the others settle one after another within 1 s
			if at >= time.Second+time.Duration(i)*100*time.Millisecond {
				look(t, k, at, 9, true, 30)
			}
			for _, u := range k.Assigned() {
				parts[u.Endpoint] += u.Share
			}
		}
		for host, sum := range parts {
			if sum > 1+1e-9 {
				t.Fatalf("after %v host %d is given away %v times", at, host, sum)
			}
		}
		if at >= 4*time.Second && len(parts) < 30 {
			t.Errorf("%d of 30 hosts are used", len(parts))
		}
	}
}

// A process that has just started goes by what its file names, as all do that start with it.
func TestAStartGoesByTheFile(t *testing.T) {
	sums := make(map[uint64]float64)
	for i := range 9 {
		k := NewTracker(Rule{Users: 4, MinEndpoints: 2}, fmt.Sprintf("g%02d", i), time.Second, crew(9))
		if look(t, k, 0, 1, false, 30); k.Stage() != Waiting {
			t.Errorf("%v", k.Stage())
		}
		for _, u := range k.Assigned() {
			sums[u.Endpoint] += u.Share
		}
		if look(t, k, time.Second, 9, true, 30); k.Stage() != Settled {
			t.Errorf("a view settled that says what the file says: %v", k.Stage())
		}
	}
	for host, sum := range sums {
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("host %d is given away %v times", host, sum)
		}
	}
	if len(sums) != 30 {
		t.Errorf("%d of 30 hosts are used", len(sums))
	}
}

// Where hosts hold few connections none has more users than it may, every gateway still has a host, and traffic stays fair.
func TestUsersOfAHostAreBounded(t *testing.T) {
	var g []Gateway
	for i := range 300 {
		g = append(g, Gateway{Name: fmt.Sprintf("g%03d", i), Demand: 1 + float64(i%7)})
	}
	var h []Endpoint
	for i := range 60 {
		h = append(h, Endpoint{ID: uint64(i + 1), Capacity: float64(int(1) << (i % 4))})
	}
	count := func(most int) (largest int, crowd float64) {
		d, err := Compute(Rule{Users: 12, MaxUsers: most, MinEndpoints: 2}, g, h)
		if err != nil {
			t.Fatal(err)
		}
		users := make(map[uint64]int)
		for _, x := range g {
			if len(d.Of(x.Name)) == 0 {
				t.Errorf("%s has no host", x.Name)
			}
			for _, u := range d.Of(x.Name) {
				users[u.Endpoint]++
				largest = max(largest, users[u.Endpoint])
			}
		}
		return largest, d.Crowd()
	}
	if free, _ := count(0); free <= 24 {
		t.Fatalf("%d users at most without a bound: the test shows nothing", free)
	}
	for _, most := range []int{14, 16, 24} {
		// Close to the mean large hosts have too few users for what they can do.
		if largest, crowd := count(most); largest > most || most >= 24 && crowd > 1.25 {
			t.Errorf("at most %d users: %d, crowd %.2f", most, largest, crowd)
		}
	}
	if _, err := Compute(Rule{Users: 12, MaxUsers: 11}, g, h); err == nil {
		t.Error("fewer users at most than on the mean")
	}
}
