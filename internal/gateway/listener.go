package gateway

import (
	"time"

	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

// acceptPauseDuration is how long nothing is accepted when there is no descriptor left, unless a connection
// closes before.
const acceptPauseDuration = 50 * time.Millisecond

// listenerPhase is what the listening socket does.
type listenerPhase uint8

const (
	notListening listenerPhase = iota
	accepting
	acceptPaused // for want of descriptors: connections wait unread
)

// listener accepts downstream connections while there is room for them.
type listener struct {
	*core
	cluster    *cluster
	downstream *downstreamConns
	restart    *hotRestart
	shutdown   *shutdown

	phase listenerPhase
}

func (ln *listener) handleEvent(e loop.Event) {
	switch e.Kind {
	case loop.Listening:
		ln.opened()
	case loop.Readable:
		if ln.restart.handedOver() {
			return // it became readable before it was muted
		}
		ln.accept()
	case loop.Drained:
		if ln.shutdown.closing() {
			ln.shutdown.endListener()
		}
	case loop.AcceptFailed:
		ln.log.Warn().Err(e.Err).Msg("accept")
		ln.downstream.evict(ln.downstream.conns.Max - len(ln.downstream.conns.ByConn) + 1)
		ln.pause()
	}
}

// accept accepts as many connections as there is room for. The others wait, unread.
func (ln *listener) accept() {
	room := ln.downstream.conns.Max - len(ln.downstream.conns.ByConn)
	if room <= 0 {
		room = ln.downstream.evict(evictBatch)
	}
	if room <= 0 {
		ln.pause()
		return
	}
	ln.emit(loop.Effect{Op: loop.Accept, Conn: loop.Listener, Most: room})
}

// pause stops accepting. Guards against spinning while connections wait that cannot be accepted.
func (ln *listener) pause() {
	if ln.phase != acceptPaused && ln.shutdown.phase != phaseDrained {
		ln.phase = acceptPaused
		ln.emit(loop.Effect{Op: loop.Mute, Conn: loop.Listener})
		ln.setTimer(timerAccept, 0, ln.now+acceptPauseDuration)
	}
}

func (ln *listener) resume() {
	if ln.phase == acceptPaused {
		ln.phase = accepting
		ln.stopTimer(timerAccept, 0)
		if !ln.restart.handedOver() {
			ln.emit(loop.Effect{Op: loop.Unmute, Conn: loop.Listener})
		}
	}
}

// open opens a listening socket of this process's own.
func (ln *listener) open() {
	ln.emit(loop.Effect{Op: loop.Listen, Conn: loop.Listener, Addr: ln.cfg.Listen})
}

// opened notes that clients can connect.
func (ln *listener) opened() {
	ln.phase = accepting
	ln.log.Info().Stringer(fieldListen, ln.cfg.Listen).Bool(fieldHandedOver, ln.restart.predecessor != nil).
		Msg("taking clients")
	if ln.restart.predecessor != nil {
		ln.restart.send(ln.restart.predecessor, hotrestart.Message{Kind: hotrestart.Taking}, nil)
	}
	ln.cluster.join()
	ln.restart.offer()
}
