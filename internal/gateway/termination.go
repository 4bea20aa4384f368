package gateway

import "thymebend/internal/balancer"

// TerminationReason is the reason for which an attempt, a connection or a watch ended.
type TerminationReason uint8

// Reasons for the end of attempts are first: reasons that prove that the request was never executed, then
// reasons after which it may have been executed, then the reason for a served request. Reasons for the end of
// connections and of the watch follow.
const (
	// Not started: the request was done or had no time or attempts left, or an invariant did not allow the
	// attempt.
	ReasonRequestOver     TerminationReason = iota
	ReasonDedupWindowOver                   // connected after the dedup window had ended: nothing was written
	ReasonEndpointLeft                      // the endpoint drains or was removed: nothing was written
	ReasonNoDescriptor                      // no descriptor was available for a connection
	ReasonConnectFailed                     // the connection was refused or broke before it was established
	ReasonLocalResources                    // this machine lacks a resource that a connection needs
	// The connection was not established in time, or too late for the attempt.
	ReasonConnectTimeout
	// The connection broke, or the write timed out, before the last byte was written.
	ReasonResetBeforeSent
	// A response with status 200 arrived before the request's last byte was written, so it is another request's.
	ReasonPrematureResponse
	ReasonRejected          // the endpoint rejected the request and states that it did not execute it
	ReasonResponseTimeout   // no complete response in time
	ReasonReset             // the connection broke or ended before the response was complete
	ReasonMalformedResponse // the received bytes are not a valid response
	ReasonErrorResponse     // a response that neither serves nor rejects the request
	ReasonCancelled         // the balancer cancelled the attempt
	ReasonClientLeft        // the client left, which ends its attempts and its connection
	ReasonServed            // a complete response with status 200
	// Closed while idle: by a timeout, the pool limit, a change of the subset, an upgrade or the peer.
	ReasonIdleClosed
	ReasonAnswered        // a downstream connection ended after its last answer
	ReasonClientTimeout   // the client did not finish its request, or read its answer, in time
	ReasonWatchBroken     // the watch broke, ended or was never established
	ReasonWatchSilent     // the watch missed its heartbeat
	ReasonMalformedUpdate // the watch delivered an invalid list
	ReasonWatchReplaced   // another watch replaced it
	ReasonUnsolicitedData // the endpoint sent bytes on an upstream connection that belong to no request
	reasonCount
)

// attemptOutcome returns the outcome of which the balancer is notified when an attempt ends for this reason. It
// returns false for reasons that do not concern attempts. ReasonNoDescriptor, ReasonEndpointLeft and
// ReasonConnectTimeout count as failures of the endpoint, even if this gateway lacked descriptors or time.
func (r TerminationReason) attemptOutcome() (balancer.Outcome, bool) {
	switch r {
	case ReasonRequestOver, ReasonDedupWindowOver, ReasonLocalResources:
		return balancer.OutcomeNotStarted, true
	case ReasonEndpointLeft, ReasonNoDescriptor, ReasonConnectFailed, ReasonConnectTimeout,
		ReasonResetBeforeSent, ReasonPrematureResponse:
		return balancer.OutcomeConnectFailed, true
	case ReasonRejected:
		return balancer.OutcomeRejected, true
	case ReasonResponseTimeout:
		return balancer.OutcomeTimeout, true
	case ReasonReset:
		return balancer.OutcomeReset, true
	case ReasonMalformedResponse, ReasonErrorResponse:
		return balancer.OutcomeError, true
	case ReasonCancelled, ReasonClientLeft:
		return balancer.OutcomeCancelled, true
	case ReasonServed:
		return balancer.OutcomeOK, true
	}
	return 0, false
}

// String returns the reason as it appears in log lines and in the ends of /ops/stats, whose texts are fixed.
func (r TerminationReason) String() string {
	names := [...]string{
		ReasonRequestOver:       "over",
		ReasonDedupWindowOver:   "window over",
		ReasonEndpointLeft:      "host left",
		ReasonNoDescriptor:      "no room",
		ReasonConnectFailed:     "unreached",
		ReasonLocalResources:    "local",
		ReasonConnectTimeout:    "not up",
		ReasonResetBeforeSent:   "unsent",
		ReasonPrematureResponse: "premature",
		ReasonRejected:          "turned away",
		ReasonResponseTimeout:   "timed out",
		ReasonReset:             "cut",
		ReasonMalformedResponse: "garbled",
		ReasonErrorResponse:     "faulty",
		ReasonCancelled:         "called off",
		ReasonClientLeft:        "client gone",
		ReasonServed:            "served",
		ReasonIdleClosed:        "link idle",
		ReasonAnswered:          "answered",
		ReasonClientTimeout:     "client slow",
		ReasonWatchBroken:       "list lost",
		ReasonWatchSilent:       "list silent",
		ReasonMalformedUpdate:   "list garbled",
		ReasonWatchReplaced:     "list replaced",
		ReasonUnsolicitedData:   "unsolicited",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
