package loop

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"

	"golang.org/x/sys/unix"
)

// ReadSize is the maximum size of one read, in bytes. A read that returns less has usually emptied the kernel's
// receive buffer.
const ReadSize = 64 << 10

// Limits of the loop.
const (
	maxReadyEvents   = 256     // sockets that epoll reports at once
	maxAcceptPerTurn = 64      // connections that a listener accepts before other sockets are served
	backlog          = 1024    // connections that wait in the kernel's queue of a listener
	maxSignals       = 16      // signals that are queued
	maxKeptBuffer    = 4 << 10 // bytes of an empty write buffer that stay allocated for a socket
)

// socket is one non-blocking socket.
type socket struct {
	conn           Conn
	fd             int
	generation     int32 // distinguishes the socket from an earlier one with the same descriptor
	connecting     bool
	readingPaused  bool
	peerShutdown   bool // the peer is known to have ended its sending, perhaps after unread data
	reportShutdown bool // while reading is paused: report the end of the peer's sending once
	urgent         bool
	shared         bool // passed between processes: another process has, or had, a descriptor of the socket
	isUnix         bool // a Unix stream socket, on which sockets can be passed
	isDatagram     bool
	registered     uint32 // the epoll events that the socket is registered for
	unwritten      []byte // data to write that the kernel has not yet taken
}

// Loop is an event loop over epoll. It owns all sockets and timers of the program.
type Loop struct {
	clock          Clock
	syscalls       syscalls
	epollFD        int
	wakeFD         int            // an eventfd that is written when a signal arrives, to end the wait for sockets
	pendingSignals chan os.Signal // signals not yet delivered to the reducer
	reloadSignal   os.Signal
	byConn         map[Conn]*socket
	byFD           map[int]*socket
	urgentSockets  []*socket // the urgent sockets of byConn, oldest first; there are few
	lastAccepted   Conn
	generation     int32
	timers         timers
	events         []Event // the queue of events, delivered before the loop examines another socket or timer
	buffer         []byte
	spareBuffer    []byte // for reads while bufferInUse; nil until it is needed
	bufferInUse    bool   // buffer holds data that is not yet delivered
	readyEvents    []unix.EpollEvent
	turnRequested  bool
	exit           bool
	exitError      error
}

// New returns a loop without sockets. Run starts it.
func New(clock Clock) (*Loop, error) {
	l := &Loop{
		clock:        clock,
		syscalls:     kernelCalls(),
		byConn:       make(map[Conn]*socket),
		byFD:         make(map[int]*socket),
		lastAccepted: firstAccepted,
		timers:       timers{byKey: make(map[Timer]*timerEntry)},
		buffer:       make([]byte, ReadSize),
		readyEvents:  make([]unix.EpollEvent, maxReadyEvents),
	}
	var err error
	if l.epollFD, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("create epoll: %w", err)
	}
	if l.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		return nil, fmt.Errorf("create eventfd: %w", err)
	}
	event := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(l.wakeFD)}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, l.wakeFD, &event); err != nil {
		return nil, fmt.Errorf("register eventfd with epoll: %w", err)
	}
	return l, nil
}

// listenTCP opens a listening TCP socket. Several processes can listen at the same address, as predecessor and
// successor of a hot restart do.
func (l *Loop) listenTCP(f Effect) error {
	fd, err := l.openTCP(f.Addr)
	if err != nil {
		return err
	}
	for _, option := range [...]int{unix.SO_REUSEADDR, unix.SO_REUSEPORT} {
		if err == nil {
			err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, 1)
		}
	}
	if err == nil {
		err = unix.Bind(fd, sockaddr(f.Addr))
	}
	if err == nil {
		err = unix.Listen(fd, backlog)
	}
	if err != nil {
		_ = unix.Close(fd) // the socket never listened: nothing is lost
		return err
	}
	l.add(&socket{conn: f.Conn, fd: fd, urgent: f.Urgent})
	return nil
}

// Notify makes the loop deliver Reload for each signal reload and Stop for each of the signals stop.
func (l *Loop) Notify(reload os.Signal, stop ...os.Signal) {
	received := make(chan os.Signal, maxSignals)
	l.reloadSignal, l.pendingSignals = reload, make(chan os.Signal, maxSignals)
	signal.Notify(received, append(stop, reload)...)
	go func() {
		for s := range received {
			l.pendingSignals <- s
			increment := [8]byte{1}
			_, _ = unix.Write(l.wakeFD, increment[:]) // an eventfd takes all eight bytes or none
		}
	}()
}

