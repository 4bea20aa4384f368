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
func newQuery(read downstream.Request, id balancer.RequestID, l *downstream.Conn, now time.Duration) *query {
	deadline := now + l.TimeLeft(now, read.ClientTimeout)
	class := read.Class.Class
	return &query{Request: read, id: id, client: l.ID, deadline: deadline,
		rules: invariant.Request{ID: read.ID, Idempotency: class.Idempotency, DedupScope: class.DedupScope, DedupWindow: class.DedupWindow, Deadline: deadline}}
}

// leftOf is what the client of a request with a large body has left.
func (g *Gateway) leftOf(q *query) time.Duration {
	if l := g.links.ByConn[q.client]; l != nil {
		return l.TimeLeft(g.now, q.ClientTimeout)
	}
	return q.deadline - g.now
}

// holdsBack decides whether an attempt may not be written now, and how it ends then. Time has passed since the module decided:
// its host may have left, its window or its client's time may be over.
func (g *Gateway) holdsBack(x *execution) (end TerminationReason, held bool) {
	host := g.group.Find(x.host)
	switch {
	case !g.takesNew(x.host):
		return ReasonEndpointLeft, true
	case g.now >= x.until:
		return ReasonConnectTimeout, true
	case !g.module.MayStartAttempt(g.now, x.query.id, x.number):
		return ReasonDedupWindowOver, true
	}
	number, ok := g.guard.AllowAttempt(&x.query.rules, invariant.Attempt{Now: g.now, Until: x.until,
		Endpoint: invariant.Endpoint{Zone: host.Zone, Cell: host.Cell, Leaving: !g.takesNew(x.host)}})
	if !ok {
		return ReasonRequestOver, true
	}
	x.written = number
	return 0, false
}

// timeClient sets the time at which a client connection is looked at again. A client that has stopped in the middle of a request
// is never waited for longer than it is owed.
func (g *Gateway) timeClient(l *downstream.Conn, at time.Duration) {
	if l.Incomplete() {
		at = g.guard.AllowWait(at, lastWord(l), downstream.ErrorDeadline)
	}
	l.Timer = at
	g.setTimer(timerClient, uint64(l.ID), at)
}

// lastWord is the time from which a client that has stopped is owed an error or a close.
func lastWord(l *downstream.Conn) time.Duration { return max(l.LastReceived(), l.RequestBegan) }

// untimeClient has a client connection end by nothing but its request.
func (g *Gateway) untimeClient(l *downstream.Conn) {
	l.Timer = 0
	g.stopTimer(timerClient, uint64(l.ID))
}

// checkTimed looks at a client connection after an event on it: something must end it, and half a request in time. A last look is
// answered in the same round.
func (g *Gateway) checkTimed(l *downstream.Conn) {
	request := l.Busy && l.Request != 0 || l.FinalRead
	if !g.guard.Timed(l.Timer != 0, request) {
		g.timeClient(l, g.now+downstream.RequestReadTimeout)
	}
	if l.Timer == 0 || !l.Incomplete() {
		return
	}
	if at := g.guard.AllowWait(l.Timer, lastWord(l), downstream.ErrorDeadline); at < l.Timer {
		g.timeClient(l, at)
	}
}

// checkClose looks at a client connection that the gateway is about to end. A request that waits on it gets its answer.
func (g *Gateway) checkClose(l *downstream.Conn, end TerminationReason) {
	q := g.queries[l.Request]
	if end == ReasonClientLeft || !l.Busy || l.Request == 0 || q == nil {
		return
	}
	if !g.guard.AllowClose(&q.rules) {
		g.write(l.ID, downstream.AppendFailed(false))
	}
}

// Violations counts the effects that were held back since the process began, by the rule that each would have broken.
func (g *Gateway) Violations() map[string]uint64 { return g.guard.Counts() }

// traceViolation logs an effect that was held back.
func (g *Gateway) traceViolation(v invariant.Violation) {
	g.log.Error().Stringer("rule", v.Rule).Str("id", v.Request).Str("detail", v.Detail).Msg("held back: it would break a rule")
}
