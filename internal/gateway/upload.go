package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// uploadWriteTimeout is how long an endpoint may take nothing of a body that is written to it. Guards against
// a client that stopped meanwhile and is not read: it is owed an error within downstream.ErrorDeadline
// whatever its endpoint does.
const uploadWriteTimeout = 2500 * time.Millisecond

// uploads passes request bodies on that are too large to be held. Each upload's state is with its request.
type uploads struct {
	*core
	attempts   *attemptTable
	downstream *downstreamConns
	requests   *requestTable
}

// upload is a request's body on its way from the client to an endpoint, one piece at a time.
type upload struct {
	length      int64         // -1: in chunks
	attempt     *attempt      // whose endpoint has the head; nil until then
	writing     bool          // a piece is not yet written out
	consumed    bool          // a part has left for an endpoint: it cannot be sent again
	complete    bool          // the last piece has been taken from the client
	completedAt time.Duration // with complete: when the client had written its last byte, at the earliest
}

// begin has a connection wait, with the first part of a body, until the balancer has chosen an endpoint. It
// is read no further once more has come: until then a client that has stopped can be told from one that
// waits.
func (u *uploads) begin(req *request, conn *downstream.Conn) {
	req.upload = &upload{length: conn.Begin()}
	u.downstream.setDeadline(conn, u.downstream.requestDeadline(conn))
}

// readable reads on only while all that has come is written out: the client goes at the endpoint's pace.
func (u *uploads) readable(conn *downstream.Conn) {
	if req := u.requests.byID[conn.Request]; !conn.Muted && (req.upload.attempt == nil || req.upload.writing) {
		u.downstream.pauseReading(conn)
		return
	}
	u.emit(loop.Effect{Op: loop.Read, Conn: conn.ID})
}

// pump writes what has come of a body to the endpoint.
func (u *uploads) pump(req *request) {
	up, conn := req.upload, u.downstream.conns.ByConn[req.client]
	if up.attempt == nil || up.writing || up.complete || conn == nil {
		return
	}
	piece, done, fault := conn.Pieces()
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
	u.write(up.attempt.conn.ID, framed(piece, up.length < 0, done))
}

// flushed goes on once the head or a piece is written out.
func (u *uploads) flushed(att *attempt) {
	up := att.request.upload
	u.stopTimer(timerAttempt, att.id)
	up.attempt, up.writing = att, false
	if !up.complete {
		u.pump(att.request)
		return
	}
	// The endpoint works from now on. The client has waited since its own last byte.
	att.conn.Phase = upstream.Awaiting
	u.stats.forwarded++
	att.began, att.deadline = u.now, up.completedAt+att.request.ClientTimeout
	att.request.deadline, att.request.invariants.Deadline = att.deadline, att.deadline
	u.setTimer(timerAttempt, att.id, att.deadline)
	u.attempts.noteProgress(att, true)
}

// abort ends a request whose client does not send its body as it should, and answers it.
func (u *uploads) abort(req *request, conn *downstream.Conn, answer []byte) {
	u.requests.abandon(req)
	u.downstream.finishRequest(conn)
	conn.Closing = true
	u.downstream.reply(conn, answer)
}
