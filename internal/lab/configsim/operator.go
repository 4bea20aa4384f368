package configsim

import (
	"time"

	"thymebend/internal/configdist"
)

// operatorInterval is how often the operator looks after the rollouts.
const operatorInterval = 250 * time.Millisecond

// RunOperator has an operator look after stopped rollouts: after a while some are resumed once and the others taken
// back.
func (cl *Cluster) RunOperator(delay time.Duration, resumeShare float64) {
	var handled uint64 // attempt
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

// handleStopped resumes a stopped rollout or goes back to what is released, with whoever leads now; again, until it
// is done.
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
	_ = cl.Propose(leader, &command, nil) // whether it came shows in the rollout
	retry()
}
