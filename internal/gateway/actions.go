package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
	"thymebend/internal/loop"
)

// The methods of this file are what the module asks for. They change the state and ask for effects, and they
// put off all that the module has to hear: it must not be called while it calls.

// StartAttempt implements thymebend.Actions.
func (g *Gateway) StartAttempt(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	q := g.queries[id]
	if q == nil {
		g.log.Error().Uint32("query", uint32(id)).Msg("send for an unknown query")
		return
	}
	g.nextExec++
	x := &execution{query: q, number: q.attempts, id: g.nextExec, host: to, began: g.now, until: q.deadline, written: unwritten}
	q.attempts++
	q.executions = append(q.executions, x)
	g.byID[x.id] = x
	if timeout != 0 {
		x.until = min(x.until, g.now+timeout)
	}
	if q.over || x.until <= g.now || x.number >= g.cfg.Settings.Config.MaxAttempts {
		g.endExecution(x, ReasonRequestOver, nil)
		return
	}
	g.traceAttempt(x)
	g.setTimer(timerExecution, x.id, x.until)
	g.begin(x)
}

// Reject implements thymebend.Actions. A refusal goes out at once.
func (g *Gateway) Reject(id balancer.RequestID, after time.Duration) {
	if q := g.queries[id]; q != nil && !q.over && !g.guard.MayPromise(&q.rules) {
		g.Fail(id)
		return
	}
	q, l := g.finish(id, throttled)
	if q != nil {
		g.traceRefused(q.ID, refusedByModule, after)
	}
	if l != nil {
		g.answer(q, l, downstream.AppendRejected(after, g.keep(l)))
	}
}

// Fail implements thymebend.Actions.
func (g *Gateway) Fail(id balancer.RequestID) {
	if q, l := g.finish(id, faulted); l != nil {
		g.answer(q, l, downstream.AppendFailed(g.keep(l)))
	}
}

// finish concludes a query and returns the link on which its answer goes out, if the client is still there.
func (g *Gateway) finish(id balancer.RequestID, r result) (*query, *downstream.Conn) {
	q := g.queries[id]
	if q == nil || q.over || !g.guard.AllowAnswer(&q.rules) {
		return nil, nil
	}
	q.over = true
	delete(g.open, q.ID)
	g.settle(q.Class.Name, r)
	g.traceAnswered(q, r)
	g.forget(q)
	return q, g.links.ByConn[q.client]
}

// forget drops a query once nothing refers to it.
func (g *Gateway) forget(q *query) {
	if q.over && len(q.executions) == 0 {
		delete(g.queries, q.id)
	}
}

// CancelAttempt implements thymebend.Actions.
func (g *Gateway) CancelAttempt(id balancer.RequestID, attempt int) {
	q := g.queries[id]
	if q == nil {
		return
	}
	for _, x := range q.executions {
		if x.number == attempt {
			g.endExecution(x, ReasonCancelled, nil)
			return
		}
	}
}

// CloseIdle implements thymebend.Actions.
func (g *Gateway) CloseIdle(to balancer.EndpointID) {
	for _, l := range g.pool.IdleTo(to) {
		g.dropLink(l, ReasonIdleTimeout)
	}
}

// SetTimer implements thymebend.Actions. A token may be out more than once, so each has a number of its own.
func (g *Gateway) SetTimer(after time.Duration, token uint32) {
	g.wakes++
	g.setTimer(timerWake, g.wakes<<32|uint64(token), g.now+after)
}

// WatchEndpoints implements thymebend.Actions.
func (g *Gateway) WatchEndpoints() {
	if g.moving != nil || g.watch != nil && !g.watch.Started() {
		return // the call under way answers this one
	}
	if g.watch != nil {
		g.dropWatch(g.watch, ReasonWatchReplaced, nil)
	}
	if g.now < g.callNotBefore {
		g.setTimer(timerCall, 0, g.callNotBefore)
		return
	}
	g.watch = g.openWatch()
}

// Log implements thymebend.Actions.
func (g *Gateway) Log(line string) { g.log.Info().Str("from", "module").Msg(line) }

// tellEnds tells the module the ends that came up while it was busy. What it answers may bring about more.
func (g *Gateway) tellEnds() {
	for _, n := range g.notices {
		g.told = true
		g.module.RequestWriting(g.now, n.exec.query.id, n.exec.number, n.done)
	}
	clear(g.notices)
	g.notices = g.notices[:0]
	for i := 0; i < len(g.ended); i++ {
		g.tellEnd(g.ended[i])
	}
	clear(g.ended)
	g.ended = g.ended[:0]
	if g.lost {
		kind := balancer.WatchFailed
		if g.unmet {
			kind = balancer.WatchUnreachable
		}
		g.lost, g.unmet = false, false
		g.told = true
		g.module.UpdateEndpoints(g.now, kind, nil)
	}
}

func (g *Gateway) tellEnd(p pendingEnd) {
	q := p.exec.query
	outcome, _ := p.end.outcome()
	end := balancer.AttemptEnd{Request: q.id, Attempt: p.exec.number, Endpoint: p.exec.host, Outcome: outcome,
		Latency: g.now - p.exec.began, RequestDone: q.over, BodyConsumed: q.up != nil && q.up.spent}
	if p.answer != nil && g.cfg.Settings.Gateway.Waiting >= 0 {
		end.Reported, end.QueueLength = p.answer.Reported, p.answer.QueueLength
	}
	g.told = true
	g.module.AttemptEnded(g.now, end)
}

var _ loop.Reducer = (*Gateway)(nil)
