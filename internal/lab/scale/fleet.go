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

// servicesOfGateway is how many services a gateway serves, if there are so many.
const servicesOfGateway = 40

// controlMachines are set aside for control.
const controlMachines = 4

// fleet is all gateways and control machines on one clock.
type fleet struct {
	options   Options
	places    places
	sim       *membershipsim.Sim
	rng       *rand.Rand
	knowledge *knowledge
	full      []*fullGateway
	begun     begun // what the last full gateway took

	rollouts *configsim.Cluster // nil without control machines
	network  *configsim.Net     // of the rollouts

	parted    bool          // regions do not hear each other
	mendedAt  time.Duration // since then they hear each other again, and not all views are true yet; else 0
	measuring bool          // events are followed
}

func newFleet(ctx context.Context, o Options) (*fleet, error) {
	f := &fleet{options: o, places: places{o.Gateways, o.Zones, o.Regions}, sim: membershipsim.New(o.Seed, o.Gateways),
		rng: rand.New(rand.NewPCG(o.Seed, 0x5ca1e))}
	f.sim.SetContext(ctx)
	f.sim.Net.Cut = func(from, to int) bool { return f.parted && f.places.region(from) != f.places.region(to) }
	f.knowledge = &knowledge{sim: f.sim, born: make([]time.Duration, o.Gateways)}
	for n := range o.Gateways {
		f.sim.SetPayload(n, loadreport.Append(nil, loadreport.Report{Zone: f.places.zone(n), Demand: demand,
			FreeCapacity: 0.5, HasFigures: true, ConfigHash: 1}))
	}
	for _, n := range spread(o.Full, o.Gateways) {
		g, cost, err := newFullGateway(n, f.sim.Nodes[n].Name, &o, f.places, f.sim.Now())
		if err != nil {
			return nil, fmt.Errorf("a gateway of the fleet cannot be started: %w", err)
		}
		f.full, f.begun = append(f.full, g), cost
	}
	if o.Changes >= 0 {
		f.addRollouts()
	}
	return f, nil
}

// addRollouts adds control machines and agents of the distribution of configuration.
func (f *fleet) addRollouts() {
	o := &f.options
	f.network = configsim.NewNet(f.sim, o.Seed)
	f.network.Cut = func(from, to configsim.Endpoint) bool {
		return f.parted && f.places.regionOf(from) != f.places.regionOf(to)
	}
	f.rollouts = configsim.New(configsim.Config{Name: "scale", Gateways: o.Gateways, Zones: o.Zones,
		Regions: o.Regions, Seed: o.Seed,
		Services: f.servicesOf}, f.sim, f.network)
	f.rollouts.RunOperator(time.Second, 0)
}

func (f *fleet) servicesOf(gateway int) (list []string) {
	each := min(servicesOfGateway, f.options.Services)
	for k := range each {
		list = append(list, configsim.ServiceName((gateway*each+k)%f.options.Services))
	}
	return list
}

// size is that of the configuration.
func (f *fleet) size() configsim.ConfigurationSize {
	return configsim.ConfigurationSize{Services: f.options.Services, Routes: f.options.Routes, Tenants: f.options.Tenants}
}

// start starts a gateway's process; replaced says that another machine does, which has kept nothing.
func (f *fleet) start(n int, replaced bool) {
	if f.sim.Nodes[n].Membership != nil {
		return
	}
	f.sim.Start(n)
	f.knowledge.born[n] = f.sim.Now()
	if f.measuring {
		f.knowledge.begin(n, true)
	}
	switch {
	case f.rollouts == nil:
	case replaced:
		f.rollouts.ReplaceGateway(n)
	default:
		f.rollouts.StartGateway(n)
	}
}

// crash ends a gateway's process without a word.
func (f *fleet) crash(n int) {
	if f.sim.Nodes[n].Membership == nil {
		return
	}
	f.sim.Kill(n)
	f.knowledge.begin(n, false)
	if f.rollouts != nil {
		f.rollouts.KillGateway(n)
	}
}

// leave ends it as SIGTERM does.
func (f *fleet) leave(n int) {
	if !f.sim.Running(n) {
		return
	}
	f.sim.Leave(n)
	if f.rollouts != nil {
		f.rollouts.KillGateway(n)
	}
}

