package gateway

import (
	"time"

	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

// acceptPauseDuration is how long nothing is accepted when no descriptor is available, unless a connection
// closes earlier.
const acceptPauseDuration = 50 * time.Millisecond

// listenerPhase is the state of the listening socket.
type listenerPhase uint8

const (
	notListening listenerPhase = iota
	accepting
	acceptPaused // no descriptor is available: new connections wait unaccepted
)

// listener accepts downstream connections while there are descriptors for them.
type listener struct {
	*core
	cluster    *cluster
	downstream *downstreamConns
	restart    *hotRestart
	shutdown   *shutdown

	phase listenerPhase
	// queued reports that connections may wait in the accept queue, since the listener was paused and the queue was not
	// empty after that.
	queued bool
}

func (ln *listener) handleEvent(e loop.Event) {
	switch e.Kind {
	case loop.Listening:
		ln.opened()
	case loop.Readable:
		if ln.restart.handedOver() {
			return // the event arose before accepting was stopped
		}
		ln.accept()
	case loop.WouldBlock:
		ln.queued = false
		if ln.shutdown.closing() {
			ln.shutdown.endListener()
		}
	case loop.AcceptFailed:
		ln.log.Warn().Err(e.Err).Msg("accept")
		ln.downstream.evict(ln.downstream.conns.Max - len(ln.downstream.conns.ByConn) + 1)
		ln.pause()
	}
}

// accept accepts as many connections as the limit allows. The others wait unaccepted.
func (ln *listener) accept() {
	available := ln.downstream.conns.Max - len(ln.downstream.conns.ByConn)
	if available <= 0 {
		available = ln.downstream.evict(evictBatch)
	}
	if available <= 0 {
		ln.pause()
		return
	}
	ln.emit(loop.Effect{Op: loop.Accept, Conn: loop.Listener, MaxAccepts: available})
}

// pause stops accepting, so that the loop does not spin while connections wait that cannot be accepted.
func (ln *listener) pause() {
	if ln.phase != acceptPaused && ln.shutdown.phase != phaseDrained {
		ln.phase, ln.queued = acceptPaused, true
		ln.emit(loop.Effect{Op: loop.PauseReading, Conn: loop.Listener})
		ln.setTimer(timerAccept, 0, ln.now+acceptPauseDuration)
	}
}

// resume accepts again when a descriptor may be available.
func (ln *listener) resume() {
	if ln.phase == acceptPaused {
		ln.phase = accepting
		ln.stopTimer(timerAccept, 0)
		if !ln.restart.handedOver() {
			ln.emit(loop.Effect{Op: loop.ResumeReading, Conn: loop.Listener})
		}
	}
}

// open opens a new listening socket, as opposed to one inherited from a predecessor.
func (ln *listener) open() {
	ln.emit(loop.Effect{Op: loop.Listen, Conn: loop.Listener, Addr: ln.cfg.Listen})
}

// opened is called when clients can connect. It notifies the predecessor, joins the cluster and offers hot
// restart to the next process.
func (ln *listener) opened() {
	ln.phase = max(ln.phase, accepting)
	ln.log.Info().Stringer(fieldListen, ln.cfg.Listen).Bool(fieldHandedOver, ln.restart.predecessor != nil).
		Msg("taking clients")
	if ln.restart.predecessor != nil {
		ln.restart.send(ln.restart.predecessor, hotrestart.Message{Kind: hotrestart.Accepting}, nil)
	}
	ln.cluster.join()
	ln.restart.offer()
}
