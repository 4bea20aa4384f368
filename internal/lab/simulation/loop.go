package simulation

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"thymebend/internal/loop"
)

// What the real loop has; the conformance suite holds this one to it.
const (
	readSize      = 64 << 10
	mostReady     = 256
	mostAccept    = 64
	backlog       = 1024
	firstAccepted = loop.Conn(1 << 63)
	ownFiles      = 5 // descriptors of the process that are no sockets
)

type socket struct {
	conn       loop.Conn
	end        *End
	seq        uint64
	since      uint64 // when it became ready, in the order of the run; 0 while it is not
	connecting bool
	up         bool
	dialed     error
	muted      bool
	leaving    bool // while muted: the end of the peer's sending is to be told
	urgent     bool
	out        []byte
	hot        bool // is in the loop's list of those that may be ready
}

// Loop is a gateway's process: the reducer on simulated sockets, timers, files, signals and descriptors.
type Loop struct {
	sim     *Sim
	net     *Net
	reducer loop.Reducer
	Files   func(path string) ([]byte, error)
	Sockets int           // descriptors that the process may have; 0: no limit
	Cost    time.Duration // processor time of one event
	Partial float64       // chance that a read brings less than has come

	datagrams map[loop.Conn]*dsock

	ports    map[loop.Conn]*port
	offered  map[loop.Conn]*Listener // passed and not yet adopted
	Beside   func() int              // descriptors of the other process of this gateway
	Listens  func()                  // called when the process has the clients' listening socket; may be nil
	socks    map[loop.Conn]*socket
	hot      []*socket // those that may be ready
	accepted loop.Conn
	seq      uint64
	timers   timerHeap
	byKey    map[loop.Timer]*timer
	queue    []loop.Event
	signals  []loop.Kind
	again    bool
	exited   bool
	failed   error
	killed   bool
	busy     time.Duration
	waking   uint64 // number of the wake-up that counts
	wakeAt   time.Duration
	asleep   bool
	rounds   uint64
	silent   *bool
	onExit   func(error)
	// ClockError is how far the machine's wall clock was ahead of the true time when the process began. The process's own clock starts
	// there and is monotonic from then on.
	ClockError time.Duration
}

// port is a listening socket.
type port struct {
	*Listener
	loop   *Loop
	conn   loop.Conn
	urgent bool
	muted  bool
}

// more is told by the loop to itself: the end of what comes lies behind what was just read.
const more loop.Kind = 255

type timer struct {
	key loop.Timer
	at  time.Duration
	seq uint64
	pos int
}

type timerHeap []*timer

// NewLoop starts a process.
func NewLoop(sim *Sim, net *Net, silent *bool, onExit func(error)) *Loop {
	return &Loop{sim: sim, net: net, socks: make(map[loop.Conn]*socket), accepted: firstAccepted, byKey: make(map[loop.Timer]*timer),
		datagrams: make(map[loop.Conn]*dsock), ports: make(map[loop.Conn]*port), offered: make(map[loop.Conn]*Listener),
		silent: silent, onExit: onExit, Files: func(path string) ([]byte, error) { return nil, os.ErrNotExist }}
}

// listening returns the open listening sockets in order.
func (l *Loop) listening() []*port {
	return slices.SortedFunc(maps.Values(l.ports), func(a, b *port) int { return cmp.Compare(a.conn, b.conn) })
}

func (p *port) isReady() bool { return !p.closed && !p.muted && len(p.backlog) > 0 }

// Run starts the reducer.
func (l *Loop) Run(r loop.Reducer) {
	l.reducer = r
	l.tell(loop.Event{Kind: loop.Start})
	l.drain()
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
	for _, p := range l.listening() {
		l.let(p)
	}
	for _, s := range l.bindings() {
		l.unbind(s)
	}
	for _, c := range slices.Sorted(maps.Keys(l.offered)) {
		l.offered[c].landed()
	}
	for _, s := range l.ordered() {
		s.end.ready = nil
		s.end.Close()
	}
	l.socks = nil
}

