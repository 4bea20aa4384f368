package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
	"thymebend/internal/loop"
)

// acceptPause is how long the listener rests when there is no descriptor left, unless a link closes before.
const acceptPause = 50 * time.Millisecond

// statusBadRequest answers a request that cannot be taken as it is.
const statusBadRequest = 400

// spentAtOnce is how many links that are not used again are closed as one comes: more, so that they grow fewer.
const spentAtOnce = 2

// acceptRoom is how many links give way at once for those that wait.
const acceptRoom = 4

func (g *Gateway) listener(e loop.Event) {
	switch e.Kind {
	case loop.Listening:
		g.takingClients()
	case loop.Readable:
		if g.heirTakes {
			return // told before the listener was muted
		}
		g.accept()
	case loop.Drained:
		if g.closed {
			g.endListener()
		}
	case loop.AcceptFailed:
		g.log.Warn().Err(e.Err).Msg("accept")
		g.makeRoom(g.links.Max - len(g.links.ByConn) + 1)
		g.pause()
	}
}

// accept takes what may come of those that wait. What there is no room for waits on, unread.
func (g *Gateway) accept() {
	room := g.links.Max - len(g.links.ByConn)
	if room <= 0 {
		room = g.makeRoom(acceptRoom)
	}
	if room <= 0 {
		g.pause()
		return
	}
	g.ask(loop.Effect{Op: loop.Accept, Conn: loop.Listener, Most: room})
}

// pause stops looking at the listener. Guards against spinning while connections wait that cannot be taken.
func (g *Gateway) pause() {
	if !g.paused && !g.drained {
		g.paused = true
		g.ask(loop.Effect{Op: loop.Mute, Conn: loop.Listener})
		g.setTimer(timerAccept, 0, g.now+acceptPause)
	}
}

func (g *Gateway) resume() {
	if g.paused {
		g.paused = false
		g.stopTimer(timerAccept, 0)
		if !g.heirTakes {
			g.ask(loop.Effect{Op: loop.Unmute, Conn: loop.Listener})
		}
	}
}

// makeRoom has client links give way until so many may come, and returns how many may.
func (g *Gateway) makeRoom(wanted int) int {
	room := g.links.Max - len(g.links.ByConn)
	for ; room < wanted; room++ {
		l := g.givesWay()
		switch {
		case l == nil:
			return room
		case l.Ended:
			g.dropClient(l, ReasonAnswered)
		case l.Pending():
			// What has come was read: the answer goes out with the close.
			g.traceIncomplete(l)
			g.write(l.ID, downstream.AppendRequestTimeout())
			g.dropClient(l, ReasonClientTimeout)
		default:
			g.lookAndClose(l)
		}
	}
	return room
}

// givesWay returns the client link that gives way first, or nil. While there are two processes only those do that have
// their last answer: see alone.
func (g *Gateway) givesWay() *downstream.Conn {
	if g.alone() {
		return g.links.Evictable(g.now)
	}
	return g.links.FullyClosed(g.now)
}

// linksAwaited reports whether clients wait at the listener for links while none at rest may be closed for them: there
// are two processes. Links then end with their answers, so that nobody waits longer than answers take.
func (g *Gateway) linksAwaited() bool { return g.paused && !g.alone() && !g.heirTakes }

func (g *Gateway) clientCame(c loop.Conn) {
	added := g.links.Add(c, g.now)
	g.traceAccept(added)
	for range spentAtOnce {
		if l := g.links.SingleUse(g.now); l != nil && g.alone() {
			g.lookAndClose(l)
		}
	}
	until := g.waitUntil(added)
	if g.closed {
		until = min(until, g.now+downstream.LingerTimeout) // its request is on the way, or never comes
	}
	g.timeClient(added, until)
}

func (g *Gateway) clientEvent(l *downstream.Conn, e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		if l.Upload {
			g.uploadReadable(l)
			return
		}
		g.ask(loop.Effect{Op: loop.Read, Conn: l.ID})
	case loop.Data:
		l.FinalRead = false
		if l.Ended || l.DiscardBody {
			// What comes after the last answer belongs to no query. A client that is still sending is given time.
			if l.Ended && l.DiscardBody && g.now < l.Since+downstream.MaxLinger {
				g.timeClient(l, g.now+downstream.LingerTimeout)
			}
			return
		}
		if !l.Busy && !l.Pending() {
			g.traceFirstByte(l, len(e.Data))
		}
		l.Feed(g.now, e.Data)
		if l.Upload {
			g.timeClient(l, g.waitUntil(l))
			g.pumpUpload(g.queries[l.Request])
			return
		}
		l.RequestBytes += len(e.Data)
		g.advance(l)
	case loop.Drained:
		if l.FinalRead && !l.Busy && !l.Pending() {
			g.dropClient(l, ReasonIdleTimeout)
		}
	case loop.EOF, loop.Broken, loop.Leaving:
		end := ReasonClientLeft
		if l.Ended {
			end = ReasonAnswered
		}
		g.dropClient(l, end)
	case loop.Flushed:
		g.flushed(l)
	}
	if g.links.ByConn[l.ID] == l {
		g.links.Place(l)
		g.checkTimed(l)
	}
}

