package simulation

import (
	"testing"

	"thymebend/internal/lab/registry"
)

// newTwoZoneSimulator returns a simulator with rate checks and twelve running hosts: eight in the first zone, four
// in the second.
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

// stopHosts stops the given number of hosts of a zone and returns one that still runs.
func (s *simulator) stopHosts(zone, many int) *host {
	var running *host
	for _, h := range s.hosts {
		switch {
		case h.zone() != zone:
		case many > 0:
			h.up = false
			many--
		default:
			running = h
		}
	}
	return running
}

// The bounds for a host apply while at least half of the hosts of its own zone are serving, whatever the state
// of the other zone. With fewer, the bounds grow as the number of serving hosts falls.
func TestHostRateBoundsScaleWithServingHostsOfZone(t *testing.T) {
	for _, c := range []struct {
		name        string
		stopped     [2]int // stopped hosts, by zone
		zone        int    // zone of the host that is checked
		limit       int
		mayBeDenied bool // a connection beyond the host's limit is no finding
	}{
		{"all hosts serve", [2]int{0, 0}, 0, maxSendsPerSecond, false},
		{"half of the zone serves", [2]int{4, 0}, 0, maxSendsPerSecond, false},
		{"a quarter of the zone serves, and more than half of all hosts", [2]int{0, 3}, 1, 2 * maxSendsPerSecond, true},
		{"the whole zone serves, but fewer than half of all hosts", [2]int{7, 0}, 1, maxSendsPerSecond, false},
		{"one of eight hosts of the zone serves", [2]int{7, 0}, 0, 4 * maxSendsPerSecond, true},
	} {
		s := newTwoZoneSimulator(t)
		s.stopHosts(0, c.stopped[0])
		s.stopHosts(1, c.stopped[1])
		h := s.stopHosts(c.zone, 0)
		if fewServing := s.loadFactor(c.zone) > 1; fewServing != c.mayBeDenied {
			t.Errorf("%s: load factor above 1: %v", c.name, fewServing)
		}
		for range c.limit {
			s.rates.countSend(h)
		}
		if len(s.findings) > 0 {
			t.Errorf("%s: findings at the bound: %+v", c.name, s.findings)
		}
		s.rates.countSend(h)
		s.rates.countSend(h)
		if len(s.findings) != 1 || s.findings[0].Rule != TooManySends || s.findings[0].ID != h.name {
			t.Errorf("%s: beyond the bound: %+v", c.name, s.findings)
		}
	}
}

// Requests that a host received while few hosts of its zone were serving break no bound when the other hosts
// are back within the same second.
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
		t.Errorf("findings at the bound: %+v", s.findings)
	}
	if s.rates.countConnect(h); len(s.findings) != 1 {
		t.Errorf("beyond the bound: %+v", s.findings)
	}
}
