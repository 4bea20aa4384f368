package drill

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path"
	"sync"
	"sync/atomic"
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
	return &network{base: base, ip: ip, ways: make(map[[2]string]*way), pairs: make(map[[2]string]*pair),
		doors: make(map[[3]string]*door),
		ends:  make(map[string][]*net.UDPAddr), rand: rand.New(rand.NewPCG(seed, 0x9e7)), change: change, shut: shut}
}

// rigAddress is an address of the loopback that no other rig uses, on this machine or in this process:
// a port that a process or a relay gives up for a moment must not become another one's. Processes (n is
// 0), relays (n is 1) and hosts (n is 2) have one each. The directory that a rig writes to is its own.
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

// listen adds an address at which a name hears datagrams. Two processes under one name both hear.
func (n *network) listen(name string, at netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends[name] = append(n.ends[name], net.UDPAddrFromAddrPort(at))
}

// lookAgain is how soon a door whose other side is not there looks for it again.
const lookAgain = 25 * time.Millisecond

// chunk is what a relay reads at once; readFor is how long a read waits before it looks whether the
// network has ended.
const (
	chunk   = 32 << 10
	readFor = 250 * time.Millisecond
	repeat  = 200 * time.Millisecond // what a lost segment of a stream costs
)

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
