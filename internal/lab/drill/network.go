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

// condition is the current state of one path. It is immutable and replaced on each change.
type condition struct {
	Path
	cut   bool // datagrams are lost, streams are blocked
	stall bool // datagrams and streams are held and delivered when the stall ends
}

// network holds the paths and relays between all pairs of nodes.
type network struct {
	base Path
	ip   netip.Addr

	mu             sync.Mutex
	closed         bool
	activeFaults   []*Fault // in order of their start
	links          map[[2]string]*link
	datagramRelays map[[2]string]*datagramRelay // by the two names in alphabetical order
	streamRelays   map[[3]string]*streamRelay   // by sender, receiver and the receiver's address
	receivers      map[string][]*net.UDPAddr    // addresses that receive the datagrams for a node
	rand           *rand.Rand
	tasks          sync.WaitGroup
	onChange       func(pathChange)      // called after each change without holding mu, because it may take long
	onRefused      func(from, to string) // called for each connection whose target was not listening
}

// link is the path from one node to another.
type link struct {
	from, to string
	current  atomic.Pointer[condition]
	changed  chan bool // closed and replaced at each change; guarded by the network's mu
	carried  atomic.Uint64
	lost     atomic.Uint64
}

// pathChange is the new condition of a path and the time of the change.
type pathChange struct {
	from, to  string
	condition condition
	at        time.Time
}

func newNetwork(base Path, ip netip.Addr, seed uint64, onChange func(pathChange),
	onRefused func(string, string)) *network {
	return &network{base: base, ip: ip, links: make(map[[2]string]*link),
		datagramRelays: make(map[[2]string]*datagramRelay),
		streamRelays:   make(map[[3]string]*streamRelay),
		receivers:      make(map[string][]*net.UDPAddr), rand: rand.New(rand.NewPCG(seed, 0x9e7)),
		onChange: onChange, onRefused: onRefused}
}

// rigAddress returns a loopback address that no other rig uses, neither in this process nor in another process of
// this machine. On a shared address, another rig could take a port that a process or relay releases for a moment.
// A rig has three such addresses: one for its processes (n is 0), one for its relays (n is 1) and one for its hosts
// (n is 2). The address depends on dir, which belongs to one rig alone.
func rigAddress(dir string, n int) netip.Addr {
	h := xxh3.HashSeed([]byte(dir), uint64(os.Getpid()))
	return netip.AddrFrom4([4]byte{127, byte(64 + 64*n + int(h>>16%64)), byte(h >> 8), byte(h)})
}

// link returns the path between two nodes and creates it on first use. mu must be held.
func (n *network) link(from, to string) *link {
	key := [2]string{from, to}
	l := n.links[key]
	if l == nil {
		l = &link{from: from, to: to, changed: make(chan bool)}
		c := n.effectiveCondition(from, to)
		l.current.Store(&c)
		n.links[key] = l
	}
	return l
}

// effectiveCondition applies the active faults to the base condition of a path. A fault that started
// later overrides an earlier one.
func (n *network) effectiveCondition(from, to string) condition {
	c := condition{Path: n.base}
	for _, f := range n.activeFaults {
		if f.affects(from, to) {
			f.applyTo(&c)
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

// affects reports whether a network fault applies to a path. A fault without names applies to all paths.
func (f *Fault) affects(from, to string) bool {
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
	selects := func(from, to string) bool {
		return (len(f.From) == 0 || matches(f.From, from)) && (len(f.To) == 0 || matches(f.To, to))
	}
	return selects(from, to) || f.Both && selects(to, from)
}

// setFault activates or deactivates a fault and calls onChange for each path that changed.
func (n *network) setFault(f *Fault, on bool) {
	for _, c := range n.updateFaults(f, on) {
		n.onChange(c)
	}
}

// updateFaults activates or deactivates a fault and returns the paths that changed.
func (n *network) updateFaults(f *Fault, on bool) (changes []pathChange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on {
		n.activeFaults = append(n.activeFaults, f)
	} else {
		for i, o := range n.activeFaults {
			if o == f {
				n.activeFaults = append(n.activeFaults[:i:i], n.activeFaults[i+1:]...)
				break
			}
		}
	}
	for _, l := range n.links {
		c := n.effectiveCondition(l.from, l.to)
		if c == *l.current.Load() {
			continue
		}
		l.current.Store(&c)
		close(l.changed)
		l.changed = make(chan bool)
		changes = append(changes, pathChange{l.from, l.to, c, time.Now()})
	}
	return changes
}

func (n *network) drawChance(p float64) bool {
	if p <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.Float64() < p
}

func (n *network) drawDelay(p Path) time.Duration {
	d := p.Delay.Duration
	if j := p.Jitter.Duration; j > 0 {
		n.mu.Lock()
		defer n.mu.Unlock()
		d += time.Duration(n.rand.Int64N(int64(j)))
	}
	return d
}

// changeSignal returns a channel that is closed at the next change of a path.
func (n *network) changeSignal(l *link) chan bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return l.changed
}

// addReceiver adds an address that receives the datagrams for a node. If two processes have the same name, both
// receive every datagram.
func (n *network) addReceiver(name string, at netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.receivers[name] = append(n.receivers[name], net.UDPAddrFromAddrPort(at))
}

// redialInterval is the interval at which a relay dials a target that is not listening.
const redialInterval = 25 * time.Millisecond

// readSize is the maximum size of a relay's read, and readTimeout its deadline, after which the relay checks
// whether the network has been closed.
const (
	readSize        = 32 << 10
	readTimeout     = 250 * time.Millisecond
	retransmitDelay = 200 * time.Millisecond // delay of a stream for a lost segment
)

// close ends all relays and waits for their goroutines.
func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	for _, relay := range n.datagramRelays {
		_ = relay.sockets[0].Close()
		_ = relay.sockets[1].Close()
	}
	for _, relay := range n.streamRelays {
		_ = relay.ln.Close()
	}
	n.activeFaults = nil
	for _, l := range n.links { // wakes blocked streams, which then detect that the network is closed
		l.current.Store(&condition{})
		close(l.changed)
		l.changed = make(chan bool)
	}
	n.mu.Unlock()
	n.tasks.Wait()
}
