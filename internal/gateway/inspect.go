package gateway

import (
	"slices"

	"thymebend/internal/assignment"
	"thymebend/internal/balancer"
	"thymebend/internal/membership"
)

// Membership is this process's view of its cluster, or nil while it has none. The laboratory holds it against
// the truth.
func (g *Gateway) Membership() *membership.Membership { return g.cluster.membership }

// Violations counts the effects that were held back since the process began, by the rule that each would have
// broken.
func (g *Gateway) Violations() map[string]uint64 { return g.invariants.Counts() }

// AssignmentTracker is what this gateway goes by now, or nil where the cluster divides nothing. The
// laboratory holds it against the others'.
func (g *Gateway) AssignmentTracker() *assignment.Tracker {
	if g.assignment.state == nil {
		return nil
	}
	return g.assignment.state.tracker
}

// EndpointKnowledge tells the laboratory whether this gateway uses an endpoint, whether it has ejected it
// itself, and whether others have it doubt it.
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
