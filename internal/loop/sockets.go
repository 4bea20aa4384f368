package loop

import (
	"cmp"
	"errors"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"
)

func (l *Loop) openTCP(at netip.AddrPort) (int, error) {
	family := unix.AF_INET
	if at.Addr().Is6() {
		family = unix.AF_INET6
	}
	return l.syscalls.socket(family, unix.SOCK_STREAM)
}

func sockaddr(at netip.AddrPort) unix.Sockaddr {
	if at.Addr().Is6() {
		return &unix.SockaddrInet6{Port: int(at.Port()), Addr: at.Addr().As16()}
	}
	return &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
}

// noDelay sends small messages at once. A socket that refuses the option still works.
func noDelay(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }

func (l *Loop) add(s *socket) {
	l.generation++
	s.generation = l.generation
	l.byConn[s.conn], l.byFD[s.fd] = s, s
	if s.urgent {
		l.urgent = append(l.urgent, s)
	}
	s.armed = s.wantedEvents()
	event := unix.EpollEvent{Events: s.armed, Fd: int32(s.fd), Pad: s.generation}
	if err := l.syscalls.register(l.epoll, unix.EPOLL_CTL_ADD, s.fd, &event); err != nil {
		l.breakSocket(s, err)
	}
}

func (s *socket) wantedEvents() uint32 {
	leaving := uint32(0)
	if s.leaving {
		leaving = unix.EPOLLRDHUP
	}
	switch {
	case s.connecting:
		return unix.EPOLLOUT
	case s.muted && len(s.unwritten) > 0:
		return unix.EPOLLOUT | leaving
	case s.muted:
		return leaving
	case len(s.unwritten) > 0:
		return unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLOUT
	default:
		return unix.EPOLLIN | unix.EPOLLRDHUP
	}
}

// isReadable reports whether the socket is an established connection that is not muted.
func (s *socket) isReadable() bool {
	return !s.connecting && !s.muted && !s.datagrams && s.conn != Listener && s.conn != Admin && s.conn != HotRestart
}

func (l *Loop) updateEvents(s *socket) {
	want := s.wantedEvents()
	if want == s.armed {
		return
	}
	s.armed = want
	event := unix.EpollEvent{Events: want, Fd: int32(s.fd), Pad: s.generation}
	if err := l.syscalls.register(l.epoll, unix.EPOLL_CTL_MOD, s.fd, &event); err != nil {
		l.breakSocket(s, err)
	}
}

func (l *Loop) remove(s *socket) {
	delete(l.byConn, s.conn)
	delete(l.byFD, s.fd)
	l.urgent = slices.DeleteFunc(l.urgent, func(other *socket) bool { return other == s })
	if s.shared {
		// Another process has the socket too: epoll would go on reporting it after this descriptor is
		// closed, and refuse its number to the next socket.
		_ = unix.EpollCtl(l.epoll, unix.EPOLL_CTL_DEL, s.fd, nil)
	}
	_ = unix.Close(s.fd) // also removes it from epoll; the descriptor is released even if close fails
}

// breakSocket closes a socket and queues Broken with the reason.
func (l *Loop) breakSocket(s *socket, err error) {
	l.remove(s)
	l.queueEvent(Event{Kind: Broken, Conn: s.conn, Err: err})
}

// accept takes the connections that wait at the listener. Out of descriptors, it queues AcceptFailed: the
// reducer then mutes the listener, or epoll would report it without end.
func (l *Loop) accept(s *socket, limit int) {
	for range min(cmp.Or(limit, maxAcceptPerTurn), maxAcceptPerTurn) {
		fd, err := l.syscalls.accept(s.fd)
		switch {
		case err == nil && s.unix && !sameUser(fd):
			_ = unix.Close(fd) // another user's
		case err == nil:
			if !s.unix {
				noDelay(fd)
			}
			l.accepted++
			// Before add, which may queue Broken.
			l.queueEvent(Event{Kind: Accepted, Conn: l.accepted, Via: s.conn})
			l.add(&socket{conn: l.accepted, fd: fd, urgent: s.urgent, unix: s.unix})
		case errors.Is(err, unix.EAGAIN):
			l.queueEvent(Event{Kind: Drained, Conn: s.conn})
			return
		case isConnectionError(err):
		default:
			l.queueEvent(Event{Kind: AcceptFailed, Conn: s.conn, Err: err})
			return
		}
	}
}

