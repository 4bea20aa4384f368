package gateway

import (
	"thymebend/internal/balancer"
	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

// begin connects to the process of this gateway that is already serving, if hot restart is configured;
// otherwise it opens the listener.
func (h *hotRestart) begin() {
	if h.cfg.HotRestartSocket == "" {
		h.listener.open()
		return
	}
	h.predecessor = &hotrestart.Conn{ID: h.attempts.pool.NextID()}
	h.setTimer(timerPredecessor, 0, h.now+hotrestart.AnswerTimeout)
	h.emit(loop.Effect{Op: loop.Dial, Conn: h.predecessor.ID, Path: h.cfg.HotRestartSocket, Urgent: true})
}

func (h *hotRestart) predecessorEvent(e loop.Event) {
	if e.Kind == loop.Connected {
		h.send(h.predecessor, hotrestart.Message{Kind: hotrestart.Hello, Listen: h.cfg.Listen.String(), SharesIDs: true}, nil)
		return
	}
	h.receive(&h.predecessor, e, h.fromPredecessor, h.losePredecessor)
}

// fromPredecessor handles a message of the predecessor: first its state with the listening socket, then batches
// of idle connections.
func (h *hotRestart) fromPredecessor(m hotrestart.Message) {
	switch m.Kind {
	case hotrestart.State:
		h.stopTimer(timerPredecessor, 0)
		h.predecessor.SharesIDs = m.SharesIDs
		h.ids.learn(m.IDs)
		h.inherit(m)
		h.emit(loop.Effect{Op: loop.AdoptListener, Conn: m.Conns[0], AdoptAs: loop.Listener})
	case hotrestart.PassConns:
		for i, c := range m.Conns {
			h.downstream.adopt(c, m.Idle[i])
		}
		h.predecessorDescriptors = m.DescriptorsHeld
		h.resize()
		if len(m.List) > 0 {
			h.inheritList(m.List)
			return // the predecessor waits for no Acknowledge of a list
		}
		h.send(h.predecessor, hotrestart.Message{Kind: hotrestart.Acknowledge}, nil)
	case hotrestart.UsedIDs:
		h.ids.learn(m.IDs)
	default:
		h.losePredecessor("no handover: " + string(m.Kind) + ": " + m.Reason)
	}
}

// inherit applies the state of the predecessor.
func (h *hotRestart) inherit(m hotrestart.Message) {
	if len(m.List) > 0 {
		h.inheritList(m.List)
	}
	if m.Balancer != nil {
		h.balancer.Restore(h.now, *m.Balancer)
	}
	h.dispatchNeeded = true
	h.cluster.inherit(m.ClusterStart, m.ClusterIncarnation)
	h.predecessorDescriptors = m.DescriptorsHeld
	h.resize()
}

// inheritList applies the predecessor's endpoint list, unless discovery has already sent this process a list on the watch
// that is open now.
func (h *hotRestart) inheritList(list []byte) {
	if h.discovery.current == nil || !h.discovery.current.Started() {
		h.dispatchNeeded = true
		h.inheritEndpoints(list)
	}
}

// inheritEndpoints applies the predecessor's list unless it is older than this process's list. With an older
// list there would be a gap: the poll in progress requests the changes since this process's list.
func (h *hotRestart) inheritEndpoints(list []byte) {
	if older, err := h.discovery.endpoints.IsOlder(list); err == nil && older {
		return
	}
	update, err := h.discovery.endpoints.Apply(list)
	if err != nil {
		h.log.Error().Err(err).Msg("the predecessor's list is not usable")
		return
	}
	h.attempts.endpointsChanged(update.Changed)
	h.discovery.notifyBalancer(balancer.CachedSnapshot, update.Entries)
}

// losePredecessor makes this process continue without the predecessor, which has gone or cannot hand over.
func (h *hotRestart) losePredecessor(detail string) {
	h.log.Info().Str(fieldDetail, detail).Bool(fieldAccepting, h.listener.phase != notListening).
		Msg("no predecessor")
	h.stopTimer(timerPredecessor, 0)
	for _, c := range h.predecessor.UnclaimedConns() {
		h.closeConn(c)
	}
	h.closeConn(h.predecessor.ID)
	h.predecessor, h.predecessorDescriptors = nil, 0
	h.resize()
	if h.listener.phase == notListening && !h.shutdown.stopping() {
		h.listener.open()
	}
}
