package simulation

import (
	"fmt"
	"net/netip"
	"time"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/registry"
	"thymebend/internal/lab/requestrecord"
)

// buildExperiment returns the cluster and the request classes of a plan. Plans differ only in the sizes of the
// cluster and the deadlines of the classes.
func buildExperiment(p Plan) *experiment.File {
	d := func(t time.Duration) experiment.Duration { return experiment.Duration{Duration: t} }
	f := &experiment.File{Name: "seed"}
	f.Gateways = experiment.Gateways{Count: p.Gateways, Cores: 1, MemoryMB: 64, Sockets: p.Sockets}
	f.Clients = experiment.Clients{MaxRetryAfter: d(2 * time.Second), MarksRetries: true}
	f.Classes = []experiment.Class{
		{Name: "tender-view", Share: 0.64, Weight: 1, LatencyObjective: d(800 * time.Millisecond), Timeout: d(2 * time.Second),
			Work: experiment.Work{Dist: "pareto", Mean: d(35 * time.Millisecond), CV: 2}},
		{Name: "bid-lodge", Share: 0.36, Unsafe: true, Weight: 8, LatencyObjective: d(800 * time.Millisecond),
			Timeout: d(2500 * time.Millisecond),
			Work:    experiment.Work{Dist: "lognormal", Mean: d(70 * time.Millisecond), CV: 2}}}
	if p.DeadlineMS > 0 {
		for i := range f.Classes {
			f.Classes[i].Timeout = d(msec(p.DeadlineMS))
			f.Classes[i].LatencyObjective = d(min(f.Classes[i].LatencyObjective.Duration, msec(p.DeadlineMS)))
		}
	}
	f.Hosts = []experiment.Hosts{{Kind: "h", Count: p.Hosts, Site: "suva", Cores: 1, Speed: 1.2, Slots: 1,
		Queue: 14, ThrashAt: 8, Thrash: 0.04,
		ColdFrom: 0.2, ColdFor: d(12 * time.Second), WarmBy: "work", CrashMultiple: 3, CrashAfter: d(time.Second),
		PauseEvery: d(6 * time.Second),
		PauseFor:   d(30 * time.Millisecond), ErrorRate: 0.0005, IdleTimeout: d(30 * time.Second),
		ReportMin: d(50 * time.Millisecond),
		ReportMax: d(300 * time.Millisecond), ReportDelay: d(40 * time.Millisecond), ReportNoise: 0.1, Body: 60,
		HandshakeWork: d(2 * time.Millisecond)}}
	if p.Zones > 0 {
		f.Hosts[0].Connections = maxConnections
	}
	for zone := 1; zone < p.Zones; zone++ {
		h := f.Hosts[0]
		h.Site = fmt.Sprintf("zone-%d", zone)
		f.Hosts = append(f.Hosts, h)
	}
	return f
}

// zone returns the settings of the zone in which the host at an index runs. A replacement runs in the zone of its
// predecessor.
func (s *simulator) zone(index int) experiment.Hosts {
	if s.plan.Zones == 0 {
		return s.file.Hosts[0]
	}
	return s.file.Hosts[zoneOfHost(index, s.plan.hostZones())]
}

func (s *simulator) build() {
	p := s.plan
	s.discovery = &discoveryServer{run: s, list: registry.New(), listeners: make([]*Listener, p.Gateways),
		addrs: make([]netip.AddrPort, p.Gateways), port: 8500}
	for n := range p.Gateways {
		s.discovery.listen(n)
		s.gateways = append(s.gateways, &gatewayNode{run: s, index: n, name: gatewayName(n),
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n), 1 + byte(n>>8)}), 8443)})
		if n < len(p.ClockErrors) {
			s.gateways[n].clockError = time.Duration(p.ClockErrors[n]) * time.Second
		}
	}
	switch {
	case p.Calls != nil:
		s.discovery.queue = &callQueue{CallQueue: *p.Calls}
		s.discovery.deadlines = &notificationDeadlines{sim: s.sim, work: p.Calls.work(p.Hosts)}
		s.discovery.deadlines.addCalls(p.Gateways)
	case s.rates != nil:
		s.discovery.queue = &callQueue{CallQueue: clusterCalls()}
	}
	for n := range p.Hosts {
		s.addHost(n, nil, p.Cold && n%2 == 0)
	}
	s.discovery.lag = msec(p.LagMS)
	if p.Pushed {
		for n := range p.Gateways {
			s.discovery.agents = append(s.discovery.agents,
				&agent{server: s.discovery, gateway: n, list: s.discovery.list.Copy()})
		}
	}
	if p.Views {
		s.views = newViewChecker(s)
	}
	for _, g := range s.gateways {
		g.start()
	}
}

// addHost starts a host that listens at the given addresses or, if addrs is nil, at one new address for each
// gateway.
func (s *simulator) addHost(n int, addrs []netip.AddrPort, cold bool) {
	spec := s.file.Spec(s.zone(n), n)
	h := &host{run: s, index: n, name: spec.Name, spec: spec, record: requestrecord.NewEndpointRecord(spec.Name),
		addrs: addrs, faultShares: make(map[string]float64)}
	if addrs == nil {
		for g := range s.gateways {
			h.addrs = append(h.addrs,
				netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3 + byte(n>>8), byte(n), byte(g%250 + 1)}),
					uint16(9000+g/250)))
		}
	}
	h.start(cold)
	if n < len(s.hosts) {
		s.hosts[n] = h
	} else {
		s.hosts = append(s.hosts, h)
	}
	s.announce(h, registry.Up, cold)
}

func (s *simulator) announce(h *host, state string, cold bool) {
	e := registry.Entry{Host: h.name, Site: h.spec.Site, Kind: "h", State: state, Addresses: make(map[string]string)}
	if old, ok := s.discovery.list.Find(h.name); ok {
		e.StartedMS = old.StartedMS
	}
	if cold {
		e.StartedMS = s.sim.Now().Milliseconds()
	}
	for g, a := range h.addrs {
		e.Addresses[gatewayName(g)] = a.String()
	}
	if s.discovery.lag == 0 && s.sim.Elapsed() == 0 {
		s.discovery.list.Put(e)
		return
	}
	s.discovery.publish(e)
}

func (s *simulator) host(n int) *host {
	if n < 0 || n >= len(s.hosts) || s.hosts[n].removed {
		return nil
	}
	return s.hosts[n]
}
