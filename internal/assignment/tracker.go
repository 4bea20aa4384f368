package assignment

import (
	"cmp"
	"slices"
	"time"
)

// Stage says what the assignment in force rests on.
type Stage uint8

// The stages.
const (
	Waiting  Stage = iota // no membership has settled yet: the assignment of the start, if there is one
	Settled               // that of the settled membership
	Retained              // that of the last settled membership, while the present one is not settled
	Changing              // one settled set of gateways gives way to another: no more than both allow
)

// String names a stage as operators read it.
func (s Stage) String() string {
	return [...]string{"waiting", "settled", "kept", "changing"}[min(s, Changing)]
}

// Observation is what membership and discovery say at a moment.
type Observation struct {
	Alive     []Gateway  // the own one included
	Settled   bool       // the membership is settled, and that of a majority
	Endpoints []Endpoint // that may get something and are not in slow start
}

// Tracker holds the assignment that a gateway goes by: that of the last settled membership, and for a while after it
// changed what both this and the one before give. A membership that is not settled changes nothing but the endpoints.
type Tracker struct {
	rule        Rule
	name        string
	changeDelay time.Duration
	changedAt   time.Duration // when the gateways in force settled
	gateways    []Gateway     // in force; nil before the first
	former      []Gateway     // in force before these, while they count; else nil
	everSettled bool
	endpoints   []Endpoint
	assigned    []Assigned
	load        float64
	stage       Stage
}

// NewTracker begins with the assignment among some gateways that all know from their files, or with none. changeDelay
// is how long a change of the membership may take to reach the last gateway.
func NewTracker(rule Rule, name string, changeDelay time.Duration, start []Gateway) *Tracker {
	return &Tracker{rule: rule, name: name, changeDelay: changeDelay, load: 1, gateways: start}
}

// Assigned is what this gateway uses, by endpoint; nothing where there is no assignment yet. It must not be changed.
func (t *Tracker) Assigned() []Assigned { return t.assigned }

// Stage is what the assignment in force rests on.
func (t *Tracker) Stage() Stage { return t.stage }

// Gateways are those among which endpoints are assigned, as they were when they settled. They must not be changed.
func (t *Tracker) Gateways() []Gateway { return t.gateways }

// RelativeLoad is that of the assignment in force; see [Assignment.RelativeLoad].
func (t *Tracker) RelativeLoad() float64 { return t.load }

// Due is when the assignment changes by time alone; ok is false if it does not.
func (t *Tracker) Due() (at time.Duration, ok bool) {
	return t.changedAt + t.changeDelay, t.former != nil
}

// Observe takes what is known now and reports whether what this gateway uses has changed. Its errors are those of
// [Compute], and change nothing.
func (t *Tracker) Observe(at time.Duration, seen Observation) (changed bool, err error) {
	next := *t
	if seen.Settled && !slices.Equal(t.gateways, seen.Alive) {
		next.former, next.gateways, next.changedAt = t.gateways, slices.Clone(seen.Alive), at
	}
	next.everSettled = t.everSettled || seen.Settled
	if next.former != nil && at-next.changedAt >= t.changeDelay {
		next.former = nil
	}
	next.stage = next.nextStage(seen.Settled)
	same := slices.Equal(t.gateways, next.gateways) && (t.former == nil) == (next.former == nil) &&
		slices.Equal(t.endpoints, seen.Endpoints)
	if next.gateways == nil || same {
		*t = next
		return false, nil
	}
	next.endpoints = slices.Clone(seen.Endpoints)
	if err := next.reassign(); err != nil {
		return false, err
	}
	changed = !slices.Equal(t.assigned, next.assigned)
	*t = next
	return changed, nil
}

func (t *Tracker) nextStage(settled bool) Stage {
	switch {
	case !t.everSettled:
		return Waiting
	case t.former != nil:
		return Changing
	case settled:
		return Settled
	default:
		return Retained
	}
}

// reassign works out what this gateway uses.
func (t *Tracker) reassign() error {
	present, err := Compute(t.rule, t.gateways, t.endpoints)
	if err != nil {
		return err
	}
	t.assigned, t.load = present.Of(t.name), present.RelativeLoad()
	if t.former == nil {
		return nil
	}
	before, err := Compute(t.rule, t.former, t.endpoints)
	if err != nil {
		return err
	}
	// Who is in one assignment alone goes by that one: a newcomer has no former share to wait for.
	if both := Intersect(before.Of(t.name), t.assigned); len(both) > 0 {
		t.assigned = both
	}
	return nil
}

// Spares are the endpoints that this gateway does not use, in the order in which it goes to them where those that it
// uses fail or are full: best score first.
func (t *Tracker) Spares(zone int) []uint64 {
	if len(t.endpoints) <= len(t.assigned) {
		return nil
	}
	all := t.rule.pick(Gateway{Name: t.name, Zone: zone}, t.endpoints, len(t.endpoints))
	spares := make([]uint64, 0, len(all)-len(t.assigned))
	for _, p := range all {
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
