package gateway

import "thymebend/internal/downstream"

// singleUseBatch is how many connections that are not used again are closed as one comes: more than one, so
// that they grow fewer.
const singleUseBatch = 2

// evictBatch is how many connections give way at once to those that wait at the listener.
const evictBatch = 4

// evict closes connections until wanted new ones may come, and returns how many may.
func (d *downstreamConns) evict(wanted int) int {
	room := d.conns.Max - len(d.conns.ByConn)
	for ; room < wanted; room++ {
		conn := d.evictable()
		switch {
		case conn == nil:
			return room
		case conn.Ended:
			d.drop(conn, ReasonAnswered)
		case conn.Pending():
			// All that has come was read, so the answer is not lost by the close.
			d.logIncomplete(conn)
			d.write(conn.ID, downstream.TimeoutResponse())
			d.drop(conn, ReasonClientTimeout)
		default:
			d.readThenClose(conn)
		}
	}
	return room
}

// evictable returns the connection that gives way first, or nil. While there are two processes only those do
// that have their last answer: see alone.
func (d *downstreamConns) evictable() *downstream.Conn {
	if d.restart.alone() {
		return d.conns.Evictable(d.now)
	}
	return d.conns.FullyClosed(d.now)
}

// clientsWaiting reports whether clients wait at the listener while no idle connection may be closed for
// them, as there are two processes. Connections then end with their answers, so that nobody waits longer than
// answers take.
func (d *downstreamConns) clientsWaiting() bool {
	return d.listener.phase == acceptPaused && !d.restart.alone() && !d.restart.handedOver()
}
