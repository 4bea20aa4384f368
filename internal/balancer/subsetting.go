package balancer

import (
	"math/rand/v2"
	"time"

	"thymebend/internal/subset"
)

// Sizes of the subsets. If there are few gateways each one uses all endpoints.
const (
	localUsers  = 8.0 // number of gateways of the same zone that use an endpoint
	remoteUsers = 4.0 // number of gateways of other zones that use it
	minSubset   = 2.0 // minimum number of endpoints that a gateway uses, if there are as many
)

// choose selects the subset of endpoints that this gateway uses and returns the previous subset. A subset is
// used because endpoints accept fewer connections than there are gateways, and because a gateway with few
// endpoints gets more measurements of each. Ejected endpoints are replaced by the next ones in the order of
// selection.
func (s *endpointSet) choose(now time.Duration, cfg *Config, rng *rand.Rand) (before []*endpointState) {
	s.stale = false
	before = s.subset
	s.subset, s.localWeight, s.anyZoneWeight = make([]*endpointState, 0, len(before)), 0, 0
	zones := subset.Count(cfg.Zone, s.zones)
	subset.Rule{Local: localUsers, Remote: remoteUsers, Min: minSubset}.ComputeSizes(cfg.Gateways, zones)
	for _, ep := range s.all {
		ep.subset = subsetMembership{
			wasRegular: ep.subset.regular, relativeLoad: ep.subset.relativeLoad,
			users: subset.Users(cfg.Gateways, ep.Zone, zones),
		}
	}
	if len(s.assigned) > 0 {
		s.chooseAssigned(now, cfg.Zone)
	} else {
		usable := s.chooseByRank(now, s.localOrder, cfg.Rank, zones[0].Local, 0)
		remoteSize := max(zones[0].Remote, minSubset-usable)
		s.chooseByRank(now, s.remoteOrder, cfg.Rank, remoteSize, s.expansion.Endpoints())
	}
	for _, ep := range s.all {
		if ep.limit.Value == 0 {
			ep.limit.Reset(ep.minLimit())
		}
		if ep.subset.regular && !ep.subset.wasRegular {
			ep.warmUp.StartInDebt(now, rng.Float64())
		}
	}
	return before
}

// zones iterates over the endpoints and yields the zone of each and whether it is ready.
func (s *endpointSet) zones(yield func(int, bool) bool) {
	for _, ep := range s.all {
		if !yield(ep.Zone, ep.State == EndpointReady) {
			return
		}
	}
}

// chooseAssigned adds the endpoints that the cluster assigns to this gateway. Its spares are added only to
// replace ejected endpoints or, as an expansion, if this gateway is short of capacity.
func (s *endpointSet) chooseAssigned(now time.Duration, zone int) {
	order, regularSize := make([]*endpointState, 0, len(s.assigned)), 0.0
	for _, a := range s.assigned {
		ep := s.byID[a.ID]
		if ep == nil {
			continue
		}
		ep.health.SetSuspected(now, a.SuspectedByPeers)
		ep.subset.weight, ep.subset.relativeLoad = a.Weight, 1
		order = append(order, ep)
		if a.Share > 0 {
			ep.subset.users = max(1, 1/a.Share)
			if ep.State == EndpointReady {
				regularSize++
			}
		}
	}
	s.addToSubset(now, order, 0, regularSize, s.expansion.Endpoints())
	for _, ep := range s.subset {
		s.anyZoneWeight += ep.subset.weight
		if ep.Zone == zone {
			s.localWeight += ep.subset.weight
		}
	}
}

// chooseByRank adds endpoints to the subset, starting at a position in order that depends on this gateway's
// rank: the regular part, one more for each ejected endpoint, and the expansion. It returns the number of
// added endpoints that are not ejected.
func (s *endpointSet) chooseByRank(
	now time.Duration, order []*endpointState, rank int, regularSize, expansionSize float64,
) (usable float64) {
	ready := make([]bool, len(order))
	for i, ep := range order {
		ready[i] = ep.State == EndpointReady
	}
	for i, load := range subset.RelativeLoad(ready, regularSize) {
		order[i].subset.relativeLoad = load
	}
	return s.addToSubset(now, order, subset.StartIndex(rank, len(order)),
		subset.RoundByRank(rank, regularSize), expansionSize)
}

// addToSubset adds endpoints from position start on, see chooseByRank. An ejected endpoint is not added to
// the expansion until its probe is due.
func (s *endpointSet) addToSubset(
	now time.Duration, order []*endpointState, start int, regularSize, expansionSize float64,
) (usable float64) {
	ready := 0.0
	for i := 0; i < len(order) && usable < regularSize+expansionSize; i++ {
		ep := order[(start+i)%len(order)]
		if ep.State != EndpointReady ||
			usable >= regularSize && ep.health.Ejected && !ep.health.ProbeDue(now) {
			continue
		}
		ready++
		ep.subset.used = true
		ep.subset.regular, ep.subset.expansion = ready <= regularSize, usable >= regularSize
		s.subset = append(s.subset, ep)
		if !ep.health.Ejected {
			usable++
		}
	}
	return usable
}
