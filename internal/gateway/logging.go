package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/invariant"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// logViolation logs an effect that was suppressed because it would break an invariant.
func (c *core) logViolation(v invariant.Violation) {
	c.log.Error().Stringer(fieldRule, v.Rule).Str(fieldID, v.Request).Str(fieldDetail, v.Detail).
		Msg("suppressed: it would break an invariant")
}

// logConnAccepted logs that a downstream connection was accepted.
func (c *core) logConnAccepted(conn *downstream.Conn) {
	c.log.Debug().Uint64(fieldDownstreamConn, uint64(conn.ID)).Msg("downstream connection accepted")
}

// logFirstByte logs that the first bytes of a request were received.
func (c *core) logFirstByte(conn *downstream.Conn, bytes int) {
	c.log.Debug().Uint64(fieldDownstreamConn, uint64(conn.ID)).Int(fieldBytes, bytes).
		Int(fieldRequestsBefore, conn.Requests).
		Dur(fieldAge, c.now-conn.AcceptedAt).Msg("request begins to come")
}

// logRequestAccepted logs that a request is passed to the balancer.
func (c *core) logRequestAccepted(req *request) {
	c.log.Debug().Uint64(fieldDownstreamConn, uint64(req.client)).Uint32(fieldRequest, uint32(req.id)).
		Str(fieldID, req.ID).Str(fieldClass, req.Class.Name).
		Dur(fieldClientTimeout, req.ClientTimeout).Msg("request accepted")
}

// logMalformed logs that a request was answered with an error status and is not passed to the balancer.
func (c *core) logMalformed(conn *downstream.Conn, id string, status int, detail string) {
	c.log.Debug().Uint64(fieldDownstreamConn, uint64(conn.ID)).Str(fieldID, id).Int(fieldStatus, status).
		Str(fieldDetail, detail).Msg("request malformed")
}

// logRejected counts a rejection by its reason and logs it.
func (c *core) logRejected(id string, reason rejectionReason, after time.Duration) {
	c.stats.rejections[reason]++
	c.log.Debug().Str(fieldID, id).Stringer(fieldReason, reason).Dur(fieldRetryAfter, after).
		Msg("request rejected")
}

// memoryLogInterval is the minimum time between two warnings that the memory for buffers is used up.
const memoryLogInterval = time.Second

// logShed counts and logs an incomplete request that is rejected because the memory for buffers is used up: as a warning
// at most once per memoryLogInterval, otherwise at level debug.
func (c *core) logShed(conn *downstream.Conn) {
	c.stats.rejections[rejectedNoMemory]++
	line := c.log.Debug()
	if c.shedLogged == 0 || c.now-c.shedLogged >= memoryLogInterval {
		c.shedLogged = c.now
		line = c.log.Warn()
	}
	line.Uint64(fieldDownstreamConn, uint64(conn.ID)).Int(fieldBytes, conn.RequestBytes).Int(fieldHeld, conn.Held()).
		Dur(fieldSilent, conn.IdleFor(c.now)).Int(fieldUsed, c.buffers.Used()).Int(fieldLimit, c.buffers.Limit()).
		Uint64(fieldCount, c.stats.rejections[rejectedNoMemory]).
		Msg("request rejected before it was complete: the memory for buffers is used up")
}

// logRequestEnded logs the final outcome of a request.
func (c *core) logRequestEnded(req *request, r finalResult) {
	c.log.Debug().Uint32(fieldRequest, uint32(req.id)).Str(fieldID, req.ID).Stringer(fieldOutcome, r).
		Int(fieldAttempts, req.started).
		Dur(fieldTimeLeft, req.deadline-c.now).Msg("request ended")
}

// logAttempt logs the start of an attempt, and counts it as a retry unless it is the request's first.
func (c *core) logAttempt(att *attempt) {
	if att.number > 0 {
		c.stats.retries++
	}
	c.log.Debug().Uint32(fieldRequest, uint32(att.request.id)).Str(fieldID, att.request.ID).
		Int(fieldAttempt, att.number).
		Uint64(fieldEndpoint, uint64(att.endpoint)).Dur(fieldTimeLeft, att.deadline-c.now).Msg("attempt begins")
}

// logAttemptWritten logs which upstream connection carries an attempt, and how long that connection was silent before.
func (c *core) logAttemptWritten(att *attempt) {
	line := c.log.Debug()
	if att.conn.LastByte > 0 {
		line = line.Dur(fieldSilent, c.now-att.conn.LastByte)
	}
	line.Uint32(fieldRequest, uint32(att.request.id)).Str(fieldID, att.request.ID).
		Int(fieldAttempt, att.number).Uint64(fieldEndpoint, uint64(att.endpoint)).
		Uint64(fieldUpstreamConn, uint64(att.conn.ID)).Int(fieldRequestsBefore, att.conn.Requests-1).
		Msg("attempt is written")
}

