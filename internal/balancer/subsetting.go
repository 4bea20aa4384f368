package balancer

import (
	"math/rand/v2"
	"time"

	"thymebend/internal/subset"
)

// Sizes of the subsets. Where gateways are few each uses all endpoints.
const (
	localUsers  = 8.0 // gateways of its own zone that use an endpoint
	remoteUsers = 4.0 // gateways of the other zones that use it
	minSubset   = 2.0 // endpoints that a gateway uses at least, if there are so many
)

// choose picks the subset of endpoints that this gateway uses and returns those used before. Endpoints
// accept fewer connections than there are gateways, and the answers of few tell more of each. Ejected
// endpoints are replaced by the next ones.
func (s *endpointSet) choose(now time.Duration, cfg *Config, rng *rand.Rand) (before []*endpointState) {
	s.stale = false
	before = s.subset
	s.subset, s.localWeight, s.anyZoneWeight = make([]*endpointState, 0, len(before)), 0, 0
	zones := subset.Count(cfg.Zone, s.zones)
	subset.Rule{Local: localUsers, Remote: remoteUsers, Min: minSubset}.Subsets(cfg.Gateways, zones)
	for _, ep := range s.all {
		ep.subset = subsetPlace{
			wasRegular: ep.subset.regular, relativeLoad: ep.subset.relativeLoad,
			users: subset.Users(cfg.Gateways, ep.Zone, zones),
		}
	}
	if len(s.assigned) > 0 {
		s.chooseAssigned(now, cfg.Zone)
	} else {
		usable := s.choosePart(now, s.localPlaces, cfg.Rank, zones[0].Local, 0)
		remote := max(zones[0].Remote, minSubset-usable)
		s.choosePart(now, s.remotePlaces, cfg.Rank, remote, s.expansion.Endpoints())
	}
	for _, ep := range s.all {
		if ep.limit.Value == 0 {
			ep.limit.Reset(ep.minLimit())
		}
		if ep.subset.regular && !ep.subset.wasRegular {
			ep.warmUp.Begin(now, rng.Float64())
		}
	}
	return before
}

// zones walks over the endpoints' zones, and whether each is ready.
func (s *endpointSet) zones(yield func(int, bool) bool) {
	for _, ep := range s.all {
		if !yield(ep.Zone, ep.State == EndpointReady) {
			return
		}
	}
}

// chooseAssigned adds the endpoints that the cluster assigns to this gateway, and its spares where one of
// these is ejected or this gateway is short of capacity.
func (s *endpointSet) chooseAssigned(now time.Duration, zone int) {
	places, part := make([]*endpointState, 0, len(s.assigned)), 0.0
	for _, a := range s.assigned {
		ep := s.byID[a.ID]
		if ep == nil {
			continue
		}
		ep.health.SetSuspected(now, a.SuspectedByPeers)
		ep.subset.weight, ep.subset.relativeLoad = a.Weight, 1
		places = append(places, ep)
		if a.Share > 0 {
			ep.subset.users = max(1, 1/a.Share)
			if ep.State == EndpointReady {
				part++
			}
		}
	}
	s.take(now, places, 0, part, s.expansion.Endpoints())
	for _, ep := range s.subset {
		s.anyZoneWeight += ep.subset.weight
		if ep.Zone == zone {
			s.localWeight += ep.subset.weight
		}
	}
}

// choosePart adds endpoints to the subset, beginning at a place that follows from this gateway's rank: its
// regular part, one more for each of these that is ejected, and the expansion. It returns how many are not
// ejected.
func (s *endpointSet) choosePart(
	now time.Duration, places []*endpointState, rank int, part, expansion float64,
) (usable float64) {
	ready := make([]bool, len(places))
	for i, ep := range places {
		ready[i] = ep.State == EndpointReady
	}
	for i, load := range subset.RelativeLoad(ready, part) {
		places[i].subset.relativeLoad = load
	}
	return s.take(now, places, subset.Start(rank, len(places)), subset.RoundByRank(rank, part), expansion)
}

// take adds endpoints from a place on, see choosePart. One that would be an expansion while it is
// ejected is left out until its probe is due.
func (s *endpointSet) take(
	now time.Duration, places []*endpointState, start int, part, expansion float64,
) (usable float64) {
	ready := 0.0
	for i := 0; i < len(places) && usable < part+expansion; i++ {
		ep := places[(start+i)%len(places)]
		if ep.State != EndpointReady || usable >= part && ep.health.Ejected && !ep.health.ProbeDue(now) {
			continue
		}
		ready++
		ep.subset.used, ep.subset.regular, ep.subset.expansion = true, ready <= part, usable >= part
		s.subset = append(s.subset, ep)
		if !ep.health.Ejected {
			usable++
		}
	}
	return usable
}
