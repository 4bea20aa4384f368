package simulation

import (
	"fmt"
	"net/netip"
	"time"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/registry"
	"thymebend/internal/lab/requestrecord"
)

// day is the fleet and the classes of every plan.
func day(p Plan) *experiment.File {
	d := func(t time.Duration) experiment.Duration { return experiment.Duration{Duration: t} }
	f := &experiment.File{Name: "seed"}
	f.Gateways = experiment.Gateways{Count: p.Gateways, Cores: 1, MemoryMB: 64, Sockets: p.Sockets}
	f.Clients = experiment.Clients{MostAfter: d(2 * time.Second), Marks: true}
	f.Classes = []experiment.Class{
		{Name: "tender-view", Share: 0.64, Worth: 1, Aim: d(800 * time.Millisecond), Patience: d(2 * time.Second),
			Work: experiment.Work{Dist: "pareto", Mean: d(35 * time.Millisecond), CV: 2}},
		{Name: "bid-lodge", Share: 0.36, Unsafe: true, Worth: 8, Aim: d(800 * time.Millisecond),
			Patience: d(2500 * time.Millisecond),
			Work:     experiment.Work{Dist: "lognormal", Mean: d(70 * time.Millisecond), CV: 2}}}
	if p.DeadlineMS > 0 {
		for i := range f.Classes {
			f.Classes[i].Patience = d(msec(p.DeadlineMS))
			f.Classes[i].Aim = d(min(f.Classes[i].Aim.Duration, msec(p.DeadlineMS)))
		}
	}
	f.Hosts = []experiment.Hosts{{Kind: "h", Count: p.Hosts, Site: "suva", Cores: 1, Speed: 1.2, Slots: 1,
		Queue: 14, ThrashAt: 8, Thrash: 0.04,
		ColdFrom: 0.2, ColdFor: d(12 * time.Second), WarmBy: "work", Fall: 3, FallFor: d(time.Second),
		PauseEvery: d(6 * time.Second),
		PauseFor:   d(30 * time.Millisecond), ErrorRate: 0.0005, Idle: d(30 * time.Second),
		ReportMin: d(50 * time.Millisecond),
		ReportMax: d(300 * time.Millisecond), ReportLate: d(40 * time.Millisecond), Noise: 0.1, Body: 60,
		Handshake: d(2 * time.Millisecond)}}
	if p.Zones > 0 {
		f.Hosts[0].Conns = maxConnections
	}
	for zone := 1; zone < p.Zones; zone++ {
		h := f.Hosts[0]
		h.Site = fmt.Sprintf("zone-%d", zone)
		f.Hosts = append(f.Hosts, h)
	}
	return f
}

// zone is where a host stands; one that replaces another stands where that stood.
func (w *simulator) zone(place int) experiment.Hosts {
	if w.plan.Zones == 0 {
		return w.file.Hosts[0]
	}
	return w.file.Hosts[zoneOfHost(place, w.plan.hostZones())]
}

func (w *simulator) build() {
	p := w.plan
	w.disc = &discoveryServer{w: w, list: registry.New(), doors: make([]*Listener, p.Gateways),
		addrs: make([]netip.AddrPort, p.Gateways), port: 8500}
	for n := range p.Gateways {
		w.disc.open(n)
		w.gateways = append(w.gateways, &gatewayNode{w: w, n: n, name: gatewayName(n),
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n), 1 + byte(n>>8)}), 8443)})
		if n < len(p.ClockErrors) {
			w.gateways[n].clockError = time.Duration(p.ClockErrors[n]) * time.Second
		}
	}
	switch {
	case p.Calls != nil:
		w.disc.queue = &callQueue{CallQueue: *p.Calls}
		w.disc.latest = &notificationDeadlines{sim: w.sim, work: p.Calls.work(p.Hosts)}
		w.disc.latest.caused(p.Gateways)
	case w.rates != nil:
		w.disc.queue = &callQueue{CallQueue: clusterCalls()}
	}
	for n := range p.Hosts {
		w.addHost(n, nil, p.Cold && n%2 == 0)
	}
	w.disc.lag = msec(p.LagMS)
	if p.Pushed {
		for n := range p.Gateways {
			w.disc.agents = append(w.disc.agents, &agent{d: w.disc, via: n, list: w.disc.list.Copy()})
		}
	}
	if p.Views {
		w.views = newViewChecker(w)
	}
	for _, m := range w.gateways {
		m.start()
	}
}

// addHost starts a host; it takes over another's addresses if they are given.
func (w *simulator) addHost(n int, addrs []netip.AddrPort, cold bool) {
	spec := w.file.Spec(w.zone(n), n)
	h := &host{w: w, n: n, name: spec.Name, spec: spec, record: requestrecord.NewEndpointRecord(spec.Name),
		addrs: addrs, share: make(map[string]float64)}
	if addrs == nil {
		for g := range w.gateways {
			h.addrs = append(h.addrs,
				netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3 + byte(n>>8), byte(n), byte(g%250 + 1)}),
					uint16(9000+g/250)))
		}
	}
	h.start(cold)
	if n < len(w.hosts) {
		w.hosts[n] = h
	} else {
		w.hosts = append(w.hosts, h)
	}
	w.list(h, registry.Up, cold)
}

func (w *simulator) list(h *host, state string, cold bool) {
	e := registry.Entry{Host: h.name, Site: h.spec.Site, Kind: "h", State: state, Dial: make(map[string]string)}
	if old, ok := w.disc.list.Find(h.name); ok {
		e.Born = old.Born
	}
	if cold {
		e.Born = w.sim.Now().Milliseconds()
	}
	for g, a := range h.addrs {
		e.Dial[gatewayName(g)] = a.String()
	}
	if w.disc.lag == 0 && w.sim.Since() == 0 {
		w.disc.list.Put(e)
		return
	}
	w.disc.put(e)
}

func (w *simulator) host(n int) *host {
	if n < 0 || n >= len(w.hosts) || w.hosts[n].gone {
		return nil
	}
	return w.hosts[n]
}
