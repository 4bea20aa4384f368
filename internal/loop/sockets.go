package loop

import (
	"bytes"
	"cmp"
	"errors"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"
)

// openTCP opens a TCP socket of the address family of addr.
func (l *Loop) openTCP(addr netip.AddrPort) (int, error) {
	family := unix.AF_INET
	if addr.Addr().Is6() {
		family = unix.AF_INET6
	}
	return l.syscalls.socket(family, unix.SOCK_STREAM)
}

// sockaddr converts an address to the form that the system calls take.
func sockaddr(addr netip.AddrPort) unix.Sockaddr {
	if addr.Addr().Is6() {
		return &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
	}
	return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
}

// noDelay disables Nagle's algorithm, so that the kernel sends small writes at once. The socket works without the
// option too: an error is ignored.
func noDelay(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }

// add registers a socket with epoll. On an error it closes the socket and queues Broken.
func (l *Loop) add(s *socket) {
	l.generation++
	s.generation = l.generation
	l.byConn[s.conn], l.byFD[s.fd] = s, s
	if s.urgent {
		l.urgentSockets = append(l.urgentSockets, s)
	}
	s.registered = s.wantedEvents()
	event := unix.EpollEvent{Events: s.registered, Fd: int32(s.fd), Pad: s.generation}
	if err := l.syscalls.register(l.epollFD, unix.EPOLL_CTL_ADD, s.fd, &event); err != nil {
		l.breakSocket(s, err)
	}
}

// wantedEvents returns the epoll events that the socket's present state needs.
func (s *socket) wantedEvents() uint32 {
	shutdown := uint32(0)
	if s.reportShutdown {
		shutdown = unix.EPOLLRDHUP
	}
	switch {
	case s.connecting:
		return unix.EPOLLOUT
	case s.readingPaused && len(s.unwritten) > 0:
		return unix.EPOLLOUT | shutdown
	case s.readingPaused:
		return shutdown
	case len(s.unwritten) > 0:
		return unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLOUT
	default:
		return unix.EPOLLIN | unix.EPOLLRDHUP
	}
}

// isReadable reports whether the socket is an established connection whose reading is not paused.
func (s *socket) isReadable() bool {
	return !s.connecting && !s.readingPaused && !s.isDatagram &&
		s.conn != Listener && s.conn != Admin && s.conn != HotRestart
}

// updateEvents changes the epoll registration of a socket if its state needs other events than before.
func (l *Loop) updateEvents(s *socket) {
	wanted := s.wantedEvents()
	if wanted == s.registered {
		return
	}
	s.registered = wanted
	event := unix.EpollEvent{Events: wanted, Fd: int32(s.fd), Pad: s.generation}
	if err := l.syscalls.register(l.epollFD, unix.EPOLL_CTL_MOD, s.fd, &event); err != nil {
		l.breakSocket(s, err)
	}
}

// remove closes a socket and removes it from the loop.
func (l *Loop) remove(s *socket) {
	delete(l.byConn, s.conn)
	delete(l.byFD, s.fd)
	l.urgentSockets = slices.DeleteFunc(l.urgentSockets, func(other *socket) bool { return other == s })
	if s.shared {
		// Another process has the socket too: epoll would continue to report it after this descriptor is closed,
		// and would refuse to register the next socket with the same descriptor.
		_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_DEL, s.fd, nil)
	}
	_ = unix.Close(s.fd) // also removes it from epoll; Linux releases the descriptor even if close fails
}

// breakSocket closes a socket and queues Broken with the error.
func (l *Loop) breakSocket(s *socket, err error) {
	l.remove(s)
	l.queueEvent(Event{Kind: Broken, Conn: s.conn, Err: err})
}

// accept accepts the connections that wait at a listener: at most limit, but never more than maxAcceptPerTurn; a limit
// of 0 means maxAcceptPerTurn. If descriptors run out, it queues AcceptFailed. The reducer must then pause the
// listener, because epoll reports it as ready in every turn while connections wait.
func (l *Loop) accept(s *socket, limit int) {
	for range min(cmp.Or(limit, maxAcceptPerTurn), maxAcceptPerTurn) {
		fd, err := l.syscalls.accept(s.fd)
		switch {
		case err == nil && s.isUnix && !sameUser(fd):
			_ = unix.Close(fd) // a process of another user
		case err == nil:
			if !s.isUnix {
				noDelay(fd)
			}
			l.lastAccepted++
			// Accepted is queued before add, which may queue Broken.
			l.queueEvent(Event{Kind: Accepted, Conn: l.lastAccepted, AcceptedBy: s.conn})
			l.add(&socket{conn: l.lastAccepted, fd: fd, urgent: s.urgent, isUnix: s.isUnix})
		case errors.Is(err, unix.EAGAIN):
			l.queueEvent(Event{Kind: WouldBlock, Conn: s.conn})
			return
		case isConnectionError(err):
		default:
			l.queueEvent(Event{Kind: AcceptFailed, Conn: s.conn, Err: err})
			return
		}
	}
}