// Run delivers events to the reducer until it returns Exit, and returns the error of that effect. In each turn the
// events of sockets precede those of timers, so that a response that has already arrived is handled before the
// timeout of its request.
func (l *Loop) Run(r Reducer) error {
	l.queueEvent(Event{Kind: Start})
	l.deliver(r)
	for !l.exit {
		n, err := l.wait()
		if err != nil {
			return err
		}
		l.deliverReady(r, l.readyEvents[:n], true)
		if n == len(l.readyEvents) {
			l.deliverUrgentData(r)
		}
		l.deliverReady(r, l.readyEvents[:n], false)
		l.deliverDueTimers(r)
		l.queueEvent(Event{Kind: TurnEnd})
		l.deliver(r)
	}
	return l.exitError
}

// wait blocks until a socket is ready, the next timer expires or maxWaitMS has passed, and returns the number of ready
// sockets. It does not block if RequestTurn has requested another turn. After an interrupted wait it looks at the sockets
// again without blocking: a process that was stopped must handle what has arrived before the timers that have expired.
func (l *Loop) wait() (int, error) {
	timeoutMS := l.timers.wait(l.clock.Now())
	if l.turnRequested {
		timeoutMS = 0
	}
	l.turnRequested = false
	n, err := retryInterrupted(func() (int, error) {
		ready, err := l.syscalls.wait(l.epollFD, l.readyEvents, timeoutMS)
		timeoutMS = 0
		return ready, err
	})
	if err != nil && !errors.Is(err, unix.EINTR) {
		return 0, fmt.Errorf("wait for epoll: %w", err)
	}
	return max(n, 0), nil
}

// deliverReady delivers the events of the ready sockets: with urgent, those of urgent sockets and signals, otherwise
// those of all other sockets. A descriptor closed earlier in this turn may already belong to another socket; the
// generation distinguishes them.
func (l *Loop) deliverReady(r Reducer, ready []unix.EpollEvent, urgent bool) {
	for _, e := range ready {
		if s := l.byFD[int(e.Fd)]; s != nil && s.generation == e.Pad && s.urgent == urgent {
			l.socketReady(s, e.Events)
			l.deliver(r)
		} else if int(e.Fd) == l.wakeFD && urgent {
			l.queueSignals()
			l.deliver(r)
		}
	}
}

// deliverDueTimers delivers an event for each timer that has expired.
func (l *Loop) deliverDueTimers(r Reducer) {
	now := l.clock.Now()
	for {
		key, due := l.timers.due(now)
		if !due {
			return
		}
		l.queueEvent(Event{Kind: TimerDue, Timer: key})
		l.deliver(r)
	}
}

// deliverUrgentData delivers data of urgent sockets that epoll did not report because more sockets are ready than it
// reports at once: discovery updates and operators' requests must not wait behind thousands of other sockets.
func (l *Loop) deliverUrgentData(r Reducer) {
	for _, s := range slices.Clone(l.urgentSockets) {
		if l.byConn[s.conn] == s && s.isReadable() && !l.isIdle(s.fd) {
			l.queueEvent(Event{Kind: Readable, Conn: s.conn})
			l.deliver(r)
		}
	}
}

// queueEvent queues an event. Performing an effect never calls the reducer: the resulting events are delivered after
// all effects of the step.
func (l *Loop) queueEvent(e Event) { l.events = append(l.events, e) }

// deliver passes the queued events to the reducer, with those that its effects add, until the queue is empty.
func (l *Loop) deliver(r Reducer) {
	for i := 0; i < len(l.events); i++ {
		e := l.events[i]
		if e.Kind == readMore && !l.resolveMore(&e) {
			continue
		}
		effects := r.Step(l.clock.Now(), e)
		if e.Kind == Data && &e.Data[0] == &l.buffer[0] {
			l.bufferInUse = false
		}
		for _, f := range effects {
			l.perform(f)
		}
	}
	clear(l.events)
	l.events = l.events[:0]
}

// resolveMore converts a readMore event into the event that the reducer receives, or returns false if there is none.
// The reducer receives the end of a stream in the turn in which the loop detects it, and all data of an urgent socket
// in the turn in which the first part arrives, so that no request is dispatched for a client that has left or to an
// endpoint that the remainder of a discovery list removes.
func (l *Loop) resolveMore(e *Event) bool {
	s := l.byConn[e.Conn]
	switch {
	case s == nil, s.readingPaused && !s.reportShutdown:
		return false
	case s.readingPaused:
		s.reportShutdown = false
		l.updateEvents(s)
		e.Kind = PeerShutdown
	default:
		e.Kind = Readable
	}
	return true
}

// queueSignals queues an event for each signal that has arrived.
func (l *Loop) queueSignals() {
	var count [8]byte
	_, _ = unix.Read(l.wakeFD, count[:]) // resets the counter, which has no other reader
	for {
		select {
		case s := <-l.pendingSignals:
			kind := Stop
			if s == l.reloadSignal {
				kind = Reload
			}
			l.queueEvent(Event{Kind: kind})
		default:
			return
		}
	}
}

