package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/loop"
)

// timerDue decides what happens to a connection whose deadline has passed.
func (d *downstreamConns) timerDue(c loop.Conn) {
	conn := d.conns.ByConn[c]
	if conn != nil {
		conn.Timer = 0
		defer func() {
			if d.conns.ByConn[c] == conn {
				d.conns.Requeue(conn)
				d.checkDeadline(conn)
			}
		}()
	}
	switch {
	case conn == nil:
	case conn.Ended:
		d.drop(conn, ReasonAnswered)
	case d.relays.byConn[c] != nil && !d.relays.byConn[c].writing:
		d.setDeadline(conn, d.now+downstream.ResponseWriteTimeout) // the client has taken all that there was
	case conn.Busy && conn.Request == 0:
		d.drop(conn, ReasonClientTimeout)
	case conn.Upload && !conn.Incomplete():
		d.setDeadline(conn, d.now+downstream.StreamReadTimeout) // the endpoint is waited for
	case conn.Upload && d.now < d.requestDeadline(conn):
		d.setDeadline(conn, d.requestDeadline(conn))
	case conn.Upload:
		d.logIncomplete(conn)
		d.uploads.abort(d.requests.byID[conn.Request], conn, downstream.TimeoutResponse())
	case conn.Busy:
	case conn.Pending() && d.now < d.requestDeadline(conn):
		d.setDeadline(conn, d.requestDeadline(conn))
	case conn.Pending():
		conn.Closing = true
		d.logIncomplete(conn)
		d.reply(conn, downstream.TimeoutResponse())
	case conn.Requests == 1 && !d.shutdown.closing() && !(d.conns.OverReuseLimit() && d.restart.alone()) &&
		d.now < conn.Since+downstream.IdleTimeout:
		// It got the shorter time as there were many connections. Now there are few, or an upgrade has begun.
		d.setDeadline(conn, conn.Since+downstream.IdleTimeout)
	default:
		d.readThenClose(conn)
	}
}

// setDeadline sets the time at which a connection is looked at again. Guards against a client that stopped in
// the middle of a request and is waited for longer than it is owed an error.
func (d *downstreamConns) setDeadline(conn *downstream.Conn, at time.Duration) {
	if conn.Incomplete() {
		at = d.invariants.LimitWait(at, lastProgress(conn), downstream.ErrorDeadline)
	}
	conn.Timer = at
	d.setTimer(timerDownstream, uint64(conn.ID), at)
}

// lastProgress is the time from which a client that has stopped is owed an error or a close.
func lastProgress(conn *downstream.Conn) time.Duration {
	return max(conn.LastReceived(), conn.RequestBegan)
}

// clearDeadline leaves the end of a connection to its request alone.
func (d *downstreamConns) clearDeadline(conn *downstream.Conn) {
	conn.Timer = 0
	d.stopTimer(timerDownstream, uint64(conn.ID))
}

// checkDeadline checks a connection after an event on it: something must end it, and half a request must end
// in time. A final read is answered in the same round.
func (d *downstreamConns) checkDeadline(conn *downstream.Conn) {
	request := conn.Busy && conn.Request != 0 || conn.FinalRead
	if !d.invariants.CheckDeadline(conn.Timer != 0, request) {
		d.setDeadline(conn, d.now+downstream.RequestReadTimeout)
	}
	if conn.Timer == 0 || !conn.Incomplete() {
		return
	}
	if at := d.invariants.LimitWait(conn.Timer, lastProgress(conn), downstream.ErrorDeadline); at < conn.Timer {
		d.setDeadline(conn, at)
	}
}

// checkClose checks a connection that is about to be closed. A request that waits on it gets its answer.
func (d *downstreamConns) checkClose(conn *downstream.Conn, end TerminationReason) {
	req := d.requests.byID[conn.Request]
	if end == ReasonClientLeft || !conn.Busy || conn.Request == 0 || req == nil {
		return
	}
	if !d.invariants.AllowClose(&req.invariants) {
		d.write(conn.ID, downstream.FailedResponse(false))
	}
}

// requestDeadline is the time by which the request under way must be complete, or go on. In a graceful
// shutdown half a request is answered before SIGKILL, so that the process can exit by itself.
func (d *downstreamConns) requestDeadline(conn *downstream.Conn) time.Duration {
	until := conn.RequestDeadline()
	if d.shutdown.stopping() {
		until = min(until, d.shutdown.answerBy-endBeforeKill)
	}
	return d.invariants.LimitWait(until, lastProgress(conn), downstream.ErrorDeadline)
}

// lingerDeadline is the time until which the end of a connection waits for its client's close.
func (d *downstreamConns) lingerDeadline() time.Duration {
	if d.shutdown.stopping() {
		return min(d.now+downstream.LingerTimeout, max(d.now, d.shutdown.answerBy))
	}
	return d.now + downstream.LingerTimeout
}
