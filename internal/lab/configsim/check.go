package configsim

import (
	"cmp"
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/content"
)

// check verifies that the cluster converges once all faults have ended, and returns the outcome of the run.
func (r *run) check() Outcome {
	cl := r.Cluster
	released := uint64(0)
	for _, c := range cl.ControlMachines {
		released = max(released, c.Controller.Store().Released().Ref.Number)
	}
	elapsed, ok := r.waitUntil(convergenceLimit, func() bool { return cl.laggingGateway(released) == "" })
	if r.out.Converged = elapsed; !ok {
		cl.ReportViolation("%v after the last trouble: %s", convergenceLimit, cl.laggingGateway(released))
	}
	if r.releaseRepair(); len(cl.Violations) == 0 {
		r.out.LastChange = r.lastChange()
	}
	// authors may still be submitting changes, so wait until the newest version is convergenceLimit old
	r.waitUntil(repairTimeout, func() bool {
		return r.Now()-cl.invariants.versions[cl.invariants.newest].at >= convergenceLimit
	})
	if lagging := cl.laggingGateway(cl.invariants.newest); lagging != "" && len(cl.Violations) == 0 {
		cl.ReportViolation("%v after the newest version was committed: %s", convergenceLimit, lagging)
	}
	r.summarize()
	return r.out
}

// repairTimeout is the maximum time from the end of the faults until the released version has no faulty route, and no
// gateway rejects it or fails with it. Until then authors submit repairs and the operator resumes or reverts
// stopped rollouts.
const repairTimeout = time.Minute

// releaseRepair submits changes that replace the faulty routes until a version without them is released. The rollout
// of an earlier version may be stopped and reverted, which also reverts the repair; then the repair is submitted
// again.
func (r *run) releaseRepair() {
	cl := r.Cluster
	_, ok := r.waitUntil(repairTimeout, func() bool {
		leader := cl.Leader()
		if leader == nil {
			return false
		}
		store := leader.Controller.Store()
		if store.Released() != store.Head() {
			return false
		}
		_, rejects := faultPercent(store.Head().Tree, rejectPrefix)
		_, fails := faultPercent(store.Head().Tree, failPrefix)
		if !rejects && !fails {
			return true
		}
		r.submit(r.repairChanges())
		r.Run(r.Now() + 3*time.Second)
		return false
	})
	if !ok {
		cl.ReportViolation("%v after the troubles a rollout is still under way, or what is faulty is released",
			repairTimeout)
	}
}

// lastChange submits one more change, and returns the time from its commit until it is in force at all gateways.
func (r *run) lastChange() time.Duration {
	cl := r.Cluster
	var ref content.Ref
	var committedAt time.Duration
	cl.Submit(DrawChange(r.size, r.rng), func(committed content.Ref, err error) {
		if err != nil {
			cl.ReportViolation("the last change: %v", err)
		}
		ref, committedAt = committed, r.Now()
	})
	if _, ok := r.waitUntil(12*time.Second, func() bool { return ref.Number > 0 }); !ok {
		cl.ReportViolation("the last change is no version after 12 s")
		return 0
	}
	if _, ok := r.waitUntil(convergenceLimit, func() bool { return cl.laggingGateway(ref.Number) == "" }); !ok {
		cl.ReportViolation("%v after version %v was committed: %s", convergenceLimit, ref,
			cl.laggingGateway(ref.Number))
	}
	return r.Now() - committedAt
}

// waitUntil advances time until a condition holds or the timeout has passed. It returns the time that passed and
// whether the condition holds.
func (r *run) waitUntil(timeout time.Duration, condition func() bool) (time.Duration, bool) {
	startedAt := r.Now()
	for !condition() {
		if r.Now()-startedAt >= timeout {
			return r.Now() - startedAt, false
		}
		r.Run(r.Now() + 20*time.Millisecond)
	}
	return r.Now() - startedAt, true
}

// summarize fills in the outcome of the run, and checks the agents' counts and the traffic.
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
			cl.ReportViolation("%s was offered another content of a version that it had", g.Name)
		}
		if counts.Mismatched > 0 {
			cl.ReportViolation("%s has collected what was not its version %d times", g.Name, counts.Mismatched)
		}
	}
	for _, v := range cl.invariants.versions {
		if v.stoppedAt != 0 {
			o.Stops++
		}
	}
	if o.Rate = float64(bytes) / float64(len(cl.Gateways)) / r.Now().Seconds(); o.Rate > maxRate {
		cl.ReportViolation("%.0f bytes a second and gateway, %.0f at most", o.Rate, maxRate)
	}
	if leader := cl.Leader(); leader != nil {
		r.checkLag(leader.Controller)
	}
	o.Violations = cl.Violations
}

// checkLag verifies the leader's list of lagging gateways. It reports a listed gateway that has the newest version in
// force, unless it is listed because it fails with that version.
func (r *run) checkLag(leader *configdist.Controller) {
	for _, l := range leader.LaggingGateways(r.Now()) {
		for _, g := range r.Cluster.Gateways {
			if g.Name == l.Gateway && g.Running.Ref.Number >= l.Newest && l.Reason != configdist.ReasonFailed {
				r.Cluster.ReportViolation("the leader says that %s lags: %s", g.Name,
					cmp.Or(l.Detail, string(l.Reason)))
			}
		}
	}
}
