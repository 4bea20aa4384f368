package configdist

import (
	"fmt"

	"thymebend/internal/configdist/codec"
)

// stageTally counts the affected gateways of a stage by their state.
type stageTally struct {
	live        int            // that failed, or are not silent
	acked       int            // that acknowledged the version as in force
	failed      int            // that rejected the version or fail with it
	firstFailed *gatewayStatus // first in the order of names; nil if none failed
	zone        string         // zone of the canary
}

// reached reports whether at least a share of the live gateways have the version in force.
func (t *stageTally) reached(share float64) bool { return float64(t.acked) >= share*float64(t.live) }

// tally counts the gateways that belong to the rollout's stage and are affected by the change.
func tally(gateways []gatewayStatus, r Rollout) (t stageTally) {
	for i := range gateways {
		g := &gateways[i]
		if g.Gateway == r.Canary {
			t.zone = g.Zone
		}
		if !g.Affected || !r.includes(g) {
			continue
		}
		s := &g.State
		rejected := s.Verdict == codec.Rejected && s.Version == r.Version && s.Attempt == r.Attempt
		failed := s.Verdict == codec.Failed && s.Version == r.Version
		switch {
		case rejected || failed:
			if t.failed++; t.firstFailed == nil {
				t.firstFailed = g
			}
		case g.Silent:
			continue
		case s.InForce.Number >= r.Version:
			t.acked++
		}
		t.live++
	}
	return t
}

// includes reports whether the rollout's stage offers the version to a gateway.
func (r *Rollout) includes(g *gatewayStatus) bool {
	switch r.Stage {
	case StageCanary:
		return g.Gateway == r.Canary
	case StageZone:
		return g.Zone == r.Zone || g.Gateway == r.Canary
	}
	return true
}

// failure reports whether a rollout must stop, and why. In the canary stage it must stop if the canary failed; in a
// later stage, if the failed gateways are more than the given share of the gateways that answered.
func (t *stageTally) failure(stage Stage, share float64) (reason string, stop bool) {
	if t.failed == 0 {
		return "", false
	}
	answered := t.failed + t.acked
	if stage != StageCanary && float64(t.failed) <= share*float64(answered) {
		return "", false
	}
	if stage == StageCanary {
		return fmt.Sprintf(reasonCanaryFailed, t.firstFailed.Gateway, t.firstFailed.State.Reason), true
	}
	return fmt.Sprintf(reasonTooManyFailed, t.failed, answered, t.firstFailed.Gateway, t.firstFailed.State.Reason), true
}
