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

// ReadSize is how much one read brings at most. A read that brings less has taken all that there was.
const ReadSize = 64 << 10

// Sizes of one turn of the loop.
const (
	mostReady   = 256
	mostAccept  = 64 // sockets accepted before others get a turn
	backlog     = 1024
	mostSignals = 16
	keptOut     = 4 << 10 // of a socket's buffer for writing, once it is empty
)

// socket is one non-blocking socket.
type socket struct {
	conn       Conn
	fd         int
	gen        int32 // tells it from an earlier socket with the same descriptor
	connecting bool
	muted      bool
	ending     bool // the peer has ended its sending
	leaving    bool // while muted: the end of the peer's sending is to be told
	urgent     bool
	shared     bool // was passed: another process has it, or had it
	unix       bool // a Unix socket, by which others are passed
	datagrams  bool
	armed      uint32 // events that epoll watches for
	out        []byte // accepted for writing and not yet written
}

// Loop owns the sockets and timers.
type Loop struct {
	clock    Clock
	calls    calls
	epoll    int
	wake     int            // an eventfd, written when a signal came
	signals  chan os.Signal // those not told yet
	reload   os.Signal
	byConn   map[Conn]*socket
	byFD     map[int]*socket
	urgent   []*socket // those of byConn that are, oldest first: a few
	accepted Conn
	gen      int32
	timers   timers
	queue    []Event // told before anything else
	buf      []byte
	bufInUse bool // buf holds data not yet told
	ready    []unix.EpollEvent
	again    bool
	exit     bool
	failed   error
}

// New opens the loop.
func New(clock Clock) (*Loop, error) {
	l := &Loop{clock: clock, calls: kernel(), byConn: make(map[Conn]*socket), byFD: make(map[int]*socket), accepted: firstAccepted,
		timers: timers{byKey: make(map[Timer]*entry)}, buf: make([]byte, ReadSize),
		ready: make([]unix.EpollEvent, mostReady)}
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
	fd, err := l.open(f.Addr)
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

// Notify tells the reducer Reload each time that the one signal comes, and Stop when one of the others does.
func (l *Loop) Notify(reload os.Signal, stop ...os.Signal) {
	came := make(chan os.Signal, mostSignals)
	l.reload, l.signals = reload, make(chan os.Signal, mostSignals)
	signal.Notify(came, append(stop, reload)...)
	go func() {
		for s := range came {
			l.signals <- s
			one := [8]byte{1}
			_, _ = unix.Write(l.wake, one[:]) // an eventfd takes eight bytes whole
		}
	}()
}

// Run tells the reducer what happens until it asks for Exit. Sockets come before timers: an answer that lies
// in a socket already must not be overtaken by its own time-out.
func (l *Loop) Run(r Reducer) error {
	l.tell(Event{Kind: Start})
	l.drain(r)
	for !l.exit {
		wait := l.timers.wait(l.clock.Now())
		if l.again {
			wait = 0
		}
		l.again = false
		n, err := l.calls.wait(l.epoll, l.ready, wait)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll: %w", err)
		}
		for _, urgent := range [2]bool{true, false} {
			for _, e := range l.ready[:max(n, 0)] {
				// A descriptor closed in this round may be another socket's by now: the news are not its own.
				if s := l.byFD[int(e.Fd)]; s != nil && s.gen == e.Pad && s.urgent == urgent {
					l.happened(s, e.Events)
					l.drain(r)
				} else if int(e.Fd) == l.wake && urgent {
					l.signalled()
					l.drain(r)
				}
			}
			if urgent && n == len(l.ready) {
				l.lookBehind(r)
			}
		}
		for now := l.clock.Now(); ; {
			key, due := l.timers.due(now)
			if !due {
				break
			}
			l.tell(Event{Kind: TimerDue, Timer: key})
			l.drain(r)
		}
		l.tell(Event{Kind: Turn})
		l.drain(r)
	}
	return l.failed
}

// lookBehind tells what has come on urgent sockets where more are ready than epoll tells of at once: discovery's lines and
// operators' calls must not wait for turns of a crowd.
func (l *Loop) lookBehind(r Reducer) {
	for _, s := range slices.Clone(l.urgent) {
		if l.byConn[s.conn] == s && s.talks() && !l.quiet(s.fd) {
			l.tell(Event{Kind: Readable, Conn: s.conn})
			l.drain(r)
		}
	}
}

