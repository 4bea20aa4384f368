package gateway

import (
	"slices"

	"thymebend/internal/assignment"
	"thymebend/internal/balancer"
	"thymebend/internal/buffermemory"
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
	// BufferMemory returns the memory that the connections use for received and unwritten bytes.
	BufferMemory() BufferMemory
	// Violations returns the number of suppressed effects since the start of the process, by the invariant that
	// each effect would have broken.
	Violations() map[string]uint64
}

// BufferMemory describes the memory that the connections and requests of a gateway use for received and unwritten bytes.
type BufferMemory struct {
	LimitBytes, UsedBytes int
	// OwnBytes is the part of UsedBytes that connections may use however little is free.
	OwnBytes int
	Conns    int // connections of clients and to endpoints
	Requests int // requests that are not finished
}

// ownBytesOfConn is the part of a connection in OwnBytes, in bytes: MinAllowance, filled by reads of as much, in a buffer
// that has grown for them.
const ownBytesOfConn = 2 * buffermemory.MinAllowance

var _ Inspector = (*Gateway)(nil)

// BufferMemory implements Inspector.
func (g *Gateway) BufferMemory() BufferMemory {
	own := ownBytesOfConn * g.attempts.pool.Len()
	for _, conn := range g.downstream.conns.InOrder() {
		own += min(int(conn.Memory), ownBytesOfConn)
	}
	return BufferMemory{LimitBytes: g.buffers.Limit(), UsedBytes: g.buffers.Used(), OwnBytes: own,
		Conns: len(g.downstream.conns.ByConn) + g.attempts.pool.Len(), Requests: len(g.requests.byID)}
}

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
