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

// ReadSize is the most that one read returns, in bytes. A read that returns less has taken all that there was.
const ReadSize = 64 << 10

// Sizes of one turn of the loop.
const (
	maxReady         = 256
	maxAcceptPerTurn = 64 // sockets accepted before others get a turn
	backlog          = 1024
	maxSignals       = 16
	maxKeptBuffer    = 4 << 10 // of a socket's buffer for writing, once it is empty
)

// socket is one non-blocking socket.
type socket struct {
	conn       Conn
	fd         int
	generation int32 // distinguishes it from an earlier socket with the same descriptor
	connecting bool
	muted      bool
	ending     bool // the peer has ended its sending
	leaving    bool // while muted: the end of the peer's sending is to be reported
	urgent     bool
	shared     bool // was passed between processes: another process has it, or had it
	unix       bool // a Unix socket, over which sockets can be passed
	datagrams  bool
	armed      uint32 // events that epoll watches for
	unwritten  []byte // accepted for writing and not yet written
}

// Loop owns the sockets and timers.
type Loop struct {
	clock       Clock
	syscalls    syscalls
	epoll       int
	wake        int            // an eventfd, written when a signal arrives
	signals     chan os.Signal // those not delivered yet
	reload      os.Signal
	byConn      map[Conn]*socket
	byFD        map[int]*socket
	urgent      []*socket // the few urgent sockets of byConn, oldest first
	accepted    Conn
	generation  int32
	timers      timers
	events      []Event // delivered before anything else
	buffer      []byte
	bufferInUse bool // buffer holds data not yet delivered
	ready       []unix.EpollEvent
	again       bool
	exit        bool
	failed      error
}

// New opens the loop.
func New(clock Clock) (*Loop, error) {
	l := &Loop{
		clock:    clock,
		syscalls: kernelCalls(),
		byConn:   make(map[Conn]*socket),
		byFD:     make(map[int]*socket),
		accepted: firstAccepted,
		timers:   timers{byKey: make(map[Timer]*timerEntry)},
		buffer:   make([]byte, ReadSize),
		ready:    make([]unix.EpollEvent, maxReady),
	}
	var err error
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if l.wake, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	event := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(l.wake)}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, l.wake, &event); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	return l, nil
}

// listen opens a listening socket. Other processes may listen at the same address: an upgrade's two do.
func (l *Loop) listen(f Effect) error {
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
		_ = unix.Close(fd) // never listened
		return err
	}
	l.add(&socket{conn: f.Conn, fd: fd, urgent: f.Urgent})
	return nil
}

// Notify delivers Reload each time the signal reload arrives, and Stop when one of the others does.
func (l *Loop) Notify(reload os.Signal, stop ...os.Signal) {
	came := make(chan os.Signal, maxSignals)
	l.reload, l.signals = reload, make(chan os.Signal, maxSignals)
	signal.Notify(came, append(stop, reload)...)
	go func() {
		for s := range came {
			l.signals <- s
			one := [8]byte{1}
			_, _ = unix.Write(l.wake, one[:]) // an eventfd takes eight bytes whole
		}
	}()
}

// Run delivers events to the reducer until it returns Exit. Sockets come before timers: an answer that has
// already arrived must not be overtaken by its own time-out.
func (l *Loop) Run(r Reducer) error {
	l.queueEvent(Event{Kind: Start})
	l.deliver(r)
	for !l.exit {
		n, err := l.wait()
		if err != nil {
			return err
		}
		l.deliverReady(r, l.ready[:n], true)
		if n == len(l.ready) {
			l.pollUrgent(r)
		}
		l.deliverReady(r, l.ready[:n], false)
		l.deliverDueTimers(r)
		l.queueEvent(Event{Kind: Turn})
		l.deliver(r)
	}
	return l.failed
}

// wait sleeps until a socket is ready or a timer expires, and returns how many sockets are ready.
func (l *Loop) wait() (int, error) {
	wait := l.timers.wait(l.clock.Now())
	if l.again {
		wait = 0
	}
	l.again = false
	n, err := l.syscalls.wait(l.epoll, l.ready, wait)
	if err != nil && !errors.Is(err, unix.EINTR) {
		return 0, fmt.Errorf("epoll: %w", err)
	}
	return max(n, 0), nil
}

// deliverReady delivers the events of the ready sockets: of the urgent ones and of signals, or of all others. A
// descriptor that was closed in this round may be another socket's by now, which the generation shows.
func (l *Loop) deliverReady(r Reducer, ready []unix.EpollEvent, urgent bool) {
	for _, e := range ready {
		if s := l.byFD[int(e.Fd)]; s != nil && s.generation == e.Pad && s.urgent == urgent {
			l.socketReady(s, e.Events)
			l.deliver(r)
		} else if int(e.Fd) == l.wake && urgent {
			l.queueSignals()
			l.deliver(r)
		}
	}
}

// deliverDueTimers delivers the timers that have expired.
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

// pollUrgent delivers data on urgent sockets where more sockets are ready than epoll reports at once:
// discovery's lines and operators' calls must not wait behind thousands of other sockets.
func (l *Loop) pollUrgent(r Reducer) {
	for _, s := range slices.Clone(l.urgent) {
		if l.byConn[s.conn] == s && s.isReadable() && !l.isQuiet(s.fd) {
			l.queueEvent(Event{Kind: Readable, Conn: s.conn})
			l.deliver(r)
		}
	}
}