// advance takes the next request of a link, if it is whole and none is in work.
func (g *Gateway) advance(l *downstream.Conn) {
	for !l.Busy && !l.Ended {
		asked, whole := l.Next(g.classOf)
		if !whole {
			g.awaitRest(l)
			return
		}
		l.Closing = l.Closing || asked.Closes || g.stopping && !g.heirTakes
		g.take(l, asked)
	}
	if l.Busy && !l.Upload && l.Overfull() {
		g.mute(l)
	}
}

// awaitRest bounds the time for the rest of a request, from its first byte on; clientTimer gives more for what has
// come meanwhile. That of a first request has run since the accept. It is set in any case: the timer of a new connection may
// just have fallen due, and its last look has brought the first byte.
func (g *Gateway) awaitRest(l *downstream.Conn) {
	if !l.Pending() {
		return
	}
	if !l.RequestTimed {
		if l.HasRequested {
			l.RequestBegan = g.now
		}
		l.RequestTimed = true
		g.timeClient(l, g.waitUntil(l))
	}
	if l.AwaitsContinue() {
		g.write(l.ID, downstream.AppendContinue())
	}
}

// take answers a request itself or makes it a query of the module's.
func (g *Gateway) take(l *downstream.Conn, asked downstream.Incoming) {
	l.RequestTimed, l.HasRequested, l.RequestBytes = false, true, 0
	l.DiscardBody = asked.Fault != nil && asked.Closes // where its body ends, and the next request begins, is not known
	switch {
	case asked.Fault != nil:
		if asked.Request.Class.Name != "" {
			g.settle(asked.Request.Class.Name, faulted)
		}
		g.traceFaulty(l, asked.Request.ID, asked.Fault.Status, asked.Fault.Text)
		g.reply(l, downstream.AppendBadRequest(asked.Fault, !l.Closing))
		return
	case asked.Health:
		g.reply(l, downstream.AppendHealth(g.group.Len() > 0 && (!g.stopping || g.heirTakes), !l.Closing))
		return
	case g.open[asked.Request.ID]:
		// Two queries of one id could not be told apart at a host: the second would run in the first one's name.
		g.settle(asked.Request.Class.Name, faulted)
		g.traceFaulty(l, asked.Request.ID, statusBadRequest, "the id of an open request")
		l.Upload = asked.Large
		keep := g.keep(l)
		g.reply(l, downstream.AppendConflict(keep))
		return
	}
	if reason, refused := g.turnsAway(l.TimeLeft(g.now, asked.Request.ClientTimeout)); refused {
		g.settle(asked.Request.Class.Name, throttled)
		g.traceRefused(asked.Request.ID, reason, g.cfg.Settings.Config.MaxRetryAfter)
		l.Upload = asked.Large
		keep := g.keep(l)
		g.reply(l, downstream.AppendRejected(g.cfg.Settings.Config.MaxRetryAfter, keep))
		return
	}
	g.untimeClient(l)
	read := asked.Request
	g.nextID++
	q := newQuery(read, g.nextID, l, g.now)
	g.queries[q.id] = q
	g.open[read.ID] = true
	l.Busy, l.Request = true, q.id
	l.Requests++
	g.traceTaken(q)
	if asked.Large {
		g.beginUpload(q, l)
	}
	g.told = true
	g.module.RequestArrived(g.now, balancer.Request{ID: q.id, Class: read.Class.Index, ClientTimeout: read.ClientTimeout,
		Retry: read.Retry, Elapsed: g.now + read.ClientTimeout - q.deadline})
}

// turnsAway reports whether a request is refused before the module hears of it, and why. left is what its client has left.
func (g *Gateway) turnsAway(left time.Duration) (refusalReason, bool) {
	switch {
	case left <= 0:
		return refusedOver, true
	case len(g.queries) >= g.cfg.Settings.Gateway.MaxUpstreamConns:
		return refusedTooMany, true
	case g.crowded():
		return refusedCrowded, true
	case g.tooLate(left):
		return refusedTooLate, true
	}
	return 0, false
}

// crowded reports whether queries hold nearly all links, so that hardly any could give way to those that wait. Guards
// against an overload that fills every link with held queries: whoever comes then would wait unheard, longer than he
// has time, where a refusal at once frees a link. With a next process nobody waits here: see resize.
func (g *Gateway) crowded() bool {
	return g.heir == nil && len(g.queries) > g.links.Max*7/8
}

// reply writes an answer of the gateway's own, to what is no query.
func (g *Gateway) reply(l *downstream.Conn, data []byte) {
	l.Busy = true
	g.lastWords(l, data)
}

// lastWords writes an answer and bounds the time for the client to take it: one that never reads must not hold
// its link, nor the program's end, for ever.
func (g *Gateway) lastWords(l *downstream.Conn, data []byte) {
	l.Request = 0
	g.timeClient(l, g.now+downstream.ResponseWriteTimeout)
	g.write(l.ID, data)
}

