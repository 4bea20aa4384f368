package configsim

import (
	"errors"
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/content"
	"thymebend/internal/raft"
)

const (
	proposeRetry  = 500 * time.Millisecond // where no control machine takes the proposal
	resultTimeout = 2 * time.Second        // then the same is proposed again, under the same ID
)

// Publisher proposes one change until it is a version, or is refused for what it is.
type Publisher struct {
	cluster     *Cluster
	changes     []content.Change
	id          uint64
	nextControl int // control machine asked next
	done        func(ref content.Ref, err error)
	ended       bool
}

// Submit has a change proposed, first to a control machine that is drawn. done is told the version, or why it was
// refused.
func (cl *Cluster) Submit(changes []content.Change, done func(ref content.Ref, err error)) {
	p := &Publisher{cluster: cl, changes: changes, nextControl: cl.rng.IntN(len(cl.ControlMachines)), done: done}
	cl.nextID++
	p.id = cl.nextID
	p.propose()
}

// propose proposes to one control machine after another until one takes it.
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
			p.nextControl-- // the same one next time
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