// queueEvent queues an event. Effects never call the reducer: the events that they cause are delivered after them.
func (l *Loop) queueEvent(e Event) { l.events = append(l.events, e) }

func (l *Loop) deliver(r Reducer) {
	for i := 0; i < len(l.events); i++ {
		e := l.events[i]
		if e.Kind == more && !l.resolveMore(&e) {
			continue
		}
		effects := r.Step(l.clock.Now(), e)
		if e.Kind == Data && &e.Data[0] == &l.buffer[0] {
			l.bufferInUse = false
		}
		for _, f := range effects {
			l.carryOut(f)
		}
	}
	clear(l.events)
	l.events = l.events[:0]
}

// resolveMore turns a more event into the one that the reducer gets, or reports that there is none. An end is
// delivered in the round in which it is known, so that nothing is dispatched meanwhile for a client that has
// left, or to an endpoint that the rest of a list removes.
func (l *Loop) resolveMore(e *Event) bool {
	s := l.byConn[e.Conn]
	switch {
	case s == nil, s.muted && !s.leaving:
		return false
	case s.muted:
		s.leaving = false
		l.updateEvents(s)
		e.Kind = Leaving
	default:
		e.Kind = Readable
	}
	return true
}

func (l *Loop) queueSignals() {
	var count [8]byte
	_, _ = unix.Read(l.wake, count[:]) // resets the counter; nothing else reads it
	for {
		select {
		case s := <-l.signals:
			kind := Stop
			if s == l.reload {
				kind = Reload
			}
			l.queueEvent(Event{Kind: kind})
		default:
			return
		}
	}
}

// socketReady turns what epoll reports of a socket into events.
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
	s.ending = s.ending || events&unix.EPOLLRDHUP != 0
	if s.muted && s.leaving && events&unix.EPOLLRDHUP != 0 && events&(unix.EPOLLHUP|unix.EPOLLERR) == 0 {
		s.leaving = false
		l.updateEvents(s)
		l.queueEvent(Event{Kind: Leaving, Conn: s.conn})
	} else if events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		l.queueEvent(Event{Kind: Readable, Conn: s.conn})
	}
}

// carryOut performs an effect. Its results are queued as events.
func (l *Loop) carryOut(f Effect) {
	switch f.Op {
	case Dial:
		l.dialAny(f)
	case Listen:
		l.listenAny(f)
	case Bind:
		l.opened(f.Conn, l.bind(f), "datagrams at", f.Addr.String())
	case SetTimer:
		l.timers.set(f.Timer, f.At)
	case StopTimer:
		l.timers.stop(f.Timer)
	case ReadFile:
		data, err := os.ReadFile(f.Path)
		l.queueEvent(Event{Kind: File, Data: data, Err: err})
	case Heap:
		debug.SetMemoryLimit(f.Bytes)
	case Again:
		l.again = true
	case Exit:
		l.exit, l.failed = true, f.Failed
	default:
		if s := l.byConn[f.Conn]; s != nil { // else it was closed meanwhile, and its end has been reported
			l.carryOutOn(s, f)
		}
	}
}

// dialAny dials a network address, or a Unix socket where the effect has a path.
func (l *Loop) dialAny(f Effect) {
	if f.Path != "" {
		l.dialUnix(f)
		return
	}
	l.dial(f)
}

// listenAny listens at a network address, or at a Unix socket where the effect has a path.
func (l *Loop) listenAny(f Effect) {
	if f.Path != "" {
		l.opened(f.Conn, l.listenUnix(f), "listen on", f.Path)
		return
	}
	l.opened(f.Conn, l.listen(f), "listen on", f.Addr.String())
}

// opened queues Listening for a socket that was opened at an address, or Broken with what was being done.
func (l *Loop) opened(c Conn, err error, doing, where string) {
	if err != nil {
		l.queueEvent(Event{Kind: Broken, Conn: c, Err: fmt.Errorf("%s %s: %w", doing, where, err)})
		return
	}
	l.queueEvent(Event{Kind: Listening, Conn: c})
}

// carryOutOn performs an effect on an open socket.
func (l *Loop) carryOutOn(s *socket, f Effect) {
	switch f.Op {
	case Accept:
		l.accept(s, f.Most)
	case Read:
		l.read(s)
	case Write:
		l.write(s, f.Data)
	case WriteQuiet:
		l.writeIfQuiet(s, f.Data)
	case SendTo:
		l.sendTo(s, f)
	case Pass:
		l.pass(s, f)
	case Adopt:
		l.adopt(s, f.As)
	case Shutdown:
		_ = unix.Shutdown(s.fd, unix.SHUT_WR) // a socket that is already broken reports it when read
	case Abort:
		l.abort(s)
	case Close:
		l.remove(s)
	case Mute, Unmute:
		s.muted, s.leaving = f.Op == Mute, f.Op == Mute && f.Leaving
		l.updateEvents(s)
	}
}

// writeIfQuiet writes unless the peer has sent data or closed meanwhile.
func (l *Loop) writeIfQuiet(s *socket, data []byte) {
	if !l.isQuiet(s.fd) {
		l.queueEvent(Event{Kind: Stale, Conn: s.conn})
		return
	}
	l.write(s, data)
}

// abort closes a socket so that its peer sees a reset. Where the option fails the peer sees an end; the stated
// length or the chunks still show it that the message is cut short.
func (l *Loop) abort(s *socket) {
	_ = unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	l.remove(s)
}
