package gateway

import (
	"time"

	"thymebend/internal/downstream"
)

// refusalReason is why this gateway turned a request away. The first is the decision module's word, the others are this
// package's own.
type refusalReason uint8

const (
	refusedByModule refusalReason = iota
	refusedTooMany                // as many requests are open as the settings allow
	refusedCrowded                // requests hold nearly all client connections
	refusedTooLate                // it could still be in work at SIGKILL
	refusedOver                   // its client's time was over before it was taken
	refusalReasons                // how many there are
)

func (r refusalReason) String() string {
	switch r {
	case refusedByModule:
		return "module"
	case refusedTooMany:
		return "too many open"
	case refusedCrowded:
		return "crowded"
	case refusedTooLate:
		return "too late in a stop"
	case refusedOver:
		return "over"
	}
	return "unknown"
}

// traceAccept logs a client connection's begin.
func (g *Gateway) traceAccept(l *downstream.Conn) {
	g.log.Debug().Uint64("link", uint64(l.ID)).Msg("client connection accepted")
}

// traceFirstByte logs that a request begins to come.
func (g *Gateway) traceFirstByte(l *downstream.Conn, bytes int) {
	g.log.Debug().Uint64("link", uint64(l.ID)).Int("bytes", bytes).Int("requests_before", l.Requests).
		Dur("age", g.now-l.Accepted).Msg("request begins to come")
}

// traceTaken logs that a request has become the module's.
func (g *Gateway) traceTaken(q *query) {
	g.log.Debug().Uint64("link", uint64(q.client)).Uint32("query", uint32(q.id)).Str("id", q.ID).Str("class", q.Class.Name).
		Dur("patience", q.ClientTimeout).Msg("request taken")
}

// traceFaulty logs that a request was answered with an error, and is passed on to nobody.
func (g *Gateway) traceFaulty(l *downstream.Conn, id string, status int, why string) {
	g.log.Debug().Uint64("link", uint64(l.ID)).Str("id", id).Int("status", status).Str("why", why).Msg("request faulty")
}

// traceRefused counts a refusal and logs its reason.
func (g *Gateway) traceRefused(id string, reason refusalReason, after time.Duration) {
	g.refusals[reason]++
	g.log.Debug().Str("id", id).Stringer("reason", reason).Dur("retry_after", after).Msg("request refused")
}

// traceAnswered logs the final answer of a request.
func (g *Gateway) traceAnswered(q *query, r result) {
	g.log.Debug().Uint32("query", uint32(q.id)).Str("id", q.ID).Stringer("result", r).Int("attempts", q.attempts).
		Dur("left", q.deadline-g.now).Msg("request ends")
}

// traceAttempt logs an attempt's begin, and counts it where it is a further one.
func (g *Gateway) traceAttempt(x *execution) {
	if x.number > 0 {
		g.retries++
	}
	g.log.Debug().Uint32("query", uint32(x.query.id)).Str("id", x.query.ID).Int("attempt", x.number).
		Uint64("server", uint64(x.host)).Dur("left", x.until-g.now).Msg("attempt begins")
}

// traceIncomplete logs that a request did not come whole in its time.
func (g *Gateway) traceIncomplete(l *downstream.Conn) {
	g.log.Debug().Uint64("link", uint64(l.ID)).Int("bytes", l.RequestBytes).Int("requests_before", l.Requests).
		Dur("after", g.now-l.RequestBegan).Dur("silent", l.IdleFor(g.now)).Msg("request not whole in time")
}

// traceCut logs why a large answer could not be passed on to its end.
func (g *Gateway) traceCut(r *relay, why string, err error) {
	g.log.Debug().Str("id", r.id).Str("why", why).AnErr("cause", err).Int64("length", r.length).Int("came", r.came).
		Bool("client_busy", r.busy).Bool("host_unread", r.muted).Dur("after", g.now-r.began).Msg("large answer cut")
}

// traceClientEnd counts the end of a client connection and logs its reason.
func (g *Gateway) traceClientEnd(l *downstream.Conn, end TerminationReason) {
	g.countEnd(end)
	g.log.Debug().Uint64("link", uint64(l.ID)).Stringer("end", end).Int("requests", l.Requests).Bool("partly_read", l.Pending()).
		Bool("waiting", l.Busy).Dur("age", g.now-l.Accepted).Dur("silent", l.IdleFor(g.now)).Msg("client link")
}

// countEnd counts how connections and attempts ended, for the figures.
func (g *Gateway) countEnd(end TerminationReason) { g.ends[end]++ }

// String is for log lines.
func (r result) String() string {
	switch r {
	case fulfilled:
		return "served"
	case throttled:
		return "refused"
	case faulted:
		return "failed"
	}
	return "unknown"
}
