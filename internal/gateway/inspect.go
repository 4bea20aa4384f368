package gateway

import (
	"slices"

	"thymebend/internal/assignment"
	"thymebend/internal/balancer"
	"thymebend/internal/membership"
)

// Inspector gives the simulation access to the state of a gateway that its checks need. The product itself does
// not use it.
type Inspector interface {
	// Membership returns this process's view of the cluster, or nil while the process is not a member.
	Membership() *membership.Membership
	// AssignmentTracker returns the tracker of the assignment, or nil while this process is not a member of a
	// cluster that divides the endpoints.
	AssignmentTracker() *assignment.Tracker
	// EndpointKnowledge reports whether this gateway has ejected an endpoint, whether its peers suspect the
	// endpoint, and whether the endpoint is assigned to this gateway.
	EndpointKnowledge(id balancer.EndpointID) (ejected, suspected, assigned bool)
	// Violations returns the number of suppressed effects since the start of the process, by the invariant that
	// each effect would have broken.
	Violations() map[string]uint64
}

var _ Inspector = (*Gateway)(nil)

// Membership implements Inspector.
func (g *Gateway) Membership() *membership.Membership { return g.cluster.membership }

// Violations implements Inspector.
func (g *Gateway) Violations() map[string]uint64 { return g.invariants.Counts() }

// AssignmentTracker implements Inspector.
func (g *Gateway) AssignmentTracker() *assignment.Tracker {
	if g.assignment.state == nil {
		return nil
	}
	return g.assignment.state.tracker
}

// EndpointKnowledge implements Inspector.
func (g *Gateway) EndpointKnowledge(id balancer.EndpointID) (ejected, suspected, assigned bool) {
	if g.assignment.state == nil {
		return false, false, false
	}
	for _, s := range g.assignment.state.assigned {
		if s.ID == id && s.Share > 0 {
			suspected, assigned = s.SuspectedByPeers, true
		}
	}
	return slices.Contains(g.balancer.LoadReport(g.now).Ejected, id), suspected, assigned
}
