// Package membershipsim plays whole fleets of views on a virtual clock: a network that loses, doubles, delays and cuts
// datagrams, processes that die, stop, leave and start again. A seed gives a run, to the letter.
package membershipsim

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"thymebend/internal/gossipcodec"
	"thymebend/internal/lab/cputime"
	"thymebend/internal/membership"
)

// Epoch is when a run begins, in Unix time: views live by it.
const Epoch = 1_700_000_000 * time.Second

// namePrefix begins the name of every node; its number follows.
const namePrefix = "g-"

// headerBytes are those of IP and UDP.
const headerBytes = 28

// Net is how datagrams fare.
type Net struct {
	Latency, Jitter time.Duration
	Loss, Double    float64
	Cut             func(from, to int) bool          // nil is no cut
	Far             func(from, to int) time.Duration // further latency between two nodes; nil is none
}

// Node is one gateway's place in the fleet.
type Node struct {
	Name   string
	View   Mind // nil while no process runs
	Starts int

	addr    netip.AddrPort
	payload []byte // what it spreads of itself
	life    int
	stopped bool // SIGSTOP: nothing is done, what comes waits
	waiting []delivery
	due     bool // something waits for SIGCONT
	next    time.Duration
	seen    []claimed // the highest claim seen of each node, by its number
}

type claimed struct{ start, incarnation uint64 }

type delivery struct {
	from netip.AddrPort
	data []byte
}

// Sim is a run.
type Sim struct {
	Net      Net
	Nodes    []*Node
	Findings []string
	Without  membership.Refinement // left out
	Baseline bool                  // heartbeats in place of views
	Flat     bool

	rng   *rand.Rand
	now   time.Duration
	queue queue
	order uint64
	sent  []uint64        // bytes by node, with those of IP and UDP
	taken []uint64        // bytes that arrived at a node, of the same kind
	spent []time.Duration // of the real processor's time, by the node whose view was called
	ctx   context.Context
	seek  int // the node whose view was wrong last
	book  []membership.Peer
	calls uint64
	back  time.Duration // how far the clock of what starts now has gone back
}

// New makes a fleet of n places. None runs yet.
func New(seed uint64, n int) *Sim {
	s := &Sim{rng: rand.New(rand.NewPCG(seed, 0xf1ee7)), now: Epoch, sent: make([]uint64, n), taken: make([]uint64, n),
		spent: make([]time.Duration, n), ctx: context.Background(),
		Net: Net{Latency: 500 * time.Microsecond, Jitter: 4 * time.Millisecond}}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
		node := &Node{Name: fmt.Sprintf(namePrefix+"%04d", i), addr: addr, payload: []byte{byte(i)}, seen: make([]claimed, n)}
		s.Nodes = append(s.Nodes, node)
		s.book = append(s.book, membership.Peer{Name: node.Name, Addr: addr})
	}
	return s
}

// Now is the time since the run's begin.
func (s *Sim) Now() time.Duration { return s.now - Epoch }

// Calls is how often views were called.
func (s *Sim) Calls() uint64 { return s.calls }

// Sent is how many bytes a node has sent.
func (s *Sim) Sent(n int) uint64 { return s.sent[n] }

// Received is how many bytes have come to a node while its process lived.
func (s *Sim) Received(n int) uint64 { return s.taken[n] }

// Runs reports whether a node's process lives and is not stopped.
func (s *Sim) Runs(n int) bool { return s.Nodes[n].View != nil && !s.Nodes[n].stopped }

// SetPayload has a node spread a payload of itself from its next start on.
func (s *Sim) SetPayload(n int, payload []byte) { s.Nodes[n].payload = payload }

// Find notes a broken rule.
func (s *Sim) Find(format string, args ...any) {
	s.Findings = append(s.Findings, fmt.Sprintf("%.3f s: ", s.Now().Seconds())+fmt.Sprintf(format, args...))
}

// At has something happen at a time of the run.
func (s *Sim) At(at time.Duration, do func()) { s.at(Epoch+at, do) }

func (s *Sim) at(at time.Duration, do func()) {
	s.order++
	s.queue.push(event{max(at, s.now), s.order, do})
}

