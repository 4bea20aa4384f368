package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/invariant"
)

// logViolation logs an effect that was held back.
func (c *core) logViolation(v invariant.Violation) {
	c.log.Error().Stringer("rule", v.Rule).Str("id", v.Request).Str("detail", v.Detail).Msg("held back: it would break a rule")
}

// logAccepted logs a client connection's begin.
func (c *core) logAccepted(conn *downstream.Conn) {
	c.log.Debug().Uint64("link", uint64(conn.ID)).Msg("client connection accepted")
}

// logFirstByte logs that a request begins to come.
func (c *core) logFirstByte(conn *downstream.Conn, bytes int) {
	c.log.Debug().Uint64("link", uint64(conn.ID)).Int("bytes", bytes).Int("requests_before", conn.Requests).
		Dur("age", c.now-conn.Accepted).Msg("request begins to come")
}

// logTaken logs that a request has become the module's.
func (c *core) logTaken(req *request) {
	c.log.Debug().Uint64("link", uint64(req.client)).Uint32("query", uint32(req.id)).Str("id", req.ID).Str("class", req.Class.Name).
		Dur("patience", req.ClientTimeout).Msg("request taken")
}

// logFaulty logs that a request was answered with an error, and is passed on to nobody.
func (c *core) logFaulty(conn *downstream.Conn, id string, status int, why string) {
	c.log.Debug().Uint64("link", uint64(conn.ID)).Str("id", id).Int("status", status).Str("why", why).Msg("request faulty")
}

// logRejected counts a refusal and logs its reason.
func (c *core) logRejected(id string, reason rejectionReason, after time.Duration) {
	c.stats.rejections[reason]++
	c.log.Debug().Str("id", id).Stringer("reason", reason).Dur("retry_after", after).Msg("request refused")
}

// logAnswered logs the final answer of a request.
func (c *core) logAnswered(req *request, r outcome) {
	c.log.Debug().Uint32("query", uint32(req.id)).Str("id", req.ID).Stringer("result", r).Int("attempts", req.started).
		Dur("left", req.deadline-c.now).Msg("request ends")
}

// logAttempt logs an attempt's begin, and counts it where it is a further one.
func (c *core) logAttempt(att *attempt) {
	if att.number > 0 {
		c.stats.retries++
	}
	c.log.Debug().Uint32("query", uint32(att.request.id)).Str("id", att.request.ID).Int("attempt", att.number).
		Uint64("server", uint64(att.endpoint)).Dur("left", att.deadline-c.now).Msg("attempt begins")
}

// logIncomplete logs that a request did not come whole in its time.
func (c *core) logIncomplete(conn *downstream.Conn) {
	c.log.Debug().Uint64("link", uint64(conn.ID)).Int("bytes", conn.RequestBytes).Int("requests_before", conn.Requests).
		Dur("after", c.now-conn.RequestBegan).Dur("silent", conn.IdleFor(c.now)).Msg("request not whole in time")
}

// logRelayCut logs why a large answer could not be passed on to its end.
func (c *core) logRelayCut(r *relay, why string, err error) {
	c.log.Debug().Str("id", r.id).Str("why", why).AnErr("cause", err).Int64("length", r.length).Int("came", r.received).
		Bool("client_busy", r.writing).Bool("host_unread", r.paused).Dur("after", c.now-r.began).Msg("large answer cut")
}

// logClientEnd counts the end of a client connection and logs its reason.
func (c *core) logClientEnd(conn *downstream.Conn, end TerminationReason) {
	c.stats.countEnd(end)
	c.log.Debug().Uint64("link", uint64(conn.ID)).Stringer("end", end).Int("requests", conn.Requests).Bool("partly_read", conn.Pending()).
		Bool("waiting", conn.Busy).Dur("age", c.now-conn.Accepted).Dur("silent", conn.IdleFor(c.now)).Msg("client link")
}
