package gateway

import "thymebend/internal/balancer"

// TerminationReason is every way in which a connection, or what was under way on it, can end.
type TerminationReason uint8

// The ends of attempts come first: those that prove that the request never ran, then those that leave it
// open, then the one that served it. The ends of downstream connections and of the watch follow.
const (
	ReasonRequestOver     TerminationReason = iota // not begun: the request was done, out of time or of attempts
	ReasonDedupWindowOver                          // connected after the window for retries: nothing was written
	ReasonEndpointLeft                             // the endpoint drains or is gone: nothing was written
	ReasonNoDescriptor                             // no descriptor was left for a connection
	ReasonConnectFailed                            // the connection was refused or broke before it was established
	ReasonLocalResources                           // this machine lacks something that a connection needs
	// the connection was not established in time, or too late for the attempt
	ReasonConnectTimeout
	// the connection broke, or the write timed out, before the last byte was written
	ReasonResetBeforeSent
	ReasonRejected          // the endpoint says that it did not begin
	ReasonResponseTimeout   // no answer in time
	ReasonReset             // the connection broke or ended before a complete answer
	ReasonMalformedResponse // what came is no answer
	ReasonErrorResponse     // an answer that is neither served nor rejected
	ReasonCancelled         // the balancer cancelled
	ReasonClientLeft        // the client left: its attempts and its connection end
	ReasonServed            // a complete 200
	// closed while idle: by a timeout, the pool limit, a change of the subset, an upgrade or the peer
	ReasonIdleClosed
	ReasonAnswered        // a downstream connection ended after its last answer
	ReasonClientTimeout   // a client did not finish its request, or read its answer, in time
	ReasonWatchBroken     // the watch broke, ended or was never established
	ReasonWatchSilent     // the watch missed its heartbeat
	ReasonMalformedUpdate // the watch brought no valid list
	ReasonWatchReplaced   // another watch took its place
	reasonCount
)

// attemptOutcome maps the end of an attempt to what the balancer is notified of. It is false for ends of other
// things. ReasonNoDescriptor, ReasonEndpointLeft and ReasonConnectTimeout count as failures of the endpoint, also
// where this gateway was short of descriptors or of time.
func (e TerminationReason) attemptOutcome() (balancer.Outcome, bool) {
	switch e {
	case ReasonRequestOver, ReasonDedupWindowOver, ReasonLocalResources:
		return balancer.OutcomeNotStarted, true
	case ReasonEndpointLeft, ReasonNoDescriptor, ReasonConnectFailed, ReasonConnectTimeout, ReasonResetBeforeSent:
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

// String is the reason in log lines and in the ends of /ops/stats, whose texts are fixed.
func (e TerminationReason) String() string {
	names := [...]string{
		ReasonRequestOver:       "over",
		ReasonDedupWindowOver:   "window over",
		ReasonEndpointLeft:      "host left",
		ReasonNoDescriptor:      "no room",
		ReasonConnectFailed:     "unreached",
		ReasonLocalResources:    "local",
		ReasonConnectTimeout:    "not up",
		ReasonResetBeforeSent:   "unsent",
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
	}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}
