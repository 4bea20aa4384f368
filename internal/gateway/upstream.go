package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// statusOK is the status of a response that serves its request.
const statusOK = 200

// idleTimeoutFraction is the fraction of the endpoints' idle timeout after which the gateway closes an idle
// connection, so that none is reused when its endpoint is about to close it.
const idleTimeoutFraction = 0.7

// handleEvent handles an event on an upstream connection. An idle connection has no attempt.
func (a *attemptTable) handleEvent(conn *upstream.Conn, e loop.Event) {
	att := a.byConn[conn.ID]
	defer func() {
		if a.pool.Find(conn.ID) == conn {
			a.settleUpstream(conn)
		}
	}()
	switch e.Kind {
	case loop.Readable:
		a.emit(loop.Effect{Op: loop.Read, Conn: conn.ID, Bytes: int64(a.readSize())})
	case loop.Connected:
		if att == nil {
			a.spareConnected(conn)
			return
		}
		a.setTimer(timerAttempt, att.id, att.deadline)
		a.writeRequest(att, loop.WriteIfIdle)
	case loop.Flushed:
		conn.Unwritten = 0
		switch {
		case att != nil && att.request.upload != nil && conn.Phase == upstream.Writing:
			a.uploads.flushed(att)
		case conn.Phase == upstream.Writing:
			conn.Phase = upstream.Awaiting
			a.stats.forwarded++
		}
	case loop.Queues:
		if att != nil && att.request.upload != nil {
			att.request.upload.progress.Observe(a.now, e.Queues.Undelivered)
		}
	case loop.Stale:
		conn.Unwritten = 0
		a.nothingWritten(conn, att)
	case loop.Data:
		a.handleData(conn, att, e.Data)
	case loop.EOF, loop.Broken:
		a.connBroke(conn, att, e)
	}
}

// spareConnected keeps a connection that was opened for later attempts. Its quiet time begins now.
func (a *attemptTable) spareConnected(conn *upstream.Conn) {
	conn.LastByte = a.now
	if a.mayKeepIdle(conn) {
		a.keepIdle(conn)
		return
	}
	a.dropConn(conn, ReasonIdleClosed)
}

// nothingWritten handles a connection whose endpoint has sent bytes or closed it before the request could be written. If
// the connection was idle, the attempt starts again on another one. A new connection has failed: opening further ones to
// an endpoint that does so would have no end.
func (a *attemptTable) nothingWritten(conn *upstream.Conn, att *attempt) {
	a.nothingForwarded(att)
	if conn.Requests == 1 {
		a.end(att, ReasonConnectFailed, nil)
		return
	}
	a.restart(att, ReasonIdleClosed)
}

// handleData processes bytes of a response.
func (a *attemptTable) handleData(conn *upstream.Conn, att *attempt, data []byte) {
	previousByte := conn.LastByte
	conn.LastByte = a.now
	if att == nil || conn.Phase == upstream.Quiet {
		a.unsolicited(conn, att, data, a.now-previousByte)
		return
	}
	resp, err := conn.Feed(data)
	switch {
	case err != nil:
		a.log.Debug().Err(err).Msg("response of an endpoint")
		a.end(att, ReasonMalformedResponse, nil)
	case resp != nil && premature(conn, resp):
		a.end(att, ReasonPrematureResponse, nil)
	case resp != nil:
		a.responded(att, resp)
	default:
		head := conn.Large()
		if head == nil && conn.Held() > a.buffers.Allowance() {
			head = conn.Partial() // memory is short: the response is passed on as it arrives
		}
		if head != nil && premature(conn, head) {
			a.end(att, ReasonPrematureResponse, nil)
		} else if head != nil {
			a.relays.begin(att, head)
		} else if conn.Phase == upstream.Awaiting && conn.LengthUnknown() {
			a.incompleteGrown(att)
		}
	}
}

// incompleteGrown handles more bytes of an incomplete response of unknown length.
func (a *attemptTable) incompleteGrown(att *attempt) {
	switch {
	case att.passOnAt == 0:
		a.passOnLater(att)
	case a.now >= att.passOnAt:
		a.passOnIncomplete(att, a.enoughToPassOn(att))
	}
}

