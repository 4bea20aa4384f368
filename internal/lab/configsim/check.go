package configsim

import (
	"cmp"
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/content"
)

// check holds what has to be true after the troubles.
func (r *run) check() Outcome {
	cl := r.Cluster
	released := uint64(0)
	for _, c := range cl.ControlMachines {
		released = max(released, c.Controller.Store().Released().Ref.Number)
	}
	took, ok := r.until(convergeWithin, func() bool { return cl.lagging(released) == "" })
	if r.out.Converged = took; !ok {
		cl.Violate("%v after the last trouble: %s", convergeWithin, cl.lagging(released))
	}
	if r.releaseRepair(); len(cl.Violations) == 0 {
		r.out.LastChange = r.lastChange()
	}
	// some author may still be at it
	r.until(repairTimeout, func() bool {
		return r.Now()-cl.invariants.versions[cl.invariants.newest].at >= convergeWithin
	})
	if wrong := cl.lagging(cl.invariants.newest); wrong != "" && len(cl.Violations) == 0 {
		cl.Violate("%v after the newest version was committed: %s", convergeWithin, wrong)
	}
	r.summarize()
	return r.out
}

// repairTimeout is how long the authors and the operator may take, after the troubles, to have released what no
// gateway refuses.
const repairTimeout = time.Minute

// releaseRepair has what is faulty replaced until a version without it is released. Versions before it may be
// stopped, and it may be taken back with them: then it is submitted again.
func (r *run) releaseRepair() {
	cl := r.Cluster
	_, ok := r.until(repairTimeout, func() bool {
		leader := cl.Leader()
		if leader == nil {
			return false
		}
		store := leader.Controller.Store()
		if store.Released() != store.Head() {
			return false
		}
		_, refused := faultShare(store.Head().Tree, rejectedByWord)
		_, fails := faultShare(store.Head().Tree, failsAtWord)
		if !refused && !fails {
			return true
		}
		r.submit(r.repair())
		r.Run(r.Now() + 3*time.Second)
		return false
	})
	if !ok {
		cl.Violate("%v after the troubles a rollout is still under way, or what is faulty is released", repairTimeout)
	}
}

// lastChange submits one more change, and finds how long after its commitment it is in force everywhere.
func (r *run) lastChange() time.Duration {
	cl := r.Cluster
	var ref content.Ref
	var committedAt time.Duration
	cl.Submit(Change(r.size, r.rng), func(made content.Ref, err error) {
		if err != nil {
			cl.Violate("the last change: %v", err)
		}
		ref, committedAt = made, r.Now()
	})
	if _, ok := r.until(12*time.Second, func() bool { return ref.Number > 0 }); !ok {
		cl.Violate("the last change is no version after 12 s")
		return 0
	}
	if _, ok := r.until(convergeWithin, func() bool { return cl.lagging(ref.Number) == "" }); !ok {
		cl.Violate("%v after version %v was committed: %s", convergeWithin, ref, cl.lagging(ref.Number))
	}
	return r.Now() - committedAt
}

// until lets time pass until something holds.
func (r *run) until(most time.Duration, holds func() bool) (time.Duration, bool) {
	begin := r.Now()
	for !holds() {
		if r.Now()-begin >= most {
			return r.Now() - begin, false
		}
		r.Run(r.Now() + 20*time.Millisecond)
	}
	return r.Now() - begin, true
}

// summarize sums up the run, and checks what the counts show.
func (r *run) summarize() {
	cl, o := r.Cluster, &r.out
	o.Gateways, o.Versions = len(cl.Gateways), cl.invariants.newest
	bytes := uint64(0)
	for _, g := range cl.Gateways {
		bytes += g.Sent + g.Received
		o.Repeated += g.Repeated
		counts := g.Agent.Counts()
		o.Rejected += counts.Rejected
		o.Fenced += counts.Fenced
		o.Stalls += counts.Stalls
		if counts.Forked > 0 {
			cl.Violate("%s was offered another content of a version that it had", g.Name)
		}
		if counts.Mismatched > 0 {
			cl.Violate("%s has collected what was not its version %d times", g.Name, counts.Mismatched)
		}
	}
	for _, v := range cl.invariants.versions {
		if v.stoppedAt != 0 {
			o.Stops++
		}
	}
	if o.Rate = float64(bytes) / float64(len(cl.Gateways)) / r.Now().Seconds(); o.Rate > maxRate {
		cl.Violate("%.0f bytes a second and gateway, %.0f at most", o.Rate, maxRate)
	}
	if counts := cl.Leader(); counts != nil {
		r.checkLag(counts.Controller)
	}
	o.Violations = cl.Violations
}

// checkLag holds the leader's report of who lags against what gateways have in force.
func (r *run) checkLag(leader *configdist.Controller) {
	for _, l := range leader.Lag(r.Now()) {
		for _, g := range r.Cluster.Gateways {
			if g.Name == l.Gateway && g.Running.Ref.Number >= l.Newest && l.Reason != configdist.ReasonFailed {
				r.Cluster.Violate("the leader says that %s lags: %s", g.Name, cmp.Or(l.Detail, string(l.Reason)))
			}
		}
	}
}
