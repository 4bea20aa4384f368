package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// What is read of large answers ahead of their clients: a host whose machine resets a connection soon after its last byte takes with
// it what lies unread here, and an answer that it has given whole would be cut off. Both bound memory, of one answer and of all.
const (
	mostAhead      = 256 << 10
	mostAheadOfAll = 2 << 20
)

// relay is a large answer on its way from a host to a client, one piece at a time. For the module the attempt has
// ended.
type relay struct {
	client *downstream.Conn
	server *upstream.Conn
	id     string // the client's, of the query
	began  time.Duration
	length int64 // of the answer; -1 where it is not stated
	came   int   // bytes of the body since it is relayed
	class  string
	chunks bool // how the answer goes to the client
	reuse  bool // the server link may carry another request afterwards
	busy   bool // a piece is not yet written out
	muted  bool // the host waits for the client
	done   bool // the last piece has come
	ahead  int  // bytes that were read and wait for the client
	parted bool // the host's connection has ended, and all of the answer was read before
}

// large takes a host's answer that is too large to be held. A 200 is passed on as it comes; of others only the head
// matters.
func (g *Gateway) large(x *execution, a *upstream.Response) {
	q, l := x.query, x.link
	c := g.links.ByConn[q.client]
	if a.Status != 200 || q.over || c == nil || !g.guard.AllowAnswer(&q.rules) {
		g.answered(x, a)
		return
	}
	reuse := a.KeepAlive && l.Phase == upstream.Awaiting
	length := l.Begin()
	chunks := length < 0 && q.Message.Minor > 0
	keep := g.keep(c)
	if length < 0 && !chunks { // a client too old for chunks knows the end by the connection's
		keep, c.Closing = false, true
	}
	r := &relay{client: c, server: l, id: q.ID, began: g.now, length: length, class: q.Class.Name, chunks: chunks, reuse: reuse}
	g.relays[c.ID], g.relays[l.ID] = r, r
	g.unbind(x)
	l.Phase = upstream.Relaying
	q.over, q.client, c.Request = true, 0, 0
	g.endExecution(x, ReasonServed, a)
	g.forget(q)
	g.write(c.ID, http1.AppendResponseHead(nil, 200, a.Forwarded(), length, q.Message.Minor, keep))
	r.busy = true
	g.timeClient(c, g.now+downstream.ResponseWriteTimeout)
	g.setTimer(timerLink, uint64(l.ID), g.now+standsFor)
}

// relayEvent takes the news of the host's side.
func (g *Gateway) relayEvent(r *relay, e loop.Event) {
	if r.done && (e.Kind == loop.EOF || e.Kind == loop.Broken) {
		r.reuse = false
		return
	}
	switch e.Kind {
	case loop.Readable:
		if r.busy && !r.muted && !g.mayReadAhead(r) { // one that is muted and has news is broken: see loop.Mute
			r.muted = true
			g.ask(loop.Effect{Op: loop.Mute, Conn: e.Conn})
			return
		}
		g.ask(loop.Effect{Op: loop.Read, Conn: e.Conn})
	case loop.Data:
		r.came += len(e.Data)
		r.server.Take(e.Data)
		r.ahead += len(e.Data)
		g.ahead += len(e.Data)
		g.setTimer(timerLink, uint64(e.Conn), g.now+standsFor)
		g.pumpRelay(r)
	case loop.EOF:
		if !r.server.EndsByClose() && !r.server.Complete() {
			g.traceCut(r, "its host ended it", nil)
			g.dropClient(r.client, ReasonReset)
			return
		}
		g.part(r)
	case loop.Broken:
		if !r.server.Complete() { // with no length, a reset is no end
			g.traceCut(r, "its connection broke", e.Err)
			g.dropClient(r.client, ReasonReset)
			return
		}
		g.part(r)
	}
}

// mayReadAhead reports whether more of an answer may be read though its client has not taken what was read before.
func (g *Gateway) mayReadAhead(r *relay) bool {
	return r.ahead < mostAhead && g.ahead < mostAheadOfAll
}

// part ends the host's side of an answer that has been read to its end. What is left of it goes to the client as that takes it.
func (g *Gateway) part(r *relay) {
	r.parted, r.reuse = true, false
	delete(g.relays, r.server.ID)
	g.dropLink(r.server, ReasonServed)
	g.pumpRelay(r)
}

// pumpRelay writes what has come of an answer to the client.
func (g *Gateway) pumpRelay(r *relay) {
	if r.busy || r.done {
		return
	}
	piece, done, err := r.server.Pieces()
	g.taken(r)
	if err != nil {
		g.log.Debug().Err(err).Msg("answer of a host")
		g.dropClient(r.client, ReasonMalformedResponse)
		return
	}
	done = done || r.parted // what is read to its end without a length has no other
	if len(piece) > 0 || done {
		g.pass(r, piece, done)
	}
}

// taken notes that all that was read ahead is being written to the client.
func (g *Gateway) taken(r *relay) {
	g.ahead -= r.ahead
	r.ahead = 0
}

func (g *Gateway) pass(r *relay, piece []byte, last bool) {
	r.done = last
	data := g.framed(piece, r.chunks, last)
	if len(data) == 0 {
		g.relayFlushed(r) // an end that takes no byte
		return
	}
	r.busy = true
	g.timeClient(r.client, g.now+downstream.ResponseWriteTimeout)
	g.write(r.client.ID, data)
}

// relayFlushed goes on once a piece is written out, or ends the answer with the last one.
func (g *Gateway) relayFlushed(r *relay) {
	r.busy = false
	if !r.done {
		if g.pumpRelay(r); r.muted && (!r.busy || g.mayReadAhead(r)) && g.relays[r.server.ID] == r {
			r.muted = false
			g.ask(loop.Effect{Op: loop.Unmute, Conn: r.server.ID})
		}
		return
	}
	l, c := r.server, r.client
	g.forgetRelay(r, fulfilled)
	if r.parted {
		g.flushed(c)
		return
	}
	if r.muted {
		g.ask(loop.Effect{Op: loop.Unmute, Conn: l.ID})
	}
	if r.reuse && l.Clean() && g.mayRest(l) {
		g.rest(l)
	} else {
		g.dropLink(l, ReasonServed)
	}
	g.flushed(c)
}

func (g *Gateway) forgetRelay(r *relay, how result) {
	delete(g.relays, r.client.ID)
	delete(g.relays, r.server.ID)
	delete(g.open, r.id)
	g.taken(r)
	g.settle(r.class, how)
}

// relayTimer bounds how long a host may send nothing while it may.
func (g *Gateway) relayTimer(r *relay) {
	if r.busy || r.muted {
		g.setTimer(timerLink, uint64(r.server.ID), g.now+standsFor)
		return
	}
	g.dropClient(r.client, ReasonResponseTimeout)
}