func (l *Loop) ordered() []*socket {
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

// Rounds is how often the process woke up; Held is how many sockets and timers it has.
func (l *Loop) Rounds() uint64 { return l.rounds }

// Held is the number of sockets and timers.
func (l *Loop) Held() (sockets, timers int) { return len(l.socks), len(l.byKey) }

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
	l.waking++
	number := l.waking
	l.sim.At(at, func() {
		if number == l.waking && l.Running() {
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
	if l.again || len(l.ready()) > 0 || l.listenerReady() || slices.ContainsFunc(l.bindings(), (*dsock).isReady) {
		l.wake(now)
		return
	}
	if len(l.timers) > 0 {
		left := l.timers[0].at - now
		// epoll sleeps whole milliseconds, rounded up.
		l.wake(now + max(0, (left+time.Millisecond-1)/time.Millisecond*time.Millisecond))
	}
}

func (l *Loop) listenerReady() bool {
	return slices.ContainsFunc(l.listening(), (*port).isReady)
}

// isReady is what epoll would report: readable, writable with something to write, or broken.
func (s *socket) isReady() bool {
	if s.connecting {
		return s.up
	}
	e := s.end
	return !s.muted && (len(e.inbox) > 0 || e.fin) || s.leaving && e.fin || e.reset || e.fin && e.shut || len(s.out) > 0 && e.room > 0
}

// heat notes that a socket may be ready.
func (l *Loop) heat(s *socket) {
	if !s.hot {
		s.hot = true
		l.hot = append(l.hot, s)
	}
}

func (l *Loop) ready() (list []*socket) {
	kept := l.hot[:0]
	for _, s := range l.hot {
		if l.socks[s.conn] != s || !s.isReady() {
			s.hot, s.since = false, 0
			continue
		}
		if s.since == 0 {
			l.seq++
			s.since = l.seq
		}
		kept = append(kept, s)
	}
	clear(l.hot[len(kept):])
	l.hot = kept
	list = slices.Clone(kept)
	slices.SortFunc(list, func(a, b *socket) int { return cmp.Compare(a.since, b.since) })
	return list
}

// round is one turn of the loop: urgent news and signals, other news, timers, Turn.
func (l *Loop) round() {
	l.rounds++
	l.again = false
	list := l.ready()
	var waiting []*port
	for _, p := range l.listening() {
		if p.isReady() {
			waiting = append(waiting, p)
		}
	}
	var came []*dsock
	for _, s := range l.bindings() {
		if s.isReady() {
			came = append(came, s)
		}
	}
	if len(list) >= mostReady {
		list = list[:mostReady]
	}
	for _, s := range list { // level-triggered: what stays ready queues up anew
		l.seq++
		s.since = l.seq
	}
	for _, urgent := range [2]bool{true, false} {
		if urgent && len(l.signals) > 0 {
			for _, k := range l.signals {
				l.tell(loop.Event{Kind: k})
			}
			l.signals = nil
			l.drain()
		}
		for _, p := range waiting {
			if p.urgent == urgent && p.isReady() {
				l.tell(loop.Event{Kind: loop.Readable, Conn: p.conn})
				l.drain()
			}
		}
		for _, s := range came {
			if s.urgent == urgent && s.isReady() && l.datagrams[s.conn] == s {
				l.tell(loop.Event{Kind: loop.Readable, Conn: s.conn})
				l.drain()
			}
		}
		for _, s := range list {
			if s.urgent == urgent && l.socks[s.conn] == s {
				l.happened(s)
				l.drain()
			}
		}
	}
	for now := l.sim.Now(); len(l.timers) > 0 && l.timers[0].at <= now && l.Running(); {
		t := heap.Pop(&l.timers).(*timer)
		delete(l.byKey, t.key)
		l.tell(loop.Event{Kind: loop.TimerDue, Timer: t.key})
		l.drain()
	}
	l.tell(loop.Event{Kind: loop.Turn})
	l.drain()
	l.sleep()
}

func (l *Loop) tell(e loop.Event) { l.queue = append(l.queue, e) }

func (l *Loop) drain() {
	for i := 0; i < len(l.queue) && l.Running(); i++ {
		e := l.queue[i]
		if e.Kind == more && !l.readOn(&e) {
			continue
		}
		l.busy = max(l.busy, l.sim.Now()) + l.Cost
		for _, f := range l.reducer.Step(l.sim.Now()+l.ClockError, e) {
			l.sim.effect(f)
			l.do(f)
		}
	}
	clear(l.queue)
	l.queue = l.queue[:0]
	if l.exited && l.socks != nil {
		l.closeAll()
		l.onExit(l.failed)
	}
}

// readOn is the real loop's.
func (l *Loop) readOn(e *loop.Event) bool {
	s := l.socks[e.Conn]
	switch {
	case s == nil, s.muted && !s.leaving:
		return false
	case s.muted:
		s.leaving = false
		e.Kind = loop.Leaving
	default:
		e.Kind = loop.Readable
	}
	return true
}

func (l *Loop) happened(s *socket) {
	if s.connecting {
		if s.dialed != nil {
			l.fail(s, s.dialed)
			return
		}
		s.connecting = false
		l.tell(loop.Event{Kind: loop.Connected, Conn: s.conn})
		return
	}
	e := s.end
	if len(s.out) > 0 && (e.room > 0 || e.reset) {
		l.flush(s)
	}
	if l.socks[s.conn] == s && s.leaving && e.fin && !e.reset && !e.shut {
		s.leaving = false
		l.tell(loop.Event{Kind: loop.Leaving, Conn: s.conn})
		return
	}
	if l.socks[s.conn] == s && (!s.muted && (len(e.inbox) > 0 || e.fin) || e.reset || e.fin && e.shut) {
		l.tell(loop.Event{Kind: loop.Readable, Conn: s.conn})
	}
}

func (l *Loop) do(f loop.Effect) {
	switch f.Op {
	case loop.Dial:
		l.dial(f)
		return
	case loop.Listen:
		l.listen(f)
		return
	case loop.Bind:
		l.bind(f)
		return
	case loop.SetTimer:
		l.setTimer(f.Timer, f.At-l.ClockError)
		return
	case loop.StopTimer:
		if t := l.byKey[f.Timer]; t != nil {
			delete(l.byKey, f.Timer)
			heap.Remove(&l.timers, t.pos)
		}
		return
	case loop.ReadFile:
		data, err := l.Files(f.Path)
		l.tell(loop.Event{Kind: loop.File, Data: data, Err: err})
		return
	case loop.Again:
		l.again = true
		return
	case loop.Heap:
		return // memory is not simulated
	case loop.Exit:
		l.exited, l.failed = true, f.Failed
		return
	}
	if p := l.ports[f.Conn]; p != nil {
		l.doPort(p, f)
		return
	}
	if s := l.datagrams[f.Conn]; s != nil {
		l.doDatagrams(s, f)
		return
	}
	if ln := l.offered[f.Conn]; ln != nil {
		delete(l.offered, f.Conn)
		if f.Op == loop.Adopt {
			l.hold(&port{conn: f.As, Listener: ln})
		}
		ln.landed()
		return
	}
	s := l.socks[f.Conn]
	if s == nil {
		return
	}
	switch f.Op {
	case loop.Pass:
		l.pass(s, f)
	case loop.SendTo: // on what is no datagram socket: nothing is sent
	case loop.Read:
		l.read(s)
	case loop.Write:
		l.write(s, f.Data)
	case loop.WriteQuiet:
		if e := s.end; len(e.inbox) > 0 || e.fin || e.reset {
			l.tell(loop.Event{Kind: loop.Stale, Conn: s.conn})
			return
		}
		l.write(s, f.Data)
	case loop.Shutdown:
		s.end.CloseWrite()
		l.heat(s)
	case loop.Abort:
		s.end.ready = nil
		delete(l.socks, s.conn)
		s.end.Reset()
	case loop.Close:
		l.remove(s)
	case loop.Mute, loop.Unmute:
		s.muted, s.leaving = f.Op == loop.Mute, f.Op == loop.Mute && f.Leaving
		l.heat(s)
	default:
		panic(fmt.Sprintf("effect %d is not known", f.Op))
	}
}

func (l *Loop) doPort(p *port, f loop.Effect) {
	switch f.Op {
	case loop.Accept:
		l.accept(p, f.Most)
	case loop.Close:
		l.let(p)
	case loop.Mute, loop.Unmute:
		p.muted = f.Op == loop.Mute
		l.wake(l.sim.Now())
	}
}

func (l *Loop) full() bool {
	beside := 0
	if l.Beside != nil {
		beside = l.Beside()
	}
	return l.Sockets > 0 && l.files()+beside >= l.Sockets
}

// files is how many descriptors the process has.
func (l *Loop) files() int {
	return len(l.socks) + len(l.ports) + len(l.offered) + len(l.datagrams) + ownFiles
}

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].pos, h[j].pos = i, j }

func (h *timerHeap) Push(x any) { t := x.(*timer); t.pos = len(*h); *h = append(*h, t) }

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}

func (l *Loop) setTimer(key loop.Timer, at time.Duration) {
	l.seq++
	if t := l.byKey[key]; t != nil {
		t.at, t.seq = at, l.seq
		heap.Fix(&l.timers, t.pos)
		return
	}
	t := &timer{key: key, at: at, seq: l.seq}
	l.byKey[key] = t
	heap.Push(&l.timers, t)
}
