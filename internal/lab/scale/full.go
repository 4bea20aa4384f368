package scale

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"thymebend/internal/assignment"
	"thymebend/internal/balancer"
	"thymebend/internal/discovery"
	"thymebend/internal/gossipcodec"
	"thymebend/internal/gossipconfig"
	"thymebend/internal/lab/cputime"
	"thymebend/internal/lab/membershipsim"
	"thymebend/internal/lab/registry"
	"thymebend/internal/settings"
)

// demand is what each gateway carries, in requests a second: 220,000 over 870.
const demand = 250

// fullGateway holds, beside its view, what a gateway has of hosts and settings. Its processor time is
// counted apart.
type fullGateway struct {
	number   int
	group    *discovery.Endpoints
	settings settings.Settings
	module   *balancer.Balancer
	keeper   *assignment.Tracker
	hosts    []assignment.Endpoint
	places   places

	version  uint64 // of the view at the last look
	settled  bool
	spent    time.Duration
	longest  time.Duration // of one look
	divided  int           // looks that worked out a division
	problems []string
}

// begun is what it costs a gateway to take its list and settings as it starts.
type begun struct {
	ListTime, SettingsTime time.Duration
	ListHeap, SettingsHeap uint64
}

// silent takes the decisions of a module that has no requests.
type silent struct{}

func (silent) StartAttempt(balancer.RequestID, balancer.EndpointID, time.Duration) {}
func (silent) Reject(balancer.RequestID, time.Duration)                            {}
func (silent) Fail(balancer.RequestID)                                             {}
func (silent) CancelAttempt(balancer.RequestID, int)                               {}
func (silent) SetTimer(time.Duration, uint32)                                      {}
func (silent) CloseIdle(balancer.EndpointID)                                       {}
func (silent) WatchEndpoints()                                                     {}
func (silent) Log(string)                                                          {}

// newFullGateway starts one with the whole list and the settings.
func newFullGateway(number int, name string, o *Options, p places, now time.Duration) (*fullGateway, begun, error) {
	g := &fullGateway{number: number, places: p}
	var cost begun
	rawSettings, err := settingsText(o)
	if err != nil {
		return nil, cost, err
	}
	rawList := listText(o)
	cost.SettingsTime, cost.SettingsHeap = weighed(func() {
		if g.settings, err = settings.ParseJSON(rawSettings); err != nil {
			return
		}
		g.module, err = balancer.New(g.settings.Config, o.Seed, now, silent{})
	})
	if err != nil {
		return nil, cost, err
	}
	cost.ListTime, cost.ListHeap = weighed(func() {
		g.group = discovery.NewEndpoints(g.settings.Gateway.Zones)
		var news discovery.Update
		if news, err = g.group.Apply(rawList); err != nil {
			return
		}
		g.module.UpdateEndpoints(now, balancer.Snapshot, news.Entries)
		g.module.Dispatch(now)
	})
	if err != nil {
		return nil, cost, err
	}
	runtime.KeepAlive(rawSettings) // freed in between, their bytes would be taken off what the rest leaves in use
	runtime.KeepAlive(rawList)
	for _, h := range g.group.All() {
		g.hosts = append(g.hosts, assignment.Endpoint{ID: uint64(h.ID), Capacity: h.Capacity, Zone: h.Zone})
	}
	usual := gossipconfig.DefaultAssignment()
	rule := assignment.Rule{Users: float64(usual.Users), MaxUsers: usual.MaxUsers,
		MinEndpoints: usual.MinEndpoints, RemoteZoneOdds: usual.RemoteZoneOdds}
	g.keeper = assignment.NewTracker(rule, name, newsWithin, nil)
	return g, cost, nil
}

// cells are those of hosts that share what keys they have seen.
const cells = 40

// newsWithin is how long a change of the view takes to reach the last gateway, as the gateway has it.
const newsWithin = time.Second

// look follows the view as a gateway does with its samples: what moved in it may divide the hosts anew.
func (g *fullGateway) look(sim *membershipsim.Sim) {
	if !sim.Running(g.number) {
		return
	}
	began := cputime.ThreadTime()
	view := sim.Nodes[g.number].Membership
	now := sim.Now()
	status := view.Status(now + membershipsim.Epoch)
	due, timed := g.keeper.Due()
	if status.Version == g.version && status.Converged == g.settled && !(timed && now >= due) {
		return
	}
	g.version, g.settled = status.Version, status.Converged
	var alive []assignment.Gateway
	for n, m := range view.Members() {
		if m.State == gossipcodec.Alive {
			alive = append(alive, assignment.Gateway{Name: m.Name, Demand: demand, Zone: g.places.zone(n)})
		}
	}
	changed, err := g.keeper.Observe(now, assignment.Observation{Alive: alive, Converged: status.Converged,
		Endpoints: g.hosts})
	if err != nil && len(g.problems) < 5 {
		g.problems = append(g.problems, err.Error())
	}
	if changed {
		g.divided++
	}
	took := cputime.ThreadTime() - began
	g.spent += took
	g.longest = max(g.longest, took)
}

// weighed is the processor time that something takes, and the heap that it leaves in use.
func weighed(do func()) (took time.Duration, heap uint64) {
	before := heapInUse()
	began := cputime.ThreadTime()
	do()
	took = cputime.ThreadTime() - began
	after := heapInUse()
	return took, after - min(before, after)
}

// heapInUse is what the heap holds that is still reached.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// listText words a whole list as discovery does.
func listText(o *Options) []byte {
	const via = "gateway"
	list := registry.New()
	var entries []registry.Entry
	for i := range o.Hosts {
		dial := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080)
		entries = append(entries, registry.Entry{Host: fmt.Sprintf("host-%05d.service-%03d", i, i%o.Services),
			Site: zoneName(i % o.Zones),
			Cell: i % cells, State: registry.Up, Addresses: map[string]string{via: dial.String()}})
	}
	list.Put(entries...)
	return list.Line(via, 0)
}

// settingsText words settings of three classes and all tenants.
func settingsText(o *Options) ([]byte, error) {
	type tenant struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	}
	type class struct {
		Name   string  `json:"name"`
		Aim    float64 `json:"aim_ms"`
		GiveUp float64 `json:"give_up_ms"`
		Worth  float64 `json:"worth"`
		Repeat string  `json:"repeat"`
	}
	doc := struct {
		Balancers int      `json:"balancers"`
		Zones     []string `json:"zones"`
		Classes   []class  `json:"classes"`
		Tenants   []tenant `json:"tenants,omitempty"`
	}{Balancers: o.Gateways, Classes: []class{{"view", 800, 2000, 1, "repeatable"},
		{"lodge", 800, 2500, 8, "once"}, {"bulk", 5000, 9000, 0.5, "repeatable"}}}
	for zone := range o.Zones {
		doc.Zones = append(doc.Zones, zoneName(zone))
	}
	for i := range o.Tenants {
		doc.Tenants = append(doc.Tenants, tenant{fmt.Sprintf("tenant-%05d", i), 5})
	}
	return json.Marshal(doc)
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%02d", zone) }

// spread lists numbers of gateways that lie evenly among all.
func spread(count, all int) (list []int) {
	for i := range count {
		list = append(list, i*all/count)
	}
	return slices.Compact(list)
}