// EndWith has the run end early once ctx is done.
func (s *Sim) EndWith(ctx context.Context) { s.ctx = ctx }

// Interrupted reports whether the run was ended early.
func (s *Sim) Interrupted() bool { return s.ctx.Err() != nil }

// interruptCheckEvents is how many events pass between looks at whether the run was interrupted.
const interruptCheckEvents = 256

// Run plays until a time of the run, or until the run is interrupted.
func (s *Sim) Run(until time.Duration) {
	defer cputime.Hold()()
	for n := 0; s.queue.len() > 0 && s.queue.earliest() <= Epoch+until; n++ {
		if n%interruptCheckEvents == 0 && s.Interrupted() {
			return
		}
		e := s.queue.pop()
		s.now = e.at
		e.do()
	}
	s.now = Epoch + until
}

// Start starts a node's process, which knows the book alone.
func (s *Sim) Start(n int) {
	node := s.Nodes[n]
	if node.View != nil {
		return
	}
	cfg := membership.Config{Cluster: "sim", Name: node.Name, Start: uint64((s.now - s.back).Milliseconds()), SeedPeers: s.book, Flat: s.Flat,
		Payload: node.payload, Seed: s.rng.Uint64()}
	if s.Baseline {
		node.View = NewHeartbeats(cfg, s.now)
	} else {
		view, err := membership.New(cfg, s.now, membership.Without(s.Without))
		if err != nil {
			panic(err) // names and book are ours
		}
		node.View = view
	}
	node.stopped, node.waiting, node.seen = false, nil, make([]claimed, len(s.Nodes))
	node.life++
	node.Starts++
	node.next = 0
	s.called(n)
}

// Kill ends a node's process without a word.
func (s *Sim) Kill(n int) {
	s.Nodes[n].View = nil
	s.Nodes[n].life++
}

// Leave ends it as SIGTERM does.
func (s *Sim) Leave(n int) {
	node := s.Nodes[n]
	if node.View == nil || node.stopped {
		return
	}
	node.View.Leave(s.now)
	s.post(n)
	s.Kill(n)
}

// Stop stops a node's process for a while, as SIGSTOP and SIGCONT do.
func (s *Sim) Stop(n int, length time.Duration) {
	node := s.Nodes[n]
	if node.View == nil || node.stopped {
		return
	}
	node.stopped = true
	life := node.life
	s.at(s.now+length, func() {
		if node.life != life {
			return
		}
		node.stopped = false
		waiting := node.waiting
		node.waiting = nil
		if node.due {
			node.due = false
			node.View.Advance(s.now)
		}
		for _, d := range waiting {
			s.calls++
			node.View.Receive(s.now, d.from, d.data)
		}
		s.called(n)
	})
}

// spend counts what a call of a view takes of this machine's processor, without the time in which other programs had it.
// Nothing of the run depends on it.
func (s *Sim) spend(n int, call func()) {
	began := cputime.Thread()
	call()
	s.spent[n] += cputime.Thread() - began
}

// Spent is how much of this machine's processor a node's view has taken.
func (s *Sim) Spent(n int) time.Duration { return s.spent[n] }

// called sends what a view wants sent, looks at it, and has it looked at when it wants.
func (s *Sim) called(n int) {
	node := s.Nodes[n]
	s.post(n)
	s.look(node)
	next := max(node.View.NextWake(), s.now+100*time.Microsecond)
	if node.next != 0 && node.next <= next && node.next >= s.now {
		return // an earlier look is under way, which asks again
	}
	node.next = next
	life := node.life
	s.at(next, func() {
		if node.life != life || node.next != next {
			return
		}
		node.next = 0
		if node.stopped {
			node.due = true
			return
		}
		s.calls++
		s.spend(n, func() { node.View.Advance(s.now) })
		s.called(n)
	})
}

// look holds the news of incarnations to the rule: they only grow.
func (s *Sim) look(node *Node) {
	if s.calls%16 != 0 {
		return
	}
	self, _ := node.View.Find(node.Name)
	s.grows(node, &self)
	for m := range node.View.Others() {
		s.grows(node, m)
	}
}