// logAttemptEnd logs how an attempt ended, and on which connection. resp is nil without a response.
func (c *core) logAttemptEnd(att *attempt, end TerminationReason, resp *upstream.Response) {
	line := c.log.Debug()
	if att.conn != nil {
		line = line.Uint64(fieldUpstreamConn, uint64(att.conn.ID))
	}
	if resp != nil {
		line = line.Int(fieldStatus, resp.Status)
	}
	line.Uint32(fieldRequest, uint32(att.request.id)).Str(fieldID, att.request.ID).
		Int(fieldAttempt, att.number).Uint64(fieldEndpoint, uint64(att.endpoint)).Stringer(fieldEnd, end).
		Dur(fieldAfter, c.now-att.startedAt).Msg("attempt ended")
}

// unsolicitedLogInterval is the minimum time between two warnings of unsolicited bytes.
const unsolicitedLogInterval = time.Second

// unsolicitedPrefix is the number of unsolicited bytes that are logged: enough for a status line.
const unsolicitedPrefix = 40

// logUnsolicited logs bytes of an endpoint that belong to no request, as a warning at most once per
// unsolicitedLogInterval and otherwise at level debug.
func (c *core) logUnsolicited(conn *upstream.Conn, data []byte, after time.Duration) {
	line := c.log.Debug()
	if c.unsolicitedLogged == 0 || c.now-c.unsolicitedLogged >= unsolicitedLogInterval {
		c.unsolicitedLogged = c.now
		line = c.log.Warn()
	}
	line.Uint64(fieldUpstreamConn, uint64(conn.ID)).Uint64(fieldEndpoint, uint64(conn.Endpoint)).
		Int(fieldRequestsBefore, conn.Requests).Dur(fieldAfter, after).Int(fieldBytes, len(data)).
		Bytes(fieldBegin, data[:min(len(data), unsolicitedPrefix)]).
		Uint64(fieldCount, c.stats.ends[ReasonUnsolicitedData]).
		Msg("an endpoint sent bytes that belong to no request")
}

// logIncomplete logs that a request was not received completely in time.
func (c *core) logIncomplete(conn *downstream.Conn) {
	c.log.Debug().Uint64(fieldDownstreamConn, uint64(conn.ID)).Int(fieldBytes, conn.RequestBytes).
		Int(fieldRequestsBefore, conn.Requests).
		Dur(fieldAfter, c.now-conn.RequestStart).Dur(fieldSilent, conn.IdleFor(c.now)).
		Msg("request not complete in time")
}

// logBlocked logs that the client of a streamed body may be kept from sending, or no longer is, with what its kernel queue says.
func (c *core) logBlocked(conn *downstream.Conn, queues loop.QueueSizes) {
	c.log.Debug().Uint64(fieldDownstreamConn, uint64(conn.ID)).Bool(fieldBlocked, conn.MayBeBlocked()).
		Int(fieldUnread, queues.Unread).Int(fieldReceiveMemory, queues.ReceiveMemory).Int(fieldReceiveLimit, queues.ReceiveLimit).
		Msg("whether a client may be kept from sending the rest of its body")
}

// logRelayCut logs why a large response could not be passed to the client completely.
func (c *core) logRelayCut(r *relay, detail string, err error) {
	c.log.Debug().Str(fieldID, r.id).Str(fieldDetail, detail).AnErr(fieldCause, err).
		Int64(fieldLength, r.length).Int(fieldReceived, r.received).
		Bool(fieldDownstreamWriting, r.writing).Bool(fieldUpstreamPaused, r.paused).
		Dur(fieldAfter, c.now-r.startedAt).Msg("large response cut")
}

// logConnEnded counts the end of a downstream connection by its reason and logs it.
func (c *core) logConnEnded(conn *downstream.Conn, end TerminationReason) {
	c.stats.countEnd(end)
	c.log.Debug().Uint64(fieldDownstreamConn, uint64(conn.ID)).Stringer(fieldEnd, end).
		Int(fieldRequests, conn.Requests).Bool(fieldPartlyRead, conn.Pending()).
		Bool(fieldWaiting, conn.Busy).Dur(fieldAge, c.now-conn.AcceptedAt).
		Dur(fieldSilent, conn.IdleFor(c.now)).Msg("downstream connection ended")
}
