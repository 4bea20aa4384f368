package gateway

import "thymebend/internal/downstream"

// singleUseBatch is how many connections that have carried only one request are closed for each new connection.
// It is more than 1 so that the number of such connections falls.
const singleUseBatch = 2

// evictBatch is how many connections are evicted at once for clients that wait at the listener.
const evictBatch = 4

// evict closes connections until the wanted number of new ones can be accepted, and returns how many can be.
func (d *downstreamConns) evict(wanted int) int {
	available := d.conns.Max - len(d.conns.ByConn)
	for ; available < wanted; available++ {
		conn := d.evictable()
		switch {
		case conn == nil:
			return available
		case conn.WriteClosed:
			d.drop(conn, ReasonAnswered)
		case conn.Pending():
			// All received data have been read, so the close does not lose the answer.
			d.logIncomplete(conn)
			d.write(conn.ID, downstream.TimeoutResponse())
			d.drop(conn, ReasonClientTimeout)
		default:
			d.readThenClose(conn)
		}
	}
	return available
}

// evictable returns the connection to evict first, or nil. While there are two processes, only connections that
// have received their last answer are evicted: see isOnlyProcess.
func (d *downstreamConns) evictable() *downstream.Conn {
	if d.restart.isOnlyProcess() {
		return d.conns.Evictable(d.now)
	}
	return d.conns.WriteClosed(d.now)
}

// clientsWaiting reports whether clients wait at the listener while no idle connection may be closed for them
// because there are two processes. Connections are then closed after their answers, so that no client waits
// longer than an answer takes.
func (d *downstreamConns) clientsWaiting() bool {
	return d.listener.phase == acceptPaused && !d.restart.isOnlyProcess() && !d.restart.handedOver()
}
