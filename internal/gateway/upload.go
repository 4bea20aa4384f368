package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// standsFor is how long a host may send nothing of an answer that has begun.
const standsFor = 10 * time.Second

// bodyTakenWithin is how long a host may take nothing of a body that is written to it. Its client is not read meanwhile and may have
// stopped, which then cannot be told: it is owed an error within clients.OwedWithin whatever its host does.
const bodyTakenWithin = 2500 * time.Millisecond

// upload is a request's body on its way from the client to a host, one piece at a time.
type upload struct {
	length int64         // -1: in chunks
	x      *execution    // whose host has the head; nil until then
	busy   bool          // a piece is not yet written out
	spent  bool          // a part has left for a host: it cannot be sent again
	whole  bool          // the last piece has been taken from the client
	sent   time.Duration // with whole: when the client had written its last byte, at the earliest
}

// beginUpload has a link wait, with the first part of a body, until the module has chosen a host. The link is read no further
// once more of the body has come: until then a client that has stopped can be told from one that waits.
func (g *Gateway) beginUpload(q *query, l *downstream.Conn) {
	q.up = &upload{length: l.Begin()}
	g.timeClient(l, g.waitUntil(l))
}

// mute reads a link no further. Its client's end is still told, though it lies behind what is not read: nothing may
// be sent on for one who has left.
func (g *Gateway) mute(l *downstream.Conn) {
	if !l.Muted {
		l.PauseReading(g.now)
		g.log.Debug().Uint64("link", uint64(l.ID)).Msg("client link is read no further for now")
		g.ask(loop.Effect{Op: loop.Mute, Conn: l.ID, Leaving: true})
	}
}

func (g *Gateway) unmute(l *downstream.Conn) {
	if l.Muted {
		l.ResumeReading(g.now)
		g.ask(loop.Effect{Op: loop.Unmute, Conn: l.ID})
	}
}

// uploadReadable reads on only while all that has come is written out: the client goes at the host's pace.
func (g *Gateway) uploadReadable(l *downstream.Conn) {
	if q := g.queries[l.Request]; !l.Muted && (q.up.x == nil || q.up.busy) {
		g.mute(l)
		return
	}
	g.ask(loop.Effect{Op: loop.Read, Conn: l.ID})
}

// pumpUpload writes what has come of a body to the host.
func (g *Gateway) pumpUpload(q *query) {
	up, l := q.up, g.links.ByConn[q.client]
	if up.x == nil || up.busy || up.whole || l == nil {
		return
	}
	piece, done, fault := l.Pieces()
	if fault != nil {
		g.turnAway(q, l, downstream.AppendBadRequest(fault, false))
		return
	}
	if len(piece) == 0 && !done {
		g.unmute(l)
		return
	}
	up.spent, up.whole, up.busy = up.spent || len(piece) > 0, done, true
	if done {
		l.Upload, up.sent = false, l.LastByteSent()
		g.untimeClient(l)
	}
	g.unmute(l)
	g.setTimer(timerExecution, up.x.id, g.now+bodyTakenWithin)
	g.write(up.x.link.ID, g.framed(piece, up.length < 0, done))
}

// framed words a piece of a body. The bytes are valid until the next Step.
func (g *Gateway) framed(piece []byte, chunks, last bool) []byte {
	if !chunks {
		return piece
	}
	return http1.AppendChunk(nil, piece, last)
}

// uploadFlushed goes on once the head or a piece is written out.
func (g *Gateway) uploadFlushed(x *execution) {
	up := x.query.up
	g.stopTimer(timerExecution, x.id)
	up.x, up.busy = x, false
	if !up.whole {
		g.pumpUpload(x.query)
		return
	}
	// The last byte is written: from here on the host works. The client has waited since its own last byte.
	x.link.Phase = upstream.Awaiting
	g.relayed++
	x.began, x.until = g.now, up.sent+x.query.ClientTimeout
	x.query.deadline, x.query.rules.Deadline = x.until, x.until
	g.setTimer(timerExecution, x.id, x.until)
	g.notices = append(g.notices, notice{exec: x, done: true})
}

// turnAway ends a query whose client does not send its body as it should, and answers it.
func (g *Gateway) turnAway(q *query, l *downstream.Conn, answer []byte) {
	g.lapse(q)
	g.keep(l)
	l.Closing = true
	g.reply(l, answer)
}

// keep reports whether a link stays open after the answer that is worded now. One whose body has not ended must not:
// where its next request begins is not known. What still comes of the body is read and dropped. Nor does one for whose
// descriptor clients wait.
func (g *Gateway) keep(l *downstream.Conn) bool {
	if l.Upload {
		l.Upload, l.Closing, l.DiscardBody = false, true, true
		g.unmute(l)
	}
	l.Closing = l.Closing || g.linksAwaited()
	return !l.Closing
}
