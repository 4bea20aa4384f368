package drill

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/xxh3"
)

// condition is how one path is now. It is never changed, only replaced.
type condition struct {
	Path
	cut   bool // datagrams are lost, streams stand
	stall bool // all stands, and comes when that is over
}

// network is every path between two nodes, by names.
type network struct {
	base Path
	ip   netip.Addr

	mu     sync.Mutex
	closed bool
	faults []*Fault // in force, the oldest first
	ways   map[[2]string]*way
	pairs  map[[2]string]*pair       // of datagrams, by the names in order
	doors  map[[3]string]*door       // of streams: from, to, address
	ends   map[string][]*net.UDPAddr // where datagrams for a name go
	rand   *rand.Rand
	served sync.WaitGroup
	change func(pathChange)      // told of every change, without the lock: it may take long
	shut   func(from, to string) // told of every connection that found nobody
}

// way is one ordered pair's path.
type way struct {
	from, to string
	now      atomic.Pointer[condition]
	over     chan bool // closed and made anew with every change; under the network's lock
	carried  atomic.Uint64
	lost     atomic.Uint64
}

// pathChange is what became of a path, and when.
type pathChange struct {
	from, to string
	now      condition
	at       time.Time
}

func newNetwork(base Path, ip netip.Addr, seed uint64, change func(pathChange), shut func(string, string)) *network {
	return &network{base: base, ip: ip, ways: make(map[[2]string]*way), pairs: make(map[[2]string]*pair), doors: make(map[[3]string]*door),
		ends: make(map[string][]*net.UDPAddr), rand: rand.New(rand.NewPCG(seed, 0x9e7)), change: change, shut: shut}
}

// rigAddress is an address of the loopback that no other rig uses, on this machine or in this process: a port that a process or a
// relay gives up for a moment must not become another one's. Processes (n is 0), relays (n is 1) and hosts (n is 2) have one each. The directory
// that a rig writes to is its own.
func rigAddress(dir string, n int) netip.Addr {
	h := xxh3.HashSeed([]byte(dir), uint64(os.Getpid()))
	return netip.AddrFrom4([4]byte{127, byte(64 + 64*n + int(h>>16%64)), byte(h >> 8), byte(h)})
}

// way returns a path, made if need be. It is called with the lock held.
func (n *network) way(from, to string) *way {
	key := [2]string{from, to}
	w := n.ways[key]
	if w == nil {
		w = &way{from: from, to: to, over: make(chan bool)}
		c := n.work(from, to)
		w.now.Store(&c)
		n.ways[key] = w
	}
	return w
}

// work is the condition of a path from the faults in force, the latest last.
func (n *network) work(from, to string) condition {
	c := condition{Path: n.base}
	for _, f := range n.faults {
		if f.concerns(from, to) {
			f.spoil(&c)
		}
	}
	return c
}

func matches(patterns []string, name string) bool {
	for _, p := range patterns {
		if ok, err := path.Match(p, name); ok && err == nil {
			return true
		}
	}
	return false
}

// concerns tells whether a fault of the network lies on a path. Without names it lies on all.
func (f *Fault) concerns(from, to string) bool {
	if len(f.Groups) > 0 {
		a, b := -1, -1
		for g, names := range f.Groups {
			if matches(names, from) {
				a = g
			}
			if matches(names, to) {
				b = g
			}
		}
		return a >= 0 && b >= 0 && a != b
	}
	on := func(from, to string) bool {
		return (len(f.From) == 0 || matches(f.From, from)) && (len(f.To) == 0 || matches(f.To, to))
	}
	return on(from, to) || f.Both && on(to, from)
}

// set puts a fault in force or takes it away.
func (n *network) set(f *Fault, on bool) {
	for _, c := range n.put(f, on) {
		n.change(c)
	}
}

// put does so and returns the paths that changed.
func (n *network) put(f *Fault, on bool) (changes []pathChange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on {
		n.faults = append(n.faults, f)
	} else {
		for i, o := range n.faults {
			if o == f {
				n.faults = append(n.faults[:i:i], n.faults[i+1:]...)
				break
			}
		}
	}
	for _, w := range n.ways {
		c := n.work(w.from, w.to)
		if c == *w.now.Load() {
			continue
		}
		w.now.Store(&c)
		close(w.over)
		w.over = make(chan bool)
		changes = append(changes, pathChange{w.from, w.to, c, time.Now()})
	}
	return changes
}

func (n *network) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.Float64() < p
}

func (n *network) delay(p Path) time.Duration {
	d := p.Delay.Duration
	if j := p.Jitter.Duration; j > 0 {
		n.mu.Lock()
		defer n.mu.Unlock()
		d += time.Duration(n.rand.Int64N(int64(j)))
	}
	return d
}

