package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
	"thymebend/internal/invariant"
)

// Every effect that a rule of the platform bounds goes through this file, where internal/invariant has the last word: attempts,
// first and further ones, answers, the time for which a client is waited for, closes of client connections and the end.

// unwritten is the number of an attempt of which nothing was written.
const unwritten = -1

// newQuery is a request that is taken now, with the rules of its class as they are now.
func newQuery(read downstream.Query, id balancer.RequestID, l *downstream.Link, now time.Duration) *query {
	deadline := now + l.Left(now, read.Patience)
	class := read.Class.Rules
	return &query{Query: read, id: id, client: l.Conn, deadline: deadline,
		rules: invariant.Request{ID: read.ID, Effect: class.Effect, Group: class.Group, Window: class.Window, Deadline: deadline}}
}

// leftOf is what the client of a request with a large body has left.
func (g *Gateway) leftOf(q *query) time.Duration {
	if l := g.links.ByConn[q.client]; l != nil {
		return l.Left(g.now, q.Patience)
	}
	return q.deadline - g.now
}

// holdsBack decides whether an attempt may not be written now, and how it ends then. Time has passed since the module decided:
// its host may have left, its window or its client's time may be over.
func (g *Gateway) holdsBack(x *execution) (end End, held bool) {
	host := g.group.Find(x.host)
	switch {
	case !g.takesNew(x.host):
		return EndHostLeft, true
	case g.now >= x.until:
		return EndNotUp, true
	case !g.module.MayBegin(g.now, x.query.id, x.number):
		return EndWindow, true
	}
	number, ok := g.guard.Attempt(&x.query.rules, invariant.Attempt{Now: g.now, Until: x.until,
		Host: invariant.Host{Zone: host.Zone, Cell: host.Cell, Leaving: !g.takesNew(x.host)}})
	if !ok {
		return EndOver, true
	}
	x.written = number
	return 0, false
}

// timeClient sets the time at which a client connection is looked at again. A client that has stopped in the middle of a request
// is never waited for longer than it is owed.
func (g *Gateway) timeClient(l *downstream.Link, at time.Duration) {
	if l.Incomplete() {
		at = g.guard.Wait(at, lastWord(l), downstream.OwedWithin)
	}
	l.Timer = at
	g.setTimer(timerClient, uint64(l.Conn), at)
}

// lastWord is the time from which a client that has stopped is owed an error or a close.
func lastWord(l *downstream.Link) time.Duration { return max(l.Heard(), l.Began) }

// untimeClient has a client connection end by nothing but its request.
func (g *Gateway) untimeClient(l *downstream.Link) {
	l.Timer = 0
	g.stopTimer(timerClient, uint64(l.Conn))
}

// checkTimed looks at a client connection after an event on it: something must end it, and half a request in time. A last look is
// answered in the same round.
func (g *Gateway) checkTimed(l *downstream.Link) {
	request := l.Busy && l.Query != 0 || l.LastAsk
	if !g.guard.Timed(l.Timer != 0, request) {
		g.timeClient(l, g.now+downstream.WholeWithin)
	}
	if l.Timer == 0 || !l.Incomplete() {
		return
	}
	if at := g.guard.Wait(l.Timer, lastWord(l), downstream.OwedWithin); at < l.Timer {
		g.timeClient(l, at)
	}
}

// checkClose looks at a client connection that the gateway is about to end. A request that waits on it gets its answer.
func (g *Gateway) checkClose(l *downstream.Link, end End) {
	q := g.queries[l.Query]
	if end == EndClientGone || !l.Busy || l.Query == 0 || q == nil {
		return
	}
	if !g.guard.Close(&q.rules) {
		g.write(l.Conn, downstream.Failed(false))
	}
}

// Violations counts the effects that were held back since the process began, by the rule that each would have broken.
func (g *Gateway) Violations() map[string]uint64 { return g.guard.Counts() }

// traceViolation logs an effect that was held back.
func (g *Gateway) traceViolation(v invariant.Violation) {
	g.log.Error().Stringer("rule", v.Rule).Str("id", v.Request).Str("detail", v.Detail).Msg("held back: it would break a rule")
}
