package gateway

import (
	"slices"

	"thymebend/internal/downstream"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// bufferShare is the fraction of the memory limit that the connections' buffers may use. The heap also holds the endpoint
// list, the balancer's state and what the garbage collector has not yet reclaimed, see heapShare.
const bufferShare = 0.2

// maxScratchKept is the size up to which the scratch buffer is kept, in bytes.
const maxScratchKept = 2 * loop.ReadSize

// settleClient charges a downstream connection for the memory that it uses now, and sets how much it may use.
func (c *core) settleClient(conn *downstream.Conn) {
	c.buffers.Charge(&conn.Memory, conn.Held())
	conn.SetAllowance(c.buffers.Allowance())
}

// settleUpstream charges an upstream connection for the memory that it uses now.
func (c *core) settleUpstream(conn *upstream.Conn) { c.buffers.Charge(&conn.Memory, conn.Held()) }

// settleRequest charges an open request for its head and its buffered body.
func (c *core) settleRequest(req *request) {
	held := req.Message.Held()
	if req.upload != nil {
		held += cap(req.upload.lastPiece)
	}
	c.buffers.Charge(&req.memory, held)
}

// readSize returns the number of bytes that a read for a response or a streamed body may return.
func (c *core) readSize() int { return min(c.buffers.Allowance(), loop.ReadSize) }

// takeScratch returns memory for the decoded piece of a body that is written in the same Step. The Data of effects refers
// to it, so that it is used once in each Step.
func (c *core) takeScratch() []byte {
	scratch := c.scratch
	c.scratch = nil
	return scratch
}

// keepScratch keeps the memory of a piece for the next Step.
func (c *core) keepScratch(piece []byte) {
	if cap(piece) <= maxScratchKept {
		c.scratchNext = piece
	}
}

// relieve gives up incomplete requests until the budget suffices again, because a connection has received more than
// buffermemory.MinAllowance while it is used up: first those whose clients have stopped sending, then the connection's
// own. Their clients get a rejection; nothing of these requests was forwarded.
func (d *downstreamConns) relieve(conn *downstream.Conn) {
	for d.buffers.Exhausted() && d.conns.ByConn[conn.ID] == conn && conn.HoldsIncomplete() {
		stalled := d.conns.StalledHolder(d.now)
		if stalled == nil {
			d.shed(conn)
			return
		}
		d.shed(stalled)
	}
}

// relieveAll gives up incomplete requests, the newest first, until the budget suffices, because it has become smaller.
func (d *downstreamConns) relieveAll() {
	if !d.buffers.Exhausted() {
		return
	}
	for _, conn := range slices.Backward(d.conns.InOrder()) {
		d.relieve(conn)
	}
}

// shed rejects a request that is not yet complete, to free the memory that it uses.
func (d *downstreamConns) shed(conn *downstream.Conn) {
	d.logShed(conn)
	conn.DiscardReceived()
	d.reply(conn, downstream.RejectedResponse(d.cfg.Settings.Config.MaxRetryAfter, false))
	d.settleClient(conn)
	d.conns.Requeue(conn)
}
