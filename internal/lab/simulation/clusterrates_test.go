package simulation

import (
	"testing"

	"thymebend/internal/lab/registry"
)

// newTwoZoneSimulator is a world of twelve hosts that all run: eight in the first zone, four in the second. It
// counts what is asked of them.
func newTwoZoneSimulator(t *testing.T) *simulator {
	t.Helper()
	s := newSimulator(Plan{Seed: 1, Gateways: 2, Hosts: 12, Sockets: 200, Zones: 2,
		NetworkPlan: NetworkPlan{LatencyUS: 200}}, nil, nil)
	s.rates = newClusterRates(s)
	s.discovery = &discoveryServer{run: s, list: registry.New()}
	for n := range s.plan.Hosts {
		s.addHost(n, nil, false)
	}
	return s
}

// stopHosts stops so many hosts of a zone and returns one that is left.
func (s *simulator) stopHosts(zone, many int) *host {
	var left *host
	for _, h := range s.hosts {
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
func TestHostRateBoundsScaleWithServingHostsOfZone(t *testing.T) {
	for _, c := range []struct {
		name        string
		lost        [2]int // hosts, by zone
		zone        int    // of the host that is counted at
		most        int
		mayBeDenied bool // a connection beyond what the host holds is no finding
	}{
		{"all run", [2]int{0, 0}, 0, maxSendsPerSecond, false},
		{"half of the zone", [2]int{4, 0}, 0, maxSendsPerSecond, false},
		{"a quarter of the zone, though half of all", [2]int{0, 3}, 1, 2 * maxSendsPerSecond, true},
		{"the zone is whole, though fewer than half of all are left", [2]int{7, 0}, 1, maxSendsPerSecond, false},
		{"one of eight", [2]int{7, 0}, 0, 4 * maxSendsPerSecond, true},
	} {
		s := newTwoZoneSimulator(t)
		s.stopHosts(0, c.lost[0])
		s.stopHosts(1, c.lost[1])
		h := s.stopHosts(c.zone, 0)
		if few := s.loadFactor(c.zone) > 1; few != c.mayBeDenied {
			t.Errorf("%s: few are left: %v", c.name, few)
		}
		for range c.most {
			s.rates.countSend(h)
		}
		if len(s.findings) > 0 {
			t.Errorf("%s: %+v", c.name, s.findings)
		}
		s.rates.countSend(h)
		s.rates.countSend(h)
		if len(s.findings) != 1 || s.findings[0].Rule != TooManySends || s.findings[0].ID != h.name {
			t.Errorf("%s: one more: %+v", c.name, s.findings)
		}
	}
}

// What came to a host while few were left does not break a bound once the others are back in the same second.
func TestHostRateBoundsUseMaxLoadFactorOfSecond(t *testing.T) {
	s := newTwoZoneSimulator(t)
	h := s.stopHosts(1, 3)
	for range 2*maxConnectsPerSecond - 1 {
		s.rates.countConnect(h)
	}
	for _, other := range s.hosts {
		other.up = true
	}
	if s.rates.countConnect(h); len(s.findings) > 0 {
		t.Errorf("%+v", s.findings)
	}
	if s.rates.countConnect(h); len(s.findings) != 1 {
		t.Errorf("one more: %+v", s.findings)
	}
}
