// Package membershipsim simulates the membership of whole clusters on a virtual clock: a network that loses,
// duplicates, delays and cuts datagrams, and processes that crash, stop, leave and start again. The same seed
// always produces exactly the same run.
//
//   - sim.go, event_queue.go: the run and its events.
//   - node.go: the processes of the nodes, network.go: the datagrams between them.
//   - convergence.go: comparison of the nodes' views with the actual state.
//   - protocol.go, heartbeats.go: the protocol that nodes run, and the baseline with which membership is compared.
//   - random.go: runs with faults drawn from the seed, and the limits that they must meet.
//   - measure.go: measurements of one cluster size under one set of faults.
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

// Epoch is the Unix time at which a run starts. Membership starts are derived from it.
const Epoch = 1_700_000_000 * time.Second

// namePrefix is the prefix of every node name; the node's number follows.
const namePrefix = "g-"

// interruptCheckEvents is the number of events between two checks for an interruption of the run.
const interruptCheckEvents = 256

// Sim is a simulated run of a cluster.
type Sim struct {
	Net               Net
	Nodes             []*Node
	Findings          []string              // violated rules
	OmittedRefinement membership.Refinement // refinement that is switched off
	Baseline          bool                  // nodes run Heartbeats instead of membership
	Flat              bool                  // see membership.Config

	rng         *rand.Rand
	now         time.Duration
	queue       queue
	lastOrder   uint64
	ctx         context.Context
	seedPeers   []membership.SeedPeer
	clockOffset time.Duration // subtracted from the clock of processes that start now

	sent         []uint64 // bytes by node, with IP and UDP headers
	received     []uint64 // bytes that arrived at a node's process, with IP and UDP headers
	cpuTime      []time.Duration
	calls        uint64
	lastDiverged int // node that Divergence reported last
}

// New returns a cluster of n nodes. No node is running yet.
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

// Now returns the time since the start of the run.
func (s *Sim) Now() time.Duration { return s.now - Epoch }

// Calls returns the total number of calls of the nodes' protocols.
func (s *Sim) Calls() uint64 { return s.calls }

// Sent returns the number of bytes that a node has sent, with IP and UDP headers.
func (s *Sim) Sent(n int) uint64 { return s.sent[n] }

// Received returns the number of bytes that arrived at a node while it had a process, with IP and UDP headers.
func (s *Sim) Received(n int) uint64 { return s.received[n] }

// CPUTime returns the processor time that a node's protocol has used on this machine.
func (s *Sim) CPUTime(n int) time.Duration { return s.cpuTime[n] }

// AddFinding records a violated rule.
func (s *Sim) AddFinding(format string, args ...any) {
	s.Findings = append(s.Findings, fmt.Sprintf("%.3f s: ", s.Now().Seconds())+fmt.Sprintf(format, args...))
}

// At schedules a call at a time of the run.
func (s *Sim) At(at time.Duration, do func()) { s.schedule(Epoch+at, do) }

func (s *Sim) schedule(at time.Duration, do func()) {
	s.lastOrder++
	s.queue.push(event{max(at, s.now), s.lastOrder, do})
}

// SetContext ends the run early once ctx is done.
func (s *Sim) SetContext(ctx context.Context) { s.ctx = ctx }

// Interrupted reports whether the run was ended early.
func (s *Sim) Interrupted() bool { return s.ctx.Err() != nil }

// Run runs the events up to a time of the run, or until the run is interrupted.
func (s *Sim) Run(until time.Duration) {
	defer cputime.LockThread()()
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
