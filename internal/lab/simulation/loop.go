package simulation

import (
	"cmp"
	"maps"
	"os"
	"slices"
	"time"

	"thymebend/internal/loop"
)

// Constants that the simulated loop shares with the real one (readSize in bytes, maxReady in sockets per turn).
// The conformance suite compares the two loops.
const (
	readSize           = 64 << 10
	maxReady           = 256
	maxAcceptPerTurn   = 64
	backlog            = 1024
	firstAccepted      = loop.Conn(1 << 63)
	processDescriptors = 5 // descriptors of the process that are not sockets
)

// socket is a connection of a simulated process.
type socket struct {
	conn           loop.Conn
	end            *End
	seq            uint64
	readySeq       uint64 // when it became ready, as a sequence number of the run; 0 while it is not ready
	connecting     bool
	dialDone       bool
	dialErr        error
	paused         bool
	reportShutdown bool // while paused: report the peer's shutdown of its sending side
	urgent         bool
	pending        []byte // written by the process, not yet accepted by the connection
	maybeReady     bool   // it is in the loop's list of sockets that may be ready
}

// Loop is the loop of a simulated gateway process. It runs the reducer on simulated sockets, timers, files,
// signals and descriptors.
type Loop struct {
	sim               *Sim
	net               *Net
	reducer           loop.Reducer
	Files             func(path string) ([]byte, error)
	Sockets           int           // limit on the process's descriptors; 0: no limit
	EventCost         time.Duration // processor time of one event
	PartialReadChance float64       // chance that a read returns fewer bytes than have arrived

	OtherDescriptors func() int // number of descriptors of the gateway's other process in an upgrade; may be nil
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
	silent        *bool // the process's machine neither sends nor receives while it is set; may be nil
	onExit        func(error)
	// ClockError is by how much the machine's wall clock was ahead of the true time when the process started. The
	// clock of the process starts with that error and is monotonic afterwards.
	ClockError time.Duration
}

// sockets holds the open sockets of a process.
type sockets struct {
	socks         map[loop.Conn]*socket
	maybeReady    []*socket // the sockets of socks that may be ready
	accepted      loop.Conn // number of the last accepted socket
	listenSockets map[loop.Conn]*listenSocket
	offered       map[loop.Conn]*Listener // received from another process and not yet adopted
	datagrams     map[loop.Conn]*datagramSocket
}

// wakeSchedule holds when a process runs next.
type wakeSchedule struct {
	busy       time.Duration // when the processor has finished the events so far
	wakeNumber uint64        // number of the current wake-up; earlier ones are ignored
	wakeAt     time.Duration
	asleep     bool
	wakeups    uint64 // number of times that the process woke up
}

// listenSocket is one process's handle on a listening socket, which several processes may share.
type listenSocket struct {
	*Listener
	loop   *Loop
	conn   loop.Conn
	urgent bool
	paused bool
}

// endBehindData is an event that the loop queues for itself after a read, if the peer has shut down its sending
// side after the data just read.
const endBehindData loop.Kind = 255

// NewLoop returns the loop of a new process. onExit is called when its reducer exits, with the error if it failed.
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

// orderedListenSockets returns the open listening sockets in order of their connection numbers.
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

// Signal delivers a Stop or Reload signal to the process.
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

// Running reports whether the process is alive.
func (l *Loop) Running() bool { return !l.exited && !l.killed }

// Halt stops the process for the given time. Events that occur meanwhile are delivered afterwards.
func (l *Loop) Halt(length time.Duration) {
	l.busy = max(l.busy, l.sim.Now()+length)
	if l.asleep {
		l.asleep = false
		l.wake(l.busy)
	}
}

// Wakeups returns how often the process woke up.
func (l *Loop) Wakeups() uint64 { return l.wakeups }

// OpenCounts returns the numbers of connections and timers.
func (l *Loop) OpenCounts() (sockets, timers int) { return len(l.socks), len(l.byKey) }

// wake schedules a round at the given time, unless one is scheduled earlier.
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

// sleep schedules the next round: now if something is ready, or when the next timer expires.
func (l *Loop) sleep() {
	if !l.Running() {
		return
	}
	now := l.sim.Now()
	if l.turnRequested || len(l.readySockets()) > 0 || l.listenerReady() ||
		slices.ContainsFunc(l.orderedDatagramSockets(), (*datagramSocket).isReady) {
		l.wake(now)
		return
	}
	if len(l.timers) > 0 {
		remaining := l.timers[0].at - now
		// epoll sleeps whole milliseconds, rounded up.
		l.wake(now + max(0, (remaining+time.Millisecond-1)/time.Millisecond*time.Millisecond))
	}
}

// round is one turn of the loop. In this order, it delivers signals, the events of urgent sockets, the events
// of all other sockets, expired timers, and TurnEnd.
func (l *Loop) round() {
	l.wakeups++
	l.turnRequested = false
	ready := l.readySockets()
	waiting := slices.DeleteFunc(l.orderedListenSockets(), func(p *listenSocket) bool { return !p.isReady() })
	received := slices.DeleteFunc(l.orderedDatagramSockets(), func(s *datagramSocket) bool { return !s.isReady() })
	ready = ready[:min(len(ready), maxReady)]
	for _, s := range ready { // level-triggered: a socket that stays ready is queued again
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

// queueEvent queues an event for the reducer.
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

// resolveMore replaces an endBehindData event with the event that the real loop reports in its place, and
// returns false if the real loop reports none.
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

// descriptors returns the number of descriptors of the process.
func (l *Loop) descriptors() int {
	return len(l.socks) + len(l.listenSockets) + len(l.offered) + len(l.datagrams) + processDescriptors
}
