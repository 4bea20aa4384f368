package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
)

// statusBadRequest answers a request that cannot be taken as it is.
const statusBadRequest = 400

// advance takes the next request of a connection, if it is complete and none is in work.
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

// awaitRequest bounds the time for the rest of a request, from its first byte on; timerDue gives more for
// what has come meanwhile. That of a first request has run since the accept. It is set in any case: the timer
// of a new connection may just have fallen due, and its last look has brought the first byte.
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
		d.write(conn.ID, downstream.AppendContinue())
	}
}

// takeRequest answers a request itself or makes it a request of the balancer's.
func (d *downstreamConns) takeRequest(conn *downstream.Conn, incoming downstream.Incoming) {
	conn.RequestTimed, conn.HasRequested, conn.RequestBytes = false, true, 0
	conn.DiscardBody = incoming.Fault != nil && incoming.Closes // where its body ends, and the next request begins, is not known
	switch {
	case incoming.Fault != nil:
		if incoming.Request.Class.Name != "" {
			d.stats.countResult(incoming.Request.Class.Name, outcomeFailed)
		}
		d.logFaulty(conn, incoming.Request.ID, incoming.Fault.Status, incoming.Fault.Text)
		d.reply(conn, downstream.AppendBadRequest(incoming.Fault, !conn.Closing))
		return
	case incoming.Health:
		d.reply(conn, downstream.AppendHealth(d.discovery.endpoints.Len() > 0 && (!d.shutdown.stopping() || d.restart.handedOver()), !conn.Closing))
		return
	case d.requests.openIDs[incoming.Request.ID]:
		// Two requests of one id could not be told apart at an endpoint: the second would run in the first
		// one's name.
		d.stats.countResult(incoming.Request.Class.Name, outcomeFailed)
		d.logFaulty(conn, incoming.Request.ID, statusBadRequest, "the id of an open request")
		conn.Upload = incoming.Large
		keep := d.keepAlive(conn)
		d.reply(conn, downstream.AppendConflict(keep))
		return
	}
	if reason, refused := d.rejects(conn.TimeLeft(d.now, incoming.Request.ClientTimeout)); refused {
		d.stats.countResult(incoming.Request.Class.Name, outcomeRejected)
		d.logRejected(incoming.Request.ID, reason, d.cfg.Settings.Config.MaxRetryAfter)
		conn.Upload = incoming.Large
		keep := d.keepAlive(conn)
		d.reply(conn, downstream.AppendRejected(d.cfg.Settings.Config.MaxRetryAfter, keep))
		return
	}
	d.clearDeadline(conn)
	read := incoming.Request
	d.requests.nextID++
	req := newRequest(read, d.requests.nextID, conn, d.now)
	d.requests.byID[req.id] = req
	d.requests.openIDs[read.ID] = true
	conn.Busy, conn.Request = true, req.id
	conn.Requests++
	d.logTaken(req)
	if incoming.Large {
		d.uploads.begin(req, conn)
	}
	d.notified = true
	d.balancer.RequestArrived(d.now, balancer.Request{ID: req.id, Class: read.Class.Index, ClientTimeout: read.ClientTimeout,
		Retry: read.Retry, Elapsed: d.now + read.ClientTimeout - req.deadline})
}

// rejects reports whether a request is rejected before the balancer hears of it, and why. left is what its
// client has left.
func (d *downstreamConns) rejects(left time.Duration) (rejectionReason, bool) {
	switch {
	case left <= 0:
		return rejectedExpired, true
	case len(d.requests.byID) >= d.cfg.Settings.Gateway.MaxUpstreamConns:
		return rejectedTooManyOpen, true
	case d.overloaded():
		return rejectedOverloaded, true
	case d.shutdown.tooLate(left):
		return rejectedTooLate, true
	}
	return 0, false
}

// overloaded reports whether requests hold nearly all connections, so that hardly any could give way to those
// that wait. Guards against an overload that fills every connection with held requests: whoever comes then
// would wait unheard, longer than he has time, where a rejection at once frees a connection. With a successor
// nobody waits here: see resize.
func (d *downstreamConns) overloaded() bool {
	return d.restart.successor == nil && len(d.requests.byID) > d.conns.Max*7/8
}

// reply writes an answer of the gateway's own, to what is no request.
func (d *downstreamConns) reply(conn *downstream.Conn, data []byte) {
	conn.Busy = true
	d.writeFinal(conn, data)
}

// writeFinal writes an answer and bounds the time for the client to take it: one that never reads must not
// hold its connection, nor the program's end, for ever.
func (d *downstreamConns) writeFinal(conn *downstream.Conn, data []byte) {
	conn.Request = 0
	d.setDeadline(conn, d.now+downstream.ResponseWriteTimeout)
	d.write(conn.ID, data)
}

// answer writes a request's final answer.
func (d *downstreamConns) answer(req *request, conn *downstream.Conn, data []byte) {
	req.client = 0
	d.writeFinal(conn, data)
}

// keepAlive reports whether a connection stays open after the answer that is worded now. One whose body has
// not ended must not: where its next request begins is not known. What still comes of the body is read and
// dropped. Nor does one for whose descriptor clients wait.
func (d *downstreamConns) keepAlive(conn *downstream.Conn) bool {
	if conn.Upload {
		conn.Upload, conn.Closing, conn.DiscardBody = false, true, true
		d.resumeReading(conn)
	}
	conn.Closing = conn.Closing || d.clientsWaiting()
	return !conn.Closing
}