func (f *fleet) stall(n int, length time.Duration) {
	f.sim.Stop(n, length)
	if f.rollouts != nil && f.sim.Nodes[n].Membership != nil {
		f.rollouts.StallGateway(n, length)
	}
}

func (f *fleet) setLoss(loss float64) {
	f.sim.Net.Loss = loss
	if f.network != nil {
		f.network.Loss = loss
	}
}

// plain draws a gateway that is none of the full ones: those are watched from begin to end.
func (f *fleet) plain() int {
	for {
		n := f.rng.IntN(f.options.Gateways)
		if len(f.full) >= f.options.Gateways || !slices.ContainsFunc(f.full,
			func(g *fullGateway) bool { return g.number == n }) {
			return n
		}
	}
}

// Times of what is pressed into a run.
const (
	restartLeast  = time.Second // from a planned end to the next process
	restartMost   = 3 * time.Second
	replacedShare = 10 // of the restarts, one in so many is a replacement by a new machine
	failureLeast  = 10 * time.Second
	failureMost   = 30 * time.Second
	stallEvery    = 10 * time.Second
	stallFor      = 2 * time.Second
	startEvery    = 5 * time.Millisecond // between two gateways of many that start
)

func (f *fleet) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(f.rng.Int64N(int64(most-least)))
}

// schedule draws when what happens in the measured time, which begins now.
func (f *fleet) schedule() {
	o, begin := &f.options, f.sim.Now()
	within := func() time.Duration { return begin + f.between(0, o.For) }
	for i := range o.Restarts {
		at, away, who := within(), f.between(restartLeast, restartMost), f.plain()
		f.sim.At(at, func() { f.leave(who) })
		f.sim.At(at+away, func() { f.start(who, i%replacedShare == 0) })
	}
	for range o.Failures {
		at, away, who := within(), f.between(failureLeast, failureMost), f.plain()
		f.sim.At(at, func() { f.crash(who) })
		f.sim.At(at+away, func() { f.start(who, true) })
	}
	if o.Stalls > 0 {
		for at := begin; at < begin+o.For; at += stallEvery {
			f.scheduleStalls(at, o.Stalls, stallEvery-stallFor, stallFor)
		}
	}
	for _, fault := range o.Faults {
		f.scheduleFault(begin+fault.At, fault)
	}
}

// scheduleStalls stops a share of the gateways, each at a time of its own within a stretch.
func (f *fleet) scheduleStalls(at time.Duration, share float64, stretch, length time.Duration) {
	for range max(1, int(share*float64(f.options.Gateways))) {
		who := f.plain()
		f.sim.At(at+f.between(0, stretch), func() { f.stall(who, length) })
	}
}

func (f *fleet) scheduleFault(at time.Duration, fault Fault) {
	over := at + fault.For
	zone := f.rng.IntN(f.options.Zones)
	switch fault.Kind {
	case RackFails:
		racks := (len(f.places.ofZone(zone)) + gatewaysOfRack - 1) / gatewaysOfRack
		f.scheduleEnd(at, over, f.places.rack(zone, f.rng.IntN(max(1, racks))))
	case ZoneFails:
		f.scheduleEnd(at, over, f.places.ofZone(zone))
		f.scheduleControlEnd(at, over, zone)
	case RegionsPart:
		f.sim.At(at, func() { f.parted = true })
		f.sim.At(over, func() { f.parted, f.mendedAt = false, f.sim.Now() })
	case LossRises:
		f.sim.At(at, func() { f.setLoss(fault.Share) })
		f.sim.At(over, func() { f.setLoss(f.options.Loss) })
	case GatewaysStop:
		f.scheduleStalls(at, fault.Share, 0, fault.For)
	}
}

// scheduleEnd has gateways end at once, and start again one after another.
func (f *fleet) scheduleEnd(at, over time.Duration, list []int) {
	for i, n := range list {
		f.sim.At(at, func() { f.crash(n) })
		f.sim.At(over+time.Duration(i)*startEvery, func() { f.start(n, false) })
	}
}

func (f *fleet) scheduleControlEnd(at, over time.Duration, zone int) {
	if f.rollouts == nil {
		return
	}
	for i := range f.rollouts.ControlMachines {
		if f.places.controlZone(i) == zone {
			f.sim.At(at, func() { f.rollouts.KillControl(i) })
			f.sim.At(over, func() { f.rollouts.StartControl(i) })
		}
	}
}
