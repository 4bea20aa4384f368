package tokenschedule

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// OwnerShare is the share of one gateway in the tokens of an endpoint. The shares of one endpoint are sorted by name
// and add up to 1.
type OwnerShare struct {
	Name  string
	Share float64
}

// ShareOf returns the share of a gateway in the tokens of an endpoint, given the endpoint's owners. It is 0 if the
// gateway is not one of them.
func ShareOf(owners []OwnerShare, name string) float64 {
	for _, owner := range owners {
		if owner.Name == name {
			return owner.Share
		}
	}
	return 0
}

// Owner returns the name of the gateway that owns a token, or an empty string if there are no owners.
func Owner(endpoint uint64, token uint64, owners []OwnerShare) string {
	if len(owners) == 0 {
		return ""
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], endpoint)
	offset := float64(xxh3.Hash(b[:])>>11) / (1 << 53)
	// Modulo 1, multiples of the golden ratio are spread evenly, so the tokens of each owner are spread evenly among
	// the token numbers.
	_, position := math.Modf(offset + float64(token)*math.Phi)
	for _, owner := range owners {
		if position -= owner.Share; position < 0 {
			return owner.Name
		}
	}
	return owners[len(owners)-1].Name
}

// Owners determines which gateways own the tokens of an endpoint: a few of all known gateways, chosen by the
// endpoint's ID, so that the owners of one endpoint do not depend on the other endpoints. It keeps each previous set
// of known gateways for as long as other gateways may still use that set.
type Owners struct {
	perEndpoint int
	retention   time.Duration
	sets        []gatewaySet // oldest first
}

// gatewaySet is the set of gateways known from a point in time on.
type gatewaySet struct {
	since  time.Duration
	names  []string                // sorted
	owners map[uint64][]OwnerShare // by endpoint ID, computed on first use
}

// NewOwners returns an Owners with up to perEndpoint owners for each endpoint; values below 1 count as 1. retention
// is the longest time that a change of the known gateways takes to reach all gateways.
func NewOwners(perEndpoint int, retention time.Duration) *Owners {
	return &Owners{perEndpoint: max(perEndpoint, 1), retention: retention}
}

// SetGateways sets the gateways that may own tokens from now on.
func (o *Owners) SetGateways(now time.Duration, names []string) {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	if n := len(o.sets); n == 0 || !slices.Equal(o.sets[n-1].names, names) {
		o.sets = append(o.sets, gatewaySet{since: now, names: names, owners: make(map[uint64][]OwnerShare)})
	}
	o.expire(now)
}

// expire drops each set that was superseded more than the retention time ago: all gateways know of the change by
// then.
func (o *Owners) expire(now time.Duration) {
	for len(o.sets) > 1 && now-o.sets[1].since > o.retention {
		o.sets = slices.Delete(o.sets, 0, 1)
	}
}

// Ownerships returns the ownerships of an endpoint that gateways may use now: the owners by each set of known
// gateways that has not expired. A gateway may use a token only if it owns the token in all of them.
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

// Forget drops the owners computed for endpoints that are no longer in slow start.
func (o *Owners) Forget(inSlowStart func(endpoint uint64) bool) {
	for i := range o.sets {
		for id := range o.sets[i].owners {
			if !inSlowStart(id) {
				delete(o.sets[i].owners, id)
			}
		}
	}
}

// scored is a gateway with its score for an endpoint; lower is better.
type scored struct {
	name  string
	score uint64
}

func compareScored(a, b scored) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
}

// chooseOwners returns the up to maxOwners gateways with the best scores for an endpoint in rendezvous hashing, with
// equal shares. It keeps only the best maxOwners while it scores the names: hundreds of endpoints may start at once
// in a cluster of a thousand gateways, and sorting all names for each endpoint would take seconds.
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
	for i, gateway := range best {
		owners[i] = OwnerShare{Name: gateway.name, Share: 1 / float64(len(best))}
	}
	return owners
}
