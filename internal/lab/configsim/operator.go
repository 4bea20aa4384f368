package configsim

import (
	"time"

	"thymebend/internal/configdist"
)

// operatorInterval is the interval at which the operator checks for a stopped rollout.
const operatorInterval = 250 * time.Millisecond

// RunOperator starts a simulated operator that handles stopped rollouts. After a delay, it resumes a share of them
// and reverts the others. It handles each stopped attempt of a rollout once.
func (cl *Cluster) RunOperator(delay time.Duration, resumeShare float64) {
	var handled uint64 // Attempt of the stopped rollout that the operator handled last
	var check func()
	check = func() {
		cl.clock.At(cl.clock.Now()+operatorInterval, check)
		leader := cl.Leader()
		if leader == nil {
			return
		}
		store := leader.Controller.Store()
		r := store.Rollout()
		if r.Stage != configdist.StageStopped || r.Attempt == handled {
			return
		}
		handled = r.Attempt
		resume := cl.rng.Float64() < resumeShare
		cl.clock.At(cl.clock.Now()+delay, func() { cl.handleStopped(r, resume) })
	}
	check()
}

// handleStopped proposes to the current leader to resume a stopped rollout or to revert to the released version. It
// repeats this until the rollout is no longer stopped.
func (cl *Cluster) handleStopped(r configdist.Rollout, resume bool) {
	retry := func() { cl.clock.At(cl.clock.Now()+proposeRetry, func() { cl.handleStopped(r, resume) }) }
	leader := cl.Leader()
	if leader == nil {
		retry()
		return
	}
	store := leader.Controller.Store()
	if current := store.Rollout(); current.Stage != configdist.StageStopped || current.Attempt != r.Attempt {
		return
	}
	command := configdist.Command{Kind: configdist.Revert, Version: store.Released().Ref.Number}
	if resume {
		command = configdist.Command{Kind: configdist.Resume, Version: r.Version}
	}
	_ = cl.Propose(leader, &command, nil) // whether it took effect is checked in the rollout at the next retry
	retry()
}
