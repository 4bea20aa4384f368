package tokenschedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Owners says which gateways own the turns of a host: a few of all that are known, by the host's name, so that the owners of
// one host do not depend on any other. It remembers who was known for as long as others may still go by that.
type Owners struct {
	most int
	hold time.Duration
	sets []known // oldest first
}

type known struct {
	since   time.Duration
	names   []string          // sorted
	divided map[uint64][]Part // by host, as asked for
}

// NewOwners has at most so many owners a host. hold is for how long after a change of who is known somebody may not have
// heard of it.
func NewOwners(most int, hold time.Duration) *Owners { return &Owners{most: max(most, 1), hold: hold} }

// Know takes who may own turns from now on.
func (o *Owners) Know(now time.Duration, names []string) {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	if n := len(o.sets); n == 0 || !slices.Equal(o.sets[n-1].names, names) {
		o.sets = append(o.sets, known{since: now, names: names, divided: make(map[uint64][]Part)})
	}
	o.expire(now)
}

// expire drops what was superseded longer ago than anybody may not have heard of.
func (o *Owners) expire(now time.Duration) {
	for len(o.sets) > 1 && now-o.sets[1].since > o.hold {
		o.sets = slices.Delete(o.sets, 0, 1)
	}
}

// Divisions are those that may hold now for a host, one for each set of known gateways. A turn must be owned in all.
func (o *Owners) Divisions(now time.Duration, host uint64) [][]Part {
	o.expire(now)
	out := make([][]Part, 0, len(o.sets))
	for i := range o.sets {
		k := &o.sets[i]
		parts, ok := k.divided[host]
		if !ok {
			parts = divide(host, k.names, o.most)
			k.divided[host] = parts
		}
		out = append(out, parts)
	}
	return out
}

// Forget drops what was worked out for hosts other than those that are cold now.
func (o *Owners) Forget(cold func(host uint64) bool) {
	for i := range o.sets {
		for id := range o.sets[i].divided {
			if !cold(id) {
				delete(o.sets[i].divided, id)
			}
		}
	}
}

// Share is a gateway's part in a division.
func Share(parts []Part, name string) float64 {
	for _, p := range parts {
		if p.Name == name {
			return p.Share
		}
	}
	return 0
}

// scored is a gateway with its score for a host; the least is best.
type scored struct {
	name  string
	score uint64
}

func compareScored(a, b scored) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
}

// divide takes the gateways that score best for a host, with equal parts. It keeps only so many at a time: hundreds of hosts
// may start at once in a fleet of a thousand, and to sort all names for each takes seconds.
func divide(host uint64, names []string, most int) []Part {
	best := make([]scored, 0, most+1)
	for _, name := range names {
		s := scored{name, xxh3.HashStringSeed(name, host)}
		if len(best) == most && compareScored(s, best[most-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, compareScored)
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), most)]
	}
	slices.SortFunc(best, func(a, b scored) int { return cmp.Compare(a.name, b.name) })
	out := make([]Part, len(best))
	for i, u := range best {
		out[i] = Part{Name: u.name, Share: 1 / float64(len(best))}
	}
	return out
}
