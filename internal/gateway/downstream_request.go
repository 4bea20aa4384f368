package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
)

// statusBadRequest is the status logged for a request whose id is already in use by an open request.
const statusBadRequest = 400

// overloadedEighths determines when this gateway is overloaded: when the number of open requests exceeds this many
// eighths of the maximum number of downstream connections.
const overloadedEighths = 7

// advance handles the complete requests of a connection, in order, until one is in progress.
func (d *downstreamConns) advance(conn *downstream.Conn) {
	for !conn.Busy && !conn.WriteClosed {
		incoming, complete := conn.Next(d.classes.find)
		if !complete {
			d.awaitRequest(conn)
			return
		}
		conn.Closing = conn.Closing || incoming.CloseAfter || d.shutdown.stopping() && !d.restart.handedOver()
		d.takeRequest(conn, incoming)
	}
	if conn.Busy && !conn.Upload && conn.PipelineFull() {
		d.pauseReading(conn)
	}
}

// awaitRequest sets the deadline for the remainder of a partly received request, counted from its first byte;
// for the first request of a connection it is counted from the accept. The deadline is set even if it has just
// passed: the timer of a new connection may have fired just before its final read delivered the first byte.
func (d *downstreamConns) awaitRequest(conn *downstream.Conn) {
	if !conn.Pending() {
		return
	}
	if !conn.RequestDeadlineSet {
		if conn.HasRequested {
			conn.RequestStart = d.now
		}
		conn.RequestDeadlineSet = true
		d.setDeadline(conn, d.requestDeadline(conn))
	}
	if conn.AwaitsContinue() {
		d.writeClient(conn, downstream.ContinueResponse())
	}
}

// takeRequest answers a request itself or passes it to the balancer.
func (d *downstreamConns) takeRequest(conn *downstream.Conn, incoming downstream.Incoming) {
	conn.RequestDeadlineSet, conn.HasRequested, conn.RequestBytes = false, true, 0
	// After a malformed request it is not known where its body ends and the next request begins.
	conn.DiscardBody = incoming.Fault != nil && incoming.CloseAfter
	class := incoming.Request.Class.Name
	switch {
	case incoming.Fault != nil:
		if class != "" {
			d.stats.countResult(class, resultFailed)
		}
		d.logMalformed(conn, incoming.Request.ID, incoming.Fault.Status, incoming.Fault.Text)
		d.reply(conn, downstream.FaultResponse(incoming.Fault, !conn.Closing))
		return
	case incoming.Health:
		d.reply(conn, downstream.HealthResponse(d.healthy(), !conn.Closing))
		return
	case d.ids.inUse(incoming.Request):
		// An endpoint cannot distinguish two requests with the same id: the second would be executed as if it
		// were the first.
		d.stats.countResult(class, resultFailed)
		d.logMalformed(conn, incoming.Request.ID, statusBadRequest, "the id of a request that is open or may have run")
		conn.Upload = incoming.Large
		keep := d.finishRequest(conn)
		d.reply(conn, downstream.DuplicateIDResponse(keep))
		return
	}
	if reason, rejected := d.rejects(conn.RemainingTimeout(d.now, incoming.Request.ClientTimeout), incoming.Request.Class); rejected {
		after := d.cfg.Settings.Config.MaxRetryAfter
		d.stats.countResult(class, resultRejected)
		d.logRejected(incoming.Request.ID, reason, after)
		conn.Upload = incoming.Large
		keep := d.finishRequest(conn)
		d.reply(conn, downstream.RejectedResponse(after, keep))
		return
	}
	d.admit(conn, incoming)
}

