// Package membershipcheck verifies the membership views of a cluster's gateways against the faults that were
// applied. It provides a history of processes, paths and observed views, and rules that are pure functions over the
// history. Drills of real processes and simulated runs share it.
//
//   - history.go, observation.go: the applied faults and the observed views.
//   - truth.go: facts derived from the faults, such as which gateways could receive each other's datagrams.
//   - rules.go: [Check] and the list of rules, which are in rules_*.go.
package membershipcheck

import (
	"fmt"
	"time"

	"thymebend/internal/lab/requestrecord"
)

// Names of the rules, in addition to those of experiments. To add a rule, name it here, add it to rules, and add a
// case that violates it to rules_test.go.
const (
	WronglyRemoved          = "thrown out"                // a running, reachable gateway was newly considered gone or left
	DeadHeldAlive           = "dead held alive"           // a gateway without a process was considered alive for too long
	Diverged                = "views differ"              // a view was still wrong long after the last disturbance
	FalseMajority           = "majority without one"      // a gateway without a majority reported one
	IncarnationWentBack     = "incarnation went back"     // a start or incarnation in a view decreased
	UpgradeNoticed          = "upgrade seen as an end"    // an upgraded gateway was gone, left, or a new process
	DuplicateNameUnreported = "name used twice, not said" // one of two processes with the same name did not report that
	UnknownMember           = "stranger in the view"      // a view has a member that is not a gateway of the cluster
	LeaveNotPropagated      = "leave not told"            // a gateway that left was considered gone instead
	OverBudget              = "datagrams over budget"     // a gateway sent more than the limit for membership traffic
	ExpectationNotMet       = "expectation not met"       // no view met an expectation of the scenario in time
)

// reporter records a violation of the current rule.
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
		{DuplicateNameUnreported, duplicateNameUnreported},
		{UnknownMember, unknownMember},
		{LeaveNotPropagated, leaveNotPropagated},
		{OverBudget, overBudget},
	}
}

// Names returns the names of all rules.
func Names() (out []string) {
	for _, r := range rules() {
		out = append(out, r.name)
	}
	return out
}

// Check applies all rules and returns, for each rule and gateway, the first violation.
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

// eachObservation calls each for every observation, with the preceding one of the same process or nil.
func (h *History) eachObservation(each func(was, is *Observation)) {
	last := make(map[int]*Observation)
	for i := range h.observations {
		current := &h.observations[i]
		each(last[current.PID], current)
		last[current.PID] = current
	}
}
