package gateway

import (
	"slices"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// begin writes an execution on an idle link to its host, or opens one.
func (g *Gateway) begin(x *execution) {
	if !g.takesNew(x.host) {
		g.endExecution(x, ReasonEndpointLeft, nil)
		return
	}
	if l := g.pool.Acquire(x.host); l != nil {
		g.stopTimer(timerLink, uint64(l.ID))
		g.bind(x, l)
		g.request(x, loop.WriteQuiet)
		return
	}
	if g.pool.Full() {
		oldest := g.pool.Oldest()
		if oldest == nil {
			g.endExecution(x, ReasonNoDescriptor, nil)
			return
		}
		g.dropLink(oldest, ReasonIdleTimeout)
	}
	l := g.pool.Open(x.host)
	g.bind(x, l)
	notUp := g.now + g.cfg.Settings.Gateway.ConnectTimeout
	g.setTimer(timerExecution, x.id, min(x.until, notUp))
	g.ask(loop.Effect{Op: loop.Dial, Conn: l.ID, Addr: g.group.Find(x.host).Addr})
}

func (g *Gateway) bind(x *execution, l *upstream.Conn) {
	x.link = l
	g.byLink[l.ID] = x
}

// request writes the query to the host, if it may still be written. Nothing goes to a host that has left meanwhile: see hostsLeft.
func (g *Gateway) request(x *execution, op loop.Op) {
	if end, held := g.holdsBack(x); held {
		g.endExecution(x, end, nil)
		return
	}
	x.link.Phase = upstream.Writing
	if q := x.query; q.up != nil {
		// The head goes alone: nothing of the body is lost if the link turns out to be dead.
		g.notices = append(g.notices, notice{exec: x})
		g.setTimer(timerExecution, x.id, g.now+bodyTakenWithin)
		g.ask(loop.Effect{Op: op, Conn: x.link.ID, Data: upstream.AppendHead(nil, q.Message, q.up.length, g.leftOf(q))})
		return
	}
	data := upstream.AppendRequest(nil, x.query.Message, x.until-g.now)
	g.ask(loop.Effect{Op: op, Conn: x.link.ID, Data: data})
}

func (g *Gateway) serverEvent(l *upstream.Conn, e loop.Event) {
	x := g.byLink[l.ID]
	switch e.Kind {
	case loop.Readable:
		g.ask(loop.Effect{Op: loop.Read, Conn: l.ID})
	case loop.Connected:
		g.setTimer(timerExecution, x.id, x.until)
		g.request(x, loop.Write)
	case loop.Flushed:
		switch {
		case x != nil && x.query.up != nil && l.Phase == upstream.Writing:
			g.uploadFlushed(x)
		case l.Phase == upstream.Writing:
			l.Phase = upstream.Awaiting
			g.relayed++
		}
	case loop.Stale:
		// Nothing was written. The host closed this link while it was idle; the next one may be better.
		x.query.rules.Ended(x.written, true)
		x.written = unwritten
		g.dropLink(l, ReasonIdleTimeout)
		g.begin(x)
	case loop.Data:
		g.serverData(l, x, e.Data)
	case loop.EOF, loop.Broken:
		g.linkBroke(l, x, e)
	}
}

func (g *Gateway) serverData(l *upstream.Conn, x *execution, data []byte) {
	if x == nil {
		g.dropLink(l, ReasonMalformedResponse) // bytes that no request asked for
		return
	}
	answer, err := l.Feed(data)
	switch {
	case err != nil:
		g.log.Debug().Err(err).Msg("answer of a host")
		g.endExecution(x, ReasonMalformedResponse, nil)
	case answer != nil:
		g.answered(x, answer)
	default:
		if a := l.Large(); a != nil {
			g.large(x, a)
		}
	}
}

// linkBroke ends what is under way on a link that broke or was ended by its host.
func (g *Gateway) linkBroke(l *upstream.Conn, x *execution, e loop.Event) {
	if x == nil {
		g.dropLink(l, ReasonIdleTimeout)
		return
	}
	switch {
	case l.Phase == upstream.Connecting && e.Local:
		g.endExecution(x, ReasonLocalResources, nil)
	case l.Phase == upstream.Connecting:
		g.endExecution(x, ReasonConnectFailed, nil)
	case l.Phase == upstream.Writing:
		g.endExecution(x, ReasonResetBeforeSent, nil)
	default:
		if e.Kind == loop.EOF {
			if answer := l.End(); answer != nil {
				g.answered(x, answer)
				return
			}
		}
		g.endExecution(x, ReasonReset, nil)
	}
}

// answered takes a host's whole answer. The first 200 goes to the client as it is.
func (g *Gateway) answered(x *execution, a *upstream.Response) {
	end := ReasonErrorResponse
	switch {
	case a.Status == 200:
		end = ReasonServed
	case a.NeverRan && (a.Status == 503 || a.Status == 504):
		end = ReasonRejected
	}
	l, q := x.link, x.query
	if l.Phase == upstream.Awaiting && l.Reusable(a) && g.mayRest(l) {
		g.unbind(x)
		g.rest(l)
	}
	if end == ReasonServed && !q.over && g.guard.AllowAnswer(&q.rules) {
		q.over = true
		delete(g.open, q.ID)
		g.settle(q.Class.Name, fulfilled)
		g.traceAnswered(q, fulfilled)
		if c := g.links.ByConn[q.client]; c != nil {
			keep := g.keep(c)
			g.answer(q, c, downstream.AppendServed(a.Forwarded(), a.Body, keep))
		}
	}
	g.endExecution(x, end, a)
}

func (g *Gateway) mayRest(l *upstream.Conn) bool {
	return g.takesNew(l.Endpoint) && !g.stopping && !g.pool.Over()
}

func (g *Gateway) rest(l *upstream.Conn) {
	g.pool.Release(l)
	g.setTimer(timerLink, uint64(l.ID), g.now+scale(g.cfg.Settings.Gateway.ConnIdle, idleShare))
}

func (g *Gateway) unbind(x *execution) {
	delete(g.byLink, x.link.ID)
	x.link = nil
}

// endExecution ends an execution, with its link if it still has one: a late answer on it must not reach
// another query. The module is told once it has returned.
func (g *Gateway) endExecution(x *execution, end TerminationReason, answer *upstream.Response) {
	if l := x.link; l != nil {
		g.unbind(x)
		g.dropLink(l, end)
	}
	g.stopTimer(timerExecution, x.id)
	delete(g.byID, x.id)
	q := x.query
	if outcome, _ := end.outcome(); x.written != unwritten {
		q.rules.Ended(x.written, outcome.NeverRan())
	}
	if q.up != nil {
		q.up.x, q.up.busy = nil, false
	}
	q.executions = slices.DeleteFunc(q.executions, func(y *execution) bool { return y == x })
	g.forget(q)
	g.countEnd(end)
	if end != ReasonServed && end != ReasonRejected {
		g.log.Debug().Uint32("query", uint32(q.id)).Str("id", q.ID).Int("attempt", x.number).Stringer("end", end).
			Dur("after", g.now-x.began).Msg("execution")
	}
	g.ended = append(g.ended, pendingEnd{exec: x, end: end, answer: answer})
}

// dropLink closes a server link.
func (g *Gateway) dropLink(l *upstream.Conn, end TerminationReason) {
	g.log.Debug().Uint64("link", uint64(l.ID)).Stringer("end", end).Msg("server link")
	g.stopTimer(timerLink, uint64(l.ID))
	g.pool.Remove(l)
	delete(g.byLink, l.ID)
	g.close(l.ID)
}

func (g *Gateway) executionTimer(id uint64) {
	x := g.byID[id]
	switch {
	case x == nil:
	case x.link.Phase == upstream.Connecting:
		g.endExecution(x, ReasonConnectTimeout, nil)
	case x.link.Phase == upstream.Writing:
		g.endExecution(x, ReasonResetBeforeSent, nil)
	default:
		g.endExecution(x, ReasonResponseTimeout, nil)
	}
}

// hostsLeft closes the idle links to hosts that drain, are gone, have moved or have started anew, and ends the executions that
// still connect to one: not a byte may go to a host after the gateway has been told that it leaves, and what was decided for
// one start of a host must not reach the next, which is cold.
func (g *Gateway) hostsLeft(changed []balancer.EndpointID) {
	if len(changed) == 0 {
		return
	}
	left := make(map[balancer.EndpointID]bool, len(changed))
	for _, id := range changed {
		left[id] = true
		for _, l := range g.pool.IdleTo(id) {
			g.dropLink(l, ReasonEndpointLeft)
		}
	}
	for _, l := range g.pool.ConnectingTo(left) {
		if x := g.byLink[l.ID]; x != nil {
			g.endExecution(x, ReasonEndpointLeft, nil)
		}
	}
}

// takesNew reports whether the list in force has a host as up.
func (g *Gateway) takesNew(id balancer.EndpointID) bool {
	h := g.group.Find(id)
	return h != nil && h.State == balancer.EndpointReady
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