// tell queues an event. Effects never call the reducer: what they bring about is told after them.
func (l *Loop) tell(e Event) { l.queue = append(l.queue, e) }

func (l *Loop) drain(r Reducer) {
	for i := 0; i < len(l.queue); i++ {
		e := l.queue[i]
		if e.Kind == more && !l.readOn(&e) {
			continue
		}
		effects := r.Step(l.clock.Now(), e)
		if e.Kind == Data && &e.Data[0] == &l.buf[0] {
			l.bufInUse = false
		}
		for _, f := range effects {
			l.do(f)
		}
	}
	clear(l.queue)
	l.queue = l.queue[:0]
}

// readOn turns the news that something lies behind what was read into what the reducer is told of it: an end is told in the
// round in which it is known, so that nothing is dispatched meanwhile for one who has left, or against the rest of a list.
func (l *Loop) readOn(e *Event) bool {
	s := l.byConn[e.Conn]
	switch {
	case s == nil, s.muted && !s.leaving:
		return false
	case s.muted:
		s.leaving = false
		l.arm(s)
		e.Kind = Leaving
	default:
		e.Kind = Readable
	}
	return true
}

func (l *Loop) signalled() {
	var count [8]byte
	_, _ = unix.Read(l.wake, count[:]) // empties it; nothing else reads it
	for {
		select {
		case s := <-l.signals:
			kind := Stop
			if s == l.reload {
				kind = Reload
			}
			l.tell(Event{Kind: kind})
		default:
			return
		}
	}
}

// happened turns what epoll says of a socket into events.
func (l *Loop) happened(s *socket, events uint32) {
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
		l.arm(s)
		l.tell(Event{Kind: Leaving, Conn: s.conn})
	} else if events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		l.tell(Event{Kind: Readable, Conn: s.conn})
	}
}

func (l *Loop) do(f Effect) {
	switch f.Op {
	case Dial:
		if f.Path != "" {
			l.dialUnix(f)
		} else {
			l.dial(f)
		}
		return
	case Heap:
		debug.SetMemoryLimit(f.Bytes)
		return
	case Listen:
		where, listen := f.Addr.String(), l.listen
		if f.Path != "" {
			where, listen = f.Path, l.listenUnix
		}
		if err := listen(f); err != nil {
			l.tell(Event{Kind: Broken, Conn: f.Conn, Err: fmt.Errorf("listen on %s: %w", where, err)})
		} else {
			l.tell(Event{Kind: Listening, Conn: f.Conn})
		}
		return
	case Bind:
		if err := l.bind(f); err != nil {
			l.tell(Event{Kind: Broken, Conn: f.Conn, Err: fmt.Errorf("datagrams at %s: %w", f.Addr, err)})
		} else {
			l.tell(Event{Kind: Listening, Conn: f.Conn})
		}
		return
	case SetTimer:
		l.timers.set(f.Timer, f.At)
		return
	case StopTimer:
		l.timers.stop(f.Timer)
		return
	case ReadFile:
		data, err := os.ReadFile(f.Path)
		l.tell(Event{Kind: File, Data: data, Err: err})
		return
	case Again:
		l.again = true
		return
	case Exit:
		l.exit, l.failed = true, f.Failed
		return
	}
	s := l.byConn[f.Conn]
	if s == nil {
		return // closed meanwhile: its end has been told
	}
	switch f.Op {
	case Accept:
		l.accept(s, f.Most)
	case Read:
		l.read(s)
	case Write:
		l.write(s, f.Data)
	case SendTo:
		l.sendTo(s, f)
	case Pass:
		l.pass(s, f)
	case Adopt:
		l.adopt(s, f.As)
	case WriteQuiet:
		if !l.quiet(s.fd) {
			l.tell(Event{Kind: Stale, Conn: s.conn})
			return
		}
		l.write(s, f.Data)
	case Shutdown:
		_ = unix.Shutdown(s.fd, unix.SHUT_WR) // a socket that is broken already tells so when read
	case Abort:
		// Where the option fails the peer sees an end; with a stated length or chunks that still tells it enough.
		_ = unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		l.remove(s)
	case Close:
		l.remove(s)
	case Mute, Unmute:
		s.muted, s.leaving = f.Op == Mute, f.Op == Mute && f.Leaving
		l.arm(s)
	}
}
