package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

// downstreamConns are the connections of clients and the requests that come on them.
type downstreamConns struct {
	*core
	attempts  *attemptTable
	classes   *classTable
	discovery *discoveryWatch
	listener  *listener
	relays    *relayTable
	requests  *requestTable
	restart   *hotRestart
	shutdown  *shutdown
	uploads   *uploads

	conns *downstream.Conns
}

// accepted takes a new connection.
func (d *downstreamConns) accepted(c loop.Conn) {
	added := d.conns.Add(c, d.now)
	d.logAccepted(added)
	for range singleUseBatch {
		if conn := d.conns.SingleUse(d.now); conn != nil && d.restart.alone() {
			d.readThenClose(conn)
		}
	}
	until := d.requestDeadline(added)
	if d.shutdown.closing() {
		until = min(until, d.now+downstream.LingerTimeout) // its request is on the way, or never comes
	}
	d.setDeadline(added, until)
}

// handleEvent handles an event on a connection. A response that is relayed and a body that is uploaded have
// machines of their own.
func (d *downstreamConns) handleEvent(conn *downstream.Conn, e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		if conn.Upload {
			d.uploads.readable(conn)
			return
		}
		d.emit(loop.Effect{Op: loop.Read, Conn: conn.ID})
	case loop.Data:
		if !d.handleData(conn, e.Data) {
			return
		}
	case loop.Drained:
		if conn.FinalRead && !conn.Busy && !conn.Pending() {
			d.drop(conn, ReasonIdleClosed)
		}
	case loop.EOF, loop.Broken, loop.Leaving:
		end := ReasonClientLeft
		if conn.Ended {
			end = ReasonAnswered
		}
		d.drop(conn, end)
	case loop.Flushed:
		d.flushed(conn)
	}
	if d.conns.ByConn[conn.ID] == conn {
		d.conns.Requeue(conn)
		d.checkDeadline(conn)
	}
}

// handleData takes what a client sent. It reports whether that belongs to requests that are read completely
// before they are forwarded; the rest of a body, or what is discarded, leaves the connection's place and
// deadline as they are.
func (d *downstreamConns) handleData(conn *downstream.Conn, data []byte) bool {
	conn.FinalRead = false
	if conn.Ended || conn.DiscardBody {
		// What comes after the last answer is no request. A client that is still sending is given time.
		if conn.Ended && conn.DiscardBody && d.now < conn.Since+downstream.MaxLinger {
			d.setDeadline(conn, d.now+downstream.LingerTimeout)
		}
		return false
	}
	if !conn.Busy && !conn.Pending() {
		d.logFirstByte(conn, len(data))
	}
	conn.Feed(d.now, data)
	if conn.Upload {
		d.setDeadline(conn, d.requestDeadline(conn))
		d.uploads.pump(d.requests.byID[conn.Request])
		return false
	}
	conn.RequestBytes += len(data)
	d.advance(conn)
	return true
}

// adopt goes on with an idle connection of the predecessor, for the time that it has left.
func (d *downstreamConns) adopt(c loop.Conn, state hotrestart.IdleConn) {
	idle := time.Duration(state.IdleMS) * time.Millisecond
	conn := d.conns.Add(c, d.now-idle)
	conn.HasRequested, conn.Requests = state.HasRequested, state.Requests
	d.conns.Requeue(conn)
	left := downstream.IdleTimeout - idle
	if !conn.HasRequested {
		left = downstream.RequestReadTimeout - idle
	}
	d.setDeadline(conn, d.now+max(left, 0))
	d.emit(loop.Effect{Op: loop.Unmute, Conn: c})
}

// release gives up an idle connection that is passed to the successor.
func (d *downstreamConns) release(conn *downstream.Conn) {
	d.clearDeadline(conn)
	d.conns.Remove(conn)
}

// limit sets how many connections there may be, and from how many on idle ones are closed early.
func (d *downstreamConns) limit(most, reuseLimit int) {
	d.conns.Max, d.conns.ReuseLimit = most, reuseLimit
}

// beginShutdown gives half requests the time that is left before SIGKILL.
func (d *downstreamConns) beginShutdown() {
	for _, conn := range d.conns.InOrder() {
		if conn.Incomplete() {
			d.setDeadline(conn, d.requestDeadline(conn))
		}
	}
}