// admit passes a request to the balancer.
func (d *downstreamConns) admit(conn *downstream.Conn, incoming downstream.Incoming) {
	d.clearDeadline(conn)
	parsed := incoming.Request
	req := d.requests.add(parsed, conn)
	conn.Busy, conn.RequestID = true, req.id
	conn.Requests++
	d.logRequestAccepted(req)
	if incoming.Large {
		d.uploads.begin(req, conn)
	}
	d.dispatchNeeded = true
	sentAt := req.deadline - parsed.ClientTimeout
	acceptWait := max(0, conn.AcceptedAt-sentAt)
	d.balancer.RequestArrived(d.now, balancer.Request{
		ID:            req.id,
		Class:         parsed.Class.Index,
		ClientTimeout: parsed.ClientTimeout,
		Retry:         parsed.Retry,
		Elapsed:       d.now - sentAt - acceptWait,
		AcceptWait:    acceptWait,
	})
}

// healthy reports whether this gateway can serve requests: it has endpoints, and this process or its successor
// accepts clients.
func (d *downstreamConns) healthy() bool {
	return d.discovery.endpoints.Len() > 0 && (!d.shutdown.stopping() || d.restart.handedOver())
}

// rejects reports whether a request is rejected before the balancer is notified of it, and the reason. timeLeft
// is the time until the client's timeout.
func (d *downstreamConns) rejects(timeLeft time.Duration, class downstream.Class) (rejectionReason, bool) {
	switch {
	case timeLeft <= 0:
		return rejectedExpired, true
	case len(d.requests.byID) >= d.cfg.Settings.Gateway.MaxOpenRequests:
		return rejectedTooManyOpen, true
	case d.overloaded():
		return rejectedOverloaded, true
	case d.shutdown.tooLate(timeLeft, class.Class.LatencyObjective):
		return rejectedTooLate, true
	}
	return 0, false
}

// overloaded reports whether requests occupy nearly all connections, so that hardly any connection could be
// evicted for clients that wait at the listener. During an overload of queued requests, new clients would
// otherwise wait unread for longer than their timeouts; an immediate rejection frees a connection. With a
// successor no clients wait at this process: see resize.
func (d *downstreamConns) overloaded() bool {
	return d.restart.successor == nil && len(d.requests.byID) > d.conns.Max*overloadedEighths/8
}

// reply writes an answer of the gateway itself to a request that was not passed to the balancer.
func (d *downstreamConns) reply(conn *downstream.Conn, data []byte) {
	conn.Busy = true
	conn.OwnAnswers.Add(d.turn)
	d.writeFinal(conn, data)
}

// writeFinal writes an answer and sets the deadline by which the client must have read it. Without a deadline a
// client that never reads would keep its connection open, and the process from exiting, forever.
func (d *downstreamConns) writeFinal(conn *downstream.Conn, data []byte) {
	conn.RequestID = 0
	d.beginWrite(conn)
	d.writeClient(conn, data)
	d.settleClient(conn)
}

// writeClient writes the begin of a response, or a later part of it, to a client.
func (d *downstreamConns) writeClient(conn *downstream.Conn, data []byte) {
	data = conn.UnsentPart(data)
	conn.Unwritten += len(data)
	d.write(conn.ID, data)
}

// writeStatusLineByte writes one byte of the status line of the response to the request in progress. It returns false once
// all bytes that do not depend on the status are written.
func (d *downstreamConns) writeStatusLineByte(conn *downstream.Conn) bool {
	next, left := conn.StatusLineByte()
	if left {
		conn.Unwritten += len(next)
		d.write(conn.ID, next)
	}
	return left
}

// answer writes the final answer of a request.
func (d *downstreamConns) answer(req *request, conn *downstream.Conn, data []byte) {
	req.client = 0
	d.writeFinal(conn, data)
}

// finishRequest reports whether a connection stays open after the answer that is written next. It closes if the
// request's body has not been received completely, because it is not known where the next request begins (the
// remainder of the body is discarded), or if other clients wait for its descriptor.
func (d *downstreamConns) finishRequest(conn *downstream.Conn) bool {
	if conn.Upload {
		conn.Upload, conn.Closing, conn.DiscardBody = false, true, true
		d.resumeReading(conn)
	}
	conn.Closing = conn.Closing || d.clientsWaiting()
	return !conn.Closing
}