// An incomplete response of unknown length may be a long one, of which only the first bytes must arrive within the client's
// timeout. It is passed on as soon as it has lasted for passOnAfter and minPassOn bytes of its body have come, however late
// that is. passOnMargin before the end of its attempt fewer bytes suffice. One of which less has come may be one that never
// ends.
const (
	passOnAfter    = time.Second
	passOnMargin   = 100 * time.Millisecond
	minPassOn      = http1.MaxBufferedBody / 8 // bytes
	minPassOnAtEnd = 1 << 10                   // bytes
)

// passOnLater sets the time from which the response of an attempt is passed on if it is still incomplete.
func (a *attemptTable) passOnLater(att *attempt) {
	att.passOnAt = max(a.now, min(a.now+passOnAfter, att.deadline-passOnMargin))
	a.setTimer(timerAttempt, att.id, att.passOnAt)
}

// passOn begins to pass on a response that is still incomplete, or sets the time of the next look. A response that does not
// serve the request must be complete by the end of the attempt.
func (a *attemptTable) passOn(att *attempt) {
	lastLook := att.deadline - passOnMargin
	switch {
	case a.passOnIncomplete(att, a.enoughToPassOn(att)):
	case a.now < lastLook:
		a.setTimer(timerAttempt, att.id, lastLook)
	default:
		a.setTimer(timerAttempt, att.id, att.deadline)
	}
}

// enoughToPassOn returns the size of the part of an incomplete response that suffices to pass it on now, in bytes.
func (a *attemptTable) enoughToPassOn(att *attempt) int {
	if a.now < att.deadline-passOnMargin {
		return minPassOn
	}
	return minPassOnAtEnd
}

// passOnIncomplete begins to pass on the response of an attempt if it is incomplete, of unknown length, serves the request
// and at least enough bytes of its body have come. It returns false otherwise.
func (a *attemptTable) passOnIncomplete(att *attempt, enough int) bool {
	if att.conn == nil || att.conn.Phase != upstream.Awaiting || !att.conn.LengthUnknown() {
		return false
	}
	head := att.conn.Partial()
	if head.Status != statusOK || att.conn.Decoded() < enough {
		return false
	}
	a.relays.begin(att, head)
	return true
}

// premature reports whether a response claims that the endpoint has served a request whose last byte is not yet written.
func premature(conn *upstream.Conn, resp *upstream.Response) bool {
	return conn.Phase == upstream.Writing && resp.Status == statusOK
}

// unsolicited closes a connection on which an endpoint has sent bytes that belong to no request, late after the
// connection's previous byte, and keeps the endpoint's other connections quiet for longer. An attempt that waits for the
// connection gets another one; att is nil without one.
func (a *attemptTable) unsolicited(conn *upstream.Conn, att *attempt, data []byte, late time.Duration) {
	a.stats.countEnd(ReasonUnsolicitedData)
	a.stats.upstream.latest = max(a.stats.upstream.latest, late)
	a.logUnsolicited(conn, data, late)
	a.pool.Distrust(conn.Endpoint, late, a.now)
	if att != nil {
		a.restart(att, ReasonUnsolicitedData)
		return
	}
	a.dropConn(conn, ReasonUnsolicitedData)
}

// connBroke ends the attempt on a connection that broke or was closed by its endpoint.
func (a *attemptTable) connBroke(conn *upstream.Conn, att *attempt, e loop.Event) {
	if att == nil {
		a.dropConn(conn, ReasonIdleClosed)
		return
	}
	switch {
	case conn.Phase == upstream.Quiet:
		a.restart(att, ReasonIdleClosed)
	case conn.Phase == upstream.Connecting && e.LocalFailure:
		a.end(att, ReasonLocalResources, nil)
	case conn.Phase == upstream.Connecting:
		a.end(att, ReasonConnectFailed, nil)
	case conn.Phase == upstream.Writing:
		a.end(att, ReasonResetBeforeSent, nil)
	default:
		if e.Kind == loop.EOF {
			if resp := conn.EndOfInput(); resp != nil {
				a.responded(att, resp)
				return
			}
		}
		a.end(att, ReasonReset, nil)
	}
}

