package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/loop"
)

// timerDue handles a connection whose deadline has passed.
func (d *downstreamConns) timerDue(c loop.Conn) {
	conn := d.conns.ByConn[c]
	if conn != nil {
		conn.TimerAt = 0
		defer func() {
			if d.conns.ByConn[c] == conn {
				d.settled(conn)
			}
		}()
	}
	switch {
	case conn == nil:
	case d.relays.byConn[c] != nil && !d.relays.byConn[c].writing:
		d.beginWrite(conn) // the client has taken all that was written
	case conn.WriteClosed, conn.Busy && conn.RequestID == 0:
		d.checkWrite(conn)
	case conn.Upload && !conn.Incomplete():
		d.setDeadline(conn, d.now+downstream.StreamReadTimeout) // the gateway waits for the endpoint, not the client
	case conn.Upload && d.now < d.requestDeadline(conn):
		d.setDeadline(conn, d.requestDeadline(conn))
	case conn.Upload:
		d.logIncomplete(conn)
		d.uploads.abort(d.requests.byID[conn.RequestID], conn, downstream.TimeoutResponse())
	case conn.Busy:
	case conn.Pending() && d.now < d.requestDeadline(conn):
		d.setDeadline(conn, d.requestDeadline(conn))
	case conn.Pending():
		conn.Closing = true
		d.logIncomplete(conn)
		d.reply(conn, downstream.TimeoutResponse())
	case conn.Requests == 1 && !d.shutdown.closing() && !(d.conns.OverReuseLimit() && d.restart.isOnlyProcess()) &&
		d.now < conn.IdleSince+downstream.IdleTimeout:
		// The connection got SingleUseIdleTimeout because there were many connections. Now there are fewer, or a
		// hot restart has begun.
		d.setDeadline(conn, conn.IdleSince+downstream.IdleTimeout)
	default:
		d.readThenClose(conn)
	}
}

// setDeadline sets the time at which the connection is checked by timerDue. For a partly received request the
// time is limited so that a client that has stopped sending gets its error within downstream.ErrorDeadline.
func (d *downstreamConns) setDeadline(conn *downstream.Conn, at time.Duration) {
	if conn.Incomplete() {
		at = d.invariants.LimitWait(at, lastProgress(conn), downstream.ErrorDeadline)
	}
	conn.TimerAt = at
	d.setTimer(timerDownstream, uint64(conn.ID), at)
}

// lastProgress returns the time from which the deadline for an error or a close counts for a client that has
// stopped sending.
func lastProgress(conn *downstream.Conn) time.Duration {
	return max(conn.LastReceived(), conn.RequestStart)
}

// clearDeadline removes the deadline of a connection: the end of its request alone determines what happens
// next.
func (d *downstreamConns) clearDeadline(conn *downstream.Conn) {
	conn.TimerAt = 0
	d.stopTimer(timerDownstream, uint64(conn.ID))
}

// checkDeadline checks a connection after each event on it: a timer or a request must be able to end it, and
// a partly received request must have a deadline that is early enough. A connection with a final read in
// progress needs no timer, because the result of the read arrives in the same turn of the loop.
func (d *downstreamConns) checkDeadline(conn *downstream.Conn) {
	request := conn.Busy && conn.RequestID != 0 || conn.FinalRead
	if !d.invariants.CheckDeadline(conn.TimerAt != 0, request) {
		d.setDeadline(conn, d.now+downstream.RequestReadTimeout)
	}
	if conn.TimerAt == 0 || !conn.Incomplete() {
		return
	}
	if at := d.invariants.LimitWait(conn.TimerAt, lastProgress(conn), downstream.ErrorDeadline); at < conn.TimerAt {
		d.setDeadline(conn, at)
	}
}

// checkClose checks a connection that is about to be closed. If a request still waits for its answer on it, a
// failure response is written first.
func (d *downstreamConns) checkClose(conn *downstream.Conn, end TerminationReason) {
	req := d.requests.byID[conn.RequestID]
	if end == ReasonClientLeft || !conn.Busy || conn.RequestID == 0 || req == nil {
		return
	}
	if !d.invariants.AllowClose(&req.invariants) {
		d.writeClient(conn, downstream.FailedResponse(false))
	}
}

// requestDeadline returns the time by which the request that is being read must be complete or, for an upload,
// make progress. During a graceful shutdown a partly received request is answered before SIGKILL, so that the
// process can exit by itself.
func (d *downstreamConns) requestDeadline(conn *downstream.Conn) time.Duration {
	deadline := conn.RequestDeadline()
	if d.shutdown.stopping() {
		deadline = min(deadline, d.shutdown.answerBy-endBeforeKill)
	}
	return d.invariants.LimitWait(deadline, lastProgress(conn), downstream.ErrorDeadline)
}

// lingerDeadline returns the time until which the gateway waits for the client's close after closing its own
// sending side.
func (d *downstreamConns) lingerDeadline() time.Duration {
	if d.shutdown.stopping() {
		return min(d.now+downstream.LingerTimeout, max(d.now, d.shutdown.answerBy))
	}
	return d.now + downstream.LingerTimeout
}
