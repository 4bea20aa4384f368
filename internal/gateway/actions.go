package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
)

// balancerActions carries out what the balancer decides. Its methods must not call the balancer: what it has
// to be notified of is kept until the end of the Step.
type balancerActions struct {
	*core
	attempts   *attemptTable
	discovery  *discoveryWatch
	downstream *downstreamConns
	requests   *requestTable

	timers uint64 // set so far
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

// Reject implements balancer.Actions. A rejection goes out at once.
func (a *balancerActions) Reject(id balancer.RequestID, after time.Duration) {
	if req := a.requests.byID[id]; req != nil && !req.done && !a.invariants.AllowReject(&req.invariants) {
		a.Fail(id)
		return
	}
	req, conn := a.requests.concludeForAnswer(id, outcomeRejected)
	if req != nil {
		a.logRejected(req.ID, rejectedByBalancer, after)
	}
	if conn != nil {
		a.downstream.answer(req, conn, downstream.RejectedResponse(after, a.downstream.finishRequest(conn)))
	}
}

// Fail implements balancer.Actions.
func (a *balancerActions) Fail(id balancer.RequestID) {
	if req, conn := a.requests.concludeForAnswer(id, outcomeFailed); conn != nil {
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
		if att.number == attempt {
			a.attempts.end(att, ReasonCancelled, nil)
			return
		}
	}
}

// CloseIdle implements balancer.Actions.
func (a *balancerActions) CloseIdle(to balancer.EndpointID) {
	for _, conn := range a.attempts.pool.IdleTo(to) {
		a.attempts.dropConn(conn, ReasonIdleClosed)
	}
}

// SetTimer implements balancer.Actions. A token may be out more than once, so each has a number of its own.
func (a *balancerActions) SetTimer(after time.Duration, token uint32) {
	a.timers++
	a.setTimer(timerBalancer, a.timers<<32|uint64(token), a.now+after)
}

// WatchEndpoints implements balancer.Actions.
func (a *balancerActions) WatchEndpoints() { a.discovery.poll() }

// Log implements balancer.Actions.
func (a *balancerActions) Log(line string) { a.log.Info().Str(fieldFrom, "balancer").Msg(line) }
