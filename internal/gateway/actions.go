package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
)

// balancerActions carries out the balancer's decisions. Its methods must not call the balancer; notifications
// that they cause are stored and delivered at the end of the Step.
type balancerActions struct {
	*core
	attempts   *attemptTable
	discovery  *discoveryWatch
	downstream *downstreamConns
	requests   *requestTable

	timersSet uint64 // number of timers set since the start, part of each timer's id
}

// StartAttempt implements balancer.Actions.
func (a *balancerActions) StartAttempt(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	req := a.requests.byID[id]
	if req == nil {
		a.log.Error().Uint32(fieldRequest, uint32(id)).Msg("attempt for an unknown request")
		return
	}
	att := a.attempts.add(req, to, timeout)
	if req.done || att.deadline <= a.now || att.number >= a.cfg.Settings.Config.MaxAttempts {
		a.attempts.end(att, ReasonRequestOver, nil)
		return
	}
	a.logAttempt(att)
	a.setTimer(timerAttempt, att.id, att.deadline)
	a.attempts.start(att)
}

// Reject implements balancer.Actions. The rejection is written to the client at once.
func (a *balancerActions) Reject(id balancer.RequestID, after time.Duration) {
	if req := a.requests.byID[id]; req != nil && !req.done && !a.invariants.AllowReject(&req.invariants) {
		a.Fail(id)
		return
	}
	req, conn := a.requests.concludeForAnswer(id, resultRejected)
	if req != nil {
		a.logRejected(req.ID, rejectedByBalancer, after)
	}
	if conn != nil {
		a.downstream.answer(req, conn, downstream.RejectedResponse(after, a.downstream.finishRequest(conn)))
	}
}

// Fail implements balancer.Actions.
func (a *balancerActions) Fail(id balancer.RequestID) {
	if req, conn := a.requests.concludeForAnswer(id, resultFailed); conn != nil {
		a.downstream.answer(req, conn, downstream.FailedResponse(a.downstream.finishRequest(conn)))
	}
}

// CancelAttempt implements balancer.Actions.
func (a *balancerActions) CancelAttempt(id balancer.RequestID, attempt int) {
	req := a.requests.byID[id]
	if req == nil {
		return
	}
	for _, att := range req.running {
		if att.number != attempt {
			continue
		}
		if !a.attempts.passOnIncomplete(att, minPassOnAtEnd) { // an endpoint that is writing its answer does not hang
			a.attempts.end(att, ReasonCancelled, nil)
		}
		return
	}
}

// CloseIdle implements balancer.Actions.
func (a *balancerActions) CloseIdle(to balancer.EndpointID) {
	for _, conn := range a.attempts.pool.IdleTo(to) {
		a.attempts.dropConn(conn, ReasonIdleClosed)
	}
}

// SetTimer implements balancer.Actions. token is the number by which the balancer recognizes the timer, not a
// slow-start token. The same token may be pending in several timers, so each timer's id also contains a sequence
// number.
func (a *balancerActions) SetTimer(after time.Duration, token uint32) {
	a.timersSet++
	a.setTimer(timerBalancer, a.timersSet<<32|uint64(token), a.now+after)
}

// WatchEndpoints implements balancer.Actions.
func (a *balancerActions) WatchEndpoints() { a.discovery.poll() }

// Log implements balancer.Actions.
func (a *balancerActions) Log(line string) { a.log.Info().Str(fieldFrom, "balancer").Msg(line) }
