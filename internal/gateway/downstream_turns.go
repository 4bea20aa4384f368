package gateway

import (
	"thymebend/internal/downstream"
	"thymebend/internal/loop"
)

// postpone leaves a connection that has used its share of the turn to the next one, in which all other sockets are served
// first: a client that pipelines requests which the gateway answers itself must not keep the loop from other clients.
func (d *downstreamConns) postpone(conn *downstream.Conn) {
	d.postponed = append(d.postponed, conn.ID)
	d.emit(loop.Effect{Op: loop.RequestTurn})
}

// continuePostponed continues, at the end of a turn, with the connections that were postponed.
func (d *downstreamConns) continuePostponed() {
	postponed := d.postponed
	d.postponed = nil
	for _, id := range postponed {
		if conn := d.conns.ByConn[id]; conn != nil {
			d.flushed(conn)
			if d.conns.ByConn[id] == conn {
				d.settled(conn)
			}
		}
	}
}
