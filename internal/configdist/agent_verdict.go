package configdist

import (
	"cmp"
	"slices"
	"time"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// state returns the agent's acknowledgement: the version in force and the last rejection or failure. While the
// configuration in force is for other services than the gateway's, no version counts as in force.
func (a *Agent) state() codec.State {
	s := a.lastVerdict
	if s.InForce = a.inForce; a.servicesChanged {
		s.InForce = content.Ref{}
	}
	return s
}

// Installed reports the outcome of an Install: without an error it is in force now; with one, the gateway rejected it
// and the last good configuration is still in force.
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

// reject records and reports that a version was rejected; the last good one stays in force.
func (a *Agent) reject(ref content.Ref, attempt uint64, reason string) {
	a.counts.Rejected++
	a.setVerdict(codec.Rejected, ref.Number, attempt, reason)
}

// Fail reports to the agent that the gateway does not work with the version in force, and the reason.
func (a *Agent) Fail(now time.Duration, reason string) {
	a.advanceClock(now)
	a.setVerdict(codec.Failed, a.inForce.Number, a.attempt, reason)
}

// Recover reports to the agent that the gateway works again with the version in force.
func (a *Agent) Recover(now time.Duration) {
	a.advanceClock(now)
	if a.lastVerdict.Verdict == codec.Failed {
		a.lastVerdict = codec.State{}
		a.report()
	}
}

// setVerdict records that the gateway rejected a version or failed with it, and reports that.
func (a *Agent) setVerdict(v codec.Verdict, number, attempt uint64, reason string) {
	reason = cmp.Or(reason, noReason)
	a.lastVerdict = codec.State{Verdict: v, Version: number, Attempt: attempt,
		Reason: reason[:min(len(reason), codec.MaxReasonBytes)]}
	a.report()
}

// report sends the current state to the control machine, unless a session is being set up or a transfer is in
// progress.
func (a *Agent) report() {
	if a.subscribed && a.transfer == nil {
		a.sends = 0
		a.send()
	}
}
