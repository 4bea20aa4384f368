package gateway

import (
	"slices"

	"thymebend/internal/assignment"
	"thymebend/internal/balancer"
	"thymebend/internal/membership"
)

// Inspector is what the simulation sees of a gateway's state to check it. Nothing in the product uses it.
type Inspector interface {
	// Membership is this process's view of the cluster, or nil while it is no member.
	Membership() *membership.Membership
	// AssignmentTracker is the assignment in force, or nil where the cluster divides nothing.
	AssignmentTracker() *assignment.Tracker
	// EndpointKnowledge reports whether this gateway has ejected an endpoint, whether its peers suspect it,
	// and whether it is assigned to this gateway.
	EndpointKnowledge(id balancer.EndpointID) (ejected, suspected, assigned bool)
	// Violations counts the effects that were suppressed since the process began, by the invariant that each
	// would have broken.
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