// answer writes a query's final answer.
func (g *Gateway) answer(q *query, l *downstream.Conn, data []byte) {
	q.client = 0
	g.lastWords(l, data)
}

// flushed goes on once an answer is written out: with the next request, or with the end of the link.
func (g *Gateway) flushed(l *downstream.Conn) {
	if r := g.relays[l.ID]; r != nil {
		g.relayFlushed(r)
		return
	}
	if !l.Busy || l.Request != 0 || l.Ended {
		return
	}
	l.Busy, l.Since = false, g.now
	if l.Closing {
		// Only the sending ends yet: to close a socket on which bytes are still unread would reset it, and
		// could take the answer from the client.
		l.Ended = true
		g.unmute(l)
		g.ask(loop.Effect{Op: loop.Shutdown, Conn: l.ID})
		g.timeClient(l, g.lingerUntil())
		return
	}
	g.unmute(l)
	rest := downstream.IdleTimeout
	if l.Requests == 1 && g.links.OverReuseLimit() && g.alone() {
		rest = downstream.SingleUseIdleTimeout // no new process may be left to close it, see Spent
	}
	if !l.Pending() { // else the time of the next request begins, see awaitRest
		g.timeClient(l, g.now+rest)
	}
	g.restless = true
	g.links.Place(l)
	if g.closed && !g.heirTakes {
		g.lookAndClose(l)
	}
	g.advance(l)
}

// lookAndClose closes an idle link after one more look: a request that lies in it unread would be lost. One that comes
// between that look and the close, or after it, is read by nobody, and the system resets the connection: that tells the
// client that it was not taken. To linger here, as after a last answer, would read it and say nothing; and there is no
// answer to protect, for a client that asks again has read the one before.
func (g *Gateway) lookAndClose(l *downstream.Conn) {
	l.FinalRead = true
	g.links.Place(l)
	g.ask(loop.Effect{Op: loop.Read, Conn: l.ID})
}

func (g *Gateway) clientTimer(c loop.Conn) {
	l := g.links.ByConn[c]
	if l != nil {
		l.Timer = 0
		defer func() {
			if g.links.ByConn[c] == l {
				g.links.Place(l)
				g.checkTimed(l)
			}
		}()
	}
	switch {
	case l == nil:
	case l.Ended:
		g.dropClient(l, ReasonAnswered)
	case g.relays[c] != nil && !g.relays[c].busy:
		g.timeClient(l, g.now+downstream.ResponseWriteTimeout) // the client has taken all that there is
	case l.Busy && l.Request == 0:
		g.dropClient(l, ReasonClientTimeout)
	case l.Upload && !l.Incomplete():
		g.timeClient(l, g.now+downstream.StreamReadTimeout) // it is the host that is waited for
	case l.Upload && g.now < g.waitUntil(l):
		g.timeClient(l, g.waitUntil(l))
	case l.Upload:
		g.traceIncomplete(l)
		g.turnAway(g.queries[l.Request], l, downstream.AppendRequestTimeout())
	case l.Busy:
	case l.Pending() && g.now < g.waitUntil(l):
		g.timeClient(l, g.waitUntil(l))
	case l.Pending():
		l.Closing = true
		g.traceIncomplete(l)
		g.reply(l, downstream.AppendRequestTimeout())
	case l.Requests == 1 && !g.closed && !(g.links.OverReuseLimit() && g.alone()) && g.now < l.Since+downstream.IdleTimeout:
		// There were many links when it came to rest. Others were closed since, and few are no burden; or an upgrade began.
		g.timeClient(l, l.Since+downstream.IdleTimeout)
	default:
		g.lookAndClose(l)
	}
}

// dropClient ends a client link. A query in work on it has lapsed, and its executions end with it.
func (g *Gateway) dropClient(l *downstream.Conn, end TerminationReason) {
	g.traceClientEnd(l, end)
	g.checkClose(l, end)
	g.untimeClient(l)
	g.links.Remove(l)
	if r := g.relays[l.ID]; r != nil {
		// Half an answer is out: the client must be able to tell, however it is framed.
		g.forgetRelay(r, faulted)
		if !r.parted {
			g.dropLink(r.server, end)
		}
		g.ask(loop.Effect{Op: loop.Abort, Conn: l.ID})
	} else {
		g.close(l.ID)
	}
	g.resume()
	if q := g.queries[l.Request]; l.Request != 0 && q != nil && !q.over {
		g.lapse(q)
	}
}

// lapse ends a query that gets no answer of the module's any more, and its executions.
func (g *Gateway) lapse(q *query) {
	q.over, q.client = true, 0
	q.rules.ClientLeft()
	delete(g.open, q.ID)
	g.settle(q.Class.Name, faulted) // the client has left; it may stand under any count
	g.traceAnswered(q, faulted)
	g.told = true
	g.module.RequestAbandoned(g.now, q.id)
	for _, x := range append([]*execution(nil), q.executions...) {
		g.endExecution(x, ReasonClientLeft, nil)
	}
	g.forget(q)
}