// changed is closed at the next change of a path.
func (n *network) changed(w *way) chan bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return w.over
}

// ---- datagrams ------------------------------------------------------------------------------------------

// pair is the two sockets between two names: at[0] is where the first sends to for the second, and from where the first
// hears the second.
type pair struct {
	names [2]string
	at    [2]*net.UDPConn
}

// listen adds an address at which a name hears datagrams. Two processes under one name both hear.
func (n *network) listen(name string, at netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends[name] = append(n.ends[name], net.UDPAddrFromAddrPort(at))
}

// datagrams returns where a name sends to for another.
func (n *network) datagrams(from, to string) (netip.AddrPort, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key, side := [2]string{from, to}, 0
	if to < from {
		key, side = [2]string{to, from}, 1
	}
	p := n.pairs[key]
	if p == nil {
		p = &pair{names: key}
		for i := range p.at {
			c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(n.ip, 0)))
			if err != nil {
				return netip.AddrPort{}, fmt.Errorf("drill: relay between %s and %s: %w", from, to, err)
			}
			p.at[i] = c
		}
		n.pairs[key] = p
		for i := range p.at {
			w := n.way(p.names[i], p.names[1-i])
			n.served.Go(func() { n.carry(p.at[i], p.at[1-i], w) })
		}
	}
	return p.at[side].LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// mostHeld bounds what a stalled path holds, as a queue in the network would.
const mostHeld = 1000

// carry takes what comes to one socket to the other side, from the socket that the other side knows.
func (n *network) carry(in, out *net.UDPConn, w *way) {
	buf := make([]byte, 4096)
	var held [][]byte
	for {
		if len(held) > 0 && !w.now.Load().stall {
			for _, data := range held {
				n.send(out, w, data)
			}
			held = nil
		}
		var until time.Time
		if len(held) > 0 { // the stall's end is looked for meanwhile
			until = time.Now().Add(20 * time.Millisecond)
		}
		_ = in.SetReadDeadline(until)
		size, _, err := in.ReadFromUDP(buf)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // an earlier datagram found nobody
			continue
		}
		data := append([]byte(nil), buf[:size]...)
		c := w.now.Load()
		switch {
		case c.cut || n.chance(c.Loss):
			w.lost.Add(1)
		case c.stall:
			if len(held) < mostHeld {
				held = append(held, data)
			}
		default:
			copies := 1
			if n.chance(c.Double) {
				copies = 2
			}
			for range copies {
				d := n.delay(c.Path)
				if n.chance(c.Reorder) {
					d += reorderBy
				}
				if d == 0 {
					n.send(out, w, data)
					continue
				}
				time.AfterFunc(d, func() { n.send(out, w, data) })
			}
		}
	}
}

func (n *network) send(out *net.UDPConn, w *way, data []byte) {
	n.mu.Lock()
	ends := n.ends[w.to]
	n.mu.Unlock()
	w.carried.Add(1)
	for _, at := range ends {
		_, _ = out.WriteToUDP(data, at) // nobody there: lost
	}
}

// ---- streams --------------------------------------------------------------------------------------------

// door is where a name connects to for another one's address.
type door struct {
	n     *network
	there *way
	back  *way
	addr  string // behind it
	at    string // its own
	ln    net.Listener
}

// stream returns the address by which a name reaches another one's listening address.
func (n *network) stream(from, to, addr string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [3]string{from, to, addr}
	if d := n.doors[key]; d != nil {
		return d.at, nil
	}
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(n.ip, 0).String())
	if err != nil {
		return "", fmt.Errorf("drill: relay from %s to %s: %w", from, to, err)
	}
	d := &door{n: n, there: n.way(from, to), back: n.way(to, from), addr: addr, at: ln.Addr().String(), ln: ln}
	n.doors[key] = d
	n.served.Go(func() { d.serve(ln) })
	return d.at, nil
}

// lookAgain is how soon a door whose other side is not there looks for it again.
const lookAgain = 25 * time.Millisecond

func (d *door) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(time.Millisecond)
			continue
		}
		out, err := net.DialTimeout("tcp4", d.addr, time.Second)
		if err != nil { // nobody is there: the door is shut until somebody is
			d.n.shut(d.there.from, d.there.to)
			reset(c)
			_ = ln.Close()
			if ln = d.reopen(); ln == nil {
				return
			}
			continue
		}
		d.n.served.Go(func() { d.join(c.(*net.TCPConn), out.(*net.TCPConn)) })
	}
}

