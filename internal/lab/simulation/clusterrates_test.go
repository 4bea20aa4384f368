package simulation

import (
	"testing"

	"thymebend/internal/lab/registry"
)

// twoZones is a world of twelve hosts that all run: eight in the first zone, four in the second. It
// counts what is asked of them.
func twoZones(t *testing.T) *simulator {
	t.Helper()
	w := newSimulator(Plan{Seed: 1, Gateways: 2, Hosts: 12, Sockets: 200, Zones: 2,
		NetworkPlan: NetworkPlan{LatencyUS: 200}}, nil, nil)
	w.rates = newClusterRates(w)
	w.disc = &discoveryServer{w: w, list: registry.New()}
	for n := range w.plan.Hosts {
		w.addHost(n, nil, false)
	}
	return w
}

// lose stops so many hosts of a zone and returns one that is left.
func (w *simulator) lose(zone, many int) *host {
	var left *host
	for _, h := range w.hosts {
		switch {
		case h.zone() != zone:
		case many > 0:
			h.up = false
			many--
		default:
			left = h
		}
	}
	return left
}

// The bounds of a host's sums hold while half of the hosts of its zone are left, whatever is left of
// the others; with fewer they grow as the hosts get fewer.
func TestBoundsOfAHostFollowItsZone(t *testing.T) {
	for _, c := range []struct {
		name        string
		lost        [2]int // hosts, by zone
		zone        int    // of the host that is counted at
		most        int
		mayBeDenied bool // a connection beyond what the host holds is no finding
	}{
		{"all run", [2]int{0, 0}, 0, maxAttempts, false},
		{"half of the zone", [2]int{4, 0}, 0, maxAttempts, false},
		{"a quarter of the zone, though half of all", [2]int{0, 3}, 1, 2 * maxAttempts, true},
		{"the zone is whole, though fewer than half of all are left", [2]int{7, 0}, 1, maxAttempts, false},
		{"one of eight", [2]int{7, 0}, 0, 4 * maxAttempts, true},
	} {
		w := twoZones(t)
		w.lose(0, c.lost[0])
		w.lose(1, c.lost[1])
		h := w.lose(c.zone, 0)
		if few := w.strained(c.zone) > 1; few != c.mayBeDenied {
			t.Errorf("%s: few are left: %v", c.name, few)
		}
		for range c.most {
			w.rates.send(h)
		}
		if len(w.found) > 0 {
			t.Errorf("%s: %+v", c.name, w.found)
		}
		w.rates.send(h)
		w.rates.send(h)
		if len(w.found) != 1 || w.found[0].Rule != OverSent || w.found[0].ID != h.name {
			t.Errorf("%s: one more: %+v", c.name, w.found)
		}
	}
}

// What came to a host while few were left does not break a bound once the others are back in the same second.
func TestBoundsOfAHostLastASecond(t *testing.T) {
	w := twoZones(t)
	h := w.lose(1, 3)
	for range 2*maxOpened - 1 {
		w.rates.open(h)
	}
	for _, other := range w.hosts {
		other.up = true
	}
	if w.rates.open(h); len(w.found) > 0 {
		t.Errorf("%+v", w.found)
	}
	if w.rates.open(h); len(w.found) != 1 {
		t.Errorf("one more: %+v", w.found)
	}
}
