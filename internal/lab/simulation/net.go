package simulation

import (
	"cmp"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// sendBuffer is how many bytes of one direction of a connection may be in transit or unread before a write
// accepts no more.
const sendBuffer = 200 << 10

// buffers describes the kernel buffers of a connection as seen by its sender and its reader. The zero value is a send
// buffer of sendBuffer bytes that is reported as writable as soon as it has room.
type buffers struct {
	send int // bytes of one direction that may be in transit or unread; 0: sendBuffer
	// writableFrom is the room, in bytes, from which epoll reports a send buffer that was full as writable.
	writableFrom int
	// receive is the number of unread bytes behind which the reader does not see the end of the peer's sending, because
	// they keep the end in the peer's kernel; 0: it always sees the end.
	receive int
	// windowed makes the reader see, read and be told of no more unread bytes than receive.
	windowed bool
}

// kernelBuffers are buffers like those of Linux: the kernel reports a full send buffer as writable again only once a third
// of it is free.
func kernelBuffers() buffers {
	return buffers{send: 2 << 20, writableFrom: 2 << 20 / 3, receive: 128 << 10}
}

// size returns the size of the send buffer.
func (b buffers) size() int { return cmp.Or(b.send, sendBuffer) }

// Net is the simulated network: listeners, and connections whose bytes take time and may be split at any byte.
type Net struct {
	sim            *Sim
	listeners      map[netip.AddrPort]*Listener
	paths          map[string]*Listener // Unix sockets; their connections have no faults
	unix           *Net
	Latency        time.Duration // one way
	Jitter         time.Duration // maximum random delay in addition to Latency
	SplitChance    float64       // chance that a write arrives in pieces, split at any byte
	ResetChance    float64       // chance that a write resets its connection at any of its bytes
	LoseDialChance float64       // chance that a connection is never established

	bound                   map[netip.AddrPort]*datagramSocket
	LoseDatagramChance      float64
	DuplicateDatagramChance float64
	CutDatagrams            func(from, to netip.AddrPort) bool // whether datagrams of this direction are lost; nil: none
}

// NewNet returns a network without faults.
func NewNet(sim *Sim) *Net {
	return &Net{sim: sim, listeners: make(map[netip.AddrPort]*Listener),
		bound: make(map[netip.AddrPort]*datagramSocket), Latency: 100 * time.Microsecond,
		paths: make(map[string]*Listener), unix: &Net{sim: sim, Latency: 20 * time.Microsecond}}
}

// descriptor is a socket passed over a Unix socket: a connection or a listener.
type descriptor struct {
	end *End
	ln  *Listener
}

// drop closes a passed socket that reached no process.
func (r descriptor) drop() {
	if r.end != nil {
		r.end.Close()
		return
	}
	r.ln.endTransit()
}

// endTransit records that a listener has arrived at a process or was dropped on the way.
func (l *Listener) endTransit() {
	if l.inTransit--; l.inTransit == 0 && len(l.holders) == 0 {
		l.Close()
	}
}

// ListenUnix binds a path. If another listener has the path already, the new listener replaces it.
func (n *Net) ListenUnix(path string, ready func()) *Listener {
	l := &Listener{net: n, path: path, maxBacklog: backlog, ready: ready}
	n.paths[path] = l
	return l
}

// DialUnix connects at once or returns an error. As in the kernel, the socket file of a closed listener
// remains, and connecting to it is refused.
func (n *Net) DialUnix(path string) (*End, error) {
	l := n.paths[path]
	switch {
	case l == nil:
		return nil, unix.ENOENT
	case l.closed:
		return nil, unix.ECONNREFUSED
	}
	a := &End{net: n.unix, space: sendBuffer}
	b := &End{net: n.unix, space: sendBuffer, peer: a}
	a.peer = b
	l.backlog = append(l.backlog, b)
	l.ready()
	return a, nil
}

// Pass writes data accompanied by sockets, which arrive with its first byte.
func (e *End) Pass(data []byte, rights []descriptor) (int, error) {
	p := e.peer
	p.deliver(func() {
		if p.closed || p.reset {
			for _, r := range rights {
				r.drop()
			}
			return
		}
		p.passed = append(p.passed, rights...)
	})
	return e.Write(data)
}

// Listener accepts connections until its backlog is full, as the kernel does.
type Listener struct {
	net        *Net
	addr       netip.AddrPort
	backlog    []*End
	maxBacklog int
	silent     *bool // the machine neither sends nor receives while it is set
	ready      func()
	closed     bool
	holders    []*listenSocket // the processes that hold it; it closes with the last one
	inTransit  int             // number of messages in transit that pass it
	path       string          // of a Unix socket
}

// End is one end of a connection.
type End struct {
	net         *Net
	peer        *End
	inbox       []byte
	firstSentAt time.Duration // when the first byte of inbox was sent
	// lastArrivalAt is when bytes last arrived, 0 before the first.
	lastArrivalAt time.Duration
	fin           bool // the peer has shut down its sending side
	reset         bool
	cutByNetwork  bool // the network caused the reset, neither end did
	closed        bool
	writeClosed   bool          // this end has shut down its sending side
	endedAt       time.Duration // time of the shutdown or reset by this end; 0 before
	buffers       buffers
	window        int // with windowed buffers: the unread bytes that are in the receive buffer
	space         int // number of bytes that the connection still accepts from this end
	lastDelivery  time.Duration
	silent        *bool        // this end's machine neither sends nor receives while it is set
	undelivered   []func()     // deliveries held back from a silent machine
	ready         func()       // called when something has arrived or there is room again
	passed        []descriptor // sockets passed with the bytes of inbox
}

// Listen opens a listener. ready is called when a connection waits to be accepted.
func (n *Net) Listen(addr netip.AddrPort, backlog int, silent *bool, ready func()) *Listener {
	l := &Listener{net: n, addr: addr, maxBacklog: backlog, silent: silent, ready: ready}
	n.listeners[addr] = l
	return l
}

// Close closes a listener and resets the connections in its backlog.
func (l *Listener) Close() {
	if l.closed {
		return
	}
	l.closed = true
	if l.net.listeners[l.addr] == l {
		delete(l.net.listeners, l.addr)
	}
	for _, e := range l.backlog {
		e.Reset()
	}
	l.backlog = nil
}

// Accept returns the connection that has waited longest, or nil.
func (l *Listener) Accept() *End {
	if len(l.backlog) == 0 {
		return nil
	}
	e := l.backlog[0]
	l.backlog = l.backlog[1:]
	return e
}

func (n *Net) delay() time.Duration { return n.Latency + n.sim.Between(0, n.Jitter) }

// Dial connects to an address. done is called once the connection is established or refused, and never if nothing
// answers. The returned end is valid at once: closing it abandons the attempt.
func (n *Net) Dial(addr netip.AddrPort, silent *bool, done func(err error)) *End {
	return n.DialBuffered(addr, silent, buffers{}, done)
}

// DialBuffered connects as Dial does, with the given buffers in both directions.
func (n *Net) DialBuffered(addr netip.AddrPort, silent *bool, size buffers, done func(err error)) *End {
	a := &End{net: n, buffers: size, space: size.size(), silent: silent}
	lost := n.sim.Chance(n.LoseDialChance)
	n.sim.After(n.delay(), func() {
		l := n.listeners[addr]
		switch {
		case lost || a.closed || l != nil && l.silent != nil && *l.silent:
			return
		case l == nil:
			n.sim.After(n.delay(), func() {
				if !a.closed {
					done(unix.ECONNREFUSED)
				}
			})
			return
		case len(l.backlog) >= l.maxBacklog:
			return
		}
		b := &End{net: n, buffers: size, space: size.size(), peer: a, silent: l.silent}
		a.peer = b
		l.backlog = append(l.backlog, b)
		l.ready()
		n.sim.After(n.delay(), func() {
			if !a.closed {
				done(nil)
			}
		})
	})
	return a
}

// deliver calls do, which makes something arrive at this end, after the network's delay. Calls happen in the
// order in which they were requested for this end.
func (e *End) deliver(do func()) {
	at := max(e.lastDelivery, e.net.sim.Now()+e.net.delay())
	e.lastDelivery = at
	e.net.sim.At(at, func() {
		if e.isSilent() {
			e.undelivered = append(e.undelivered, do)
			return
		}
		do()
	})
}

// isSilent reports whether one of the two machines neither sends nor receives.
func (e *End) isSilent() bool {
	return e.silent != nil && *e.silent || e.peer != nil && e.peer.silent != nil && *e.peer.silent
}

// DeliverHeld delivers what was held back while a machine was silent.
func (e *End) DeliverHeld() {
	held := e.undelivered
	e.undelivered = nil
	for _, do := range held {
		do()
	}
}

func (e *End) notifyReady() {
	if e.ready != nil && !e.closed {
		e.ready()
	}
}

// Write sends as many bytes as the connection accepts now.
func (e *End) Write(data []byte) (int, error) {
	switch {
	case e.reset:
		return 0, unix.ECONNRESET
	case e.writeClosed || e.closed:
		return 0, unix.EPIPE
	}
	n := min(len(data), e.space)
	if n == 0 {
		return 0, unix.EAGAIN
	}
	e.space -= n
	sent := append([]byte(nil), data[:n]...)
	if s := e.net.sim; s.Chance(e.net.ResetChance) {
		cut := s.Rand.IntN(n + 1)
		e.send(sent[:cut])
		p := e.peer
		e.cutByNetwork, p.cutByNetwork = true, true
		p.deliver(func() { p.receiveReset() })
		e.deliver(func() { e.receiveReset() })
		return n, nil
	}
	for e.net.sim.Chance(e.net.SplitChance) && len(sent) > 1 {
		cut := 1 + e.net.sim.Rand.IntN(len(sent)-1)
		e.send(sent[:cut])
		e.peer.lastDelivery = max(e.peer.lastDelivery, e.net.sim.Now()) + e.net.sim.Between(0, 3*time.Millisecond)
		sent = sent[cut:]
	}
	e.send(sent)
	return n, nil
}

func (e *End) send(data []byte) {
	if len(data) == 0 {
		return
	}
	p, sent := e.peer, e.net.sim.Now()
	p.deliver(func() {
		if len(p.inbox) == 0 {
			p.firstSentAt = sent
		}
		switch {
		case p.reset:
		case p.closed: // no process is there to read it
			e.deliver(func() { e.receiveReset() })
		default:
			p.inbox = append(p.inbox, data...)
			p.lastArrivalAt = p.net.sim.Now()
			p.notifyReady()
		}
	})
}

func (e *End) receiveReset() {
	if !e.reset {
		e.reset = true
		e.notifyReady()
	}
}

// Read removes at most limit bytes from the inbox, and makes room for as many at the peer.
func (e *End) Read(limit int) []byte {
	n := min(limit, len(e.inbox))
	if e.buffers.windowed {
		e.refill()
		n = min(n, e.window)
		e.window -= n
	}
	data := e.inbox[:n:n]
	e.inbox = e.inbox[n:]
	if p := e.peer; n > 0 {
		wasWritable := p.writable()
		p.space += n
		if !wasWritable && p.writable() {
			p.deliver(func() { p.notifyReady() })
		}
	}
	return data
}

// unacknowledged returns how many bytes of this end are in transit or were not read by the peer.
func (e *End) unacknowledged() int { return e.buffers.size() - e.space }

// writable reports whether epoll reports this end as writable after its send buffer was full.
func (e *End) writable() bool { return e.space > 0 && e.space >= e.buffers.writableFrom }

// endVisible reports whether the kernel of this end has received the end of the peer's sending.
func (e *End) endVisible() bool {
	return e.fin && (e.buffers.receive == 0 || len(e.inbox) <= e.buffers.receive)
}

// CloseWrite shuts down this end's sending side.
func (e *End) CloseWrite() {
	if e.writeClosed || e.closed || e.peer == nil {
		return
	}
	e.writeClosed, e.endedAt = true, e.net.sim.Now()
	p := e.peer
	p.deliver(func() {
		p.fin = true
		p.notifyReady()
	})
}

// Close closes this end. Unread bytes turn the close into a reset, as in the kernel.
func (e *End) Close() {
	if e.closed {
		return
	}
	for _, r := range e.passed {
		r.drop()
	}
	e.passed = nil
	if len(e.inbox) > 0 {
		e.Reset()
		return
	}
	e.CloseWrite()
	e.closed = true
}

// Reset closes this end with a reset.
func (e *End) Reset() {
	if e.closed {
		return
	}
	e.closed = true
	if e.endedAt == 0 {
		e.endedAt = e.net.sim.Now()
	}
	if p := e.peer; p != nil && !e.reset {
		p.deliver(func() { p.receiveReset() })
	}
}

// ReadEnded reports whether the connection has ended for this end's reader and all bytes are read.
func (e *End) ReadEnded() bool { return len(e.inbox) == 0 && (e.fin || e.reset) }