// closeAfterAnswers has connections with a request close after its answer.
func (d *downstreamConns) closeAfterAnswers() {
	for _, conn := range d.conns.ByConn {
		conn.Closing = conn.Closing || conn.Busy
	}
}

// closeIdle closes the idle connections, and the others after their answers.
func (d *downstreamConns) closeIdle() {
	for _, conn := range d.conns.InOrder() {
		switch {
		case conn.Busy:
			conn.Closing = true
		case conn.Pending(): // it has its deadline
		default:
			d.readThenClose(conn)
		}
	}
}

// flushed goes on once an answer is written out, with the next request or the end of the connection.
func (d *downstreamConns) flushed(conn *downstream.Conn) {
	if r := d.relays.byConn[conn.ID]; r != nil {
		d.relays.flushed(r)
		return
	}
	if !conn.Busy || conn.Request != 0 || conn.Ended {
		return
	}
	conn.Busy, conn.Since = false, d.now
	if conn.Closing {
		// Only sending ends yet: closing with bytes unread would reset the connection and could lose the
		// answer.
		conn.Ended = true
		d.resumeReading(conn)
		d.emit(loop.Effect{Op: loop.Shutdown, Conn: conn.ID})
		d.setDeadline(conn, d.lingerDeadline())
		return
	}
	d.resumeReading(conn)
	idleTimeout := downstream.IdleTimeout
	if conn.Requests == 1 && d.conns.OverReuseLimit() && d.restart.alone() {
		idleTimeout = downstream.SingleUseIdleTimeout // there may be no new connection that closes it: see accepted
	}
	if !conn.Pending() { // else the time of the next request begins, see awaitRequest
		d.setDeadline(conn, d.now+idleTimeout)
	}
	d.restart.connIdle()
	d.conns.Requeue(conn)
	if d.shutdown.closing() && !d.restart.handedOver() {
		d.readThenClose(conn)
	}
	d.advance(conn)
}

// readThenClose closes an idle connection after one more read. Guards against losing a request that lies in
// it unread. One that comes after that read is reset, which tells the client that it was not taken; lingering
// here would read it and say nothing.
func (d *downstreamConns) readThenClose(conn *downstream.Conn) {
	conn.FinalRead = true
	d.conns.Requeue(conn)
	d.emit(loop.Effect{Op: loop.Read, Conn: conn.ID})
}

// drop ends a connection. A request that waits on it is abandoned with its attempts.
func (d *downstreamConns) drop(conn *downstream.Conn, end TerminationReason) {
	d.logClientEnd(conn, end)
	d.checkClose(conn, end)
	d.clearDeadline(conn)
	d.conns.Remove(conn)
	if r := d.relays.byConn[conn.ID]; r != nil {
		// Half an answer is out. Guards against a cut response that looks complete to the client.
		d.relays.remove(r, outcomeFailed)
		if !r.upstreamClosed {
			d.attempts.dropConn(r.upstream, end)
		}
		d.emit(loop.Effect{Op: loop.Abort, Conn: conn.ID})
	} else {
		d.closeConn(conn.ID)
	}
	d.listener.resume()
	if req := d.requests.byID[conn.Request]; conn.Request != 0 && req != nil && !req.done {
		d.requests.abandon(req)
	}
}

// pauseReading reads a connection no further. Its client's close is still noticed, though it lies behind what
// is unread: nothing may be forwarded for a client that has left.
func (d *downstreamConns) pauseReading(conn *downstream.Conn) {
	if !conn.Muted {
		conn.PauseReading(d.now)
		d.log.Debug().Uint64(fieldDownstreamConn, uint64(conn.ID)).
			Msg("downstream connection is read no further for now")
		d.emit(loop.Effect{Op: loop.Mute, Conn: conn.ID, Leaving: true})
	}
}

// resumeReading undoes pauseReading.
func (d *downstreamConns) resumeReading(conn *downstream.Conn) {
	if conn.Muted {
		conn.ResumeReading(d.now)
		d.emit(loop.Effect{Op: loop.Unmute, Conn: conn.ID})
	}
}
