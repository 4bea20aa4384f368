package gateway

import (
	"slices"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/invariant"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// internal/invariant checks every effect that a rule of the platform restricts: first attempts and retries (in this
// file), final answers, the time spent waiting for a client, closes of downstream connections and the exit.

// notWritten is the invariantIndex of an attempt of which nothing has been written.
const notWritten = -1

// attemptTable holds the attempts in progress and the upstream connections that carry them.
type attemptTable struct {
	*core
	discovery  *discoveryWatch
	downstream *downstreamConns
	ids        *idRegistry
	relays     *relayTable
	requests   *requestTable
	shutdown   *shutdown
	uploads    *uploads

	pool     *upstream.Pool
	byConn   map[loop.Conn]*attempt
	byID     map[uint64]*attempt
	nextID   uint64
	ended    []attemptEnd    // ends of which the balancer is not yet notified
	progress []writeProgress // upload progress of which it is not yet notified; reported before the ends
}

// attempt is one attempt in progress.
type attempt struct {
	request    *request
	number     int
	id         uint64
	endpoint   balancer.EndpointID
	conn       *upstream.Conn
	startedAt  time.Duration // start of the attempt; with an upload, when the last byte of the body was written
	deadline   time.Duration // when the attempt ends if it is not complete
	passOnAt   time.Duration // from when its incomplete response of unknown length may be passed on; 0 before its begin
	awaitsLook bool          // it waits for the state of its client's receive buffer
	// invariantIndex is the attempt's index in the request's invariant record, notWritten before its first byte
	// is written.
	invariantIndex int
}

// attemptEnd is the end of an attempt, stored until the end of the Step, when the balancer is notified of it.
type attemptEnd struct {
	attempt  *attempt
	reason   TerminationReason
	response *upstream.Response
}

// writeProgress is the progress of an upload, stored until the end of the Step, when the balancer is notified
// of it, before the ends of attempts.
type writeProgress struct {
	attempt *attempt
	done    bool // the last byte of the body has been written
}

// reportEnds notifies the balancer of the upload progress and the ends that were stored during this Step. The
// balancer's actions may add further ends, which are reported too.
func (a *attemptTable) reportEnds() {
	for _, p := range a.progress {
		a.dispatchNeeded = true
		a.balancer.RequestWriting(a.now, p.attempt.request.id, p.attempt.number, p.done)
	}
	clear(a.progress)
	a.progress = a.progress[:0]
	for i := 0; i < len(a.ended); i++ {
		a.reportEnd(a.ended[i])
	}
	clear(a.ended)
	a.ended = a.ended[:0]
}

func (a *attemptTable) reportEnd(ended attemptEnd) {
	req := ended.attempt.request
	outcome, _ := ended.reason.attemptOutcome()
	end := balancer.AttemptEnd{
		Request:      req.id,
		Attempt:      ended.attempt.number,
		Endpoint:     ended.attempt.endpoint,
		Outcome:      outcome,
		Latency:      a.now - ended.attempt.startedAt,
		RequestDone:  req.done,
		BodyConsumed: req.upload != nil && req.upload.consumed,
	}
	if ended.response != nil && a.cfg.Settings.Gateway.QueueLengthColumn >= 0 {
		end.Reported, end.QueueLength = ended.response.HasQueueLength, ended.response.QueueLength
	}
	a.dispatchNeeded = true
	a.balancer.AttemptEnded(a.now, end)
}

// add registers a new attempt of a request. With a timeout of 0 the attempt may last until the request's
// deadline.
func (a *attemptTable) add(req *request, to balancer.EndpointID, timeout time.Duration) *attempt {
	a.nextID++
	att := &attempt{
		request: req, number: req.started, id: a.nextID, endpoint: to,
		startedAt: a.now, deadline: req.deadline, invariantIndex: notWritten,
	}
	req.started++
	req.running = append(req.running, att)
	a.byID[att.id] = att
	if timeout != 0 {
		att.deadline = min(att.deadline, a.now+timeout)
	}
	return att
}

// start writes an attempt on an idle connection to its endpoint, now or after the connection's quiet time, or opens a new
// connection for it.
func (a *attemptTable) start(att *attempt) {
	if !a.discovery.isReady(att.endpoint) {
		a.end(att, ReasonEndpointLeft, nil)
		return
	}
	if conn, writableAt := a.pool.Acquire(att.endpoint, a.now); conn != nil {
		a.reuse(att, conn, writableAt)
		return
	}
	if a.pool.Full() {
		oldest := a.pool.OldestIdle()
		if oldest == nil {
			a.end(att, ReasonNoDescriptor, nil)
			return
		}
		a.dropConn(oldest, ReasonIdleClosed)
	}
	conn := a.pool.Open(att.endpoint)
	a.bind(att, conn)
	a.dial(conn)
	connectDeadline := a.now + a.cfg.Settings.Gateway.ConnectTimeout
	a.setTimer(timerAttempt, att.id, min(att.deadline, connectDeadline))
}

// dial connects a new connection to its endpoint, which is in the list.
func (a *attemptTable) dial(conn *upstream.Conn) {
	a.stats.upstream.opened++
	a.emit(loop.Effect{Op: loop.Dial, Conn: conn.ID, Addr: a.discovery.endpoints.Find(conn.Endpoint).Addr})
}

// reuse writes an attempt on an idle connection, or makes it wait for the end of the connection's quiet time.
func (a *attemptTable) reuse(att *attempt, conn *upstream.Conn, writableAt time.Duration) {
	a.bind(att, conn)
	if writableAt > a.now {
		conn.Phase = upstream.Quiet
		a.stats.upstream.waited++
		a.setTimer(timerUpstream, uint64(conn.ID), writableAt)
		delay := time.Duration(a.requests.queued()) * (writableAt - a.now)
		if a.pool.NeedsSpare(att.endpoint, delay, a.cfg.Settings.Config.Gateways) && a.mayKeepIdle(conn) {
			a.dialSpare(att.endpoint)
		}
		return
	}
	a.stopTimer(timerUpstream, uint64(conn.ID))
	a.writeRequest(att, loop.WriteIfIdle)
}

// dialSpare opens a connection for later attempts. If it is not established in time, it is closed.
func (a *attemptTable) dialSpare(endpoint balancer.EndpointID) {
	spare := a.pool.OpenSpare(endpoint)
	a.dial(spare)
	a.setTimer(timerUpstream, uint64(spare.ID), a.now+a.cfg.Settings.Gateway.ConnectTimeout)
}

// quietTimeOver writes the attempt that has waited for a connection, or for its client to be verified. Its wait says nothing
// about its endpoint.
func (a *attemptTable) quietTimeOver(conn *upstream.Conn) {
	att := a.byConn[conn.ID]
	att.startedAt = a.now
	a.writeRequest(att, loop.WriteIfIdle)
}

// restart gives an attempt of which nothing was written another connection, since its own is unusable.
func (a *attemptTable) restart(att *attempt, end TerminationReason) {
	conn := att.conn
	a.unbind(att)
	a.dropConn(conn, end)
	a.start(att)
}

// noteProgress stores the progress of an upload, to be reported to the balancer at the end of the Step. done
// means that the last byte of the body has been written.
func (a *attemptTable) noteProgress(att *attempt, done bool) {
	a.progress = append(a.progress, writeProgress{attempt: att, done: done})
}

// bind assigns a connection to an attempt.
func (a *attemptTable) bind(att *attempt, conn *upstream.Conn) {
	att.conn = conn
	a.byConn[conn.ID] = att
}

// writeRequest writes the request to the endpoint, unless the attempt must not be written any more.
func (a *attemptTable) writeRequest(att *attempt, op loop.Op) {
	if a.verifyClient(att) {
		return
	}
	if end, suppress := a.suppressed(att); suppress {
		a.end(att, end, nil)
		return
	}
	if !a.ids.claim(att.request) {
		a.nothingForwarded(att)
		a.ids.refuse(att.request)
		return
	}
	att.conn.Phase = upstream.Writing
	if att.conn.Requests++; att.conn.Requests > 1 {
		a.stats.upstream.reused++
	}
	a.logAttemptWritten(att)
	if req := att.request; req.upload != nil {
		// The head is written alone: if the connection turns out to be dead, no part of the body is lost.
		a.noteProgress(att, false)
		a.uploads.beginWrite(att)
		head := upstream.AppendHead(nil, req.Message, req.upload.length, a.requests.timeLeft(req))
		a.writeUpstream(att.conn, op, head)
		return
	}
	a.writeUpstream(att.conn, op, upstream.AppendRequest(nil, att.request.Message, att.deadline-a.now))
}

// nothingForwarded records that an attempt that was allowed is not written.
func (a *attemptTable) nothingForwarded(att *attempt) {
	att.request.invariants.AttemptEnded(att.invariantIndex, true)
	att.invariantIndex = notWritten
}

// writeUpstream writes to an endpoint.
func (a *attemptTable) writeUpstream(conn *upstream.Conn, op loop.Op, data []byte) {
	conn.Unwritten += len(data)
	a.settleUpstream(conn)
	a.emit(loop.Effect{Op: op, Conn: conn.ID, Data: data})
}

// unbind detaches the connection from an attempt.
func (a *attemptTable) unbind(att *attempt) {
	delete(a.byConn, att.conn.ID)
	att.conn = nil
}

// end ends an attempt and closes its connection if it still has one, so that a late response cannot reach
// another request. A connection on which nothing of the attempt was written stays open if it was in its quiet time. The
// balancer is notified at the end of the Step.
func (a *attemptTable) end(att *attempt, end TerminationReason, resp *upstream.Response) {
	a.logAttemptEnd(att, end, resp)
	if conn := att.conn; conn != nil {
		a.unbind(att)
		if conn.Phase == upstream.Quiet && a.mayKeepIdle(conn) {
			a.keepIdle(conn)
		} else {
			a.dropConn(conn, end)
		}
	}
	a.stopTimer(timerAttempt, att.id)
	delete(a.byID, att.id)
	req := att.request
	if outcome, _ := end.attemptOutcome(); att.invariantIndex != notWritten {
		req.invariants.AttemptEnded(att.invariantIndex, outcome.NeverRan())
	}
	if req.upload != nil {
		req.upload.attempt, req.upload.writing = nil, false
	}
	req.running = slices.DeleteFunc(req.running, func(running *attempt) bool { return running == att })
	a.requests.release(req)
	a.stats.countEnd(end)
	a.ended = append(a.ended, attemptEnd{attempt: att, reason: end, response: resp})
}

// timerDue ends an attempt whose deadline has passed. The write of a large body is looked at instead.
func (a *attemptTable) timerDue(id uint64) {
	att := a.byID[id]
	switch {
	case att == nil:
	case att.conn.Phase == upstream.Writing && att.request.upload != nil:
		a.uploads.checkWrite(att)
	case att.passOnAt != 0 && a.now < att.deadline:
		a.passOn(att)
	default:
		a.expire(att)
	}
}

// expire ends an attempt that must not wait any longer. The reason depends on the phase of its connection.
func (a *attemptTable) expire(att *attempt) {
	switch {
	case att.conn.Phase == upstream.Connecting:
		a.end(att, ReasonConnectTimeout, nil)
	case att.conn.Phase == upstream.Quiet:
		a.end(att, ReasonRequestOver, nil)
	case att.conn.Phase == upstream.Writing:
		a.end(att, ReasonResetBeforeSent, nil)
	default:
		a.end(att, ReasonResponseTimeout, nil)
	}
}

// suppressed reports whether an attempt must not be written now, and with which reason it ends in that case.
// Time has passed since the balancer's decision: the endpoint may have left, or the dedup window or the
// client's timeout may have expired.
func (a *attemptTable) suppressed(att *attempt) (end TerminationReason, suppress bool) {
	endpoint := a.discovery.endpoints.Find(att.endpoint)
	switch {
	case !a.discovery.isReady(att.endpoint):
		return ReasonEndpointLeft, true
	case a.now >= att.deadline:
		return ReasonConnectTimeout, true
	case !a.balancer.MayStartAttempt(a.now, att.request.id, att.number):
		return ReasonDedupWindowOver, true
	}
	index, ok := a.invariants.AllowAttempt(&att.request.invariants, invariant.Attempt{
		Now:               a.now,
		AnnouncedDeadline: att.deadline,
		Endpoint: invariant.Endpoint{
			Zone: endpoint.Zone, Cell: endpoint.Cell, Leaving: !a.discovery.isReady(att.endpoint),
		},
	})
	if !ok {
		return ReasonRequestOver, true
	}
	att.invariantIndex = index
	return 0, false
}
