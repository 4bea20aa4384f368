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

// endpointState is the state of one endpoint since one start. An endpoint that restarts gets a new
// endpointState, because earlier measurements do not apply to it.
type endpointState struct {
	Endpoint
	listed   bool                           // in the endpoint list
	inFlight int                            // number of attempts in flight
	requests []RequestID                    // the requests of these attempts
	classes  []outlierdetection.ClassHealth // by class index

	limit    concurrency.Limit
	health   outlierdetection.Health
	cooldown cooldown
	warmUp   slowstart.Budget
	subset   subsetMembership
}

// subsetMembership says whether and how an endpoint belongs to the subset that this gateway uses.
type subsetMembership struct {
	used         bool    // in the subset
	regular      bool    // in the regular part of the subset
	wasRegular   bool    // in the regular part before the subset was last chosen
	expansion    bool    // in the subset beyond the regular part, because this gateway is short of capacity
	users        float64 // number of gateways with the endpoint in their regular part, at least 1
	relativeLoad float64 // users of this endpoint, relative to the mean over endpoints
	weight       float64 // see AssignedEndpoint.Weight; 0 without an assignment
}

// classServiceMS returns the expected service time of an attempt of class c, in ms: that of the class or of
// the endpoint, whichever is longer.
func (ep *endpointState) classServiceMS(c *classState) float64 {
	return max(stats.Milliseconds(c.expectedService), ep.limit.ServiceMS.Value)
}

// serviceMS returns the service time of the endpoint or of the average class, whichever is longer, in ms.
func (ep *endpointState) serviceMS(referenceMS float64) float64 {
	return max(referenceMS, ep.limit.ServiceMS.Value)
}

// allowed returns the number of requests that this gateway may have in flight on the endpoint.
func (ep *endpointState) allowed() int {
	if ep.health.Ejected {
		return 1 // the probe
	}
	return ep.limit.Allowed()
}

// minLimit returns the minimum of the concurrency limit, which is also its initial value.
func (ep *endpointState) minLimit() float64 { return concurrency.MinLimit(ep.subset.users) }

// closeSample ends the sampling period of the concurrency limit and adjusts the limit.
func (ep *endpointState) closeSample(target concurrency.ServiceTarget) {
	ep.limit.CloseSample(target, ep.minLimit())
}

// sameDedupScope reports whether a keyed request that ran on one of two endpoints may be repeated on the
// other.
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
	all                        []*endpointState // in the order in which they were first listed
	localOrder, remoteOrder    []*endpointState // order of selection: local zone, all other zones
	subset                     []*endpointState // the endpoints that this gateway uses, see choose
	stale                      bool             // the subset must be chosen again
	assigned                   []AssignedEndpoint
	localWeight, anyZoneWeight float64          // sums of the subset's weights; 0 without an assignment
	expansion                  subset.Expansion // endpoints of other zones, or spares, in addition
	signals                    subset.Signals   // input of the expansion, from the current sampling period
}

// update applies a snapshot or a delta. A delta has only changed entries; endpoints that a snapshot omits are
// removed. zone is the local zone, classes the number of class indices.
func (s *endpointSet) update(now time.Duration, kind EndpointUpdate, entries []Endpoint, zone, classes int) {
	if kind != Delta {
		for _, ep := range s.all {
			ep.listed = false
		}
	}
	before := len(s.all)
	for _, e := range entries {
		s.apply(now, e, classes)
	}
	s.assignPositions(s.all[before:], zone)
	s.all = slices.DeleteFunc(s.all, func(ep *endpointState) bool {
		removed := ep.State == EndpointRemoved || !ep.listed
		if removed {
			ep.State = EndpointRemoved
			if s.byID[ep.ID] == ep {
				delete(s.byID, ep.ID)
			}
		}
		return removed
	})
	s.stale = true
}

// apply adds or updates the endpoint of one list entry. An entry with another start replaces the endpoint.
func (s *endpointSet) apply(now time.Duration, entry Endpoint, classes int) {
	ep := s.byID[entry.ID]
	if ep != nil && ep.StartedAt == entry.StartedAt {
		ep.Endpoint, ep.listed = entry, true
		return
	}
	if ep != nil {
		ep.State = EndpointRemoved
	}
	if entry.State == EndpointRemoved {
		return
	}
	ep = &endpointState{
		Endpoint: entry, listed: true, warmUp: slowstart.NewBudget(now),
		classes: make([]outlierdetection.ClassHealth, classes),
	}
	s.byID[entry.ID] = ep
	s.all = append(s.all, ep)
}

// assignPositions gives newly listed endpoints their positions in the order of selection. A new endpoint
// takes the position of an endpoint that is draining or removed, so that a deploy replaces each old endpoint
// by one new endpoint in the subsets of all gateways.
func (s *endpointSet) assignPositions(added []*endpointState, zone int) {
	slices.SortFunc(added, func(x, y *endpointState) int {
		return cmp.Compare(x.ID, y.ID) // mixes zones and cells: no subset is lost with one of them
	})
	nextLocal, nextRemote := 0, 0 // all positions before these are taken
	for _, ep := range added {
		if ep.Zone == zone {
			s.localOrder, nextLocal = takePosition(s.localOrder, nextLocal, ep)
		} else {
			s.remoteOrder, nextRemote = takePosition(s.remoteOrder, nextRemote, ep)
		}
	}
}

// takePosition puts ep at the first position from next on that is free, draining or removed. It returns the
// order and that position.
func takePosition(order []*endpointState, next int, ep *endpointState) ([]*endpointState, int) {
	for next < len(order) && order[next].State == EndpointReady && order[next].listed {
		next++
	}
	if next == len(order) {
		return append(order, ep), next
	}
	order[next] = ep
	return order, next
}

// unavailableCount returns the number of endpoints that are draining or ejected and get no ordinary requests.
func (s *endpointSet) unavailableCount() (n int) {
	for _, ep := range s.all {
		if ep.State != EndpointReady || ep.health.Ejected {
			n++
		}
	}
	return n
}

// completionInterval returns the mean time between two completed attempts in the subset at its concurrency
// limits, each of which frees capacity; 0 means unknown.
func (s *endpointSet) completionInterval(referenceMS float64) time.Duration {
	completionsPerMS := 0.0
	for _, ep := range s.subset {
		if !ep.health.Ejected {
			completionsPerMS += ep.limit.Value / ep.serviceMS(referenceMS)
		}
	}
	if referenceMS == 0 || completionsPerMS == 0 {
		return 0
	}
	return stats.FromMilliseconds(1 / completionsPerMS)
}
