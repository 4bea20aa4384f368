package gateway

import (
	"thymebend/internal/admin"
	"thymebend/internal/loop"
)

// The budget of descriptors: a few are the program's own, the rest is shared out, so that neither a crowd of
// clients nor slow endpoints can take what the other side needs.
const (
	ownDescriptors  = 20 + admin.MaxConns
	downstreamShare = 0.65
)

// heapShare of the memory limit is the collector's; the rest is for stacks, sockets and the program itself.
const heapShare = 0.6

// reuseLimitDivisor of the descriptors in downstream connections are many: clients may hold a third for their
// requests.
const reuseLimitDivisor = 4

// spareUpstreamConns to endpoints are left to an old process beyond one for each of its downstream
// connections.
const spareUpstreamConns = 4

// descriptors is how many descriptors of the limit this process and the one before it need: those in use, and
// those that it may still take without the other process hearing of it.
func (h *hotRestart) descriptors() int {
	return ownDescriptors + max(len(h.downstream.conns.ByConn), h.downstream.conns.Max) + h.attempts.pool.Max() + h.predecessorDescriptors
}

// resize divides the limits between the two processes of an upgrade: until the new one takes clients each has
// half, then the old one may not grow.
func (h *hotRestart) resize() {
	if h.handedOver() {
		h.shrink()
	} else {
		h.divide()
	}
	if !h.alone() {
		h.closeSurplus()
	}
	heap := h.cfg.Limits.MemoryMB * heapShare * (1 << 20)
	if !h.alone() {
		heap /= 2
	}
	if int64(heap) != h.heapBytes {
		h.heapBytes = int64(heap)
		h.emit(loop.Effect{Op: loop.Heap, Bytes: h.heapBytes})
	}
}

// divide divides what the other process leaves between clients and endpoints. Client connections that were
// handed over count though they are more than the clients' part: the endpoints' part is less by them.
func (h *hotRestart) divide() {
	sockets := h.cfg.Limits.Sockets - h.predecessorDescriptors
	if h.successor != nil {
		sockets /= 2
	}
	sockets = max(sockets-ownDescriptors, 2*spareUpstreamConns)
	inbound := int(float64(sockets) * downstreamShare)
	h.downstream.conns.Max, h.downstream.conns.ReuseLimit = inbound, h.cfg.Limits.Sockets/reuseLimitDivisor
	outbound := sockets - inbound
	if h.predecessor != nil {
		outbound = max(spareUpstreamConns, sockets-max(inbound, len(h.downstream.conns.ByConn)))
	}
	h.attempts.pool.Resize(outbound)
}

// shrink leaves this process what its downstream connections need. Each has at most one request, which needs
// one upstream connection; all else is the new process's, which has clients that wait.
func (h *hotRestart) shrink() {
	open := len(h.downstream.conns.ByConn)
	h.downstream.conns.Max = open
	h.attempts.pool.Resize(min(h.attempts.pool.Budget(), open+spareUpstreamConns))
}

// closeSurplus closes the idle upstream connections beyond the budget: their descriptors are the other
// process's.
func (h *hotRestart) closeSurplus() {
	for _, conn := range h.attempts.pool.Surplus() {
		h.attempts.dropConn(conn, ReasonIdleTimeout)
	}
}
