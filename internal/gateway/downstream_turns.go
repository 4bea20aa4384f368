package gateway

import (
	"thymebend/internal/downstream"
	"thymebend/internal/loop"
)

// postpone leaves a connection to the end of the turn, after the dispatch. The next turn looks at all sockets before it
// dispatches again. So a client that pipelines requests which the gateway answers itself does not keep the loop from other
// clients; and if a client has left, the reset that its machine sends on an answer arrives before its next request is
// forwarded.
func (d *downstreamConns) postpone(conn *downstream.Conn) {
	conn.Postponed = true
	d.postponed = append(d.postponed, conn.ID)
	d.emit(loop.Effect{Op: loop.RequestTurn})
}

// continuePostponed continues, at the end of a turn, with the connections that were postponed.
func (d *downstreamConns) continuePostponed() {
	postponed := d.postponed
	d.postponed = nil
	for _, id := range postponed {
		if conn := d.conns.ByConn[id]; conn != nil {
			conn.VerifiedAt = d.now // the answer was written in an earlier turn
			d.flushed(conn)
			if d.conns.ByConn[id] == conn {
				d.settled(conn)
			}
		}
	}
}