// dialTCP begins to connect to an address. finishDial handles the result unless the attempt fails at once.
func (l *Loop) dialTCP(f Effect) {
	fd, err := l.openTCP(f.Addr)
	if err != nil {
		l.queueEvent(Event{Kind: Broken, Conn: f.Conn, Err: err, LocalFailure: isResourceError(err)})
		return
	}
	noDelay(fd)
	s := &socket{conn: f.Conn, fd: fd, connecting: true, urgent: f.Urgent}
	err = l.syscalls.connect(fd, sockaddr(f.Addr))
	if err != nil && !isAny(err, unix.EINPROGRESS, unix.EINTR) { // an interrupted connect continues in the background
		_ = unix.Close(fd) // the socket never connected: nothing is lost
		l.queueEvent(Event{Kind: Broken, Conn: f.Conn, Err: err, LocalFailure: isResourceError(err)})
		return
	}
	l.add(s)
}

// finishDial queues Connected for a socket whose connection is established, or Broken with the error of the connect.
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

// read reads at most limit bytes, or one buffer if limit is 0, and queues the data. Data beyond it is reported by the next Readable event; on an
// urgent socket that event follows in the same turn, so that a long list of discovery is delivered whole before
// requests are dispatched. If the shared buffer holds data that is not yet delivered, read copies the data.
func (l *Loop) read(s *socket, limit int) {
	if s.isDatagram {
		l.readDatagrams(s)
		return
	}
	limit = cmp.Or(min(limit, ReadSize), ReadSize)
	buf := l.buffer[:limit]
	if l.bufferInUse {
		buf = l.secondBuffer()[:limit]
	}
	n, passed, err := 0, []int(nil), error(nil)
	if s.isUnix {
		n, passed, err = l.receive(s, buf)
	} else {
		n, err = retryInterrupted(func() (int, error) { return l.syscalls.read(s.fd, buf) })
	}
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		l.queueEvent(Event{Kind: WouldBlock, Conn: s.conn})
	case err != nil:
		l.breakSocket(s, err)
	case n == 0:
		l.queueEvent(Event{Kind: EOF, Conn: s.conn})
	default:
		data := buf[:n]
		if l.bufferInUse {
			data = bytes.Clone(data)
		}
		l.bufferInUse = true
		l.reportPassed(s, data, passed)
		if s.peerShutdown || s.urgent && n == limit {
			l.queueEvent(Event{Kind: readMore, Conn: s.conn})
		}
	}
}

// secondBuffer returns the buffer for reads while the first one holds data that is not yet delivered.
func (l *Loop) secondBuffer() []byte {
	if l.spareBuffer == nil {
		l.spareBuffer = make([]byte, ReadSize)
	}
	return l.spareBuffer
}

// write sends as much of data as the kernel takes now and keeps the remainder until the socket is writable.
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

// flush continues to write after the socket has become writable.
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

// send writes until the kernel takes no more and returns the number of bytes written. ok is false if an error closed
// the socket.
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

// afterWrite queues Flushed if everything is written, and otherwise waits until the socket is writable. It releases an
// emptied buffer that has grown beyond maxKeptBuffer.
func (l *Loop) afterWrite(s *socket) {
	if len(s.unwritten) == 0 {
		if cap(s.unwritten) > maxKeptBuffer {
			s.unwritten = nil
		}
		l.queueEvent(Event{Kind: Flushed, Conn: s.conn})
	}
	l.updateEvents(s)
}

// isIdle reports whether the peer of an idle connection has neither sent data nor closed. It prevents a request from
// being sent on a connection whose end has arrived since the last epoll_wait: a reset would end that request.
func (l *Loop) isIdle(fd int) bool {
	var buf [1]byte
	_, err := retryInterrupted(func() (int, error) { return 0, l.syscalls.peek(fd, buf[:]) })
	return errors.Is(err, unix.EAGAIN)
}

// receiveFullDivisor is the inverse of the fraction of a receive buffer's memory whose use may suffice to keep the peer from
// sending: the kernel announces at most half of the buffer, and a sender waits for room for a whole segment.
const receiveFullDivisor = 3

// reportQueues queues the sizes of a connection's queues. What a socket does not tell is reported as unknown.
func (l *Loop) reportQueues(s *socket) {
	sizes := QueueSizes{Unread: -1, Undelivered: -1, LastReceivedAgo: -1}
	if n, err := l.syscalls.unread(s.fd); err == nil {
		sizes.Unread = n
		sizes.ReceiveMemory, sizes.ReceiveLimit, err = l.syscalls.receiveMemory(s.fd)
		sizes.ReceiveFull = err == nil && sizes.ReceiveMemory >= sizes.ReceiveLimit/receiveFullDivisor
	}
	if ago, err := l.syscalls.lastReceivedAgo(s.fd); err == nil {
		sizes.LastReceivedAgo = ago
	}
	if n, err := l.syscalls.undelivered(s.fd); err == nil {
		sizes.Undelivered = n + len(s.unwritten)
	}
	l.queueEvent(Event{Kind: Queues, Conn: s.conn, Queues: sizes})
}