// reopen waits until the other side is there again, and returns nil when the network ends.
func (d *door) reopen() net.Listener {
	for {
		time.Sleep(lookAgain)
		d.n.mu.Lock()
		closed := d.n.closed
		d.n.mu.Unlock()
		if closed {
			return nil
		}
		c, err := net.DialTimeout("tcp4", d.addr, time.Second)
		if err != nil {
			continue
		}
		_ = c.Close()
		ln, err := net.Listen("tcp4", d.at)
		if err != nil {
			continue
		}
		d.n.mu.Lock()
		if d.n.closed {
			d.n.mu.Unlock()
			_ = ln.Close()
			return nil
		}
		d.ln = ln
		d.n.mu.Unlock()
		return ln
	}
}

// reset ends a connection so that its other side sees it.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// joint is two connections that are carried into one another.
type joint struct {
	d       *door
	c, out  *net.TCPConn
	stop    chan bool // closed at a reset
	once    sync.Once
	ending  atomic.Bool // the server has ended: nothing more is taken from the client
	crossed atomic.Bool // and something was in hand for it
	read    chan bool   // closed once nothing is taken from the client any more
}

// join carries two connections into one another until both directions have ended, or one is reset.
func (d *door) join(c, out *net.TCPConn) {
	j := &joint{d: d, c: c, out: out, stop: make(chan bool), read: make(chan bool)}
	d.n.mu.Lock()
	closing := d.n.closed
	d.n.mu.Unlock()
	if closing {
		j.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { j.pipe(c, out, d.there); close(j.read) })
	both.Go(func() { j.pipe(out, c, d.back) })
	both.Wait()
	_ = c.Close()
	_ = out.Close()
}

func (j *joint) reset() { j.once.Do(func() { close(j.stop); reset(j.c); reset(j.out) }) }

// serverEnds ends the client's connection as the server's end would have without the relay: with a reset if something that the
// client sent crossed it. A client tells by that whether its request was read.
func (j *joint) serverEnds() {
	j.ending.Store(true)
	_ = j.c.SetReadDeadline(time.Now())
	<-j.read
	if j.crossed.Load() || broken(j.out) {
		j.reset()
		return
	}
	_ = j.c.Close() // bytes that lie unread make a reset of it
}

// broken tells whether a connection was reset, which a read that ends regularly does not show.
func broken(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	pending := 0
	if err := raw.Control(func(fd uintptr) { pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) }); err != nil {
		return true
	}
	return pending != 0
}

// chunk is what a relay reads at once; readFor is how long a read waits before it looks whether the network has ended.
const (
	chunk   = 32 << 10
	readFor = 250 * time.Millisecond
	repeat  = 200 * time.Millisecond // what a lost segment of a stream costs
)

func (j *joint) pipe(in, out *net.TCPConn, w *way) {
	buf := make([]byte, chunk)
	fromClient := in == j.c
	for !fromClient || !j.ending.Load() {
		_ = in.SetReadDeadline(time.Now().Add(readFor))
		size, err := in.Read(buf)
		if size > 0 && fromClient && j.ending.Load() {
			j.crossed.Store(true)
			return
		}
		if size > 0 || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			if !j.d.wait(w, j.stop) {
				j.reset()
				return
			}
		}
		if size > 0 {
			if _, err := out.Write(buf[:size]); err != nil {
				j.reset()
				return
			}
			w.carried.Add(1)
		}
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			j.d.n.mu.Lock()
			closed := j.d.n.closed
			j.d.n.mu.Unlock()
			select {
			case <-j.stop:
				return
			default:
			}
			if closed {
				j.reset()
				return
			}
		case errors.Is(err, io.EOF) && fromClient:
			_ = out.CloseWrite()
			return
		case errors.Is(err, io.EOF):
			j.serverEnds()
			return
		default:
			j.reset()
			return
		}
	}
}

// wait holds back what a path does not carry now, and reports whether it may go on.
func (d *door) wait(w *way, stop chan bool) bool {
	for {
		over := d.n.changed(w)
		c := w.now.Load()
		if c.cut || c.stall {
			select {
			case <-over:
			case <-stop:
				return false
			}
			continue
		}
		pause := d.n.delay(c.Path)
		if d.n.chance(c.Loss) {
			pause += repeat
		}
		if pause > 0 {
			select {
			case <-time.After(pause):
			case <-stop:
				return false
			}
		}
		return true
	}
}

// close ends every path and waits for that.
func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	for _, p := range n.pairs {
		_ = p.at[0].Close()
		_ = p.at[1].Close()
	}
	for _, d := range n.doors {
		_ = d.ln.Close()
	}
	n.faults = nil
	for _, w := range n.ways { // whatever stands goes on and sees the end
		w.now.Store(&condition{})
		close(w.over)
		w.over = make(chan bool)
	}
	n.mu.Unlock()
	n.served.Wait()
}
