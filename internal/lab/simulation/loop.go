package simulation

import (
	"cmp"
	"maps"
	"os"
	"slices"
	"time"

	"thymebend/internal/loop"
)

// What the real loop has; the conformance suite holds this one to it.
const (
	readSize           = 64 << 10
	maxReady           = 256
	maxAcceptPerTurn   = 64
	backlog            = 1024
	firstAccepted      = loop.Conn(1 << 63)
	processDescriptors = 5 // descriptors of the process that are no sockets
)

type socket struct {
	conn           loop.Conn
	end            *End
	seq            uint64
	readySeq       uint64 // when it became ready, in the order of the run; 0 while it is not
	connecting     bool
	dialDone       bool
	dialErr        error
	paused         bool
	reportShutdown bool // while muted: the end of the peer's sending is to be told
	urgent         bool
	pending        []byte
	maybeReady     bool // is in the loop's list of those that may be ready
}

// Loop is a gateway's process: the reducer on simulated sockets, timers, files, signals and descriptors.
type Loop struct {
	sim               *Sim
	net               *Net
	reducer           loop.Reducer
	Files             func(path string) ([]byte, error)
	Sockets           int           // descriptors that the process may have; 0: no limit
	EventCost         time.Duration // processor time of one event
	PartialReadChance float64       // chance that a read brings less than has come

	OtherDescriptors func() int // descriptors of the other process of this gateway
	OnListen         func()     // called when the process has the clients' listening socket; may be nil

	sockets
	wakeSchedule
	seq           uint64
	timers        timerHeap
	byKey         map[loop.Timer]*timer
	events        []loop.Event
	signals       []loop.Kind
	turnRequested bool
	exited        bool
	exitErr       error
	killed        bool
	silent        *bool
	onExit        func(error)
	// ClockError is how far the machine's wall clock was ahead of the true time when the process began.
	// The process's own clock starts there and is monotonic from then on.
	ClockError time.Duration
}

// sockets are what a process has open.
type sockets struct {
	socks         map[loop.Conn]*socket
	maybeReady    []*socket // of socks, those that may be ready
	accepted      loop.Conn // number of the socket accepted last
	listenSockets map[loop.Conn]*listenSocket
	offered       map[loop.Conn]*Listener // passed and not yet adopted
	datagrams     map[loop.Conn]*datagramSocket
}

// wakeSchedule is when a process runs next.
type wakeSchedule struct {
	busy       time.Duration // until then the processor works on what came before
	wakeNumber uint64        // number of the wake-up that counts
	wakeAt     time.Duration
	asleep     bool
	wakeups    uint64 // how often it woke up
}

// listenSocket is a listening socket.
type listenSocket struct {
	*Listener
	loop   *Loop
	conn   loop.Conn
	urgent bool
	paused bool
}

// endBehindData is told by the loop to itself: the end of what comes lies behind what was just read.
const endBehindData loop.Kind = 255

// NewLoop starts a process.
func NewLoop(sim *Sim, net *Net, silent *bool, onExit func(error)) *Loop {
	return &Loop{
		sim: sim, net: net, silent: silent, onExit: onExit, byKey: make(map[loop.Timer]*timer),
		Files: func(string) ([]byte, error) { return nil, os.ErrNotExist },
		sockets: sockets{
			socks: make(map[loop.Conn]*socket), accepted: firstAccepted, listenSockets: make(map[loop.Conn]*listenSocket),
			offered: make(map[loop.Conn]*Listener), datagrams: make(map[loop.Conn]*datagramSocket),
		},
	}
}

// orderedListenSockets returns the open listening sockets in order.
func (l *Loop) orderedListenSockets() []*listenSocket {
	return slices.SortedFunc(maps.Values(l.listenSockets),
		func(a, b *listenSocket) int { return cmp.Compare(a.conn, b.conn) })
}

// Run starts the reducer.
func (l *Loop) Run(r loop.Reducer) {
	l.reducer = r
	l.queueEvent(loop.Event{Kind: loop.Start})
	l.deliver()
	l.sleep()
}

// Signal has the process told Stop or Reload.
func (l *Loop) Signal(k loop.Kind) {
	l.signals = append(l.signals, k)
	l.wake(l.sim.Now())
}

// Kill ends the process as kill -9 does: the kernel closes its sockets.
func (l *Loop) Kill() {
	if l.exited || l.killed {
		return
	}
	l.killed = true
	l.closeAll()
}

func (l *Loop) closeAll() {
	for _, p := range l.orderedListenSockets() {
		l.closeListenSocket(p)
	}
	for _, s := range l.orderedDatagramSockets() {
		l.unbind(s)
	}
	for _, c := range slices.Sorted(maps.Keys(l.offered)) {
		l.offered[c].endTransit()
	}
	for _, s := range l.orderedSockets() {
		s.end.ready = nil
		s.end.Close()
	}
	l.socks = nil
}

