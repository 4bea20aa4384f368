package assignment

import (
	"cmp"
	"slices"
	"time"
)

// Stage says on what ground the division in force stands.
type Stage uint8

// Waiting is before any settled view: the division of the start, if there is one. Settled is the view's own. Kept is the last settled one while the
// view is not settled. Changing is while one settled set of gateways gives way to another.
const (
	Waiting Stage = iota
	Settled
	Retained
	Changing
)

// String words a stage for operators.
func (s Stage) String() string {
	return [...]string{"waiting", "settled", "kept", "changing"}[min(s, Changing)]
}

// Observation is what the view and the list tell at a moment.
type Observation struct {
	Alive     []Gateway  // the own one included
	Settled   bool       // the view is, and is that of a majority
	Endpoints []Endpoint // that may get something and are not cold
}

// Tracker holds the division that a gateway goes by: that of the last settled view, and for a while after it changed what both
// this and the one before give. A view that is not settled changes nothing but the hosts.
type Tracker struct {
	rule  Rule
	name  string
	news  time.Duration
	since time.Duration // the gateways in force settled
	now   []Gateway     // in force; nil before the first
	was   []Gateway     // before these, while they count; else nil
	told  bool          // a view has settled
	hosts []Endpoint
	uses  []Assigned
	crowd float64
	stage Stage
}

// NewTracker begins with the division among some gateways that all know from their files, or with none. news is how long a
// change of the view may take to reach the last gateway.
func NewTracker(rule Rule, name string, news time.Duration, start []Gateway) *Tracker {
	return &Tracker{rule: rule, name: name, news: news, crowd: 1, now: start}
}

// Assigned is what this gateway uses, by host; nothing where there is no division yet. It must not be changed.
func (k *Tracker) Assigned() []Assigned { return k.uses }

// Stage tells why.
func (k *Tracker) Stage() Stage { return k.stage }

// Gateways are those whose division is in force, as they were when it settled. They must not be changed.
func (k *Tracker) Gateways() []Gateway { return k.now }

// RelativeLoad is the largest load of a host for its capacity over the mean, in the division in force.
func (k *Tracker) RelativeLoad() float64 { return k.crowd }

// Due is when the division changes by time alone; ok is false if it does not.
func (k *Tracker) Due() (at time.Duration, ok bool) { return k.since + k.news, k.was != nil }

// Observe takes what is known now and reports whether what this gateway uses has changed. An error changes nothing.
func (k *Tracker) Observe(at time.Duration, l Observation) (changed bool, err error) {
	next := *k
	if l.Settled && !slices.Equal(k.now, l.Alive) {
		next.was, next.now, next.since = k.now, slices.Clone(l.Alive), at
	}
	next.told = k.told || l.Settled
	if next.was != nil && at-next.since >= k.news {
		next.was = nil
	}
	switch {
	case !next.told:
		next.stage = Waiting
	case next.was != nil:
		next.stage = Changing
	case l.Settled:
		next.stage = Settled
	default:
		next.stage = Retained
	}
	same := slices.Equal(k.now, next.now) && (k.was == nil) == (next.was == nil) && slices.Equal(k.hosts, l.Endpoints)
	if next.now == nil || same {
		*k = next
		return false, nil
	}
	next.hosts = slices.Clone(l.Endpoints)
	d, err := Compute(k.rule, next.now, l.Endpoints)
	if err != nil {
		return false, err
	}
	next.uses, next.crowd = d.Of(k.name), d.Crowd()
	if next.was != nil {
		before, err := Compute(k.rule, next.was, l.Endpoints)
		if err != nil {
			return false, err
		}
		// Who is in one division alone goes by that one: a newcomer has no former part to wait for.
		if both := Both(before.Of(k.name), next.uses); len(both) > 0 {
			next.uses = both
		}
	}
	changed = !slices.Equal(k.uses, next.uses)
	*k = next
	return changed, nil
}

// Spares are the hosts that this gateway does not use, in the order in which it goes to them where those that it uses fail
// or are full: best score first.
func (k *Tracker) Spares(zone int) []uint64 {
	if len(k.hosts) <= len(k.uses) {
		return nil
	}
	all := k.rule.pick(Gateway{Name: k.name, Zone: zone}, k.hosts, len(k.hosts))
	out := make([]uint64, 0, len(all)-len(k.uses))
	for _, p := range all {
		id := k.hosts[p.host].ID
		if _, uses := slices.BinarySearchFunc(k.uses, id, func(u Assigned, id uint64) int { return cmp.Compare(u.Endpoint, id) }); !uses {
			out = append(out, id)
		}
	}
	return out
}
