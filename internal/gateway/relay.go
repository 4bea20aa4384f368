package gateway

import (
	"strings"
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// Maximum number of bytes read ahead of the client, for one large response and for all of them together.
// Reading ahead keeps the end of a response from being lost if the endpoint resets the connection soon after
// its last byte, because a reset discards unread data.
const (
	maxRelayBuffer      = 256 << 10
	maxTotalRelayBuffer = 2 << 20
	// relayBufferDivisor limits the bytes read ahead to a fraction of the memory for buffers, of which it is the inverse.
	relayBufferDivisor = 4
)

// relayReadTimeout is how long an endpoint may send nothing after its response has begun.
const relayReadTimeout = 10 * time.Second

// relayTable holds the large responses that are being passed to clients.
type relayTable struct {
	*core
	attempts   *attemptTable
	downstream *downstreamConns
	requests   *requestTable

	byConn   map[loop.Conn]*relay // by the downstream and by the upstream connection
	open     int                  // number of relays
	buffered int                  // bytes of all relays that were read and wait for clients
}

// relay is a large response that is passed from an endpoint to a client, one piece at a time. For the balancer
// the attempt has already ended.
type relay struct {
	downstream     *downstream.Conn
	upstream       *upstream.Conn
	id             string // the client's id of the request
	startedAt      time.Duration
	length         int64 // of the body; -1 if not stated
	received       int   // bytes of the body received since the start of the relay
	class          string
	chunked        bool // the response is sent to the client in chunks
	reusable       bool // the upstream connection may carry another request afterwards
	writing        bool // a piece is being written to the client
	paused         bool // reading from the endpoint is paused until the client catches up
	complete       bool // the last piece has been handed to the client's connection
	buffered       int  // bytes that were read and wait for the client
	upstreamClosed bool // the upstream connection has ended after the complete response was read
}

// begin starts to relay a response that is too large to be buffered. A response with status 200 is passed on as
// it is received; of other responses only the head matters.
func (t *relayTable) begin(att *attempt, resp *upstream.Response) {
	req, conn := att.request, att.conn
	client := t.downstream.conns.ByConn[req.client]
	if resp.Status != statusOK || req.done || client == nil || !t.invariants.AllowAnswer(&req.invariants) {
		t.attempts.responded(att, resp)
		return
	}
	reusable := resp.KeepAlive && conn.Phase == upstream.Awaiting
	length := conn.BeginStream()
	chunked := length < 0 && req.Message.MinorVersion > 0
	keep := t.downstream.finishRequest(client)
	if length < 0 && !chunked { // HTTP/1.0 has no chunks: the close of the connection ends the body
		keep, client.Closing = false, true
	}
	r := &relay{
		downstream: client, upstream: conn, id: strings.Clone(req.ID), class: req.Class.Name, startedAt: t.now,
		length: length, chunked: chunked, reusable: reusable,
	}
	t.byConn[client.ID], t.byConn[conn.ID] = r, r
	t.open++
	t.attempts.unbind(att)
	conn.Phase = upstream.Relaying
	req.done, req.client, client.RequestID = true, 0, 0
	t.attempts.end(att, ReasonServed, resp)
	t.requests.release(req)
	t.downstream.writeClient(client, http1.AppendResponseHead(nil, 200, resp.ForwardedFields(), length, req.Message.MinorVersion, keep))
	r.writing = true
	t.downstream.beginWrite(client)
	t.setTimer(timerUpstream, uint64(conn.ID), t.now+relayReadTimeout)
}

// handleEvent handles an event on the upstream connection.
func (t *relayTable) handleEvent(r *relay, e loop.Event) {
	defer t.settle(r)
	if r.complete && (e.Kind == loop.EOF || e.Kind == loop.Broken) {
		r.reusable = false
		return
	}
	switch e.Kind {
	case loop.Readable:
		// An event on a paused connection means that it is broken: see loop.PauseReading.
		if r.writing && !r.paused && !t.mayReadAhead(r) {
			r.paused = true
			t.emit(loop.Effect{Op: loop.PauseReading, Conn: e.Conn})
			return
		}
		t.emit(loop.Effect{Op: loop.Read, Conn: e.Conn, Bytes: int64(t.readSize())})
	case loop.Data:
		r.received += len(e.Data)
		r.upstream.LastByte = t.now
		r.upstream.FeedStream(e.Data)
		r.buffered += len(e.Data)
		t.buffered += len(e.Data)
		t.setTimer(timerUpstream, uint64(e.Conn), t.now+relayReadTimeout)
		t.pump(r)
	case loop.EOF:
		if !r.upstream.EndsByClose() && !r.upstream.Complete() {
			t.logRelayCut(r, "the endpoint closed the connection before the end of the response", nil)
			t.downstream.drop(r.downstream, ReasonReset)
			return
		}
		t.upstreamEnded(r)
	case loop.Broken:
		if !r.upstream.Complete() { // a reset does not end a response without a length
			t.logRelayCut(r, "the upstream connection broke", e.Err)
			t.downstream.drop(r.downstream, ReasonReset)
			return
		}
		t.upstreamEnded(r)
	}
}

// settle charges the upstream connection of a relay for the memory that it uses now.
func (t *relayTable) settle(r *relay) {
	if t.byConn[r.upstream.ID] == r {
		t.settleUpstream(r.upstream)
	}
}

// mayReadAhead reports whether more of a response may be read although its client has not yet taken what was
// read before.
func (t *relayTable) mayReadAhead(r *relay) bool {
	return r.buffered < min(maxRelayBuffer, t.buffers.Allowance()) &&
		t.buffered < min(maxTotalRelayBuffer, t.buffers.Limit()/relayBufferDivisor)
}

// upstreamEnded closes the upstream side of a response that has been read completely. The remainder is written
// as the client takes it.
func (t *relayTable) upstreamEnded(r *relay) {
	r.upstreamClosed, r.reusable = true, false
	delete(t.byConn, r.upstream.ID)
	t.attempts.dropConn(r.upstream, ReasonServed)
	t.pump(r)
}

// pump writes the data received so far to the client, unless a write is in progress.
func (t *relayTable) pump(r *relay) {
	if r.writing || r.complete {
		return
	}
	piece, done, err := r.upstream.ReadStream(t.takeScratch())
	t.keepScratch(piece)
	t.releaseBuffer(r)
	if err != nil {
		t.log.Debug().Err(err).Msg("response of an endpoint")
		t.downstream.drop(r.downstream, ReasonMalformedResponse)
		return
	}
	done = done || r.upstreamClosed // without a length, the close of the connection is the end
	if len(piece) > 0 || done {
		t.writePiece(r, piece, done)
	}
}

// releaseBuffer records that all data that were read ahead are now being written to the client.
func (t *relayTable) releaseBuffer(r *relay) {
	t.buffered -= r.buffered
	r.buffered = 0
}

// writePiece writes a piece of the response to the client.
func (t *relayTable) writePiece(r *relay, piece []byte, last bool) {
	r.complete = last
	data := framePiece(piece, r.chunked, last)
	if len(data) == 0 {
		t.flushed(r) // the end of the response takes no bytes
		return
	}
	r.writing = true
	t.downstream.beginWrite(r.downstream)
	t.downstream.writeClient(r.downstream, data)
	t.settleClient(r.downstream)
}

// flushed continues after a piece has been written out, or ends the response after the last piece.
func (t *relayTable) flushed(r *relay) {
	r.writing = false
	if !r.complete {
		defer t.settle(r)
		if t.pump(r); r.paused && (!r.writing || t.mayReadAhead(r)) && t.byConn[r.upstream.ID] == r {
			r.paused = false
			t.emit(loop.Effect{Op: loop.ResumeReading, Conn: r.upstream.ID})
		}
		return
	}
	conn, client := r.upstream, r.downstream
	t.remove(r, resultServed)
	if r.upstreamClosed {
		t.downstream.flushed(client)
		return
	}
	if r.paused {
		t.emit(loop.Effect{Op: loop.ResumeReading, Conn: conn.ID})
	}
	if r.reusable && conn.NoExtraBytes() && t.attempts.mayKeepIdle(conn) {
		t.attempts.keepIdle(conn)
	} else {
		t.attempts.dropConn(conn, ReasonServed)
	}
	t.downstream.flushed(client)
}

// remove forgets a relay that has ended, and counts the result of its request.
func (t *relayTable) remove(r *relay, result finalResult) {
	delete(t.byConn, r.downstream.ID)
	delete(t.byConn, r.upstream.ID)
	t.open--
	t.releaseBuffer(r)
	t.requests.relayEnded(r.id, r.class, result)
}

// timerDue drops the client's connection if the endpoint has sent nothing for relayReadTimeout although the
// gateway was reading.
func (t *relayTable) timerDue(r *relay) {
	if r.writing || r.paused {
		t.setTimer(timerUpstream, uint64(r.upstream.ID), t.now+relayReadTimeout)
		return
	}
	t.downstream.drop(r.downstream, ReasonResponseTimeout)
}