func (l *Loop) dial(f Effect) {
	fd, err := l.openTCP(f.Addr)
	if err != nil {
		l.queueEvent(Event{Kind: Broken, Conn: f.Conn, Err: err, Local: isResourceError(err)})
		return
	}
	noDelay(fd)
	s := &socket{conn: f.Conn, fd: fd, connecting: true, urgent: f.Urgent}
	err = l.syscalls.connect(fd, sockaddr(f.Addr))
	if err != nil && !isAny(err, unix.EINPROGRESS, unix.EINTR) { // an interrupted connect goes on in the background
		_ = unix.Close(fd) // never connected
		l.queueEvent(Event{Kind: Broken, Conn: f.Conn, Err: err, Local: isResourceError(err)})
		return
	}
	l.add(s)
}

func (l *Loop) finishDial(s *socket) {
	code, err := l.syscalls.socketError(s.fd)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		l.breakSocket(s, err)
		return
	}
	s.connecting = false
	l.updateEvents(s)
	l.queueEvent(Event{Kind: Connected, Conn: s.conn})
}

// read queues one buffer of data. The next Readable brings the rest; on an urgent socket that follows at
// once, so that a long list is delivered whole before the turn's dispatch. Where data of another socket is
// not delivered yet, read takes a new buffer: the shared one still holds that data.
func (l *Loop) read(s *socket) {
	if s.datagrams {
		l.readDatagrams(s)
		return
	}
	buf := l.buffer
	if l.bufferInUse {
		buf = make([]byte, ReadSize)
	}
	n, passed, err := 0, []int(nil), error(nil)
	if s.unix {
		n, passed, err = l.receive(s, buf)
	} else {
		n, err = retryInterrupted(func() (int, error) { return l.syscalls.read(s.fd, buf) })
	}
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		l.queueEvent(Event{Kind: Drained, Conn: s.conn})
	case err != nil:
		l.breakSocket(s, err)
	case n == 0:
		l.queueEvent(Event{Kind: EOF, Conn: s.conn})
	default:
		l.bufferInUse = true
		l.reportPassed(s, buf[:n], passed)
		if s.ending || s.urgent && n == len(buf) {
			l.queueEvent(Event{Kind: more, Conn: s.conn})
		}
	}
}

// write sends what it can now and keeps the rest until the socket takes it.
func (l *Loop) write(s *socket, data []byte) {
	if len(s.unwritten) > 0 {
		s.unwritten = append(s.unwritten, data...)
		return
	}
	if n, ok := l.send(s, data); ok {
		s.unwritten = append(s.unwritten, data[n:]...)
		l.afterWrite(s)
	}
}

func (l *Loop) flush(s *socket) {
	if len(s.unwritten) == 0 {
		l.updateEvents(s)
		return
	}
	if n, ok := l.send(s, s.unwritten); ok {
		s.unwritten = s.unwritten[:copy(s.unwritten, s.unwritten[n:])]
		l.afterWrite(s)
	}
}

// send writes until the socket takes no more. It returns false where an error closed the socket.
func (l *Loop) send(s *socket, data []byte) (n int, ok bool) {
	for n < len(data) {
		m, err := l.syscalls.send(s.fd, data[n:])
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
			return n, true
		}
		if err != nil {
			l.breakSocket(s, err)
			return n, false
		}
		n += m
	}
	return n, true
}

// afterWrite waits for room for what is left, or queues Flushed if nothing is. A buffer that grew large is
// released with its last byte.
func (l *Loop) afterWrite(s *socket) {
	if len(s.unwritten) == 0 {
		if cap(s.unwritten) > maxKeptBuffer {
			s.unwritten = nil
		}
		l.queueEvent(Event{Kind: Flushed, Conn: s.conn})
	}
	l.updateEvents(s)
}

// isQuiet reports whether an idle peer has neither sent data nor closed. Guards against sending a request on
// a connection whose end has arrived since epoll was last asked: the request would end as a reset.
func (l *Loop) isQuiet(fd int) bool {
	var one [1]byte
	_, err := retryInterrupted(func() (int, error) { return 0, l.syscalls.peek(fd, one[:]) })
	return errors.Is(err, unix.EAGAIN)
}
