package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// What is read of large responses ahead of their clients, of one and of all. Guards against losing the end of
// a response whose endpoint resets the connection soon after its last byte, which takes what lies unread with
// it.
const (
	maxRelayBuffer      = 256 << 10
	maxTotalRelayBuffer = 2 << 20
)

// relayReadTimeout is how long an endpoint may send nothing of an answer that has begun.
const relayReadTimeout = 10 * time.Second

// relayTable holds the large responses on their way to clients.
type relayTable struct {
	*core
	attempts   *attemptTable
	downstream *downstreamConns
	requests   *requestTable

	byConn   map[loop.Conn]*relay // by either connection
	buffered int                  // bytes of all that were read and wait for clients
}

// relay is a large response on its way from an endpoint to a client, one piece at a time. For the balancer
// its attempt has ended.
type relay struct {
	downstream     *downstream.Conn
	upstream       *upstream.Conn
	id             string // the client's, of the request
	began          time.Duration
	length         int64 // of the answer; -1 where it is not stated
	received       int   // bytes of the body since it is relayed
	class          string
	chunked        bool // how the answer goes to the client
	reusable       bool // the upstream connection may carry another request afterwards
	writing        bool // a piece is not yet written out
	paused         bool // the endpoint waits for the client
	complete       bool // the last piece has come
	buffered       int  // bytes that were read and wait for the client
	upstreamClosed bool // the endpoint's connection has ended, and all of the answer was read before
}

// begin takes a response that is too large to be held. A 200 is passed on as it comes; of others only the
// head matters.
func (t *relayTable) begin(att *attempt, a *upstream.Response) {
	req, conn := att.request, att.conn
	c := t.downstream.conns.ByConn[req.client]
	if a.Status != 200 || req.done || c == nil || !t.invariants.AllowAnswer(&req.invariants) {
		t.attempts.responded(att, a)
		return
	}
	reusable := a.KeepAlive && conn.Phase == upstream.Awaiting
	length := conn.Begin()
	chunked := length < 0 && req.Message.Minor > 0
	keep := t.downstream.finishRequest(c)
	if length < 0 && !chunked { // HTTP/1.0 has no chunks: the connection's end is the body's
		keep, c.Closing = false, true
	}
	r := &relay{
		downstream: c, upstream: conn, id: req.ID, class: req.Class.Name, began: t.now,
		length: length, chunked: chunked, reusable: reusable,
	}
	t.byConn[c.ID], t.byConn[conn.ID] = r, r
	t.attempts.unbind(att)
	conn.Phase = upstream.Relaying
	req.done, req.client, c.Request = true, 0, 0
	t.attempts.end(att, ReasonServed, a)
	t.requests.release(req)
	t.write(c.ID, http1.AppendResponseHead(nil, 200, a.Forwarded(), length, req.Message.Minor, keep))
	r.writing = true
	t.downstream.setDeadline(c, t.now+downstream.ResponseWriteTimeout)
	t.setTimer(timerUpstream, uint64(conn.ID), t.now+relayReadTimeout)
}

// handleEvent handles an event on the upstream connection.
func (t *relayTable) handleEvent(r *relay, e loop.Event) {
	if r.complete && (e.Kind == loop.EOF || e.Kind == loop.Broken) {
		r.reusable = false
		return
	}
	switch e.Kind {
	case loop.Readable:
		// An event on a muted connection means that it is broken: see loop.Mute.
		if r.writing && !r.paused && !t.mayReadAhead(r) {
			r.paused = true
			t.emit(loop.Effect{Op: loop.Mute, Conn: e.Conn})
			return
		}
		t.emit(loop.Effect{Op: loop.Read, Conn: e.Conn})
	case loop.Data:
		r.received += len(e.Data)
		r.upstream.Take(e.Data)
		r.buffered += len(e.Data)
		t.buffered += len(e.Data)
		t.setTimer(timerUpstream, uint64(e.Conn), t.now+relayReadTimeout)
		t.pump(r)
	case loop.EOF:
		if !r.upstream.EndsByClose() && !r.upstream.Complete() {
			t.logRelayCut(r, "its host ended it", nil)
			t.downstream.drop(r.downstream, ReasonReset)
			return
		}
		t.upstreamEnded(r)
	case loop.Broken:
		if !r.upstream.Complete() { // with no length, a reset is no end
			t.logRelayCut(r, "its connection broke", e.Err)
			t.downstream.drop(r.downstream, ReasonReset)
			return
		}
		t.upstreamEnded(r)
	}
}

