package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"thymebend/internal/lab/configsim"
	"thymebend/internal/lab/membershipsim"
	"thymebend/internal/loadreport"
)

// servicesPerGateway is the number of services that a gateway serves. If the fleet has fewer services, each gateway
// serves all of them.
const servicesPerGateway = 40

// controlMachines is the number of machines that distribute the configuration.
const controlMachines = 4

// fleet simulates all gateways and control machines on one virtual clock.
type fleet struct {
	options   Options
	topology  topology
	sim       *membershipsim.Sim
	rng       *rand.Rand
	events    *eventWatcher
	full      []*fullGateway
	startCost startCost // of the full gateway created last (see fullGateway)

	rollouts *configsim.Cluster // nil if there are no control machines
	network  *configsim.Net     // carries the rollouts' messages

	partitioned      bool          // messages between regions are dropped
	partitionEndedAt time.Duration // when the last partition ended; 0 once all views are correct again
	measuring        bool          // within the measured period: joins are tracked
}

// newFleet creates the gateways and, unless o.Changes is negative, the control machines. No gateway runs yet.
func newFleet(ctx context.Context, o Options) (*fleet, error) {
	f := &fleet{options: o, topology: topology{o.Gateways, o.Zones, o.Regions}, sim: membershipsim.New(o.Seed, o.Gateways),
		rng: rand.New(rand.NewPCG(o.Seed, 0x5ca1e))}
	f.sim.SetContext(ctx)
	f.sim.Net.Cut = func(from, to int) bool { return f.partitioned && f.topology.region(from) != f.topology.region(to) }
	f.events = &eventWatcher{sim: f.sim, startedAt: make([]time.Duration, o.Gateways)}
	for n := range o.Gateways {
		f.sim.SetPayload(n, loadreport.Append(nil, loadreport.Report{Zone: f.topology.zone(n), Demand: gatewayDemand,
			FreeCapacity: 0.5, HasFigures: true, ConfigHash: 1}))
	}
	for _, n := range evenlySpaced(o.Full, o.Gateways) {
		g, cost, err := newFullGateway(n, f.sim.Nodes[n].Name, &o, f.topology, f.sim.Now())
		if err != nil {
			return nil, fmt.Errorf("full gateway %d cannot be created: %w", n, err)
		}
		f.full, f.startCost = append(f.full, g), cost
	}
	if o.Changes >= 0 {
		f.addRollouts()
	}
	return f, nil
}

// addRollouts adds the control machines and the gateways' agents, which distribute the configuration.
func (f *fleet) addRollouts() {
	o := &f.options
	f.network = configsim.NewNet(f.sim, o.Seed)
	f.network.Cut = func(from, to configsim.Endpoint) bool {
		return f.partitioned && f.topology.regionOf(from) != f.topology.regionOf(to)
	}
	f.rollouts = configsim.New(configsim.Config{Name: "scale", Gateways: o.Gateways, Zones: o.Zones,
		Regions: o.Regions, Seed: o.Seed,
		Services: f.servicesOf}, f.sim, f.network)
	f.rollouts.RunOperator(time.Second, 0)
}

// servicesOf returns the names of the services that a gateway serves.
func (f *fleet) servicesOf(gateway int) (list []string) {
	each := min(servicesPerGateway, f.options.Services)
	for k := range each {
		list = append(list, configsim.ServiceName((gateway*each+k)%f.options.Services))
	}
	return list
}

// size returns the size of the generated configuration.
func (f *fleet) size() configsim.ConfigurationSize {
	return configsim.ConfigurationSize{Services: f.options.Services, Routes: f.options.Routes, Tenants: f.options.Tenants}
}

// start starts the process of gateway n unless it runs. If replaced, the process starts on a new machine, without
// stored state.
func (f *fleet) start(n int, replaced bool) {
	if f.sim.Nodes[n].Membership != nil {
		return
	}
	f.sim.Start(n)
	f.events.startedAt[n] = f.sim.Now()
	if f.measuring {
		f.events.watchEvent(n, true)
	}
	switch {
	case f.rollouts == nil:
	case replaced:
		f.rollouts.ReplaceGateway(n)
	default:
		f.rollouts.StartGateway(n)
	}
}

// crash ends the process of gateway n without notifying the other members.
func (f *fleet) crash(n int) {
	if f.sim.Nodes[n].Membership == nil {
		return
	}
	f.sim.Kill(n)
	f.events.watchEvent(n, false)
	if f.rollouts != nil {
		f.rollouts.KillGateway(n)
	}
}

// leave ends the process of gateway n as SIGTERM does: it announces its departure.
func (f *fleet) leave(n int) {
	if !f.sim.Running(n) {
		return
	}
	f.sim.Leave(n)
	if f.rollouts != nil {
		f.rollouts.KillGateway(n)
	}
}

// stall pauses the process of gateway n for length.
func (f *fleet) stall(n int, length time.Duration) {
	f.sim.Stop(n, length)
	if f.rollouts != nil && f.sim.Nodes[n].Membership != nil {
		f.rollouts.StallGateway(n, length)
	}
}

