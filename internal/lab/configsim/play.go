package configsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"thymebend/internal/configdist/content"
	"thymebend/internal/lab/timeline"
)

// Limits that a run must meet.
const (
	convergenceLimit = 8 * time.Second // until a change is in force at all running and reachable gateways
	maxRate          = 2048.0          // bytes per second and gateway, sent and received, over a run
)

// Phases of a run.
const (
	startPhase = 8 * time.Second  // processes start and the first versions are proposed
	faultPhase = 40 * time.Second // faults and changes happen
)

// Outcome is the result of a run of Play.
type Outcome struct {
	Gateways   int
	Versions   uint64
	Stops      int           // rollouts that were stopped
	Rejected   uint64        // versions rejected by gateways
	Fenced     uint64        // versions that agents ignored because they were older
	Repeated   uint64        // frames that arrived twice
	Stalls     uint64        // stalls that agents noticed
	Converged  time.Duration // time from the end of the faults until the released version was in force
	LastChange time.Duration // time from the commit of the last change until it was in force at all gateways
	Rate       float64       // bytes per second and gateway
	Violations []string
}

// String formats the outcome on one line, without the violations.
func (o Outcome) String() string {
	return fmt.Sprintf("%d gateways, %d versions, %d stops, %d refused, %d fenced, "+
		"converged after %v, last change in force after %v, %.0f bytes a second",
		o.Gateways, o.Versions, o.Stops, o.Rejected, o.Fenced, o.Converged, o.LastChange, o.Rate)
}

// World is a cluster with a virtual clock and network that only it uses.
type World struct {
	*timeline.Timeline
	Net     *Net
	Cluster *Cluster
}

// NewWorld returns a cluster with its clock and network. None of its processes runs yet.
func NewWorld(cfg Config) *World {
	clock := &timeline.Timeline{}
	net := NewNet(clock, cfg.Seed)
	cl := New(cfg, clock, net)
	net.Region = cl.RegionOf
	return &World{clock, net, cl}
}

// run is one run of Play.
type run struct {
	*World
	rng  *rand.Rand
	size ConfigurationSize
	out  Outcome
}

// Play draws a cluster and its faults from a seed, runs it and checks the invariants at each step. A gateway never
// puts an older version in force after a newer one. Versions in force are committed, complete and offered by their
// stage. The version of a stopped rollout does not spread. Within 8 s of the end of the faults, all gateways have the
// newest version in force, and a change is in force at all of them 8 s after its commit. Traffic stays bounded.
func Play(seed uint64) Outcome {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	gateways := 10 + rng.IntN(31)
	size := ConfigurationSize{Services: 12, Routes: 60, Tenants: 240}
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
	r.submitAll(GenerateProposals(r.size, r.rng))
}

// submitAll submits the changes one after another, each once the previous one is committed or rejected.
func (r *run) submitAll(list [][]content.Change) {
	if len(list) > 0 {
		r.Cluster.Submit(list[0], func(content.Ref, error) { r.submitAll(list[1:]) })
	}
}

// submit submits a change and ignores its result.
func (r *run) submit(changes []content.Change) {
	r.Cluster.Submit(changes, func(content.Ref, error) {})
}

// heal ends all faults: it restarts stopped processes, resumes stalled ones and repairs the network.
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