// responded handles the complete response of an endpoint. The first response with status 200 is passed to the
// client.
func (a *attemptTable) responded(att *attempt, resp *upstream.Response) {
	end := ReasonErrorResponse
	switch {
	case resp.Status == statusOK:
		end = ReasonServed
	case resp.NeverRan && (resp.Status == 503 || resp.Status == 504):
		end = ReasonRejected
	}
	conn, req := att.conn, att.request
	if conn.Phase == upstream.Awaiting && conn.Reusable(resp) && a.mayKeepIdle(conn) {
		a.unbind(att)
		a.keepIdle(conn)
	}
	if end == ReasonServed && !req.done && a.invariants.AllowAnswer(&req.invariants) {
		a.requests.conclude(req, resultServed)
		if client := a.downstream.conns.ByConn[req.client]; client != nil {
			keep := a.downstream.finishRequest(client)
			a.downstream.answer(req, client, downstream.ServedResponse(resp.ForwardedFields(), resp.Body, keep))
		}
	}
	a.end(att, end, resp)
}

// mayKeepIdle reports whether a connection may stay open for the next request to its endpoint.
func (a *attemptTable) mayKeepIdle(conn *upstream.Conn) bool {
	return a.discovery.isReady(conn.Endpoint) && !a.shutdown.stopping() && !a.pool.OverLimit()
}

// keepIdle keeps a connection open for the next request, until shortly before its endpoint would close it.
func (a *attemptTable) keepIdle(conn *upstream.Conn) {
	a.pool.Release(conn)
	a.settleUpstream(conn)
	a.setTimer(timerUpstream, uint64(conn.ID), a.now+scale(a.cfg.Settings.Gateway.IdleTimeout, idleTimeoutFraction))
}

// dropConn closes an upstream connection.
func (a *attemptTable) dropConn(conn *upstream.Conn, end TerminationReason) {
	a.log.Debug().Uint64(fieldUpstreamConn, uint64(conn.ID)).Stringer(fieldEnd, end).
		Msg("upstream connection closed")
	a.stopTimer(timerUpstream, uint64(conn.ID))
	a.pool.Remove(conn)
	a.buffers.Charge(&conn.Memory, 0)
	delete(a.byConn, conn.ID)
	a.closeConn(conn.ID)
}

// endpointsChanged closes the idle connections to endpoints that drain, were removed, have moved or have
// restarted, and ends the attempts at one that are not yet written. No byte may be written to an endpoint
// after this gateway was notified that it leaves, and an attempt meant for an endpoint before its restart must
// not reach it in slow start after the restart.
func (a *attemptTable) endpointsChanged(changed []balancer.EndpointID) {
	if len(changed) == 0 {
		return
	}
	leaving := make(map[balancer.EndpointID]bool, len(changed))
	for _, id := range changed {
		leaving[id] = true
		a.pool.Forget(id)
		for _, conn := range a.pool.IdleTo(id) {
			a.dropConn(conn, ReasonEndpointLeft)
		}
	}
	for _, conn := range a.pool.UnwrittenTo(leaving) {
		if att := a.byConn[conn.ID]; att != nil {
			a.end(att, ReasonEndpointLeft, nil)
		} else {
			a.dropConn(conn, ReasonEndpointLeft)
		}
	}
}

// scale returns a duration multiplied by a factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// connTimerDue closes an idle connection before its endpoint does, closes a spare one that was not established in time, or
// ends the quiet time of a connection for which an attempt waits.
func (a *attemptTable) connTimerDue(c loop.Conn) {
	conn := a.pool.Find(c)
	switch {
	case conn == nil:
	case conn.Phase == upstream.Idle:
		a.dropConn(conn, ReasonIdleClosed)
	case conn.Phase == upstream.Quiet:
		a.quietTimeOver(conn)
	case conn.Phase == upstream.Connecting:
		a.dropConn(conn, ReasonConnectTimeout)
	}
}
