package configsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"thymebend/internal/configdist/content"
	"thymebend/internal/lab/timeline"
)

// What a run must come to.
const (
	convergenceLimit = 8 * time.Second // a change at all gateways that are alive and reachable
	maxRate          = 2048.0          // bytes a second and gateway, sent and received, over a run
)

// Phases of a run.
const (
	startPhase = 8 * time.Second // then processes and the first versions are there
	faultPhase = 40 * time.Second
)

// Outcome is what a drawn run came to.
type Outcome struct {
	Gateways   int
	Versions   uint64
	Stops      int           // rollouts that were stopped
	Rejected   uint64        // by gateways
	Fenced     uint64        // versions that agents did not take for they were older
	Repeated   uint64        // frames that came twice
	Stalls     uint64        // of agents, noticed
	Converged  time.Duration // after the last trouble
	LastChange time.Duration // the last change, from its commitment, at all
	Rate       float64       // bytes a second and gateway
	Violations []string
}

// String words it.
func (o Outcome) String() string {
	return fmt.Sprintf("%d gateways, %d versions, %d stops, %d refused, %d fenced, "+
		"converged after %v, last change in force after %v, %.0f bytes a second",
		o.Gateways, o.Versions, o.Stops, o.Rejected, o.Fenced, o.Converged, o.LastChange, o.Rate)
}

// World is a cluster on a clock and a network of its own.
type World struct {
	*timeline.Timeline
	Net     *Net
	Cluster *Cluster
}

// NewWorld makes a cluster and what it lives by. None of its processes runs yet.
func NewWorld(cfg Config) *World {
	clock := &timeline.Timeline{}
	net := NewNet(clock, cfg.Seed)
	cl := New(cfg, clock, net)
	net.Region = cl.RegionOf
	return &World{clock, net, cl}
}

// run is one drawn run.
type run struct {
	*World
	rng  *rand.Rand
	size Size
	out  Outcome
}

// Play draws a cluster and its faults by a seed, and holds the invariants at each step: never an older version after a
// newer one; what is in force is committed, whole and at its stage; a stopped version does not spread; after the last
// trouble all gateways are at the newest version within 8 s, and a change is in force at all of them 8 s after it was
// committed; what is sent stays bounded.
func Play(seed uint64) Outcome {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	gateways := 10 + rng.IntN(31)
	size := Size{Services: 12, Routes: 60, Tenants: 240}
	services := func(i int) (list []string) {
		for k := range size.Services {
			if (i*7+k*5)%3 == 0 || k == i%size.Services {
				list = append(list, ServiceName(k))
			}
		}
		return list
	}
	world := NewWorld(Config{
		Name: "play", Gateways: gateways, Zones: 7, Regions: 2, Services: services, Seed: seed,
		PageBytes: 1 << 10, Snapshots: 40,
	})
	r := &run{World: world, rng: rng, size: size}
	r.start()
	r.drawFaults()
	r.drawChanges()
	r.Run(startPhase + faultPhase)
	r.heal()
	return r.check()
}

// start starts all processes and proposes the first configuration.
func (r *run) start() {
	cl := r.Cluster
	for i := range cl.ControlMachines {
		r.At(time.Duration(r.rng.IntN(300))*time.Millisecond, func() { cl.StartControl(i) })
	}
	for i := range cl.Gateways {
		r.At(time.Duration(r.rng.IntN(3000))*time.Millisecond, func() { cl.StartGateway(i) })
	}
	cl.RunOperator(time.Duration(r.rng.IntN(1500))*time.Millisecond, 0.3)
	r.submitAll(Bootstrap(r.size, r.rng))
}

// submitAll proposes changes one after another.
func (r *run) submitAll(list [][]content.Change) {
	if len(list) > 0 {
		r.Cluster.Submit(list[0], func(content.Ref, error) { r.submitAll(list[1:]) })
	}
}

// submit proposes a change, whatever becomes of it.
func (r *run) submit(changes []content.Change) {
	r.Cluster.Submit(changes, func(content.Ref, error) {})
}

// heal ends all faults.
func (r *run) heal() {
	cl := r.Cluster
	r.Net.Loss, r.Net.Duplicate, r.Net.Cut = 0, 0, nil
	for i, c := range cl.ControlMachines {
		cl.StartControl(i)
		c.resume(c.advance)
	}
	for i, g := range cl.Gateways {
		cl.StartGateway(i)
		g.resume(g.advance)
	}
}
