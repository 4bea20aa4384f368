package configsim

import (
	"errors"
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/content"
	"thymebend/internal/raft"
)

// Intervals of a Publisher.
const (
	proposeRetry  = 500 * time.Millisecond // after no control machine accepted the proposal
	resultTimeout = 2 * time.Second        // without a result; then the change is proposed again, with the same ID
)

// Publisher proposes one change until it is committed as a version, or is rejected for a reason that repetition does
// not change.
type Publisher struct {
	cluster     *Cluster
	changes     []content.Change
	id          uint64
	nextControl int // control machine that is tried next, modulo the number of control machines
	done        func(ref content.Ref, err error)
	ended       bool
}

// Submit proposes a change, first to a random control machine. done is called with the version that the change made,
// or with the error for which it was rejected.
func (cl *Cluster) Submit(changes []content.Change, done func(ref content.Ref, err error)) {
	p := &Publisher{cluster: cl, changes: changes, nextControl: cl.rng.IntN(len(cl.ControlMachines)), done: done}
	cl.nextID++
	p.id = cl.nextID
	p.propose()
}

// propose proposes the change to one control machine after another until one accepts it. It repeats the proposal
// until there is a result.
func (p *Publisher) propose() {
	cl := p.cluster
	if p.ended {
		return
	}
	for range cl.ControlMachines {
		c := cl.ControlMachines[p.nextControl%len(cl.ControlMachines)]
		p.nextControl++
		if c.Controller == nil || c.stalled {
			continue
		}
		command := configdist.Command{Kind: configdist.Propose, ID: p.id,
			Base: c.Controller.Store().Head().Ref.Number, Changes: p.changes}
		err := cl.Propose(c, &command, p.receiveResult)
		switch {
		case err == nil:
			p.nextControl-- // the next proposal goes to the same control machine
			cl.clock.At(cl.clock.Now()+resultTimeout, p.propose)
			return
		case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrBusy), errors.Is(err, raft.ErrFailed):
		default:
			p.receiveResult(configdist.Result{ID: p.id, Err: err})
			return
		}
	}
	cl.clock.At(cl.clock.Now()+proposeRetry, p.propose)
}

// receiveResult ends the publisher, or proposes the change again if it only conflicted with another version or a
// stopped rollout.
func (p *Publisher) receiveResult(r configdist.Result) {
	switch {
	case p.ended:
	case errors.Is(r.Err, configdist.ErrDoesNotFollow), errors.Is(r.Err, configdist.ErrStopped):
		cl := p.cluster
		cl.clock.At(cl.clock.Now()+proposeRetry/10+time.Duration(cl.rng.IntN(100))*time.Millisecond, p.propose)
	default:
		p.ended = true
		p.done(r.Ref, r.Err)
	}
}
