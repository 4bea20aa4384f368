package gateway

import (
	"thymebend/internal/admin"
	"thymebend/internal/loop"
)

// Shares of the descriptor limit. The division keeps many clients, or slow endpoints, from taking the
// descriptors that the other side needs.
const (
	ownDescriptors  = 20 + admin.MaxConns // reserved for the program itself
	downstreamShare = 0.65                // fraction of the remaining descriptors for downstream connections
)

// heapShare is the fraction of the memory limit that the heap may use; the remainder is for stacks, sockets and
// the program itself.
const heapShare = 0.6

// reuseLimitDivisor sets the reuse limit to the descriptor limit divided by it. With more downstream
// connections than the reuse limit, idle connections that have carried only one request are closed early.
const reuseLimitDivisor = 4

// spareUpstreamConns is the number of upstream connections that a predecessor may have in addition to one for
// each of its downstream connections.
const spareUpstreamConns = 4

// descriptors returns how many descriptors of the limit this process and its predecessor need: those in use,
// and those that they may still open before the other process is notified of a new division.
func (h *hotRestart) descriptors() int {
	downstreamNeed := max(len(h.downstream.conns.ByConn), h.downstream.conns.Max)
	return ownDescriptors + downstreamNeed + h.attempts.pool.MaxOfLimitAndLen() + h.predecessorDescriptors
}

// resize divides the limits between the two processes of an upgrade: each has half until the successor serves;
// from then on the predecessor's limits only shrink.
func (h *hotRestart) resize() {
	if h.handedOver() {
		h.shrink()
	} else {
		h.divide()
	}
	if !h.isOnlyProcess() {
		h.closeSurplus()
	}
	memory := h.cfg.Limits.MemoryMB * (1 << 20)
	if !h.isOnlyProcess() {
		memory /= 2
	}
	h.buffers.SetLimit(int(memory * bufferShare))
	h.downstream.relieveAll()
	heap := memory * heapShare
	if int64(heap) != h.heapBytes {
		h.heapBytes = int64(heap)
		h.emit(loop.Effect{Op: loop.SetMemoryLimit, Bytes: h.heapBytes})
	}
}

// divide divides the descriptors that the other process does not use between downstream and upstream.
// Connections received from a predecessor count even beyond the downstream share, at the expense of the
// upstream share.
func (h *hotRestart) divide() {
	available := h.cfg.Limits.Sockets - h.predecessorDescriptors
	if h.successor != nil {
		available /= 2
	}
	available = max(available-ownDescriptors, 2*spareUpstreamConns)
	downstreamLimit := int(float64(available) * downstreamShare)
	h.downstream.limit(downstreamLimit, h.cfg.Limits.Sockets/reuseLimitDivisor)
	upstreamLimit := available - downstreamLimit
	if h.predecessor != nil {
		upstreamLimit = max(spareUpstreamConns, available-max(downstreamLimit, len(h.downstream.conns.ByConn)))
	}
	h.attempts.pool.Resize(upstreamLimit)
}

// shrink reduces this process's limits to what its downstream connections need. Each of them has at most one
// request, which needs one upstream connection. The remaining descriptors are left to the successor, whose
// clients wait for them.
func (h *hotRestart) shrink() {
	open := len(h.downstream.conns.ByConn)
	h.downstream.limit(open, h.downstream.conns.ReuseLimit)
	h.attempts.pool.Resize(min(h.attempts.pool.Limit(), open+spareUpstreamConns))
}

// closeSurplus closes idle upstream connections beyond the limit of the pool, because their descriptors
// belong to the other process.
func (h *hotRestart) closeSurplus() {
	for _, conn := range h.attempts.pool.Surplus() {
		h.attempts.dropConn(conn, ReasonIdleClosed)
	}
}
