package gateway

import (
	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

// handoverPhase is how far the successor of this process has come.
type handoverPhase uint8

const (
	notHandedOver   handoverPhase = iota
	listenerPassed                // it has the listening socket
	successorServes               // it takes clients: this one accepts none
)

// hotRestart passes the listener, what was learned and the idle downstream connections from one process of
// this gateway to the next. This process may be both: successor of the one before and predecessor of the one
// after.
type hotRestart struct {
	*core
	attempts   *attemptTable
	cluster    *cluster
	discovery  *discoveryWatch
	downstream *downstreamConns
	listener   *listener
	shutdown   *shutdown

	predecessor            *hotrestart.Conn // the process that served before, while it lives
	predecessorDescriptors int              // that it needs
	successor              *hotrestart.Conn // the process that comes next
	handover               handoverPhase    // to it
	idlePending            bool             // a downstream connection may have become idle since
	passing                []loop.Conn      // passed and not yet acknowledged
	reportedDescriptors    int              // to the successor
	heapBytes              int64
}

// send sends a message, with the descriptors of sockets beside it.
func (h *hotRestart) send(conn *hotrestart.Conn, m hotrestart.Message, give []loop.Conn) {
	m.Passed = len(give)
	data, err := m.Encode()
	if err != nil {
		h.log.Error().Err(err).Msg("hot restart")
		if conn == h.successor {
			h.loseSuccessor("a message cannot be worded")
		}
		return
	}
	op := loop.Write
	if len(give) > 0 {
		op = loop.Pass
	}
	h.emit(loop.Effect{Op: op, Conn: conn.ID, Data: data, Give: give})
}

// receive handles an event on the connection to the other process. handle may lose the connection.
func (h *hotRestart) receive(
	conn **hotrestart.Conn, e loop.Event, handle func(hotrestart.Message), lose func(why string),
) {
	switch e.Kind {
	case loop.Readable:
		h.emit(loop.Effect{Op: loop.Read, Conn: e.Conn})
	case loop.Data:
		(*conn).Feed(e.Data, e.Passed)
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
		lose("it has ended")
	case loop.Broken:
		lose(e.Err.Error())
	}
}

// handedOver reports whether the successor takes the clients.
func (h *hotRestart) handedOver() bool { return h.handover == successorServes }

// connIdle notes that a downstream connection may have become idle, to be passed on at the end of the round.
func (h *hotRestart) connIdle() { h.idlePending = true }

// alone reports whether this is the only process of its gateway. While there are two, idle connections stay
// open where they can. Guards against clients that come back in the middle of an upgrade to a closed
// connection.
func (h *hotRestart) alone() bool { return h.successor == nil && h.predecessor == nil }

// timerDue gives up waiting for the other process.
func (h *hotRestart) timerDue(kind uint8) {
	switch {
	case kind == timerPredecessor && h.predecessor != nil:
		h.losePredecessor("it does not answer")
	case kind == timerSuccessor && h.successor != nil:
		h.loseSuccessor("it does not answer")
	}
}
