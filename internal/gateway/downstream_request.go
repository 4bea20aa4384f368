package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
)

// statusBadRequest answers a request that cannot be taken as it is.
const statusBadRequest = 400

// overloadedEighths of the downstream connections in requests are an overload.
const overloadedEighths = 7

// advance takes the next request of a connection, if it is complete and none is in progress.
func (d *downstreamConns) advance(conn *downstream.Conn) {
	for !conn.Busy && !conn.Ended {
		incoming, whole := conn.Next(d.classes.find)
		if !whole {
			d.awaitRequest(conn)
			return
		}
		conn.Closing = conn.Closing || incoming.Closes || d.shutdown.stopping() && !d.restart.handedOver()
		d.takeRequest(conn, incoming)
	}
	if conn.Busy && !conn.Upload && conn.Overfull() {
		d.pauseReading(conn)
	}
}

// awaitRequest bounds the time for the rest of a request from its first byte on; that of a first request has
// run since the accept. Guards against a new connection whose timer has just fallen due and whose last read
// brought the first byte: it is set in any case.
func (d *downstreamConns) awaitRequest(conn *downstream.Conn) {
	if !conn.Pending() {
		return
	}
	if !conn.RequestTimed {
		if conn.HasRequested {
			conn.RequestBegan = d.now
		}
		conn.RequestTimed = true
		d.setDeadline(conn, d.requestDeadline(conn))
	}
	if conn.AwaitsContinue() {
		d.write(conn.ID, downstream.ContinueResponse())
	}
}

// takeRequest answers a request itself or passes it to the balancer.
func (d *downstreamConns) takeRequest(conn *downstream.Conn, incoming downstream.Incoming) {
	conn.RequestTimed, conn.HasRequested, conn.RequestBytes = false, true, 0
	// Where the body of a malformed request ends, and the next one begins, is not known.
	conn.DiscardBody = incoming.Fault != nil && incoming.Closes
	class := incoming.Request.Class.Name
	switch {
	case incoming.Fault != nil:
		if class != "" {
			d.stats.countResult(class, outcomeFailed)
		}
		d.logFaulty(conn, incoming.Request.ID, incoming.Fault.Status, incoming.Fault.Text)
		d.reply(conn, downstream.FaultResponse(incoming.Fault, !conn.Closing))
		return
	case incoming.Health:
		d.reply(conn, downstream.HealthResponse(d.healthy(), !conn.Closing))
		return
	case d.requests.openIDs[incoming.Request.ID]:
		// An endpoint could not tell two requests of one id apart: the second would run in the first one's
		// name.
		d.stats.countResult(class, outcomeFailed)
		d.logFaulty(conn, incoming.Request.ID, statusBadRequest, "the id of an open request")
		conn.Upload = incoming.Large
		keep := d.finishRequest(conn)
		d.reply(conn, downstream.DuplicateIDResponse(keep))
		return
	}
	if reason, rejected := d.rejects(conn.TimeLeft(d.now, incoming.Request.ClientTimeout)); rejected {
		after := d.cfg.Settings.Config.MaxRetryAfter
		d.stats.countResult(class, outcomeRejected)
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
	read := incoming.Request
	req := d.requests.add(read, conn)
	conn.Busy, conn.Request = true, req.id
	conn.Requests++
	d.logTaken(req)
	if incoming.Large {
		d.uploads.begin(req, conn)
	}
	d.dispatchNeeded = true
	d.balancer.RequestArrived(d.now, balancer.Request{
		ID:            req.id,
		Class:         read.Class.Index,
		ClientTimeout: read.ClientTimeout,
		Retry:         read.Retry,
		Elapsed:       d.now + read.ClientTimeout - req.deadline,
	})
}

// healthy reports whether this gateway can serve: it has endpoints, and it or its successor takes clients.
func (d *downstreamConns) healthy() bool {
	return d.discovery.endpoints.Len() > 0 && (!d.shutdown.stopping() || d.restart.handedOver())
}

// rejects reports whether a request is rejected before the balancer hears of it, and why. left is what its
// client has left.
func (d *downstreamConns) rejects(left time.Duration) (rejectionReason, bool) {
	switch {
	case left <= 0:
		return rejectedExpired, true
	case len(d.requests.byID) >= d.cfg.Settings.Gateway.MaxOpenRequests:
		return rejectedTooManyOpen, true
	case d.overloaded():
		return rejectedOverloaded, true
	case d.shutdown.tooLate(left):
		return rejectedTooLate, true
	}
	return 0, false
}

// overloaded reports whether requests hold nearly all connections, so that hardly any could give way to those
// that wait at the listener. Guards against an overload of queued requests in which new clients wait unread
// for longer than they have; rejecting at once frees a connection. With a successor nobody waits here: see
// resize.
func (d *downstreamConns) overloaded() bool {
	return d.restart.successor == nil && len(d.requests.byID) > d.conns.Max*overloadedEighths/8
}

// reply writes an answer of the gateway's own to what never went to the balancer.
func (d *downstreamConns) reply(conn *downstream.Conn, data []byte) {
	conn.Busy = true
	d.writeFinal(conn, data)
}

// writeFinal writes an answer and bounds the time for the client to take it. Guards against a client that
// never reads and holds its connection, and the exit, for ever.
func (d *downstreamConns) writeFinal(conn *downstream.Conn, data []byte) {
	conn.Request = 0
	d.setDeadline(conn, d.now+downstream.ResponseWriteTimeout)
	d.write(conn.ID, data)
}

// answer writes the final answer of a request.
func (d *downstreamConns) answer(req *request, conn *downstream.Conn, data []byte) {
	req.client = 0
	d.writeFinal(conn, data)
}

// finishRequest reports whether a connection stays open after the answer that is written next. It does not if its
// request's body has not ended, for where the next request begins is not known (the rest of the body is
// discarded), nor if clients wait for its descriptor.
func (d *downstreamConns) finishRequest(conn *downstream.Conn) bool {
	if conn.Upload {
		conn.Upload, conn.Closing, conn.DiscardBody = false, true, true
		d.resumeReading(conn)
	}
	conn.Closing = conn.Closing || d.clientsWaiting()
	return !conn.Closing
}
