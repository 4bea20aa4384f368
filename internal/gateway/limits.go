package gateway

import (
	"thymebend/internal/admin"
	"thymebend/internal/loop"
)

// The budget of descriptors is divided. Guards against many clients, or slow endpoints, that take what the
// other side needs.
const (
	ownDescriptors  = 20 + admin.MaxConns // of the program itself
	downstreamShare = 0.65                // of the others
)

// heapShare of the memory limit is the heap's; the rest is for stacks, sockets and the program itself.
const heapShare = 0.6

// reuseLimitDivisor divides the descriptors: with more downstream connections than that, those that have
// brought one request and are idle are closed early.
const reuseLimitDivisor = 4

// spareUpstreamConns are left to a predecessor beyond one for each of its downstream connections.
const spareUpstreamConns = 4

// descriptors is how many descriptors of the limit this process and its predecessor need: those in use, and
// those that it may still open before the other process hears of it.
func (h *hotRestart) descriptors() int {
	inbound := max(len(h.downstream.conns.ByConn), h.downstream.conns.Max)
	return ownDescriptors + inbound + h.attempts.pool.Max() + h.predecessorDescriptors
}

// resize divides the limits between the two processes of an upgrade: until the successor serves each has
// half, then the predecessor may not grow.
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

// divide divides the descriptors that the other process leaves. Connections that were handed over count even
// beyond the downstream share: upstream gets less by them.
func (h *hotRestart) divide() {
	sockets := h.cfg.Limits.Sockets - h.predecessorDescriptors
	if h.successor != nil {
		sockets /= 2
	}
	sockets = max(sockets-ownDescriptors, 2*spareUpstreamConns)
	inbound := int(float64(sockets) * downstreamShare)
	h.downstream.limit(inbound, h.cfg.Limits.Sockets/reuseLimitDivisor)
	outbound := sockets - inbound
	if h.predecessor != nil {
		outbound = max(spareUpstreamConns, sockets-max(inbound, len(h.downstream.conns.ByConn)))
	}
	h.attempts.pool.Resize(outbound)
}

// shrink leaves this process what its downstream connections need. Each has at most one request, which needs
// one upstream connection; the rest is the successor's, whose clients wait.
func (h *hotRestart) shrink() {
	open := len(h.downstream.conns.ByConn)
	h.downstream.limit(open, h.downstream.conns.ReuseLimit)
	h.attempts.pool.Resize(min(h.attempts.pool.Budget(), open+spareUpstreamConns))
}

// closeSurplus closes idle upstream connections beyond the budget: their descriptors are the other process's.
func (h *hotRestart) closeSurplus() {
	for _, conn := range h.attempts.pool.Surplus() {
		h.attempts.dropConn(conn, ReasonIdleClosed)
	}
}
