package gateway

import "thymebend/internal/balancer"

// End is every way in which a connection, or what was under way on it, can end.
type End uint8

// The ends of executions come first: those that prove that the request never ran, then those that leave it
// open, then the one that served it. The ends of client links and of the watch follow.
const (
	EndOver        End = iota // not begun: the query was over, out of time or out of attempts
	EndWindow                 // its connection came up after the window for repeats: nothing was written
	EndHostLeft               // the host drains or is gone: nothing was written
	EndNoRoom                 // no descriptor was left for a link
	EndUnreached              // the connection was refused or broke while it came up
	EndLocal                  // this machine has run out of something that a connection needs
	EndNotUp                  // the connection did not come up in time
	EndUnsent                 // the connection broke before the last byte was written
	EndTurnedAway             // the host says that it did not begin
	EndTimedOut               // no answer in time
	EndCut                    // the connection broke or ended before a whole answer
	EndGarbled                // what came is no answer
	EndFaulty                 // an answer that is neither served nor turned away
	EndCalledOff              // the module cancelled
	EndClientGone             // the client left: its executions and its link end
	EndServed                 // a whole 200
	EndLinkIdle               // an idle link was closed in good time, or by the peer
	EndAnswered               // a client link ended after its last answer
	EndClientSlow             // a client did not finish its request or take its answer in time
	EndListLost               // the watch broke, ended or never came up
	EndListSilent             // the watch missed its beat
	EndListGarbled            // the watch brought what is no list
	EndListReplace            // the watch gave way to a new one
	endKinds                  // how many there are
)

// outcome maps an execution's end to what the module is told, and reports whether there is anything to tell.
func (e End) outcome() (balancer.Outcome, bool) {
	switch e {
	case EndOver, EndWindow, EndLocal:
		return balancer.Moot, true
	case EndHostLeft, EndNoRoom, EndUnreached, EndNotUp, EndUnsent:
		return balancer.ConnectFailed, true
	case EndTurnedAway:
		return balancer.Full, true
	case EndTimedOut:
		return balancer.Timeout, true
	case EndCut:
		return balancer.Reset, true
	case EndGarbled, EndFaulty:
		return balancer.Error, true
	case EndCalledOff, EndClientGone:
		return balancer.Cancelled, true
	case EndServed:
		return balancer.OK, true
	}
	return 0, false
}

// String is for log lines.
func (e End) String() string {
	names := [...]string{"over", "window over", "host left", "no room", "unreached", "local", "not up", "unsent", "turned away", "timed out",
		"cut", "garbled", "faulty", "called off", "client gone", "served", "link idle", "answered", "client slow",
		"list lost", "list silent", "list garbled", "list replaced"}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}
