package balancer

import (
	"cmp"
	"slices"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/outlierdetection"
	"thymebend/internal/balancer/slowstart"
	"thymebend/internal/balancer/stats"
	"thymebend/internal/subset"
)

// endpointState is one start of one endpoint. An endpoint that starts again is a new one: nothing learnt
// holds for it.
type endpointState struct {
	Endpoint
	listed   bool                           // in the endpoint list
	inFlight int                            // attempts
	requests []RequestID                    // whose attempts are in flight
	classes  []outlierdetection.ClassHealth // by class index

	limit    concurrency.Limit
	health   outlierdetection.Health
	cooldown cooldown
	warmUp   slowstart.Budget
	subset   subsetPlace
}

// subsetPlace is an endpoint's place in the subset that this gateway uses.
type subsetPlace struct {
	used         bool    // in the subset
	regular      bool    // in its regular part, which users counts
	wasRegular   bool    // and before the last choice
	expansion    bool    // used beyond the regular part, because this gateway is short of capacity
	users        float64 // gateways that use the endpoint in their regular part, at least 1
	relativeLoad float64 // by how much more of these use it than the mean
	weight       float64 // among the subset, by the cluster; 0 without one
}

// usualMS is the service time that an attempt may be expected to take at most, in ms: that of the class
// or of the endpoint.
func (ep *endpointState) usualMS(c *classState) float64 {
	return max(stats.Milliseconds(c.expected), ep.limit.ServiceMS.Value)
}

// serviceMS is the service time of the endpoint or of the average class, whichever is longer, in ms.
func (ep *endpointState) serviceMS(referenceMS float64) float64 {
	return max(referenceMS, ep.limit.ServiceMS.Value)
}

// allowed is the number of requests that this gateway may have in flight there.
func (ep *endpointState) allowed() int {
	if ep.health.Ejected {
		return 1 // a probe
	}
	return ep.limit.Allowed()
}

// minLimit is where the concurrency limit starts, and its least.
func (ep *endpointState) minLimit() float64 { return concurrency.MinLimit(ep.subset.users) }

// closeSample ends a sampling period of the concurrency limit.
func (ep *endpointState) closeSample(target concurrency.ServiceTarget) {
	ep.limit.CloseSample(target, ep.minLimit())
}

// sameDedupScope reports whether two endpoints share what a repeat of a keyed request must keep to.
func sameDedupScope(scope DedupScope, a, b *endpointState) bool {
	switch scope {
	case DedupAll:
		return true
	case DedupZone:
		return a.Zone == b.Zone
	default:
		return a.Zone == b.Zone && a.Cell == b.Cell
	}
}

// endpointSet holds the listed endpoints and the subset of them that this gateway uses.
type endpointSet struct {
	byID                       map[EndpointID]*endpointState
	all                        []*endpointState // in the order in which the list named them
	localPlaces, remotePlaces  []*endpointState // order of choice, of the local zone and of all others
	subset                     []*endpointState // those that this gateway uses, see choose
	stale                      bool             // the subset has to be chosen anew
	assigned                   []AssignedEndpoint
	localWeight, anyZoneWeight float64          // sums of the subset's weights; 0 without a cluster
	expansion                  subset.Expansion // of the subset, among the endpoints of other zones
	signals                    subset.Signals   // for it, of this sampling period
}

// update applies a snapshot or a delta. A delta has changes only; a snapshot drops what it omits. classes
// is the number of class indices.
func (s *endpointSet) update(now time.Duration, kind EndpointUpdate, entries []Endpoint, zone, classes int) {
	if kind != Delta {
		for _, ep := range s.all {
			ep.listed = false
		}
	}
	known := len(s.all)
	for _, e := range entries {
		s.apply(now, e, classes)
	}
	s.place(s.all[known:], zone)
	s.all = slices.DeleteFunc(s.all, func(ep *endpointState) bool {
		gone := ep.State == EndpointRemoved || !ep.listed
		if gone {
			ep.State = EndpointRemoved
			if s.byID[ep.ID] == ep {
				delete(s.byID, ep.ID)
			}
		}
		return gone
	})
	s.stale = true
}

// apply takes one entry of the list.
func (s *endpointSet) apply(now time.Duration, e Endpoint, classes int) {
	ep := s.byID[e.ID]
	if ep != nil && ep.StartedAt == e.StartedAt {
		ep.Endpoint, ep.listed = e, true
		return
	}
	if ep != nil {
		ep.State = EndpointRemoved
	}
	if e.State == EndpointRemoved {
		return
	}
	ep = &endpointState{
		Endpoint: e, listed: true, warmUp: slowstart.NewBudget(now),
		classes: make([]outlierdetection.ClassHealth, classes),
	}
	s.byID[e.ID] = ep
	s.all = append(s.all, ep)
}

// place gives newly listed endpoints their places. A successor takes the place of one that drains or is
// gone, so that the subsets of all gateways are replaced one for one.
func (s *endpointSet) place(fresh []*endpointState, zone int) {
	slices.SortFunc(fresh, func(x, y *endpointState) int {
		return cmp.Compare(x.ID, y.ID) // mixes zones and cells, so that one lost is no gateway's whole subset
	})
	nextLocal, nextRemote := 0, 0 // before it all places are taken
	for _, ep := range fresh {
		if ep.Zone == zone {
			s.localPlaces, nextLocal = takePlace(s.localPlaces, nextLocal, ep)
		} else {
			s.remotePlaces, nextRemote = takePlace(s.remotePlaces, nextRemote, ep)
		}
	}
}

// takePlace puts ep in the first free place from next on, and returns the places and that one.
func takePlace(places []*endpointState, next int, ep *endpointState) ([]*endpointState, int) {
	for next < len(places) && places[next].State == EndpointReady && places[next].listed {
		next++
	}
	if next == len(places) {
		return append(places, ep), next
	}
	places[next] = ep
	return places, next
}

// unavailable counts the endpoints that get no ordinary requests: those that drain, and those ejected.
func (s *endpointSet) unavailable() (n int) {
	for _, ep := range s.all {
		if ep.State != EndpointReady || ep.health.Ejected {
			n++
		}
	}
	return n
}

// turnover is the mean time between two openings of capacity in the subset; 0 is unknown.
func (s *endpointSet) turnover(referenceMS float64) time.Duration {
	perMS := 0.0
	for _, ep := range s.subset {
		if !ep.health.Ejected {
			perMS += ep.limit.Value / ep.serviceMS(referenceMS)
		}
	}
	if referenceMS == 0 || perMS == 0 {
		return 0
	}
	return stats.FromMilliseconds(1 / perMS)
}
