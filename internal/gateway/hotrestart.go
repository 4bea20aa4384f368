package gateway

import (
	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

// handoverPhase is how far the handover to the successor has advanced.
type handoverPhase uint8

const (
	notHandedOver   handoverPhase = iota
	listenerPassed                // the successor has the listening socket
	successorServes               // the successor accepts clients; this process accepts none
)

// hotRestart passes the listener, the balancer's state and the idle downstream connections from one process
// of this gateway to the next. A process may be both the successor of the previous process and the
// predecessor of the next.
type hotRestart struct {
	*core
	attempts   *attemptTable
	cluster    *cluster
	discovery  *discoveryWatch
	downstream *downstreamConns
	ids        *idRegistry
	listener   *listener
	shutdown   *shutdown

	predecessor            *hotrestart.Conn // connection to the previous process, while that exists
	predecessorDescriptors int              // number of descriptors that the predecessor needs
	successor              *hotrestart.Conn // connection to the next process
	handover               handoverPhase    // phase of the handover to the successor
	idlePending            bool             // an idle downstream connection may still have to be passed
	unacknowledged         []loop.Conn      // connections passed and not yet acknowledged
	reportedDescriptors    int              // number last reported to the successor
	heapBytes              int64            // heap limit last set
}

// send sends a message, and passes the given sockets with it.
func (h *hotRestart) send(conn *hotrestart.Conn, m hotrestart.Message, sockets []loop.Conn) {
	m.DescriptorsPassed = len(sockets)
	data, err := m.Encode()
	if err != nil {
		h.log.Error().Err(err).Msg("hot restart")
		if conn == h.successor {
			h.loseSuccessor("a message cannot be encoded")
		}
		return
	}
	op := loop.Write
	if len(sockets) > 0 {
		op = loop.PassSockets
	}
	h.emit(loop.Effect{Op: op, Conn: conn.ID, Data: data, PassConns: sockets})
}

// receive handles an event on the connection to the other process. It calls handle for each message, and lose
// with the reason if the connection fails. handle may close the connection, which sets *conn to nil.
func (h *hotRestart) receive(
	conn **hotrestart.Conn, e loop.Event, handle func(hotrestart.Message), lose func(detail string),
) {
	switch e.Kind {
	case loop.Readable:
		h.emit(loop.Effect{Op: loop.Read, Conn: e.Conn})
	case loop.Data:
		(*conn).Feed(e.Data, e.PassedConns)
		for *conn != nil {
			m, complete, err := (*conn).Next()
			if err != nil {
				lose(err.Error())
				return
			}
			if !complete {
				return
			}
			handle(m)
		}
	case loop.EOF:
		lose("the connection was closed by the other process")
	case loop.Broken:
		lose(e.Err.Error())
	}
}

// handedOver reports whether the successor accepts clients instead of this process.
func (h *hotRestart) handedOver() bool { return h.handover == successorServes }

// connIdle records that a downstream connection may have become idle. It is passed to the successor at the
// end of the turn of the loop.
func (h *hotRestart) connIdle() { h.idlePending = true }

// isOnlyProcess reports whether this is the only process of its gateway. While there are two, idle connections
// are kept open where possible, so that a client that sends again in the middle of an upgrade does not meet a
// closed connection.
func (h *hotRestart) isOnlyProcess() bool { return h.successor == nil && h.predecessor == nil }

// timerDue continues without the other process, which has not answered in time.
func (h *hotRestart) timerDue(kind timerKind) {
	switch {
	case kind == timerPredecessor && h.predecessor != nil:
		h.losePredecessor("no answer in time")
	case kind == timerSuccessor && h.successor != nil:
		h.loseSuccessor("no answer in time")
	}
}
