package simulation

import (
	"cmp"
	"slices"

	"golang.org/x/sys/unix"

	"thymebend/internal/loop"
)

// This file executes the effects on sockets: it simulates what the kernel does for loop.Loop.

func (l *Loop) listen(f loop.Effect) {
	if f.Path == "" && l.net.listeners[f.Addr] != nil {
		l.queueEvent(loop.Event{Kind: loop.Broken, Conn: f.Conn, Err: unix.EADDRINUSE})
		return
	}
	ready := func() { l.wake(l.sim.Now()) }
	if f.Path != "" {
		l.addListenSocket(&listenSocket{conn: f.Conn, urgent: f.Urgent, Listener: l.net.ListenUnix(f.Path, ready)})
	} else {
		l.addListenSocket(&listenSocket{conn: f.Conn, urgent: f.Urgent,
			Listener: l.net.Listen(f.Addr, backlog, l.silent, ready)})
	}
}

// addListenSocket gives this process a listening socket, which other processes may hold too.
func (l *Loop) addListenSocket(p *listenSocket) {
	p.loop = l
	l.listenSockets[p.conn] = p
	p.holders = append(p.holders, p)
	p.ready = func() {
		for _, h := range slices.Clone(p.holders) {
			h.loop.wake(l.sim.Now())
		}
	}
	l.queueEvent(loop.Event{Kind: loop.Listening, Conn: p.conn})
	if p.conn == loop.Listener && l.OnListen != nil {
		l.OnListen()
	}
}

// closeListenSocket closes this process's handle on a listening socket. The socket closes with the last handle.
func (l *Loop) closeListenSocket(p *listenSocket) {
	delete(l.listenSockets, p.conn)
	if p.holders = slices.DeleteFunc(p.holders, func(h *listenSocket) bool { return h == p }); len(p.holders) == 0 &&
		p.inTransit == 0 {
		p.Close()
	}
}

// pass writes data on a Unix socket, accompanied by other sockets.
func (l *Loop) pass(s *socket, f loop.Effect) {
	var rights []descriptor
	for _, c := range f.PassConns {
		if p := l.listenSockets[c]; p != nil {
			p.inTransit++
			rights = append(rights, descriptor{ln: p.Listener})
		} else if given := l.socks[c]; given != nil {
			rights = append(rights, descriptor{end: given.end})
		}
	}
	if len(rights) != len(f.PassConns) || len(s.pending) > 0 || s.end.reset || s.end.closed {
		l.breakSocket(s, unix.EPIPE)
		return
	}
	for _, c := range f.PassConns {
		if given := l.socks[c]; given != nil {
			delete(l.socks, c)
			given.end.ready = nil
		}
	}
	n, err := s.end.Pass(f.Data, rights)
	if err != nil {
		l.breakSocket(s, err)
		return
	}
	l.write(s, f.Data[n:])
}

// adoptPassed gives this process the sockets that accompanied the data just read.
func (l *Loop) adoptPassed(e *End) (passed []loop.Conn) {
	for _, r := range e.passed {
		l.accepted++
		passed = append(passed, l.accepted)
		if r.ln != nil {
			l.offered[l.accepted] = r.ln
			continue
		}
		l.add(&socket{conn: l.accepted, end: r.end, paused: true})
	}
	e.passed = nil
	return passed
}

func (l *Loop) accept(p *listenSocket, limit int) {
	for range min(cmp.Or(limit, maxAcceptPerTurn), maxAcceptPerTurn) {
		if len(p.backlog) == 0 {
			l.queueEvent(loop.Event{Kind: loop.WouldBlock, Conn: p.conn})
			return
		}
		if l.descriptorsExhausted() {
			l.queueEvent(loop.Event{Kind: loop.AcceptFailed, Conn: p.conn, Err: unix.EMFILE})
			return
		}
		l.accepted++
		l.add(&socket{conn: l.accepted, end: p.Accept(), urgent: p.urgent})
		l.queueEvent(loop.Event{Kind: loop.Accepted, Conn: l.accepted, AcceptedBy: p.conn})
	}
}

func (l *Loop) add(s *socket) {
	l.seq++
	s.seq = l.seq
	l.socks[s.conn] = s
	s.end.ready = func() {
		if l.socks[s.conn] != s || !s.isReady() {
			return
		}
		if s.readySeq == 0 {
			l.seq++
			s.readySeq = l.seq
		}
		l.markMaybeReady(s)
		l.wake(l.sim.Now())
	}
	if s.isReady() { // data arrived before the connection was accepted
		l.markMaybeReady(s)
	}
}

func (l *Loop) dial(f loop.Effect) {
	if f.Path != "" {
		end, err := l.net.DialUnix(f.Path)
		if err != nil {
			l.queueEvent(loop.Event{Kind: loop.Broken, Conn: f.Conn, Err: err})
			return
		}
		l.add(&socket{conn: f.Conn, end: end, urgent: f.Urgent})
		l.queueEvent(loop.Event{Kind: loop.Connected, Conn: f.Conn})
		return
	}
	if l.descriptorsExhausted() {
		l.queueEvent(loop.Event{Kind: loop.Broken, Conn: f.Conn, Err: unix.EMFILE})
		return
	}
	s := &socket{conn: f.Conn, connecting: true, urgent: f.Urgent}
	s.end = l.net.Dial(f.Addr, l.silent, func(err error) {
		s.dialDone, s.dialErr = true, err
		s.end.notifyReady()
	})
	l.add(s)
}

func (l *Loop) remove(s *socket) {
	delete(l.socks, s.conn)
	s.end.ready = nil
	s.end.Close()
}

func (l *Loop) breakSocket(s *socket, err error) {
	l.remove(s)
	l.queueEvent(loop.Event{Kind: loop.Broken, Conn: s.conn, Err: err})
}

func (l *Loop) read(s *socket, limit int) {
	e := s.end
	switch {
	case len(e.inbox) > 0:
		limit = cmp.Or(min(limit, readSize), readSize)
		if l.sim.Chance(l.PartialReadChance) {
			limit = min(limit, 1+l.sim.Rand.IntN(len(e.inbox)))
		}
		data := append([]byte(nil), e.Read(limit)...)
		l.queueEvent(loop.Event{Kind: loop.Data, Conn: s.conn, Data: data, PassedConns: l.adoptPassed(e)})
		if e.endVisible() {
			l.queueEvent(loop.Event{Kind: endBehindData, Conn: s.conn})
		}
	case e.reset:
		l.breakSocket(s, unix.ECONNRESET)
	case e.fin:
		l.queueEvent(loop.Event{Kind: loop.EOF, Conn: s.conn})
	default:
		l.queueEvent(loop.Event{Kind: loop.WouldBlock, Conn: s.conn})
	}
}

func (l *Loop) write(s *socket, data []byte) {
	waiting := len(s.pending) > 0
	s.pending = append(s.pending, data...)
	if !waiting {
		l.flush(s)
	}
}

func (l *Loop) flush(s *socket) {
	for len(s.pending) > 0 {
		n, err := s.end.Write(s.pending)
		if err == unix.EAGAIN {
			return
		}
		if err != nil {
			l.breakSocket(s, err)
			return
		}
		s.pending = s.pending[:copy(s.pending, s.pending[n:])]
	}
	l.queueEvent(loop.Event{Kind: loop.Flushed, Conn: s.conn})
}
