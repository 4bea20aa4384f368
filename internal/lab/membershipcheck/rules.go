// Package membershipcheck checks what the gateways of a cluster believed of each other against what was done to them: a
// history of processes and paths, observations of memberships, and rules that are pure functions over both. Drills of
// real processes and simulated runs share it.
//
//   - history.go, observation.go: what was done, and what gateways believed.
//   - truth.go: what follows from what was done, such as who could hear whom.
//   - rules.go: [Check] and the list of rules, which are in rules_*.go.
package membershipcheck

import (
	"fmt"
	"time"

	"thymebend/internal/lab/requestrecord"
)

// The rules beside those of experiments. To add one: name it here, add it to rules, plant what breaks it in
// rules_test.go.
const (
	WronglyRemoved      = "thrown out"                // a gateway that ran and could be heard was newly held gone
	DeadHeldAlive       = "dead held alive"           // a gateway without a process was held alive for too long
	Diverged            = "views differ"              // long after the last disturbance a gateway believed no truth
	FalseMajority       = "majority without one"      // a component that is no majority said that it is one
	IncarnationWentBack = "incarnation went back"     // what a process holds of a gateway became older
	UpgradeNoticed      = "upgrade seen as an end"    // an upgraded gateway was held gone, left, or another process
	DuplicateNameUnsaid = "name used twice, not said" // neither of two processes under one name said so
	UnknownMember       = "stranger in the view"      // a member is no gateway of the cluster
	LeaveNotSpread      = "leave not told"            // a gateway that was told to end is held gone, not left
	OverBudget          = "datagrams over budget"     // a gateway sent more than membership may cost
	ExpectationNotMet   = "expectation not met"       // what the scenario expects was not seen in its time
)

// reporter notes a broken rule.
type reporter func(at time.Duration, gateway int, format string, args ...any)

type rule struct {
	name  string
	check func(h *History, report reporter)
}

func rules() []rule {
	return []rule{
		{WronglyRemoved, wronglyRemoved},
		{DeadHeldAlive, deadHeldAlive},
		{Diverged, diverged},
		{FalseMajority, falseMajority},
		{IncarnationWentBack, incarnationWentBack},
		{UpgradeNoticed, upgradeNoticed},
		{DuplicateNameUnsaid, duplicateNameUnsaid},
		{UnknownMember, unknownMember},
		{LeaveNotSpread, leaveNotSpread},
		{OverBudget, overBudget},
	}
}

// Names lists the rules.
func Names() (out []string) {
	for _, r := range rules() {
		out = append(out, r.name)
	}
	return out
}

// Check returns every broken rule, once for each gateway: the first moment counts.
func Check(h *History) []requestrecord.Finding {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []requestrecord.Finding
	for _, r := range rules() {
		reported := make(map[int]bool)
		r.check(h, func(at time.Duration, gateway int, format string, args ...any) {
			if reported[gateway] {
				return
			}
			reported[gateway] = true
			detail := fmt.Sprintf("at %.1f s ", at.Seconds()) + fmt.Sprintf(format, args...)
			found = append(found, requestrecord.Finding{Rule: r.name, ID: h.names[gateway], At: at, Detail: detail})
		})
	}
	return found
}

// eachObservation calls each with every observation of a process and the one before it, nil for the first.
func (h *History) eachObservation(each func(was, is *Observation)) {
	last := make(map[int]*Observation)
	for i := range h.observations {
		is := &h.observations[i]
		each(last[is.PID], is)
		last[is.PID] = is
	}
}
