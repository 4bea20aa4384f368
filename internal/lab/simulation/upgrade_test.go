package simulation

import (
	"fmt"
	"testing"
)

// planUpgradeAtLimit is a plan in which clients hold all connections that a gateway may have. The gateway is
// upgraded, hanging hosts keep the predecessor from exiting, and clients open new connections while others
// continue to use theirs.
func planUpgradeAtLimit() Plan {
	const opened, upgraded, ended = 1000, 2000, 4000
	p := Plan{Seed: 1, Profile: "upgrade", Gateways: 1, Hosts: 60, Sockets: 256,
		NetworkPlan: NetworkPlan{LatencyUS: 200}, CostUS: 10}
	for host := range 10 {
		p.Faults = append(p.Faults, Fault{AtMS: upgraded - 100, Kind: "host-hang", Target: host, ForMS: 4000})
	}
	p.Faults = append(p.Faults, Fault{AtMS: upgraded, Kind: "gateway-upgrade", Target: 0, ForMS: 500})
	const held = 120
	for n := range held { // each connection carries two requests, so that it counts as one in regular use
		p.Requests = append(p.Requests, Request{AtMS: opened + n/2, TimeoutMS: 2000, NewConnection: true})
	}
	for n := range held {
		p.Requests = append(p.Requests, Request{AtMS: opened + 70 + n/2, TimeoutMS: 2000})
	}
	for n := range 30 { // unsafe requests that a hanging host has received are not sent to another
		p.Requests = append(p.Requests, Request{AtMS: upgraded - 40 + n, TimeoutMS: 2400, Unsafe: true})
	}
	for at := upgraded; at < ended; at += 10 {
		p.Requests = append(p.Requests, Request{AtMS: at, TimeoutMS: 2000})
		if at%50 == 0 {
			p.Requests = append(p.Requests, Request{AtMS: at, TimeoutMS: 1200, NewConnection: true})
		}
	}
	return p
}

// During an upgrade at the descriptor limit, clients on new connections are answered in time, and no idle
// connection is closed to make room for them.
func TestUpgradeAtTheConnectionLimitAnswersNewClients(t *testing.T) {
	o := playAndVerify(t, planUpgradeAtLimit())
	if o.Served < o.Attempts*9/10 {
		t.Errorf("%d of %d served", o.Served, o.Attempts)
	}
}

// planUpgradesAmongNewConnections is a plan in which every client opens a new connection and keeps it, so that
// idle connections are closed because there are too many. The gateway is upgraded every 1.2 s meanwhile.
func planUpgradesAmongNewConnections(seed uint64) Plan {
	const begin, end = 1000, 9000
	p := Plan{Seed: seed, Profile: "upgrade", Gateways: 1, Hosts: 60, Sockets: 256,
		NetworkPlan: NetworkPlan{LatencyUS: 200}, CostUS: 30}
	for at := begin; at < end; at += 4 {
		for n := range 3 {
			p.Requests = append(p.Requests, Request{AtMS: at + n, TimeoutMS: 2000, NewConnection: true})
		}
	}
	for at := begin + 500; at < end-500; at += 1200 {
		p.Faults = append(p.Faults, Fault{AtMS: at, Kind: "gateway-upgrade", Target: 0, ForMS: 500})
	}
	return p
}

// A timeout that was set for an idle connection before an upgrade does not close it during the upgrade.
func TestUpgradeClosesNoConnectionWithAnOlderTimeout(t *testing.T) {
	for _, seed := range []uint64{3, 5} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			o := playAndVerify(t, planUpgradesAmongNewConnections(seed))
			if o.Served < o.Attempts*8/10 {
				t.Errorf("%d of %d served", o.Served, o.Attempts)
			}
		})
	}
}