// mayReadAhead reports whether more of a response may be read though its client has not taken what was read
// before.
func (t *relayTable) mayReadAhead(r *relay) bool {
	return r.buffered < maxRelayBuffer && t.buffered < maxTotalRelayBuffer
}

// upstreamEnded ends the upstream side of a response that was read to its end. The rest goes out as the
// client takes it.
func (t *relayTable) upstreamEnded(r *relay) {
	r.upstreamClosed, r.reusable = true, false
	delete(t.byConn, r.upstream.ID)
	t.attempts.dropConn(r.upstream, ReasonServed)
	t.pump(r)
}

// pump writes what has come of a response to the client.
func (t *relayTable) pump(r *relay) {
	if r.writing || r.complete {
		return
	}
	piece, done, err := r.upstream.Pieces()
	t.releaseBuffer(r)
	if err != nil {
		t.log.Debug().Err(err).Msg("response of an endpoint")
		t.downstream.drop(r.downstream, ReasonMalformedResponse)
		return
	}
	done = done || r.upstreamClosed // what is read to its end without a length has no other
	if len(piece) > 0 || done {
		t.writePiece(r, piece, done)
	}
}

// releaseBuffer notes that all that was read ahead is being written to the client.
func (t *relayTable) releaseBuffer(r *relay) {
	t.buffered -= r.buffered
	r.buffered = 0
}

// writePiece writes a piece of the response to the client.
func (t *relayTable) writePiece(r *relay, piece []byte, last bool) {
	r.complete = last
	data := framed(piece, r.chunked, last)
	if len(data) == 0 {
		t.flushed(r) // an end that takes no byte
		return
	}
	r.writing = true
	t.downstream.setDeadline(r.downstream, t.now+downstream.ResponseWriteTimeout)
	t.write(r.downstream.ID, data)
}

// flushed goes on once a piece is written out, or ends the response with the last one.
func (t *relayTable) flushed(r *relay) {
	r.writing = false
	if !r.complete {
		if t.pump(r); r.paused && (!r.writing || t.mayReadAhead(r)) && t.byConn[r.upstream.ID] == r {
			r.paused = false
			t.emit(loop.Effect{Op: loop.Unmute, Conn: r.upstream.ID})
		}
		return
	}
	conn, c := r.upstream, r.downstream
	t.remove(r, outcomeServed)
	if r.upstreamClosed {
		t.downstream.flushed(c)
		return
	}
	if r.paused {
		t.emit(loop.Effect{Op: loop.Unmute, Conn: conn.ID})
	}
	if r.reusable && conn.Clean() && t.attempts.mayKeepIdle(conn) {
		t.attempts.keepIdle(conn)
	} else {
		t.attempts.dropConn(conn, ReasonServed)
	}
	t.downstream.flushed(c)
}

// remove forgets a relay that has ended.
func (t *relayTable) remove(r *relay, how finalResult) {
	delete(t.byConn, r.downstream.ID)
	delete(t.byConn, r.upstream.ID)
	t.releaseBuffer(r)
	t.requests.relayEnded(r.id, r.class, how)
}

// timerDue bounds how long an endpoint may send nothing while it may.
func (t *relayTable) timerDue(r *relay) {
	if r.writing || r.paused {
		t.setTimer(timerUpstream, uint64(r.upstream.ID), t.now+relayReadTimeout)
		return
	}
	t.downstream.drop(r.downstream, ReasonResponseTimeout)
}
