package gateway

import (
	"thymebend/internal/downstream"
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

func (d *downstreamConns) handleEvent(conn *downstream.Conn, e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		if conn.Upload {
			d.uploads.readable(conn)
			return
		}
		d.emit(loop.Effect{Op: loop.Read, Conn: conn.ID})
	case loop.Data:
		conn.FinalRead = false
		if conn.Ended || conn.DiscardBody {
			// What comes after the last answer belongs to no request. A client that is still sending is given
			// time.
			if conn.Ended && conn.DiscardBody && d.now < conn.Since+downstream.MaxLinger {
				d.setDeadline(conn, d.now+downstream.LingerTimeout)
			}
			return
		}
		if !conn.Busy && !conn.Pending() {
			d.logFirstByte(conn, len(e.Data))
		}
		conn.Feed(d.now, e.Data)
		if conn.Upload {
			d.setDeadline(conn, d.requestDeadline(conn))
			d.uploads.pump(d.requests.byID[conn.Request])
			return
		}
		conn.RequestBytes += len(e.Data)
		d.advance(conn)
	case loop.Drained:
		if conn.FinalRead && !conn.Busy && !conn.Pending() {
			d.drop(conn, ReasonIdleTimeout)
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
		d.conns.Place(conn)
		d.checkDeadline(conn)
	}
}

// flushed goes on once an answer is written out: with the next request, or with the end of the connection.
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
		// Only the sending ends yet: to close a socket on which bytes are still unread would reset it, and
		// could take the answer from the client.
		conn.Ended = true
		d.resumeReading(conn)
		d.emit(loop.Effect{Op: loop.Shutdown, Conn: conn.ID})
		d.setDeadline(conn, d.lingerDeadline())
		return
	}
	d.resumeReading(conn)
	rest := downstream.IdleTimeout
	if conn.Requests == 1 && d.conns.OverReuseLimit() && d.restart.alone() {
		rest = downstream.SingleUseIdleTimeout // no new process may be left to close it, see Conns.SingleUse
	}
	if !conn.Pending() { // else the time of the next request begins, see awaitRequest
		d.setDeadline(conn, d.now+rest)
	}
	d.restart.idlePending = true
	d.conns.Place(conn)
	if d.shutdown.closing() && !d.restart.handedOver() {
		d.readThenClose(conn)
	}
	d.advance(conn)
}

// readThenClose closes an idle connection after one more look: a request that lies in it unread would be
// lost. One that comes between that look and the close, or after it, is read by nobody, and the system resets
// the connection: that tells the client that it was not taken. To linger here, as after a last answer, would
// read it and say nothing; and there is no answer to protect, for a client that asks again has read the one
// before.
func (d *downstreamConns) readThenClose(conn *downstream.Conn) {
	conn.FinalRead = true
	d.conns.Place(conn)
	d.emit(loop.Effect{Op: loop.Read, Conn: conn.ID})
}

// drop ends a downstream connection. A request in work on it has lapsed, and its attempts end with it.
func (d *downstreamConns) drop(conn *downstream.Conn, end TerminationReason) {
	d.logClientEnd(conn, end)
	d.checkClose(conn, end)
	d.clearDeadline(conn)
	d.conns.Remove(conn)
	if r := d.relays.byConn[conn.ID]; r != nil {
		// Half an answer is out: the client must be able to tell, however it is framed.
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

// pauseReading reads a connection no further. Its client's end is still told, though it lies behind what is
// not read: nothing may be sent on for one who has left.
func (d *downstreamConns) pauseReading(conn *downstream.Conn) {
	if !conn.Muted {
		conn.PauseReading(d.now)
		d.log.Debug().Uint64(fieldDownstreamConn, uint64(conn.ID)).Msg("downstream connection is read no further for now")
		d.emit(loop.Effect{Op: loop.Mute, Conn: conn.ID, Leaving: true})
	}
}

func (d *downstreamConns) resumeReading(conn *downstream.Conn) {
	if conn.Muted {
		conn.ResumeReading(d.now)
		d.emit(loop.Effect{Op: loop.Unmute, Conn: conn.ID})
	}
}
