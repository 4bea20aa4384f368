package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

// downstreamConns manages the connections of clients and the requests read from them.
type downstreamConns struct {
	*core
	attempts  *attemptTable
	classes   *classTable
	discovery *discoveryWatch
	ids       *idRegistry
	listener  *listener
	relays    *relayTable
	requests  *requestTable
	restart   *hotRestart
	shutdown  *shutdown
	uploads   *uploads

	conns     *downstream.Conns
	postponed []loop.Conn // connections that have used their share of the turn, see downstream.OwnAnswers
}

// accepted registers a new connection and closes up to singleUseBatch idle ones that have carried only one
// request.
func (d *downstreamConns) accepted(c loop.Conn) {
	added := d.conns.Add(c, d.now)
	d.logConnAccepted(added)
	if d.listener.queued {
		d.emit(loop.Effect{Op: loop.ReportQueues, Conn: c})
	}
	for range singleUseBatch {
		if conn := d.conns.SingleUse(d.now); conn != nil && d.restart.isOnlyProcess() {
			d.readThenClose(conn)
		}
	}
	deadline := d.requestDeadline(added)
	if d.shutdown.closing() {
		deadline = min(deadline, d.now+downstream.LingerTimeout) // its request is on the way, or never arrives
	}
	d.setDeadline(added, deadline)
}

// handleEvent handles an event on a connection. Relayed responses and uploaded bodies are delegated to the
// machines relayTable and uploads.
func (d *downstreamConns) handleEvent(conn *downstream.Conn, e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		if conn.Upload {
			d.uploads.readable(conn)
			return
		}
		d.readable(conn)
	case loop.Data:
		if !d.handleData(conn, e.Data) {
			return
		}
		d.uploads.clientPresent(conn)
		d.settleClient(conn)
		d.relieve(conn)
	case loop.WouldBlock:
		if conn.FinalRead && !conn.Busy && !conn.Pending() {
			d.drop(conn, ReasonIdleClosed)
		}
		d.uploads.clientPresent(conn)
	case loop.EOF, loop.Broken, loop.PeerShutdown:
		end := ReasonClientLeft
		if conn.WriteClosed {
			end = ReasonAnswered
		}
		d.drop(conn, end)
	case loop.Flushed:
		d.flushed(conn)
	case loop.Queues:
		if !conn.HasRequested && e.Queues.LastReceivedAgo >= 0 {
			conn.ObserveWait(d.now, d.now-e.Queues.LastReceivedAgo, e.Queues.Unread)
		}
		d.uploads.observeUnread(conn, e.Queues)
		d.attempts.clientObserved(conn, e.Queues)
		d.writeChecked(conn, e.Queues.Undelivered)
	}
	if d.conns.ByConn[conn.ID] == conn {
		d.settled(conn)
	}
}

// settled completes the handling of an event on a connection that is still open.
func (d *downstreamConns) settled(conn *downstream.Conn) {
	d.settleClient(conn)
	d.conns.Requeue(conn)
	d.checkDeadline(conn)
}

// readable reads from a connection, unless it holds as much as it may while its request is in progress.
func (d *downstreamConns) readable(conn *downstream.Conn) {
	if conn.Busy && !conn.ReadingPaused && conn.PipelineFull() {
		d.pauseReading(conn)
		return
	}
	d.read(conn)
}

// read reads from a connection, as much as it may hold.
func (d *downstreamConns) read(conn *downstream.Conn) {
	d.settleClient(conn)
	d.emit(loop.Effect{Op: loop.Read, Conn: conn.ID, Bytes: int64(conn.BeginRead())})
}

