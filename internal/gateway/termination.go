package gateway

import "thymebend/internal/balancer"

// TerminationReason is every way in which a connection, or what was under way on it, can end.
type TerminationReason uint8

// The ends of attempts come first: those that prove that the request never ran, then those that leave it
// open, then the one that served it. The ends of downstream connections and of the watch follow.
const (
	ReasonRequestOver       TerminationReason = iota // not begun: the request was over, out of time or out of attempts
	ReasonDedupWindowOver                            // its connection came up after the window for repeats: nothing was written
	ReasonEndpointLeft                               // the endpoint drains or is gone: nothing was written
	ReasonNoDescriptor                               // no descriptor was left for a connection
	ReasonConnectFailed                              // the connection was refused or broke while it came up
	ReasonLocalResources                             // this machine has run out of something that a connection needs
	ReasonConnectTimeout                             // the connection did not come up in time
	ReasonResetBeforeSent                            // the connection broke before the last byte was written
	ReasonRejected                                   // the endpoint says that it did not begin
	ReasonResponseTimeout                            // no answer in time
	ReasonReset                                      // the connection broke or ended before a complete answer
	ReasonMalformedResponse                          // what came is no answer
	ReasonErrorResponse                              // an answer that is neither served nor rejected
	ReasonCancelled                                  // the balancer cancelled
	ReasonClientLeft                                 // the client left: its attempts and its connection end
	ReasonServed                                     // a complete 200
	ReasonIdleTimeout                                // an idle connection was closed in good time, or by the peer
	ReasonAnswered                                   // a downstream connection ended after its last answer
	ReasonClientTimeout                              // a client did not finish its request or take its answer in time
	ReasonWatchBroken                                // the watch broke, ended or never came up
	ReasonWatchSilent                                // the watch missed its beat
	ReasonMalformedUpdate                            // the watch brought what is no list
	ReasonWatchReplaced                              // the watch gave way to a new one
	reasonCount                                      // how many there are
)

// outcome maps an attempt's end to what the balancer is told, and reports whether there is anything to tell.
func (e TerminationReason) outcome() (balancer.Outcome, bool) {
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

// String is for log lines.
func (e TerminationReason) String() string {
	names := [...]string{"over", "window over", "host left", "no room", "unreached", "local", "not up", "unsent", "turned away", "timed out",
		"cut", "garbled", "faulty", "called off", "client gone", "served", "link idle", "answered", "client slow",
		"list lost", "list silent", "list garbled", "list replaced"}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}
