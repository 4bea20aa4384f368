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

// gatewayDemand is the demand that each gateway reports, in requests per second: 220,000 divided by 870 gateways.
const gatewayDemand = 250

// fullGateway holds the endpoint list, the division of the endpoints and the settings of a gateway, in addition to
// its membership view. The processor time that these three take is counted separately from that of the view.
type fullGateway struct {
	index      int
	endpoints  *discovery.Endpoints
	settings   settings.Settings
	balancer   *balancer.Balancer
	tracker    *assignment.Tracker
	assignable []assignment.Endpoint
	topology   topology

	version            uint64 // of the membership view at the last observation
	converged          bool
	cpuTime            time.Duration
	longestObservation time.Duration // processor time of the slowest observation
	divisions          int           // observations that changed the gateway's subset
	problems           []string
}

// startCost is the processor time and the heap that the endpoint list and the settings take when a gateway starts.
type startCost struct {
	ListTime, SettingsTime time.Duration
	ListHeap, SettingsHeap uint64
}

// discardActions discards the actions of a balancer that has no requests.
type discardActions struct{}

func (discardActions) StartAttempt(balancer.RequestID, balancer.EndpointID, time.Duration) {}
func (discardActions) Reject(balancer.RequestID, time.Duration)                            {}
func (discardActions) Fail(balancer.RequestID)                                             {}
func (discardActions) CancelAttempt(balancer.RequestID, int)                               {}
func (discardActions) SetTimer(time.Duration, uint32)                                      {}
func (discardActions) CloseIdle(balancer.EndpointID)                                       {}
func (discardActions) WatchEndpoints()                                                     {}
func (discardActions) Log(string)                                                          {}

// newFullGateway creates a full gateway with the whole endpoint list and the settings, and returns what both cost.
func newFullGateway(index int, name string, o *Options, t topology, now time.Duration) (*fullGateway, startCost, error) {
	g := &fullGateway{index: index, topology: t}
	var cost startCost
	rawSettings, err := settingsText(o)
	if err != nil {
		return nil, cost, err
	}
	rawList := listText(o)
	cost.SettingsTime, cost.SettingsHeap = measureCost(func() {
		if g.settings, err = settings.ParseJSON(rawSettings); err != nil {
			return
		}
		g.balancer, err = balancer.New(g.settings.Config, o.Seed, now, discardActions{})
	})
	if err != nil {
		return nil, cost, err
	}
	cost.ListTime, cost.ListHeap = measureCost(func() {
		g.endpoints = discovery.NewEndpoints(g.settings.Gateway.Zones)
		var update discovery.Update
		if update, err = g.endpoints.Apply(rawList); err != nil {
			return
		}
		g.balancer.UpdateEndpoints(now, balancer.Snapshot, update.Entries)
		g.balancer.Dispatch(now)
	})
	if err != nil {
		return nil, cost, err
	}
	runtime.KeepAlive(rawSettings) // Freed during a measurement, they would reduce the heap measured.
	runtime.KeepAlive(rawList)
	for _, h := range g.endpoints.All() {
		g.assignable = append(g.assignable, assignment.Endpoint{ID: uint64(h.ID), Capacity: h.Capacity, Zone: h.Zone})
	}
	defaults := gossipconfig.DefaultAssignment()
	rule := assignment.Rule{Users: float64(defaults.Users), MaxUsers: defaults.MaxUsers,
		MinEndpoints: defaults.MinEndpoints, RemoteZoneOdds: defaults.RemoteZoneOdds}
	g.tracker = assignment.NewTracker(rule, name, viewPropagationTime, nil)
	return g, cost, nil
}

// cellCount is the number of cells. The hosts of a cell share the idempotency keys that they have seen.
const cellCount = 40

// viewPropagationTime is the time that a gateway allows for a change of the view to reach all gateways.
const viewPropagationTime = time.Second

// observe passes a changed membership view to the assignment tracker, as a gateway does with each sample. The
// tracker may divide the endpoints again.
func (g *fullGateway) observe(sim *membershipsim.Sim) {
	if !sim.Running(g.index) {
		return
	}
	began := cputime.ThreadTime()
	view := sim.Nodes[g.index].Membership
	now := sim.Now()
	status := view.Status(now + membershipsim.Epoch)
	due, timed := g.tracker.Due()
	if status.Version == g.version && status.Converged == g.converged && !(timed && now >= due) {
		return
	}
	g.version, g.converged = status.Version, status.Converged
	var alive []assignment.Gateway
	for n, m := range view.Members() {
		if m.State == gossipcodec.Alive {
			alive = append(alive, assignment.Gateway{Name: m.Name, Demand: gatewayDemand, Zone: g.topology.zone(n)})
		}
	}
	changed, err := g.tracker.Observe(now, assignment.Observation{Alive: alive, Converged: status.Converged,
		Endpoints: g.assignable})
	if err != nil && len(g.problems) < 5 {
		g.problems = append(g.problems, err.Error())
	}
	if changed {
		g.divisions++
	}
	took := cputime.ThreadTime() - began
	g.cpuTime += took
	g.longestObservation = max(g.longestObservation, took)
}

// measureCost returns the processor time that do takes and the number of heap bytes by which it increases the heap
// in use.
func measureCost(do func()) (took time.Duration, heap uint64) {
	before := heapInUse()
	began := cputime.ThreadTime()
	do()
	took = cputime.ThreadTime() - began
	after := heapInUse()
	return took, after - min(before, after)
}

// heapInUse returns the number of heap bytes in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// listText returns a full endpoint list in the form in which discovery sends it.
func listText(o *Options) []byte {
	const via = "gateway"
	list := registry.New()
	var entries []registry.Entry
	for i := range o.Hosts {
		dial := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080)
		entries = append(entries, registry.Entry{Host: fmt.Sprintf("host-%05d.service-%03d", i, i%o.Services),
			Site: zoneName(i % o.Zones),
			Cell: i % cellCount, State: registry.Up, Addresses: map[string]string{via: dial.String()}})
	}
	list.Put(entries...)
	return list.Line(via, 0)
}

// settingsText returns settings with three classes and all tenants as JSON.
func settingsText(o *Options) ([]byte, error) {
	type tenant struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	}
	type class struct {
		Name      string  `json:"name"`
		Objective float64 `json:"aim_ms"`
		Timeout   float64 `json:"give_up_ms"`
		Weight    float64 `json:"worth"`
		Repeat    string  `json:"repeat"`
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

// evenlySpaced returns the indices of count gateways at equal distances among all.
func evenlySpaced(count, all int) (list []int) {
	for i := range count {
		list = append(list, i*all/count)
	}
	return slices.Compact(list)
}
