package scale

import (
	"time"

	"thymebend/internal/configdist/content"
	"thymebend/internal/lab/configsim"
)

// Time limits for storing the configuration and for distributing changes of it.
const (
	electionTimeout    = 5 * time.Second
	storeTimeout       = 5 * time.Minute
	firstConfigTimeout = 5 * time.Minute
	changeObjective    = 8 * time.Second // from the submission until the change is in force at all gateways
)

// change is a submitted configuration change. It is tracked until it is in force at all gateways that have run
// since its submission.
type change struct {
	milestones
	submitted time.Duration
	number    uint64 // version of the configuration with this change; 0 until it is committed
}

// startControl starts the control machines and submits the whole configuration to them, one proposal after another.
// It waits for electionTimeout, then until all proposals are stored or storeTimeout has passed, then for
// electionTimeout again.
func (r *run) startControl() {
	for i := range r.rollouts.ControlMachines {
		r.rollouts.StartControl(i)
	}
	r.progress(Progress{Phase: "storing the configuration", Length: storeTimeout})
	r.sim.Run(r.sim.Now() + electionTimeout)
	stored := false
	var submitNext func(list [][]content.Change)
	submitNext = func(list [][]content.Change) {
		if len(list) == 0 {
			stored = true
			return
		}
		r.rollouts.Submit(list[0], func(content.Ref, error) { submitNext(list[1:]) })
	}
	submitNext(configsim.GenerateProposals(r.size(), r.rng))
	for end := r.sim.Now() + storeTimeout; !stored && r.sim.Now() < end && !r.sim.Interrupted(); {
		r.sim.Run(r.sim.Now() + 100*time.Millisecond)
	}
	r.sim.Run(r.sim.Now() + electionTimeout)
}

// watchFirstConfig records in firstConfigTime how long it takes, from now, until the first whole configuration is
// in force at all gateways.
func (r *run) watchFirstConfig() {
	begin := r.sim.Now()
	var check func()
	check = func() {
		applied, running := r.rollouts.InForce(r.rollouts.Newest())
		if applied == running && running == r.options.Gateways {
			r.firstConfigTime = r.sim.Now() - begin
			return
		}
		if r.sim.Now()-begin < firstConfigTimeout {
			r.sim.At(r.sim.Now()+pollInterval, check)
		}
	}
	r.sim.At(begin+pollInterval, check)
}

// awaitFirstConfig runs the simulation until the first whole configuration is in force at all gateways, for
// firstConfigTimeout at most.
func (r *run) awaitFirstConfig() {
	r.progress(Progress{Phase: "fetching the configuration", Length: firstConfigTimeout})
	for end := r.sim.Now() + firstConfigTimeout; r.firstConfigTime == 0 && r.sim.Now() < end && !r.sim.Interrupted(); {
		r.sim.Run(r.sim.Now() + pollInterval)
	}
}

// scheduleChanges schedules the submission of configuration changes at random times of the measured period, which
// begins now.
func (r *run) scheduleChanges() {
	if r.rollouts == nil {
		return
	}
	begin := r.sim.Now()
	for range r.options.Changes {
		r.sim.At(begin+r.randomBetween(0, r.options.For), r.submit)
	}
}

// submit submits a random configuration change and starts to track it.
func (r *run) submit() {
	c := &change{submitted: r.sim.Now()}
	r.changes = append(r.changes, c)
	r.rollouts.Submit(configsim.DrawChange(r.size(), r.rng), func(ref content.Ref, err error) { c.number = ref.Number })
}

// updateChanges updates the progress of each committed change that is not yet in force at all gateways.
func (r *run) updateChanges() {
	for _, c := range r.changes {
		if c.number > 0 && c.all == 0 {
			r.updateChange(c)
		}
	}
}

// updateChange counts the gateways that have run since the submission of c, and those of them that have c in force.
func (r *run) updateChange(c *change) {
	eligible, applied := 0, 0
	for n, g := range r.rollouts.Gateways {
		if !r.sim.Running(n) || r.events.startedAt[n] > c.submitted {
			continue
		}
		eligible++
		if g.Running.Ref.Number >= c.number {
			applied++
		}
	}
	c.record(applied, eligible, r.sim.Now()-c.submitted)
}

// summarizeConfiguration fills in the result's figures on the propagation of configuration changes.
func (r *run) summarizeConfiguration() {
	out := r.result.Configuration
	if out == nil {
		return
	}
	out.InitialDistribution = seconds(r.firstConfigTime)
	var list []milestones
	for _, c := range r.changes {
		list = append(list, c.milestones)
		if c.all > changeObjective {
			out.MissedObjective++
		}
	}
	out.Submitted = len(list)
	out.Median, out.Worst, out.Unfinished = summarize(list)
	for _, c := range r.rollouts.ControlMachines {
		if c.Controller != nil {
			out.MaxSubscribers = max(out.MaxSubscribers, c.Controller.Subscribers())
		}
	}
	out.Violations = append(out.Violations, r.rollouts.Violations...)
}
