package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// uploadWriteTimeout is how long an endpoint may take to accept a piece of a body. While a piece is being
// written the client is not read, and may have stopped sending; it must get an error within
// downstream.ErrorDeadline regardless of its endpoint.
const uploadWriteTimeout = 2500 * time.Millisecond

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
}

// begin makes a connection with the first part of a body wait until the balancer has chosen an endpoint. If
// more data arrive before that, reading is paused. Until reading is paused, a client that has stopped sending
// can be distinguished from a client that waits for the gateway.
func (u *uploads) begin(req *request, conn *downstream.Conn) {
	req.upload = &upload{length: conn.BeginStream()}
	u.downstream.setDeadline(conn, u.downstream.requestDeadline(conn))
}

// readable reads more of a body only while all received data have been written out, so that the client sends at
// the endpoint's pace.
func (u *uploads) readable(conn *downstream.Conn) {
	if req := u.requests.byID[conn.RequestID]; !conn.ReadingPaused && (req.upload.attempt == nil || req.upload.writing) {
		u.downstream.pauseReading(conn)
		return
	}
	u.emit(loop.Effect{Op: loop.Read, Conn: conn.ID})
}

// pump writes the part of a body received so far to the endpoint, unless a write is in progress.
func (u *uploads) pump(req *request) {
	up, conn := req.upload, u.downstream.conns.ByConn[req.client]
	if up.attempt == nil || up.writing || up.complete || conn == nil {
		return
	}
	piece, done, fault := conn.ReadStream()
	if fault != nil {
		u.abort(req, conn, downstream.FaultResponse(fault, false))
		return
	}
	if len(piece) == 0 && !done {
		u.downstream.resumeReading(conn)
		return
	}
	up.consumed, up.complete, up.writing = up.consumed || len(piece) > 0, done, true
	if done {
		conn.Upload, up.completedAt = false, conn.LastByteSent()
		u.downstream.clearDeadline(conn)
	}
	u.downstream.resumeReading(conn)
	u.setTimer(timerAttempt, up.attempt.id, u.now+uploadWriteTimeout)
	u.write(up.attempt.conn.ID, framePiece(piece, up.length < 0, done))
}

// flushed continues after the head or a piece has been written out.
func (u *uploads) flushed(att *attempt) {
	up := att.request.upload
	u.stopTimer(timerAttempt, att.id)
	up.attempt, up.writing = att, false
	if !up.complete {
		u.pump(att.request)
		return
	}
	// From now on the endpoint executes the request. The client's timeout counts from the client's last byte.
	att.conn.Phase = upstream.Awaiting
	u.stats.forwarded++
	att.startedAt, att.deadline = u.now, up.completedAt+att.request.ClientTimeout
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