func (s *Sim) grows(node *Node, m *membership.Member) {
	was, is := &node.seen[number(m.Name)], claimed{m.Start, m.Incarnation}
	if is.start < was.start || is.start == was.start && is.incarnation < was.incarnation {
		s.Find("%s has %s at %d/%d after %d/%d", node.Name, m.Name, is.start, is.incarnation, was.start, was.incarnation)
	}
	*was = is
}

// number is the place of the node with a name.
func number(name string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, namePrefix))
	if err != nil {
		panic(err) // names are ours
	}
	return n
}

// post puts a view's datagrams on the network.
func (s *Sim) post(n int) {
	from := s.Nodes[n]
	for _, d := range from.View.Take() {
		if len(d.Data) > gossipcodec.MaxDatagram {
			s.Find("%s sends %d bytes", from.Name, len(d.Data))
		}
		s.sent[n] += uint64(len(d.Data)) + headerBytes
		raw := d.To.Addr().As4()
		to := int(raw[2])<<8 | int(raw[3])
		copies := 1
		if s.rng.Float64() < s.Net.Double {
			copies++
		}
		for range copies {
			if s.rng.Float64() < s.Net.Loss || s.Net.Cut != nil && s.Net.Cut(n, to) {
				continue
			}
			delay := s.Net.Latency
			if s.Net.Jitter > 0 {
				delay += time.Duration(s.rng.Int64N(int64(s.Net.Jitter)))
			}
			if s.Net.Far != nil {
				delay += s.Net.Far(n, to)
			}
			s.at(s.now+delay, func() { s.arrive(to, delivery{from.addr, d.Data}) })
		}
	}
}

func (s *Sim) arrive(n int, d delivery) {
	node := s.Nodes[n]
	if node.View != nil {
		s.taken[n] += uint64(len(d.data)) + headerBytes
	}
	switch {
	case node.View == nil:
	case node.stopped:
		if len(node.waiting) < 500 { // a socket's buffer
			node.waiting = append(node.waiting, d)
		}
	default:
		s.calls++
		s.spend(n, func() { node.View.Receive(s.now, d.from, d.data) })
		s.called(n)
	}
}

// Held is what a node has of another: its state, and whether it knows it at all.
func (s *Sim) Held(n, other int) (gossipcodec.State, bool) {
	m, known := s.Nodes[n].View.Find(s.Nodes[other].Name)
	return m.State, known
}

// Wrong names something in which a living, running node's view is not the truth. It begins with the node that was wrong last,
// which is likely to be wrong still.
func (s *Sim) Wrong() string {
	for i := range s.Nodes {
		n := (s.seek + i) % len(s.Nodes)
		if wrong := s.wrongOf(n); wrong != "" {
			s.seek = n
			return wrong
		}
	}
	return ""
}

func (s *Sim) wrongOf(n int) string {
	node := s.Nodes[n]
	if node.View == nil || node.stopped {
		return ""
	}
	for _, other := range s.Nodes {
		m, known := node.View.Find(other.Name)
		switch {
		case other.View != nil && (!known || m.State != gossipcodec.Alive):
			return fmt.Sprintf("%s has %s, which lives, as %d (known %v)", node.Name, other.Name, m.State, known)
		case other.View != nil && !s.Baseline && !bytes.Equal(m.Payload, other.payload):
			return fmt.Sprintf("%s has no payload of %s", node.Name, other.Name)
		case other.View == nil && known && m.State <= gossipcodec.Suspect:
			return fmt.Sprintf("%s has %s, which is dead, as %d", node.Name, other.Name, m.State)
		}
	}
	if st := node.View.Status(s.now); st.DuplicateName {
		return fmt.Sprintf("node %d believes in a twin", n)
	}
	return ""
}

// Until runs until the views are the truth, at most for so long, and returns how long that took; ok is false if they are
// not by then.
func (s *Sim) Until(most time.Duration) (took time.Duration, ok bool) {
	const step = 50 * time.Millisecond
	for took = 0; took <= most && !s.Interrupted(); took += step {
		if s.Wrong() == "" {
			return took, true
		}
		s.Run(s.Now() + step)
	}
	return most, false
}
