package scale

import (
	"time"

	"thymebend/internal/configdist/content"
	"thymebend/internal/lab/configsim"
)

// Times of changes of configuration.
const (
	electionWithin = 5 * time.Second
	bootWithin     = 5 * time.Minute
	firstWithin    = 5 * time.Minute
	changeAim      = 8 * time.Second // until in force everywhere
)

// change is one of configuration, followed until all that lived since it was submitted have it.
type change struct {
	milestones
	submitted time.Duration
	number    uint64 // 0 until it is committed
}

// startControl starts the control machines and has them take the whole configuration.
func (r *run) startControl() {
	for i := range r.rollouts.ControlMachines {
		r.rollouts.StartControl(i)
	}
	r.told(Progress{Phase: "storing the configuration", Of: bootWithin})
	r.sim.Run(r.sim.Now() + electionWithin)
	stored := false
	var next func(list [][]content.Change)
	next = func(list [][]content.Change) {
		if len(list) == 0 {
			stored = true
			return
		}
		r.rollouts.Submit(list[0], func(content.Ref, error) { next(list[1:]) })
	}
	next(configsim.GenerateProposals(r.size(), r.rng))
	for end := r.sim.Now() + bootWithin; !stored && r.sim.Now() < end && !r.sim.Interrupted(); {
		r.sim.Run(r.sim.Now() + 100*time.Millisecond)
	}
	r.sim.Run(r.sim.Now() + electionWithin)
}

// watchFirst notes when all gateways have the first whole configuration in force, counted from now on.
func (r *run) watchFirst() {
	begin := r.sim.Now()
	var look func()
	look = func() {
		have, up := r.rollouts.InForce(r.rollouts.Newest())
		if have == up && up == r.options.Gateways {
			r.first = r.sim.Now() - begin
			return
		}
		if r.sim.Now()-begin < firstWithin {
			r.sim.At(r.sim.Now()+lookEvery, look)
		}
	}
	r.sim.At(begin+lookEvery, look)
}

// awaitFirst waits until all have it, if that is still to come.
func (r *run) awaitFirst() {
	r.told(Progress{Phase: "fetching the configuration", Of: firstWithin})
	for end := r.sim.Now() + firstWithin; r.first == 0 && r.sim.Now() < end && !r.sim.Interrupted(); {
		r.sim.Run(r.sim.Now() + lookEvery)
	}
}

// scheduleChanges draws when configuration changes in the measured time, which begins now.
func (r *run) scheduleChanges() {
	if r.rollouts == nil {
		return
	}
	begin := r.sim.Now()
	for range r.options.Changes {
		r.sim.At(begin+r.between(0, r.options.For), r.submit)
	}
}

func (r *run) submit() {
	c := &change{submitted: r.sim.Now()}
	r.changes = append(r.changes, c)
	r.rollouts.Submit(configsim.DrawChange(r.size(), r.rng), func(ref content.Ref, err error) { c.number = ref.Number })
}

// lookAtChanges counts who has which change in force.
func (r *run) lookAtChanges() {
	for _, c := range r.changes {
		if c.number > 0 && c.all == 0 {
			r.lookAtChange(c)
		}
	}
}

func (r *run) lookAtChange(c *change) {
	lived, have := 0, 0
	for n, g := range r.rollouts.Gateways {
		if !r.sim.Running(n) || r.knowledge.born[n] > c.submitted {
			continue
		}
		lived++
		if g.Running.Ref.Number >= c.number {
			have++
		}
	}
	c.note(have, lived, r.sim.Now()-c.submitted)
}

// sumConfiguration fills in how the changes of the run have spread.
func (r *run) sumConfiguration() {
	out := r.result.Configuration
	if out == nil {
		return
	}
	out.First = seconds(r.first)
	var list []milestones
	for _, c := range r.changes {
		list = append(list, c.milestones)
		if c.all > changeAim {
			out.Late++
		}
	}
	out.Submitted = len(list)
	out.Median, out.Worst, out.Unfinished = summary(list)
	for _, c := range r.rollouts.ControlMachines {
		if c.Controller != nil {
			out.MostLinks = max(out.MostLinks, c.Controller.Subscribers())
		}
	}
	out.BrokenRules = append(out.BrokenRules, r.rollouts.Violations...)
}