// handleData processes data from a client. It returns true if the data belong to requests that are read
// completely before they are forwarded. For parts of an uploaded body and for discarded data it returns false:
// the connection's position in the eviction order and its deadline then stay unchanged.
func (d *downstreamConns) handleData(conn *downstream.Conn, data []byte) bool {
	finalRead := conn.FinalRead
	conn.FinalRead = false
	if conn.WriteClosed || conn.DiscardBody {
		// Data after the last answer are not a request. A client that is still sending gets more time.
		if conn.WriteClosed && conn.DiscardBody && d.now < conn.IdleSince+downstream.MaxLinger {
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
		d.uploads.pump(d.requests.byID[conn.RequestID])
		return false
	}
	conn.RequestBytes += len(data)
	d.advance(conn)
	if finalRead && !conn.Busy && !conn.Pending() && !conn.WriteClosed {
		d.readThenClose(conn) // only empty lines, which begin no request
	}
	return true
}

// adopt takes over an idle connection of the predecessor, for the remainder of its idle or read timeout.
func (d *downstreamConns) adopt(c loop.Conn, state hotrestart.IdleConn) {
	idle := time.Duration(state.IdleMS) * time.Millisecond
	conn := d.conns.Add(c, d.now-idle)
	conn.HasRequested, conn.Requests = state.HasRequested, state.Requests
	d.conns.Requeue(conn)
	remaining := downstream.IdleTimeout - idle
	if !conn.HasRequested {
		remaining = downstream.RequestReadTimeout - idle
	}
	d.setDeadline(conn, d.now+max(remaining, 0))
	d.emit(loop.Effect{Op: loop.ResumeReading, Conn: c})
}

// release forgets an idle connection that is passed to the successor, without closing it.
func (d *downstreamConns) release(conn *downstream.Conn) {
	d.clearDeadline(conn)
	d.conns.Remove(conn)
	d.buffers.Charge(&conn.Memory, 0)
}

// limit sets the maximum number of connections, and the number above which idle connections are closed early.
func (d *downstreamConns) limit(maxConns, reuseLimit int) {
	d.conns.Max, d.conns.ReuseLimit = maxConns, reuseLimit
}

// beginShutdown limits the deadlines of partly received requests to the time remaining before SIGKILL.
func (d *downstreamConns) beginShutdown() {
	for _, conn := range d.conns.InOrder() {
		if conn.Incomplete() {
			d.setDeadline(conn, d.requestDeadline(conn))
		}
	}
}

// closeAfterAnswers makes each connection with a request in progress close after the answer.
func (d *downstreamConns) closeAfterAnswers() {
	for _, conn := range d.conns.ByConn {
		conn.Closing = conn.Closing || conn.Busy
	}
}

// closeIdle closes the idle connections, and makes busy ones close after their answers.
func (d *downstreamConns) closeIdle() {
	for _, conn := range d.conns.InOrder() {
		switch {
		case conn.Busy:
			conn.Closing = true
		case conn.Pending(): // its deadline is already set
		default:
			d.readThenClose(conn)
		}
	}
}

// flushed is called when an answer has been written out. It continues with the next request or closes the
// connection.
func (d *downstreamConns) flushed(conn *downstream.Conn) {
	conn.Unwritten = 0
	if r := d.relays.byConn[conn.ID]; r != nil {
		d.relays.flushed(r)
		return
	}
	if !conn.Busy || conn.RequestID != 0 || conn.WriteClosed {
		return
	}
	if !conn.Closing && (conn.OwnAnswers.UsedUp(d.turn) || conn.SentFarAhead() && !conn.Postponed) {
		d.postpone(conn)
		return
	}
	conn.Postponed = false
	conn.Busy, conn.IdleSince = false, d.now
	if conn.Closing {
		// Only the sending side is closed for now: closing with unread bytes would reset the connection, and
		// the client could lose the answer.
		conn.WriteClosed = true
		d.resumeReading(conn)
		d.emit(loop.Effect{Op: loop.Shutdown, Conn: conn.ID})
		conn.WriteProgress.Begin(d.now)
		d.setDeadline(conn, d.lingerDeadline())
		return
	}
	d.resumeReading(conn)
	idleTimeout := downstream.IdleTimeout
	if conn.Requests == 1 && d.conns.OverReuseLimit() && d.restart.isOnlyProcess() {
		idleTimeout = downstream.SingleUseIdleTimeout // the method accepted closes it only when another one arrives
	}
	if !conn.Pending() { // otherwise awaitRequest sets the deadline of the next request
		d.setDeadline(conn, d.now+idleTimeout)
	}
	d.restart.connIdle()
	d.conns.Requeue(conn)
	if d.shutdown.closing() && !d.restart.handedOver() {
		d.readThenClose(conn)
	}
	d.advance(conn)
}

// readThenClose closes an idle connection after one more read, so that a request that is still unread on it is
// not lost. A request that arrives after that read gets a connection reset, which shows the client that the
// request was not accepted; a lingering close would read the request and not answer.
func (d *downstreamConns) readThenClose(conn *downstream.Conn) {
	conn.FinalRead = true
	d.conns.Requeue(conn)
	d.read(conn)
}

// drop closes a connection. A request that is waiting for its answer on it is abandoned together with its
// attempts.
func (d *downstreamConns) drop(conn *downstream.Conn, end TerminationReason) {
	d.logConnEnded(conn, end)
	d.checkClose(conn, end)
	d.clearDeadline(conn)
	d.conns.Remove(conn)
	d.buffers.Charge(&conn.Memory, 0)
	if r := d.relays.byConn[conn.ID]; r != nil {
		// Part of the answer has been sent. Aborting the connection keeps the client from taking it for complete.
		d.relays.remove(r, resultFailed)
		if !r.upstreamClosed {
			d.attempts.dropConn(r.upstream, end)
		}
		d.emit(loop.Effect{Op: loop.Abort, Conn: conn.ID})
	} else {
		d.closeConn(conn.ID)
	}
	d.listener.resume()
	if req := d.requests.byID[conn.RequestID]; conn.RequestID != 0 && req != nil && !req.done {
		d.requests.abandon(req)
	}
}

// pauseReading stops reading from a connection. The client's close is still detected, even behind unread data,
// because nothing may be forwarded for a client that has left.
func (d *downstreamConns) pauseReading(conn *downstream.Conn) {
	if !conn.ReadingPaused {
		conn.PauseReading(d.now)
		d.log.Debug().Uint64(fieldDownstreamConn, uint64(conn.ID)).
			Msg("downstream connection is read no further for now")
		d.emit(loop.Effect{Op: loop.PauseReading, Conn: conn.ID, ReportShutdown: true})
	}
}

// resumeReading reads from the connection again after pauseReading.
func (d *downstreamConns) resumeReading(conn *downstream.Conn) {
	if conn.ReadingPaused {
		conn.ResumeReading(d.now)
		d.emit(loop.Effect{Op: loop.ResumeReading, Conn: conn.ID})
	}
}
