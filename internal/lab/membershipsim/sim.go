// Package membershipsim simulates the membership of whole clusters on a virtual clock: a network that loses,
// duplicates, delays and cuts datagrams, and processes that die, stop, leave and start again. A seed gives a run, to
// the letter.
//
//   - sim.go, event_queue.go: the run and its events.
//   - node.go: the processes of the nodes, network.go: the datagrams between them.
//   - convergence.go: what the nodes believe against the truth.
//   - protocol.go, heartbeats.go: what nodes run, and the baseline that membership is compared with.
//   - random.go: runs with faults drawn by the seed, and what they must come to.
//   - measure.go: figures of clusters of one size under one set of faults.
package membershipsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"thymebend/internal/lab/cputime"
	"thymebend/internal/membership"
)

// Epoch is when a run begins, in Unix time: memberships live by it.
const Epoch = 1_700_000_000 * time.Second

// namePrefix begins the name of every node; its number follows.
const namePrefix = "g-"

// interruptCheckEvents is how many events pass between checks of whether the run was interrupted.
const interruptCheckEvents = 256

// Sim is a run.
type Sim struct {
	Net      Net
	Nodes    []*Node
	Findings []string              // broken rules
	Without  membership.Refinement // left out
	Baseline bool                  // heartbeats in place of memberships
	Flat     bool                  // see membership.Config

	rng       *rand.Rand
	now       time.Duration
	queue     queue
	lastOrder uint64
	ctx       context.Context
	seedPeers []membership.SeedPeer
	clockBack time.Duration // how far the clock of what starts now has gone back

	sent         []uint64 // bytes by node, with those of IP and UDP
	received     []uint64 // bytes that arrived at a node, of the same kind
	cpuTime      []time.Duration
	calls        uint64
	lastDiverged int // the node that diverged last
}

// New makes a cluster of n nodes. None runs yet.
func New(seed uint64, n int) *Sim {
	s := &Sim{
		rng:      rand.New(rand.NewPCG(seed, 0xf1ee7)),
		now:      Epoch,
		sent:     make([]uint64, n),
		received: make([]uint64, n),
		cpuTime:  make([]time.Duration, n),
		ctx:      context.Background(),
		Net:      Net{Latency: 500 * time.Microsecond, Jitter: 4 * time.Millisecond},
	}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
		node := &Node{Name: fmt.Sprintf(namePrefix+"%04d", i), addr: addr, payload: []byte{byte(i)},
			highest: make([]process, n)}
		s.Nodes = append(s.Nodes, node)
		s.seedPeers = append(s.seedPeers, membership.SeedPeer{Name: node.Name, Addr: addr})
	}
	return s
}

// Now is the time since the run's begin.
func (s *Sim) Now() time.Duration { return s.now - Epoch }

// Calls is how often memberships were called.
func (s *Sim) Calls() uint64 { return s.calls }

// Sent is how many bytes a node has sent, with the headers of IP and UDP.
func (s *Sim) Sent(n int) uint64 { return s.sent[n] }

// Received is how many bytes have come to a node while its process lived, with the headers of IP and UDP.
func (s *Sim) Received(n int) uint64 { return s.received[n] }

// CPUTime is how much of this machine's processor a node's membership has taken.
func (s *Sim) CPUTime(n int) time.Duration { return s.cpuTime[n] }

// AddFinding notes a broken rule.
func (s *Sim) AddFinding(format string, args ...any) {
	s.Findings = append(s.Findings, fmt.Sprintf("%.3f s: ", s.Now().Seconds())+fmt.Sprintf(format, args...))
}

// At has something happen at a time of the run.
func (s *Sim) At(at time.Duration, do func()) { s.schedule(Epoch+at, do) }

func (s *Sim) schedule(at time.Duration, do func()) {
	s.lastOrder++
	s.queue.push(event{max(at, s.now), s.lastOrder, do})
}

// EndWith has the run end early once ctx is done.
func (s *Sim) EndWith(ctx context.Context) { s.ctx = ctx }

// Interrupted reports whether the run was ended early.
func (s *Sim) Interrupted() bool { return s.ctx.Err() != nil }

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
