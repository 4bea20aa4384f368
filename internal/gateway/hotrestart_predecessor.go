package gateway

import (
	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

// offer listens on the hot-restart socket for a successor.
func (h *hotRestart) offer() {
	if h.cfg.HotRestartSocket != "" {
		h.emit(loop.Effect{Op: loop.Listen, Conn: loop.HotRestart, Path: h.cfg.HotRestartSocket, Urgent: true})
	}
}

func (h *hotRestart) listenerEvent(e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		h.emit(loop.Effect{Op: loop.Accept, Conn: loop.HotRestart, MaxAccepts: 1})
	case loop.AcceptFailed:
		h.log.Warn().Err(e.Err).Msg("accept of the successor")
		h.pauseListener(e.Conn)
	case loop.Broken:
		h.log.Warn().Err(e.Err).Msg("no hot restart is possible")
	}
}

// successorConnected accepts one successor at a time. The connection of a second one is closed; that process
// then opens its own listening socket.
func (h *hotRestart) successorConnected(c loop.Conn) {
	if h.successor != nil {
		h.closeConn(c)
		return
	}
	h.successor = &hotrestart.Conn{ID: c}
	h.setTimer(timerSuccessor, 0, h.now+hotrestart.TakeoverTimeout)
}

func (h *hotRestart) successorEvent(e loop.Event) {
	h.receive(&h.successor, e, h.fromSuccessor, h.loseSuccessor)
}

// fromSuccessor handles a message of the successor. A successor takes over in three steps: Hello, Accepting,
// and an Acknowledge for each batch of connections.
func (h *hotRestart) fromSuccessor(m hotrestart.Message) {
	switch m.Kind {
	case hotrestart.Hello:
		h.successor.SharesIDs = m.SharesIDs
		h.passState(m.Listen)
	case hotrestart.UsedIDs:
		h.ids.learn(m.IDs)
	case hotrestart.Accepting:
		if h.handover != listenerPassed {
			h.loseSuccessor("it takes over without having received the listener")
			return
		}
		h.yield()
	case hotrestart.Acknowledge:
		h.stopTimer(timerSuccessor, 0)
		h.unacknowledged, h.idlePending = nil, true
	default:
		h.loseSuccessor("unexpected message: " + string(m.Kind))
	}
}

// passState sends the successor what it needs to serve: the listening socket, the endpoint list, the state of
// the balancer and the identity in the cluster. It declines if this process cannot pass the listener on.
func (h *hotRestart) passState(listen string) {
	if listen != h.cfg.Listen.String() || h.listener.phase == notListening ||
		h.shutdown.closing() || h.handedOver() {
		decline := hotrestart.Message{Kind: hotrestart.Decline, Reason: "no listening socket for " + listen}
		h.send(h.successor, decline, nil)
		return
	}
	learned := h.balancer.State(h.now)
	h.handover = listenerPassed
	h.resize()
	state := hotrestart.Message{
		Kind:            hotrestart.State,
		List:            h.discovery.endpoints.Encode(),
		Balancer:        &learned,
		DescriptorsHeld: h.descriptors(),
		SharesIDs:       true,
		IDs:             h.ids.encoded(),
	}
	if h.cluster.membership != nil {
		state.ClusterStart, state.ClusterIncarnation = h.cluster.membership.Identity()
	}
	h.send(h.successor, state, []loop.Conn{loop.Listener})
}

// yield makes this process leave new clients, the cluster membership and the requests to endpoints in slow start to
// the successor.
func (h *hotRestart) yield() {
	h.stopTimer(timerSuccessor, 0)
	h.log.Info().Msg("the successor takes clients")
	h.handover, h.idlePending = successorServes, true
	h.cluster.quit(false)
	h.closeConn(loop.HotRestart)
	h.emit(loop.Effect{Op: loop.PauseReading, Conn: loop.Listener})
	h.balancer.YieldSlowStart(h.now, true)
	h.resize()
	if h.shutdown.stopping() {
		h.shutdown.closeListener()
	}
}

// shareList passes the endpoint list to the successor after a change. What discovery tells this process, the gateway has
// been told, and the successor's own watch may still be closed.
func (h *hotRestart) shareList() {
	if h.successor == nil || h.handover == notHandedOver {
		return
	}
	h.send(h.successor, hotrestart.Message{
		Kind:            hotrestart.PassConns,
		List:            h.discovery.endpoints.Encode(),
		DescriptorsHeld: h.descriptors(),
	}, nil)
}

// passIdleConns passes the idle downstream connections to the successor. It is called at the end of a turn of
// the loop, when all data that were read from them have been handled; unread data stay in the socket and are
// passed with it.
func (h *hotRestart) passIdleConns() {
	if !h.handedOver() || !h.idlePending || len(h.unacknowledged) > 0 {
		return
	}
	h.idlePending = false
	var idle []hotrestart.IdleConn
	for _, conn := range h.downstream.conns.InOrder() {
		if conn.Busy || conn.WriteClosed || conn.ReadingPaused || conn.FinalRead || conn.Pending() {
			continue
		}
		if len(idle) == hotrestart.MaxBatch {
			h.idlePending = true
			break
		}
		idle = append(idle, hotrestart.IdleConn{
			HasRequested: conn.HasRequested,
			Requests:     conn.Requests,
			IdleMS:       (h.now - conn.IdleSince).Milliseconds(),
		})
		h.unacknowledged = append(h.unacknowledged, conn.ID)
		h.downstream.release(conn)
	}
	h.resize()
	if needed := h.descriptors(); len(idle) > 0 || needed != h.reportedDescriptors {
		h.reportedDescriptors = needed
		h.setTimer(timerSuccessor, 0, h.now+hotrestart.TakeoverTimeout)
		pass := hotrestart.Message{Kind: hotrestart.PassConns, Idle: idle, DescriptorsHeld: needed}
		h.send(h.successor, pass, h.unacknowledged)
	}
}

// loseSuccessor makes this process continue alone, because the successor has gone or does not answer.
func (h *hotRestart) loseSuccessor(detail string) {
	h.log.Warn().Str(fieldDetail, detail).Bool(fieldHandedOver, h.handedOver()).Msg("no successor")
	h.stopTimer(timerSuccessor, 0)
	for _, c := range h.unacknowledged {
		h.closeConn(c) // its transfer was not acknowledged
	}
	h.closeConn(h.successor.ID)
	wasHandedOver := h.handedOver()
	h.successor, h.handover, h.unacknowledged = nil, notHandedOver, nil
	h.idlePending, h.reportedDescriptors = false, 0
	h.resize()
	if !wasHandedOver {
		return
	}
	h.balancer.YieldSlowStart(h.now, false)
	h.dispatchNeeded = true
	h.cluster.join()
	if h.shutdown.stopping() {
		h.shutdown.closeListener()
		return
	}
	if h.listener.phase != acceptPaused {
		h.emit(loop.Effect{Op: loop.ResumeReading, Conn: loop.Listener})
	}
	h.offer()
}
