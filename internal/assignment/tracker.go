package assignment

import (
	"cmp"
	"slices"
	"time"
)

// Stage says which membership the assignment in force is based on.
type Stage uint8

// Stages of a [Tracker].
const (
	Waiting   Stage = iota // the configured gateways, if any: no membership has converged yet
	Converged              // the present membership, which has converged
	Retained               // the last converged membership: the present one has not converged
	Changing               // the last two converged memberships: during a change only what both allow is used
)

// String returns the name of the stage that operators see.
func (s Stage) String() string {
	return [...]string{"waiting", "settled", "kept", "changing"}[min(s, Changing)]
}

// Observation is the state of membership and discovery at one moment.
type Observation struct {
	Alive     []Gateway  // including this gateway
	Converged bool       // the membership has converged and includes a majority
	Endpoints []Endpoint // that may receive requests and are not in slow start
}

// Tracker holds the assignment that a gateway uses: that of the last converged membership or, for changeDelay after a
// change of it, what both the new and the previous assignment allow. While the membership has not converged, only
// changes of the endpoints take effect.
type Tracker struct {
	rule          Rule
	name          string
	changeDelay   time.Duration
	changedAt     time.Duration // when the gateways in force converged
	gateways      []Gateway     // in force; nil before the first convergence, if none were configured
	previous      []Gateway     // in force before gateways, until changeDelay has passed; else nil
	everConverged bool
	endpoints     []Endpoint
	assigned      []Assigned
	load          float64
	stage         Stage
}

// NewTracker returns the tracker of the gateway called name. start holds the gateways that the configuration of all
// gateways names; endpoints are assigned among them until a membership converges. With nil there is no assignment
// until then. changeDelay is the longest time that a change of the membership takes to reach the last gateway.
func NewTracker(rule Rule, name string, changeDelay time.Duration, start []Gateway) *Tracker {
	return &Tracker{rule: rule, name: name, changeDelay: changeDelay, load: 1, gateways: start}
}

// Assigned returns the endpoints that this gateway uses, sorted by endpoint ID, or nil if there is no assignment yet.
// The caller must not modify the result.
func (t *Tracker) Assigned() []Assigned { return t.assigned }

// Stage returns the stage of the assignment in force.
func (t *Tracker) Stage() Stage { return t.stage }

// Gateways returns the gateways among which endpoints are assigned, as they were when they converged. The caller must
// not modify the result.
func (t *Tracker) Gateways() []Gateway { return t.gateways }

// RelativeLoad returns the relative load of the assignment in force; see [Assignment.RelativeLoad].
func (t *Tracker) RelativeLoad() float64 { return t.load }

// Due returns the time at which a change of the membership ends because changeDelay has passed: the first call of
// Observe from then on switches to the new assignment alone. ok is false if no change is in progress.
func (t *Tracker) Due() (at time.Duration, ok bool) {
	return t.changedAt + t.changeDelay, t.previous != nil
}

// Observe updates the assignment from an observation and reports whether the endpoints of this gateway, their weights
// or their shares have changed. It returns the errors of [Compute]; after an error the tracker is unchanged.
func (t *Tracker) Observe(at time.Duration, observation Observation) (changed bool, err error) {
	next := *t
	if observation.Converged && !slices.Equal(t.gateways, observation.Alive) {
		next.previous, next.gateways, next.changedAt = t.gateways, slices.Clone(observation.Alive), at
	}
	next.everConverged = t.everConverged || observation.Converged
	if next.previous != nil && at-next.changedAt >= t.changeDelay {
		next.previous = nil
	}
	next.stage = next.nextStage(observation.Converged)
	unchanged := slices.Equal(t.gateways, next.gateways) && (t.previous == nil) == (next.previous == nil) &&
		slices.Equal(t.endpoints, observation.Endpoints)
	if next.gateways == nil || unchanged {
		*t = next
		return false, nil
	}
	next.endpoints = slices.Clone(observation.Endpoints)
	if err := next.reassign(); err != nil {
		return false, err
	}
	changed = !slices.Equal(t.assigned, next.assigned)
	*t = next
	return changed, nil
}

func (t *Tracker) nextStage(converged bool) Stage {
	switch {
	case !t.everConverged:
		return Waiting
	case t.previous != nil:
		return Changing
	case converged:
		return Converged
	default:
		return Retained
	}
}

// reassign computes the endpoints that this gateway uses.
func (t *Tracker) reassign() error {
	current, err := Compute(t.rule, t.gateways, t.endpoints)
	if err != nil {
		return err
	}
	t.assigned, t.load = current.Of(t.name), current.RelativeLoad()
	if t.previous == nil {
		return nil
	}
	previous, err := Compute(t.rule, t.previous, t.endpoints)
	if err != nil {
		return err
	}
	// A gateway that is in only one of the assignments uses that one: a new gateway has no previous share.
	if intersection := Intersect(previous.Of(t.name), t.assigned); len(intersection) > 0 {
		t.assigned = intersection
	}
	return nil
}

// Spares returns the endpoints outside the subset of this gateway, which is in the given zone, sorted by the gateway's
// score for them, best first. The gateway uses them in this order when the endpoints of its subset fail or are full.
func (t *Tracker) Spares(zone int) []uint64 {
	if len(t.endpoints) <= len(t.assigned) {
		return nil
	}
	ranked := t.rule.pick(Gateway{Name: t.name, Zone: zone}, t.endpoints, len(t.endpoints))
	spares := make([]uint64, 0, len(ranked)-len(t.assigned))
	for _, p := range ranked {
		id := t.endpoints[p.endpoint].ID
		_, used := slices.BinarySearchFunc(t.assigned, id, func(a Assigned, id uint64) int {
			return cmp.Compare(a.Endpoint, id)
		})
		if !used {
			spares = append(spares, id)
		}
	}
	return spares
}
