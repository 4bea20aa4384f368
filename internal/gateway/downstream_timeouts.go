package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/loop"
)

func (d *downstreamConns) timerDue(c loop.Conn) {
	conn := d.conns.ByConn[c]
	if conn != nil {
		conn.Timer = 0
		defer func() {
			if d.conns.ByConn[c] == conn {
				d.conns.Place(conn)
				d.checkDeadline(conn)
			}
		}()
	}
	switch {
	case conn == nil:
	case conn.Ended:
		d.drop(conn, ReasonAnswered)
	case d.relays.byConn[c] != nil && !d.relays.byConn[c].writing:
		d.setDeadline(conn, d.now+downstream.ResponseWriteTimeout) // the client has taken all that there is
	case conn.Busy && conn.Request == 0:
		d.drop(conn, ReasonClientTimeout)
	case conn.Upload && !conn.Incomplete():
		d.setDeadline(conn, d.now+downstream.StreamReadTimeout) // it is the endpoint that is waited for
	case conn.Upload && d.now < d.requestDeadline(conn):
		d.setDeadline(conn, d.requestDeadline(conn))
	case conn.Upload:
		d.logIncomplete(conn)
		d.uploads.abort(d.requests.byID[conn.Request], conn, downstream.AppendRequestTimeout())
	case conn.Busy:
	case conn.Pending() && d.now < d.requestDeadline(conn):
		d.setDeadline(conn, d.requestDeadline(conn))
	case conn.Pending():
		conn.Closing = true
		d.logIncomplete(conn)
		d.reply(conn, downstream.AppendRequestTimeout())
	case conn.Requests == 1 && !d.shutdown.closing() && !(d.conns.OverReuseLimit() && d.restart.alone()) && d.now < conn.Since+downstream.IdleTimeout:
		// There were many connections when it came to rest. Others were closed since, and few are no burden;
		// or an upgrade began.
		d.setDeadline(conn, conn.Since+downstream.IdleTimeout)
	default:
		d.readThenClose(conn)
	}
}

// setDeadline sets the time at which a downstream connection is looked at again. A client that has stopped in
// the middle of a request is never waited for longer than it is owed.
func (d *downstreamConns) setDeadline(conn *downstream.Conn, at time.Duration) {
	if conn.Incomplete() {
		at = d.invariants.AllowWait(at, lastProgress(conn), downstream.ErrorDeadline)
	}
	conn.Timer = at
	d.setTimer(timerDownstream, uint64(conn.ID), at)
}

// lastProgress is the time from which a client that has stopped is owed an error or a close.
func lastProgress(conn *downstream.Conn) time.Duration {
	return max(conn.LastReceived(), conn.RequestBegan)
}

// clearDeadline has a downstream connection end by nothing but its request.
func (d *downstreamConns) clearDeadline(conn *downstream.Conn) {
	conn.Timer = 0
	d.stopTimer(timerDownstream, uint64(conn.ID))
}

// checkDeadline looks at a downstream connection after an event on it: something must end it, and half a
// request in time. A last look is answered in the same round.
func (d *downstreamConns) checkDeadline(conn *downstream.Conn) {
	request := conn.Busy && conn.Request != 0 || conn.FinalRead
	if !d.invariants.Timed(conn.Timer != 0, request) {
		d.setDeadline(conn, d.now+downstream.RequestReadTimeout)
	}
	if conn.Timer == 0 || !conn.Incomplete() {
		return
	}
	if at := d.invariants.AllowWait(conn.Timer, lastProgress(conn), downstream.ErrorDeadline); at < conn.Timer {
		d.setDeadline(conn, at)
	}
}

// checkClose looks at a downstream connection that the gateway is about to end. A request that waits on it
// gets its answer.
func (d *downstreamConns) checkClose(conn *downstream.Conn, end TerminationReason) {
	req := d.requests.byID[conn.Request]
	if end == ReasonClientLeft || !conn.Busy || conn.Request == 0 || req == nil {
		return
	}
	if !d.invariants.AllowClose(&req.invariants) {
		d.write(conn.ID, downstream.AppendFailed(false))
	}
}

// requestDeadline is the time by which the request that is coming must be complete, or go on. In a graceful
// shutdown half a request is answered before SIGKILL, so that the process can end by itself.
func (d *downstreamConns) requestDeadline(conn *downstream.Conn) time.Duration {
	until := conn.RequestDeadline()
	if d.shutdown.stopping() {
		until = min(until, d.shutdown.killAt-endBeforeKill)
	}
	return d.invariants.AllowWait(until, lastProgress(conn), downstream.ErrorDeadline)
}

// lingerDeadline is the time until which the end of a connection waits for its client's own.
func (d *downstreamConns) lingerDeadline() time.Duration {
	if d.shutdown.stopping() {
		return min(d.now+downstream.LingerTimeout, max(d.now, d.shutdown.killAt))
	}
	return d.now + downstream.LingerTimeout
}
