package configdist

import (
	"cmp"
	"slices"
	"time"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// state is the agent's acknowledgement.
func (a *Agent) state() codec.State {
	s := a.lastVerdict
	if s.InForce = a.inForce; a.servicesChanged {
		s.InForce = content.Ref{}
	}
	return s
}

// Installed takes how an Install went: it is in force, or the last good one still is.
func (a *Agent) Installed(now time.Duration, ref content.Ref, err error) {
	a.advanceClock(now)
	next := a.installing
	if next == nil || next.ref != ref {
		return
	}
	a.installing = nil
	if err != nil {
		a.reject(ref, next.attempt, err.Error())
		return
	}
	a.counts.Installed++
	a.inForce, a.tree, a.services = ref, next.tree, next.services
	a.attempt, a.lastVerdict = next.attempt, codec.State{}
	a.servicesChanged = !slices.Equal(a.services, a.cfg.Services)
	a.report()
}

// reject notes that a version was not taken; the last good one stays in force.
func (a *Agent) reject(ref content.Ref, attempt uint64, reason string) {
	a.counts.Rejected++
	a.setVerdict(codec.Rejected, ref.Number, attempt, reason)
}

// Fail is told that the gateway fails with what is in force, for a reason.
func (a *Agent) Fail(now time.Duration, reason string) {
	a.advanceClock(now)
	a.setVerdict(codec.Failed, a.inForce.Number, a.attempt, reason)
}

// Recover is told that the gateway does not fail any more.
func (a *Agent) Recover(now time.Duration) {
	a.advanceClock(now)
	if a.lastVerdict.Verdict == codec.Failed {
		a.lastVerdict = codec.State{}
		a.report()
	}
}

// setVerdict notes what the gateway came to with a version, and reports it.
func (a *Agent) setVerdict(v codec.Verdict, number, attempt uint64, reason string) {
	reason = cmp.Or(reason, noReason)
	a.lastVerdict = codec.State{Verdict: v, Version: number, Attempt: attempt,
		Reason: reason[:min(len(reason), codec.MaxReasonBytes)]}
	a.report()
}

// report tells the control machine how things stand now.
func (a *Agent) report() {
	if a.subscribed && a.transfer == nil {
		a.sends = 0
		a.send()
	}
}