func (l *Loop) orderedSockets() []*socket {
	all := make([]*socket, 0, len(l.socks))
	for _, s := range l.socks {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *socket) int { return cmp.Compare(a.seq, b.seq) })
	return all
}

// Running reports whether the process lives.
func (l *Loop) Running() bool { return !l.exited && !l.killed }

// Halt stops the process for a while: nothing is done meanwhile, what comes waits.
func (l *Loop) Halt(length time.Duration) {
	l.busy = max(l.busy, l.sim.Now()+length)
	if l.asleep {
		l.asleep = false
		l.wake(l.busy)
	}
}

// Wakeups is how often the process woke up; Held is how many sockets and timers it has.
func (l *Loop) Wakeups() uint64 { return l.wakeups }

// OpenCounts is the number of sockets and timers.
func (l *Loop) OpenCounts() (sockets, timers int) { return len(l.socks), len(l.byKey) }

// wake has a round run at a time, unless one will earlier.
func (l *Loop) wake(at time.Duration) {
	if !l.Running() || l.reducer == nil {
		return
	}
	at = max(at, l.busy, l.sim.Now())
	if l.asleep && l.wakeAt <= at {
		return
	}
	l.asleep, l.wakeAt = true, at
	l.wakeNumber++
	number := l.wakeNumber
	l.sim.At(at, func() {
		if number == l.wakeNumber && l.Running() {
			l.asleep = false
			l.round()
		}
	})
}

// sleep waits for what is ready already, for the next timer, or for news.
func (l *Loop) sleep() {
	if !l.Running() {
		return
	}
	now := l.sim.Now()
	if l.turnRequested || len(l.readySockets()) > 0 || l.listenerReady() || slices.ContainsFunc(l.orderedDatagramSockets(),
		(*datagramSocket).isReady) {
		l.wake(now)
		return
	}
	if len(l.timers) > 0 {
		remaining := l.timers[0].at - now
		// epoll sleeps whole milliseconds, rounded up.
		l.wake(now + max(0, (remaining+time.Millisecond-1)/time.Millisecond*time.Millisecond))
	}
}

// round is one turn of the loop: what is urgent and signals, what else is ready, timers, Turn.
func (l *Loop) round() {
	l.wakeups++
	l.turnRequested = false
	ready := l.readySockets()
	waiting := slices.DeleteFunc(l.orderedListenSockets(), func(p *listenSocket) bool { return !p.isReady() })
	received := slices.DeleteFunc(l.orderedDatagramSockets(), func(s *datagramSocket) bool { return !s.isReady() })
	ready = ready[:min(len(ready), maxReady)]
	for _, s := range ready { // level-triggered: what stays ready queues up anew
		l.seq++
		s.readySeq = l.seq
	}
	l.deliverSignals()
	l.deliverReady(waiting, received, ready, true)
	l.deliverReady(waiting, received, ready, false)
	l.deliverDueTimers()
	l.queueEvent(loop.Event{Kind: loop.TurnEnd})
	l.deliver()
	l.sleep()
}

// queueEvent has the reducer told of something after what is queued already.
func (l *Loop) queueEvent(e loop.Event) { l.events = append(l.events, e) }

func (l *Loop) deliver() {
	for i := 0; i < len(l.events) && l.Running(); i++ {
		e := l.events[i]
		if e.Kind == endBehindData && !l.resolveMore(&e) {
			continue
		}
		l.busy = max(l.busy, l.sim.Now()) + l.EventCost
		for _, f := range l.reducer.Step(l.sim.Now()+l.ClockError, e) {
			l.sim.hashEffect(f)
			l.carryOut(f)
		}
	}
	clear(l.events)
	l.events = l.events[:0]
	if l.exited && l.socks != nil {
		l.closeAll()
		l.onExit(l.exitErr)
	}
}

// resolveMore is the real loop's.
func (l *Loop) resolveMore(e *loop.Event) bool {
	s := l.socks[e.Conn]
	switch {
	case s == nil, s.paused && !s.reportShutdown:
		return false
	case s.paused:
		s.reportShutdown = false
		e.Kind = loop.PeerShutdown
	default:
		e.Kind = loop.Readable
	}
	return true
}

func (l *Loop) descriptorsExhausted() bool {
	beside := 0
	if l.OtherDescriptors != nil {
		beside = l.OtherDescriptors()
	}
	return l.Sockets > 0 && l.descriptors()+beside >= l.Sockets
}

// descriptors is how many descriptors the process has.
func (l *Loop) descriptors() int {
	return len(l.socks) + len(l.listenSockets) + len(l.offered) + len(l.datagrams) + processDescriptors
}