// socketReady handles the epoll events of a socket and queues the resulting loop events.
func (l *Loop) socketReady(s *socket, events uint32) {
	if s.connecting {
		l.finishDial(s)
		return
	}
	if events&unix.EPOLLOUT != 0 {
		l.flush(s)
	}
	if l.byConn[s.conn] != s {
		return
	}
	s.peerShutdown = s.peerShutdown || events&unix.EPOLLRDHUP != 0
	if s.readingPaused && s.reportShutdown && events&unix.EPOLLERR != 0 && l.breakIfReset(s) {
		return
	}
	if s.readingPaused && s.reportShutdown && events&unix.EPOLLRDHUP != 0 && events&(unix.EPOLLHUP|unix.EPOLLERR) == 0 {
		s.reportShutdown = false
		l.updateEvents(s)
		l.queueEvent(Event{Kind: PeerShutdown, Conn: s.conn})
	} else if events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		l.queueEvent(Event{Kind: Readable, Conn: s.conn})
	}
}

// breakIfReset closes a socket whose connection has broken, and returns true, without reading what is left in its receive
// buffer.
func (l *Loop) breakIfReset(s *socket) bool {
	code, err := l.syscalls.socketError(s.fd)
	if err != nil || code == 0 {
		return false
	}
	l.breakSocket(s, unix.Errno(code))
	return true
}

// perform performs an effect and queues its results as events.
func (l *Loop) perform(f Effect) {
	switch f.Op {
	case Dial:
		l.dial(f)
	case Listen:
		l.listen(f)
	case Bind:
		l.reportOpened(f.Conn, l.bind(f), "bind datagram socket at", f.Addr.String())
	case SetTimer:
		l.timers.set(f.Timer, f.At)
	case StopTimer:
		l.timers.stop(f.Timer)
	case ReadFile:
		data, err := os.ReadFile(f.Path)
		l.queueEvent(Event{Kind: FileRead, Data: data, Err: err})
	case SetMemoryLimit:
		debug.SetMemoryLimit(f.Bytes)
	case RequestTurn:
		l.turnRequested = true
	case Exit:
		l.exit, l.exitError = true, f.ExitError
	default:
		if s := l.byConn[f.Conn]; s != nil { // otherwise the socket was closed meanwhile, and its end was reported
			l.performOnSocket(s, f)
		}
	}
}

// dial dials a network address, or a Unix socket where the effect has a path.
func (l *Loop) dial(f Effect) {
	if f.Path != "" {
		l.dialUnix(f)
		return
	}
	l.dialTCP(f)
}

// listen listens at a network address, or at a Unix socket where the effect has a path.
func (l *Loop) listen(f Effect) {
	if f.Path != "" {
		l.reportOpened(f.Conn, l.listenUnix(f), "listen on", f.Path)
		return
	}
	l.reportOpened(f.Conn, l.listenTCP(f), "listen on", f.Addr.String())
}

// reportOpened queues Listening for a socket that was opened at an address, or Broken with an error that names the
// operation and the address.
func (l *Loop) reportOpened(c Conn, err error, operation, address string) {
	if err != nil {
		l.queueEvent(Event{Kind: Broken, Conn: c, Err: fmt.Errorf("%s %s: %w", operation, address, err)})
		return
	}
	l.queueEvent(Event{Kind: Listening, Conn: c})
}

// performOnSocket performs an effect on an open socket.
func (l *Loop) performOnSocket(s *socket, f Effect) {
	switch f.Op {
	case Accept:
		l.accept(s, f.MaxAccepts)
	case Read:
		l.read(s, int(f.Bytes))
	case Write:
		l.write(s, f.Data)
	case WriteIfIdle:
		l.writeIfIdle(s, f.Data)
	case SendTo:
		l.sendTo(s, f)
	case PassSockets:
		l.passSockets(s, f)
	case AdoptListener:
		l.adoptListener(s, f.AdoptAs)
	case ReportQueues:
		l.reportQueues(s)
	case Shutdown:
		_ = unix.Shutdown(s.fd, unix.SHUT_WR) // the error of a broken socket is reported by the next read
	case Abort:
		l.abort(s)
	case Close:
		l.remove(s)
	case PauseReading, ResumeReading:
		s.readingPaused, s.reportShutdown = f.Op == PauseReading, f.Op == PauseReading && f.ReportShutdown
		l.updateEvents(s)
	}
}

// writeIfIdle writes data unless the peer has sent data or closed; then it queues Stale and writes nothing.
func (l *Loop) writeIfIdle(s *socket, data []byte) {
	if !l.isIdle(s.fd) {
		l.queueEvent(Event{Kind: Stale, Conn: s.conn})
		return
	}
	l.write(s, data)
}

// abort closes a socket so that its peer receives a reset. If the socket option cannot be set, the peer receives a
// regular end instead; the stated length or the missing last chunk still shows it that the message is truncated.
func (l *Loop) abort(s *socket) {
	_ = unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	l.remove(s)
}
