package simulation

import (
	"cmp"
	"container/heap"
	"slices"

	"thymebend/internal/loop"
)

func (l *Loop) readySockets() (list []*socket) {
	kept := l.maybeReady[:0]
	for _, s := range l.maybeReady {
		if l.socks[s.conn] != s || !s.isReady() {
			s.maybeReady, s.readySeq = false, 0
			continue
		}
		if s.readySeq == 0 {
			l.seq++
			s.readySeq = l.seq
		}
		kept = append(kept, s)
	}
	clear(l.maybeReady[len(kept):])
	l.maybeReady = kept
	list = slices.Clone(kept)
	slices.SortFunc(list, func(a, b *socket) int { return cmp.Compare(a.readySeq, b.readySeq) })
	return list
}

// markMaybeReady adds a socket to those that may be ready.
func (l *Loop) markMaybeReady(s *socket) {
	if !s.maybeReady {
		s.maybeReady = true
		l.maybeReady = append(l.maybeReady, s)
	}
}

// isReady reports whether epoll would report the socket as readable, as writable while data waits to be
// written, or as broken.
func (s *socket) isReady() bool {
	if s.connecting {
		return s.dialDone
	}
	e := s.end
	return !s.paused && (len(e.inbox) > 0 || e.fin) || s.reportShutdown && e.endVisible() || e.reset ||
		e.fin && e.writeClosed || len(s.pending) > 0 && e.writable()
}

func (l *Loop) listenerReady() bool {
	return slices.ContainsFunc(l.orderedListenSockets(), (*listenSocket).isReady)
}

func (p *listenSocket) isReady() bool { return !p.closed && !p.paused && len(p.backlog) > 0 }

func (l *Loop) socketReady(s *socket) {
	if s.connecting {
		if s.dialErr != nil {
			l.breakSocket(s, s.dialErr)
			return
		}
		s.connecting = false
		l.queueEvent(loop.Event{Kind: loop.Connected, Conn: s.conn})
		return
	}
	e := s.end
	if len(s.pending) > 0 && (e.writable() || e.reset) {
		l.flush(s)
	}
	if l.socks[s.conn] == s && s.reportShutdown && e.endVisible() && !e.reset && !e.writeClosed {
		s.reportShutdown = false
		l.queueEvent(loop.Event{Kind: loop.PeerShutdown, Conn: s.conn})
		return
	}
	if l.socks[s.conn] == s && (!s.paused && (len(e.inbox) > 0 || e.fin) || e.reset || e.fin && e.writeClosed) {
		l.queueEvent(loop.Event{Kind: loop.Readable, Conn: s.conn})
	}
}

// deliverReady delivers the events of the ready sockets that are urgent or, with urgent false, of those that
// are not.
func (l *Loop) deliverReady(waiting []*listenSocket, received []*datagramSocket, ready []*socket, urgent bool) {
	for _, p := range waiting {
		if p.urgent == urgent && p.isReady() {
			l.queueEvent(loop.Event{Kind: loop.Readable, Conn: p.conn})
			l.deliver()
		}
	}
	for _, s := range received {
		if s.urgent == urgent && s.isReady() && l.datagrams[s.conn] == s {
			l.queueEvent(loop.Event{Kind: loop.Readable, Conn: s.conn})
			l.deliver()
		}
	}
	for _, s := range ready {
		if s.urgent == urgent && l.socks[s.conn] == s {
			l.socketReady(s)
			l.deliver()
		}
	}
}

// deliverSignals delivers the pending signals.
func (l *Loop) deliverSignals() {
	if len(l.signals) == 0 {
		return
	}
	for _, kind := range l.signals {
		l.queueEvent(loop.Event{Kind: kind})
	}
	l.signals = nil
	l.deliver()
}

// deliverDueTimers delivers the timers that have expired.
func (l *Loop) deliverDueTimers() {
	for now := l.sim.Now(); len(l.timers) > 0 && l.timers[0].at <= now && l.Running(); {
		t := heap.Pop(&l.timers).(*timer)
		delete(l.byKey, t.key)
		l.queueEvent(loop.Event{Kind: loop.TimerDue, Timer: t.key})
		l.deliver()
	}
}
