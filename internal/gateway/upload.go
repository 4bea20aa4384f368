package gateway

import (
	"bytes"
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// uploadWriteTimeout is how long an endpoint may take nothing of a body. While a piece is being written the client is not
// read, and may have stopped sending; it must get an error within downstream.ErrorDeadline regardless of its endpoint.
const uploadWriteTimeout = 2500 * time.Millisecond

// uploadCheckInterval is the time between two looks at the queues of an upload while pieces of it are being written.
const uploadCheckInterval = 100 * time.Millisecond

// uploads passes on request bodies that are too large to be buffered. The state of each upload is stored with
// its request.
type uploads struct {
	*core
	attempts   *attemptTable
	downstream *downstreamConns
	requests   *requestTable
}

// upload is a request body that is passed from the client to an endpoint, one piece at a time.
type upload struct {
	length      int64         // of the body; -1 if it is sent in chunks
	attempt     *attempt      // the attempt whose endpoint has received the head; nil before
	writing     bool          // a piece is being written to the endpoint
	consumed    bool          // a part was written to an endpoint: the body cannot be sent again
	complete    bool          // the last piece has been received from the client
	completedAt time.Duration // if complete: earliest time at which the client may have written its last byte
	lastPiece   []byte        // the last piece, while lastHeld
	lastHeld    bool          // the last piece is not yet written: the gateway looks whether the client is still there
	progress    downstream.WriteProgress
	checkAt     time.Duration // when the queues of both connections are looked at next, while a piece is being written
}

// begin makes a connection with the first part of a body wait until the balancer has chosen an endpoint. If
// more data arrive before that, reading is paused. Until reading is paused, a client that has stopped sending
// can be distinguished from a client that waits for the gateway.
func (u *uploads) begin(req *request, conn *downstream.Conn) {
	req.upload = &upload{length: conn.BeginStream()}
	u.downstream.setDeadline(conn, u.downstream.requestDeadline(conn))
}

// readable reads more of a body only while all received data have been written out, so that the client sends at
// the endpoint's pace. Before that it looks at the receive buffer: if it is full, the client may have written more than has
// arrived.
func (u *uploads) readable(conn *downstream.Conn) {
	u.emit(loop.Effect{Op: loop.ReportQueues, Conn: conn.ID})
	if req := u.requests.byID[conn.RequestID]; !conn.ReadingPaused && (req.upload.attempt == nil || req.upload.writing) {
		u.downstream.pauseReading(conn)
		return
	}
	u.downstream.read(conn)
}

// observeUnread records what waits in the receive buffer of a connection with a streamed body.
func (u *uploads) observeUnread(conn *downstream.Conn, queues loop.QueueSizes) {
	before := conn.MayBeBlocked()
	conn.ObserveUnread(u.now, queues.Unread, queues.ReceiveFull)
	if conn.MayBeBlocked() != before {
		u.logBlocked(conn, queues)
	}
}

// pump writes the part of a body received so far to the endpoint, unless a write is in progress.
func (u *uploads) pump(req *request) {
	up, conn := req.upload, u.downstream.conns.ByConn[req.client]
	if up.attempt == nil || up.writing || up.complete || conn == nil {
		return
	}
	piece, done, fault := conn.ReadStream(u.takeScratch())
	u.keepScratch(piece)
	u.settleClient(conn)
	switch {
	case fault != nil:
		u.abort(req, conn, downstream.FaultResponse(fault, false))
	case done:
		u.holdLast(req, conn, piece)
	case len(piece) == 0:
		u.downstream.resumeReading(conn)
	default:
		u.downstream.resumeReading(conn)
		u.writePiece(up, piece, false)
	}
}

// holdLast keeps the last piece until one more read shows whether the client has closed its connection: the end of its
// sending may stand behind all of the body, and an endpoint must not get the whole request of a client that has left.
// The result of the read arrives in the same turn of the loop.
func (u *uploads) holdLast(req *request, conn *downstream.Conn, piece []byte) {
	up := req.upload
	up.complete, up.completedAt, conn.Upload = true, conn.BodySent(), false
	up.lastHeld, up.lastPiece = true, bytes.Clone(piece)
	u.settleRequest(req)
	u.downstream.clearDeadline(conn)
	u.downstream.resumeReading(conn)
	u.downstream.read(conn)
}

// clientPresent continues an upload whose last piece is held, once a read has shown that its client is still there.
func (u *uploads) clientPresent(conn *downstream.Conn) {
	if req := u.requests.byID[conn.RequestID]; req != nil && req.upload != nil && req.upload.lastHeld &&
		req.upload.attempt != nil {
		u.writeLast(req)
	}
}

// writeLast writes the last piece.
func (u *uploads) writeLast(req *request) {
	up := req.upload
	piece := up.lastPiece
	up.lastHeld, up.lastPiece = false, nil
	u.settleRequest(req)
	u.writePiece(up, piece, true)
}

// writePiece writes a piece of a body to the endpoint.
func (u *uploads) writePiece(up *upload, piece []byte, last bool) {
	up.consumed, up.writing = up.consumed || len(piece) > 0, true
	u.beginWrite(up.attempt)
	u.attempts.writeUpstream(up.attempt.conn, loop.Write, framePiece(piece, up.length < 0, last))
}

// beginWrite starts the time in which the endpoint must take some of what is written next, the head or a piece.
func (u *uploads) beginWrite(att *attempt) {
	up := att.request.upload
	up.progress.Begin(u.now)
	if up.checkAt <= u.now {
		up.checkAt = u.now + uploadCheckInterval
	}
	u.setTimer(timerAttempt, att.id, up.checkAt)
}

// checkWrite ends an attempt whose endpoint takes nothing of the request any more, or whose client's time is over.
// Otherwise it looks at the queues of both connections again.
func (u *uploads) checkWrite(att *attempt) {
	deadline, begun := u.deadline(att.request)
	if begun && u.now >= deadline || att.request.upload.progress.Stalled(u.now, uploadWriteTimeout) {
		u.attempts.expire(att)
		return
	}
	next := u.now + uploadCheckInterval
	if begun {
		next = min(next, deadline)
	}
	att.request.upload.checkAt = next
	u.setTimer(timerAttempt, att.id, next)
	u.emit(loop.Effect{Op: loop.ReportQueues, Conn: att.conn.ID})
	if !att.request.upload.complete {
		u.emit(loop.Effect{Op: loop.ReportQueues, Conn: att.request.client})
	}
}

// deadline returns when the client's timeout ends. It returns false while the client has not yet sent its last byte.
func (u *uploads) deadline(req *request) (at time.Duration, begun bool) {
	if req.upload.complete {
		return req.upload.completedAt + req.ClientTimeout, true
	}
	if conn := u.downstream.conns.ByConn[req.client]; conn != nil {
		return conn.UploadDeadline(req.ClientTimeout)
	}
	return 0, false
}

// flushed continues after the head or a piece has been written out.
func (u *uploads) flushed(att *attempt) {
	up := att.request.upload
	u.stopTimer(timerAttempt, att.id)
	up.attempt, up.writing = att, false
	switch {
	case up.lastHeld:
		u.writeLast(att.request)
	case up.complete:
		u.written(att)
	default:
		u.pump(att.request)
	}
}

// written begins the time of a request that has been written out completely: from now on the endpoint executes it. The
// client's timeout counts from the client's last byte.
func (u *uploads) written(att *attempt) {
	att.conn.Phase = upstream.Awaiting
	u.stats.forwarded++
	att.startedAt, att.deadline = u.now, att.request.upload.completedAt+att.request.ClientTimeout
	att.request.deadline, att.request.invariants.Deadline = att.deadline, att.deadline
	u.setTimer(timerAttempt, att.id, att.deadline)
	u.attempts.noteProgress(att, true)
}

// abort ends a request whose client does not send its body in time, or sends a malformed body, and answers it.
func (u *uploads) abort(req *request, conn *downstream.Conn, answer []byte) {
	u.requests.abandon(req)
	u.downstream.finishRequest(conn)
	conn.Closing = true
	u.downstream.reply(conn, answer)
}