// setLoss sets the share of the datagrams and frames that is lost.
func (f *fleet) setLoss(loss float64) {
	f.sim.Net.Loss = loss
	if f.network != nil {
		f.network.Loss = loss
	}
}

// randomPlainGateway draws a gateway that is not a full one, because full gateways are measured over the whole run.
// It draws from all gateways if all of them are full.
func (f *fleet) randomPlainGateway() int {
	for {
		n := f.rng.IntN(f.options.Gateways)
		if len(f.full) >= f.options.Gateways || !slices.ContainsFunc(f.full,
			func(g *fullGateway) bool { return g.index == n }) {
			return n
		}
	}
}

// Durations and intervals of the events of a run.
const (
	minRestartDelay        = time.Second // from a planned stop to the start of the next process
	maxRestartDelay        = 3 * time.Second
	restartsPerReplacement = 10 // one restart in this many is a replacement by a new machine
	minFailureDowntime     = 10 * time.Second
	maxFailureDowntime     = 30 * time.Second
	stallInterval          = 10 * time.Second
	stallDuration          = 2 * time.Second
	startInterval          = 5 * time.Millisecond // between two starts if many gateways start
)

// randomBetween returns a random duration of at least low and below high, or low if high is not above it.
func (f *fleet) randomBetween(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}

// scheduleEvents schedules the restarts, failures, stalls and faults of the measured period, which begins now.
func (f *fleet) scheduleEvents() {
	o, begin := &f.options, f.sim.Now()
	randomTime := func() time.Duration { return begin + f.randomBetween(0, o.For) }
	for i := range o.Restarts {
		at, downtime, gateway := randomTime(), f.randomBetween(minRestartDelay, maxRestartDelay), f.randomPlainGateway()
		f.sim.At(at, func() { f.leave(gateway) })
		f.sim.At(at+downtime, func() { f.start(gateway, i%restartsPerReplacement == 0) })
	}
	for range o.Failures {
		at, downtime, gateway := randomTime(), f.randomBetween(minFailureDowntime, maxFailureDowntime), f.randomPlainGateway()
		f.sim.At(at, func() { f.crash(gateway) })
		f.sim.At(at+downtime, func() { f.start(gateway, true) })
	}
	if o.Stalls > 0 {
		for at := begin; at < begin+o.For; at += stallInterval {
			f.scheduleStalls(at, o.Stalls, stallInterval-stallDuration, stallDuration)
		}
	}
	for _, fault := range o.Faults {
		f.scheduleFault(begin+fault.At, fault)
	}
}

// scheduleStalls pauses a share of the gateways for length, each at a random time within the window that begins
// at at.
func (f *fleet) scheduleStalls(at time.Duration, share float64, window, length time.Duration) {
	for range max(1, int(share*float64(f.options.Gateways))) {
		gateway := f.randomPlainGateway()
		f.sim.At(at+f.randomBetween(0, window), func() { f.stall(gateway, length) })
	}
}

// scheduleFault schedules the begin and the end of a fault that begins at at.
func (f *fleet) scheduleFault(at time.Duration, fault Fault) {
	end := at + fault.For
	zone := f.rng.IntN(f.options.Zones)
	switch fault.Kind {
	case RackFails:
		racks := (len(f.topology.ofZone(zone)) + gatewaysPerRack - 1) / gatewaysPerRack
		f.scheduleCrash(at, end, f.topology.rack(zone, f.rng.IntN(max(1, racks))))
	case ZoneFails:
		f.scheduleCrash(at, end, f.topology.ofZone(zone))
		f.scheduleControlCrash(at, end, zone)
	case RegionsPartition:
		f.sim.At(at, func() { f.partitioned = true })
		f.sim.At(end, func() { f.partitioned, f.partitionEndedAt = false, f.sim.Now() })
	case LossRises:
		f.sim.At(at, func() { f.setLoss(fault.Share) })
		f.sim.At(end, func() { f.setLoss(f.options.Loss) })
	case GatewaysStop:
		f.scheduleStalls(at, fault.Share, 0, fault.For)
	}
}

// scheduleCrash crashes the listed gateways together at the time at, and restarts them one after another from end on.
func (f *fleet) scheduleCrash(at, end time.Duration, list []int) {
	for i, n := range list {
		f.sim.At(at, func() { f.crash(n) })
		f.sim.At(end+time.Duration(i)*startInterval, func() { f.start(n, false) })
	}
}

// scheduleControlCrash crashes the control machines of a zone at the time at, and restarts them at end.
func (f *fleet) scheduleControlCrash(at, end time.Duration, zone int) {
	if f.rollouts == nil {
		return
	}
	for i := range f.rollouts.ControlMachines {
		if f.topology.controlZone(i) == zone {
			f.sim.At(at, func() { f.rollouts.KillControl(i) })
			f.sim.At(end, func() { f.rollouts.StartControl(i) })
		}
	}
}
