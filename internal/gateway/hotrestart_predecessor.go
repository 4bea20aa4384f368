package gateway

import (
	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

// offer takes the place at which the successor of this gateway asks.
func (h *hotRestart) offer() {
	if h.cfg.HotRestartDir != "" {
		h.emit(loop.Effect{Op: loop.Listen, Conn: loop.HotRestart, Path: h.cfg.HotRestartDir, Urgent: true})
	}
}

// ---- the predecessor's side
// -----------------------------------------------------------------------------------

func (h *hotRestart) listenerEvent(e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		h.emit(loop.Effect{Op: loop.Accept, Conn: loop.HotRestart, Most: 1})
	case loop.AcceptFailed:
		h.log.Warn().Err(e.Err).Msg("accept of the successor")
		h.pauseListener(e.Conn)
	case loop.Broken:
		h.log.Warn().Err(e.Err).Msg("no hot restart is possible")
	}
}

// successorConnected hears one successor at a time. A second one is told so by the end of its connection, and
// listens alone.
func (h *hotRestart) successorConnected(c loop.Conn) {
	if h.successor != nil {
		h.closeConn(c)
		return
	}
	h.successor = &hotrestart.Conn{ID: c}
	h.setTimer(timerSuccessor, 0, h.now+hotrestart.TakeoverTimeout)
}

func (h *hotRestart) fromSuccessor(m hotrestart.Message) {
	switch m.Kind {
	case hotrestart.Hello:
		if m.Listen != h.cfg.Listen.String() || h.listener.phase == notListening || h.shutdown.closing() || h.handedOver() {
			h.send(h.successor, hotrestart.Message{Kind: hotrestart.Decline, Reason: "no listening socket for " + m.Listen}, nil)
			return
		}
		learned := h.balancer.State(h.now)
		h.handover = listenerPassed
		h.resize()
		state := hotrestart.Message{Kind: hotrestart.State, List: h.discovery.endpoints.Encode(), Balancer: &learned, Descriptors: h.descriptors()}
		if h.cluster.membership != nil {
			state.FleetStart, state.FleetIncarnation = h.cluster.membership.Identity()
		}
		h.send(h.successor, state,
			[]loop.Conn{loop.Listener})
	case hotrestart.Taking:
		if h.handover != listenerPassed {
			h.loseSuccessor("it takes what it was not given")
			return
		}
		h.stopTimer(timerSuccessor, 0)
		h.log.Info().Msg("the successor takes clients")
		h.handover, h.idlePending = successorServes, true
		h.cluster.quit(false)
		h.closeConn(loop.HotRestart)
		h.emit(loop.Effect{Op: loop.Mute, Conn: loop.Listener})
		h.balancer.YieldSlowStart(h.now, true)
		h.resize()
		if h.shutdown.stopping() {
			h.shutdown.closeListener()
		}
	case hotrestart.Acknowledge:
		h.stopTimer(timerSuccessor, 0)
		h.passing, h.idlePending = nil, true
	default:
		h.loseSuccessor("it says " + string(m.Kind))
	}
}

// passIdleConns gives the successor the downstream connections that rest, at the end of a round: what was
// read of a connection has been told by then, and what was not read goes along.
func (h *hotRestart) passIdleConns() {
	if !h.handedOver() || !h.idlePending || len(h.passing) > 0 {
		return
	}
	h.idlePending = false
	var idle []hotrestart.IdleConn
	for _, conn := range h.downstream.conns.InOrder() {
		if conn.Busy || conn.Ended || conn.Muted || conn.FinalRead || conn.Pending() {
			continue
		}
		if len(idle) == hotrestart.Batch {
			h.idlePending = true
			break
		}
		idle = append(idle, hotrestart.IdleConn{HasRequested: conn.HasRequested, Requests: conn.Requests, IdleMS: (h.now - conn.Since).Milliseconds()})
		h.passing = append(h.passing, conn.ID)
		h.downstream.clearDeadline(conn)
		h.downstream.conns.Remove(conn)
	}
	h.resize()
	if holds := h.descriptors(); len(idle) > 0 || holds != h.reportedDescriptors {
		h.reportedDescriptors = holds
		h.setTimer(timerSuccessor, 0, h.now+hotrestart.TakeoverTimeout)
		h.send(h.successor, hotrestart.Message{Kind: hotrestart.PassConns, Idle: idle, Descriptors: holds}, h.passing)
	}
}

// loseSuccessor goes on alone: the successor has gone, or does not answer.
func (h *hotRestart) loseSuccessor(why string) {
	h.log.Warn().Str(fieldDetail, why).Bool(fieldHandedOver, h.handedOver()).Msg("no successor")
	h.stopTimer(timerSuccessor, 0)
	for _, c := range h.passing {
		h.closeConn(c) // those that were not passed after all
	}
	h.closeConn(h.successor.ID)
	took := h.handedOver()
	h.successor, h.handover, h.passing, h.idlePending, h.reportedDescriptors = nil, notHandedOver, nil, false, 0
	h.resize()
	if !took {
		return
	}
	h.balancer.YieldSlowStart(h.now, false)
	h.notified = true
	h.cluster.join()
	if h.shutdown.stopping() {
		h.shutdown.closeListener()
		return
	}
	if h.listener.phase != acceptPaused {
		h.emit(loop.Effect{Op: loop.Unmute, Conn: loop.Listener})
	}
	h.offer()
}

func (h *hotRestart) successorEvent(e loop.Event) {
	h.receive(&h.successor, e, h.fromSuccessor, h.loseSuccessor)
}
