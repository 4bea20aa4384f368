package configsim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/content"
	"thymebend/internal/raft"
)

// How authors and operators go about.
const (
	askAgainAfter   = 500 * time.Millisecond // where no control machine takes the proposal
	answerExpected  = 2 * time.Second        // then the same is proposed again, under the same ID
	operatorLooks   = 250 * time.Millisecond
	leastBodySpread = 40
)

// Size is what a configuration holds.
type Size struct{ Services, Routes, Tenants int }

// ServiceName names a service of a generated configuration.
func ServiceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// Bootstrap words a configuration of a size as proposals that fit into the log, in their order.
func Bootstrap(size Size, rng *rand.Rand) (proposals [][]content.Change) {
	var list []content.Change
	bytes := 0
	put := func(e content.Entry) {
		list = append(list, content.Change{Entry: e})
		if bytes += len(e.Service) + len(e.Name) + len(e.Body) + 8; bytes > content.MaxBytes/2 {
			proposals = append(proposals, list)
			list, bytes = nil, 0
		}
	}
	for i := range size.Services {
		put(content.Entry{Kind: content.Service, Service: ServiceName(i), Name: ServiceName(i), Body: body(rng)})
	}
	for i := range size.Routes {
		put(content.Entry{Kind: content.Route, Service: ServiceName(i % size.Services), Name: fmt.Sprintf("route-%05d", i), Body: body(rng)})
	}
	for i := range size.Tenants {
		put(content.Entry{Kind: content.Tenant, Service: ServiceName(i % size.Services), Name: fmt.Sprintf("tenant-%05d", i), Body: body(rng)})
	}
	return append(proposals, list)
}

func body(rng *rand.Rand) string {
	return fmt.Sprintf("limit=%d burst=%d timeout_ms=%d", rng.IntN(1000), rng.IntN(100), leastBodySpread+rng.IntN(1000))
}

// Change draws an ordinary change: a tenant's or a route's body.
func Change(size Size, rng *rand.Rand) []content.Change {
	e := content.Entry{Kind: content.Tenant, Name: fmt.Sprintf("tenant-%05d", rng.IntN(max(1, size.Tenants)))}
	number := 0
	if size.Tenants == 0 || rng.IntN(4) == 0 {
		number = rng.IntN(size.Routes)
		e.Kind, e.Name = content.Route, fmt.Sprintf("route-%05d", number)
	} else {
		_, _ = fmt.Sscanf(e.Name, "tenant-%d", &number)
	}
	e.Service, e.Body = ServiceName(number%size.Services), body(rng)
	return []content.Change{{Entry: e}}
}

// Author proposes one change until it is a version, or is refused for what it is.
type Author struct {
	fleet   *Fleet
	changes []content.Change
	id      uint64
	at      int // control machine asked next
	done    func(ref content.Ref, err error)
	ended   bool
}

// Submit has a change proposed, first to a control machine that is drawn. done is told the version, or why it was refused.
func (f *Fleet) Submit(changes []content.Change, done func(ref content.Ref, err error)) {
	a := &Author{fleet: f, changes: changes, at: f.rng.IntN(len(f.Controls)), done: done}
	f.nextID++
	a.id = f.nextID
	a.ask()
}

// ask proposes to one control machine after another until one takes it.
func (a *Author) ask() {
	f := a.fleet
	if a.ended {
		return
	}
	for range f.Controls {
		c := f.Controls[a.at%len(f.Controls)]
		a.at++
		if c.Controller == nil || c.stalled {
			continue
		}
		command := configdist.Command{Kind: configdist.Propose, ID: a.id, Base: c.Controller.Store().Head().Ref.Number, Changes: a.changes}
		err := f.Propose(c, &command, a.answer)
		switch {
		case err == nil:
			a.at-- // the same one next time
			f.clock.At(f.clock.Now()+answerExpected, a.ask)
			return
		case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrBusy), errors.Is(err, raft.ErrFailed):
		default:
			a.answer(configdist.Result{ID: a.id, Err: err})
			return
		}
	}
	f.clock.At(f.clock.Now()+askAgainAfter, a.ask)
}

func (a *Author) answer(r configdist.Result) {
	switch {
	case a.ended:
	case errors.Is(r.Err, configdist.ErrDoesNotFollow), errors.Is(r.Err, configdist.ErrStopped):
		f := a.fleet
		f.clock.At(f.clock.Now()+askAgainAfter/10+time.Duration(f.rng.IntN(100))*time.Millisecond, a.ask)
	default:
		a.ended = true
		a.done(r.Ref, r.Err)
	}
}

// Operate has an operator look after stopped rollouts: after a while some are resumed once and the others taken back.
func (f *Fleet) Operate(wait time.Duration, resumeShare float64) {
	var handled uint64 // attempt
	var look func()
	look = func() {
		f.clock.At(f.clock.Now()+operatorLooks, look)
		leader := f.Leader()
		if leader == nil {
			return
		}
		store := leader.Controller.Store()
		r := store.Rollout()
		if r.Stage != configdist.StageStopped || r.Attempt == handled {
			return
		}
		handled = r.Attempt
		resume := f.rng.Float64() < resumeShare
		f.clock.At(f.clock.Now()+wait, func() { f.settle(r, resume) })
	}
	look()
}

// settle resumes a stopped rollout or goes back to what is released, with whoever leads now; again, until it is done.
func (f *Fleet) settle(r configdist.Rollout, resume bool) {
	again := func() { f.clock.At(f.clock.Now()+askAgainAfter, func() { f.settle(r, resume) }) }
	leader := f.Leader()
	if leader == nil {
		again()
		return
	}
	store := leader.Controller.Store()
	if now := store.Rollout(); now.Stage != configdist.StageStopped || now.Attempt != r.Attempt {
		return
	}
	command := configdist.Command{Kind: configdist.Revert, Version: store.Released().Ref.Number}
	if resume {
		command = configdist.Command{Kind: configdist.Resume, Version: r.Version}
	}
	_ = f.Propose(leader, &command, nil) // whether it came shows in the rollout
	again()
}
