package tokenschedule

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// OwnerShare is one gateway's share of an endpoint's tokens. Those of an endpoint come in the order of names and add
// up to 1.
type OwnerShare struct {
	Name  string
	Share float64
}

// ShareOf is a gateway's share among the owners of an endpoint, 0 where it is none.
func ShareOf(owners []OwnerShare, name string) float64 {
	for _, one := range owners {
		if one.Name == name {
			return one.Share
		}
	}
	return 0
}

// Owner is whose a token is; empty where there are no shares.
func Owner(endpoint uint64, token uint64, owners []OwnerShare) string {
	if len(owners) == 0 {
		return ""
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], endpoint)
	offset := float64(xxh3.Hash(b[:])>>11) / (1 << 53)
	// By multiples of the golden ratio each share's tokens come evenly.
	_, position := math.Modf(offset + float64(token)*math.Phi)
	for _, one := range owners {
		if position -= one.Share; position < 0 {
			return one.Name
		}
	}
	return owners[len(owners)-1].Name
}

// Owners says which gateways own the tokens of an endpoint: a few of all that are known, by the endpoint's ID, so
// that the owners of one endpoint do not depend on any other. It remembers who was known for as long as others may
// still go by that.
type Owners struct {
	perEndpoint int
	retention   time.Duration
	sets        []gatewaySet // oldest first
}

// gatewaySet is who was known from a time on.
type gatewaySet struct {
	since  time.Duration
	names  []string                // sorted
	owners map[uint64][]OwnerShare // by endpoint, as asked for
}

// NewOwners has at most so many owners for each endpoint, one at least. hold is for how long after a change of who is
// known somebody may not have heard of it.
func NewOwners(perEndpoint int, retention time.Duration) *Owners {
	return &Owners{perEndpoint: max(perEndpoint, 1), retention: retention}
}

// SetGateways takes who may own tokens from now on.
func (o *Owners) SetGateways(now time.Duration, names []string) {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	if n := len(o.sets); n == 0 || !slices.Equal(o.sets[n-1].names, names) {
		o.sets = append(o.sets, gatewaySet{since: now, names: names, owners: make(map[uint64][]OwnerShare)})
	}
	o.expire(now)
}

// expire drops sets that were superseded so long ago that all have heard of it.
func (o *Owners) expire(now time.Duration) {
	for len(o.sets) > 1 && now-o.sets[1].since > o.retention {
		o.sets = slices.Delete(o.sets, 0, 1)
	}
}

// Ownerships are the ownerships of an endpoint that may hold now, one for each set of known gateways. A token must be
// owned in all.
func (o *Owners) Ownerships(now time.Duration, endpoint uint64) [][]OwnerShare {
	o.expire(now)
	ownerships := make([][]OwnerShare, 0, len(o.sets))
	for i := range o.sets {
		set := &o.sets[i]
		owners, ok := set.owners[endpoint]
		if !ok {
			owners = chooseOwners(endpoint, set.names, o.perEndpoint)
			set.owners[endpoint] = owners
		}
		ownerships = append(ownerships, owners)
	}
	return ownerships
}

// Forget drops what was worked out for endpoints other than those that are in slow start now.
func (o *Owners) Forget(inSlowStart func(endpoint uint64) bool) {
	for i := range o.sets {
		for id := range o.sets[i].owners {
			if !inSlowStart(id) {
				delete(o.sets[i].owners, id)
			}
		}
	}
}

// scored is a gateway with its score for an endpoint; the least is best.
type scored struct {
	name  string
	score uint64
}

func compareScored(a, b scored) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
}

// chooseOwners takes the gateways that score best for an endpoint in rendezvous hashing, with equal shares. It keeps
// only so many at a time: hundreds of endpoints may start at once in a cluster of a thousand, and to sort all names
// for each takes seconds.
func chooseOwners(endpoint uint64, names []string, maxOwners int) []OwnerShare {
	best := make([]scored, 0, maxOwners+1)
	for _, name := range names {
		s := scored{name, xxh3.HashStringSeed(name, endpoint)}
		if len(best) == maxOwners && compareScored(s, best[maxOwners-1]) > 0 {
			continue
		}
		index, _ := slices.BinarySearchFunc(best, s, compareScored)
		best = slices.Insert(best, index, s)
		best = best[:min(len(best), maxOwners)]
	}
	slices.SortFunc(best, func(a, b scored) int { return cmp.Compare(a.name, b.name) })
	owners := make([]OwnerShare, len(best))
	for i, one := range best {
		owners[i] = OwnerShare{Name: one.name, Share: 1 / float64(len(best))}
	}
	return owners
}
