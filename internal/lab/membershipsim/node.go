package membershipsim

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"thymebend/internal/lab/cputime"
	"thymebend/internal/membership"
)

const (
	// minWakeDelay is the minimum time between two timer calls of a node's protocol.
	minWakeDelay = 100 * time.Microsecond
	// incarnationCheckCalls is the number of calls between two checks of incarnations.
	incarnationCheckCalls = 16
)

// Node is one member of the cluster and, while it runs, its process.
type Node struct {
	Name       string
	Membership Protocol // nil while no process runs
	Starts     int

	addr        netip.AddrPort
	payload     []byte // published to the other nodes
	generation  int    // incremented at each start and end of a process
	stopped     bool   // by SIGSTOP: no calls are made, and datagrams queue in waiting
	waiting     []delivery
	wakePending bool // a timer call is due at SIGCONT
	wakeAt      time.Duration
	highest     []process // by node number: the highest start and incarnation that this node has held
}

// process identifies a process of a node by its start; incarnation orders that process's claims.
type process struct{ start, incarnation uint64 }

// Running reports whether a node has a process that is not stopped.
func (s *Sim) Running(n int) bool { return s.Nodes[n].running() }

func (n *Node) running() bool { return n.Membership != nil && !n.stopped }

// SetPayload sets the payload that a node publishes from its next start on.
func (s *Sim) SetPayload(n int, payload []byte) { s.Nodes[n].payload = payload }

// Start starts a node's process, which knows only the seed peers.
func (s *Sim) Start(n int) {
	node := s.Nodes[n]
	if node.Membership != nil {
		return
	}
	cfg := membership.Config{
		Cluster:   "sim",
		Name:      node.Name,
		Start:     uint64((s.now - s.clockOffset).Milliseconds()),
		SeedPeers: s.seedPeers,
		Flat:      s.Flat,
		Payload:   node.payload,
		Seed:      s.rng.Uint64(),
	}
	if s.Baseline {
		node.Membership = NewHeartbeats(cfg, s.now)
	} else {
		m, err := membership.New(cfg, s.now, membership.Without(s.OmittedRefinement))
		if err != nil {
			panic(err) // names and seed peers are generated and valid
		}
		node.Membership = m
	}
	node.stopped, node.waiting, node.highest = false, nil, make([]process, len(s.Nodes))
	node.generation++
	node.Starts++
	node.wakeAt = 0
	s.afterCall(n)
}

// Kill ends a node's process without notifying the others.
func (s *Sim) Kill(n int) {
	s.Nodes[n].Membership = nil
	s.Nodes[n].generation++
}

// Leave ends a node's process in order, as SIGTERM does: it notifies the others.
func (s *Sim) Leave(n int) {
	node := s.Nodes[n]
	if !node.running() {
		return
	}
	node.Membership.Leave(s.now)
	s.transmit(n)
	s.Kill(n)
}

// Stop stops a node's process for the given time, as SIGSTOP and SIGCONT do.
func (s *Sim) Stop(n int, length time.Duration) {
	node := s.Nodes[n]
	if !node.running() {
		return
	}
	node.stopped = true
	generation := node.generation
	s.schedule(s.now+length, func() {
		if node.generation == generation {
			s.resume(n)
		}
	})
}

// resume continues a stopped process and makes the calls that were due meanwhile.
func (s *Sim) resume(n int) {
	node := s.Nodes[n]
	node.stopped = false
	waiting := node.waiting
	node.waiting = nil
	if node.wakePending {
		node.wakePending = false
		node.Membership.Advance(s.now)
	}
	for _, d := range waiting {
		s.calls++
		node.Membership.Receive(s.now, d.from, d.data)
	}
	s.afterCall(n)
}

// measureCPU adds the processor time of a call to the node's total. It counts the thread's time only, not that of
// other programs. The run does not depend on it.
func (s *Sim) measureCPU(n int, call func()) {
	began := cputime.ThreadTime()
	call()
	s.cpuTime[n] += cputime.ThreadTime() - began
}

// afterCall sends the queued datagrams of a node, checks its incarnations and schedules its next timer call.
func (s *Sim) afterCall(n int) {
	node := s.Nodes[n]
	s.transmit(n)
	s.checkIncarnations(node)
	next := max(node.Membership.NextWake(), s.now+minWakeDelay)
	if node.wakeAt != 0 && node.wakeAt <= next && node.wakeAt >= s.now {
		return // an earlier timer call is scheduled; after it, afterCall determines the next one
	}
	node.wakeAt = next
	generation := node.generation
	s.schedule(next, func() {
		if node.generation != generation || node.wakeAt != next {
			return
		}
		node.wakeAt = 0
		if node.stopped {
			node.wakePending = true
			return
		}
		s.calls++
		s.measureCPU(n, func() { node.Membership.Advance(s.now) })
		s.afterCall(n)
	})
}

// checkIncarnations verifies that the starts and incarnations in a node's view never decrease. It runs after one in
// incarnationCheckCalls calls.
func (s *Sim) checkIncarnations(node *Node) {
	if s.calls%incarnationCheckCalls != 0 {
		return
	}
	self, _ := node.Membership.Find(node.Name)
	s.checkIncarnation(node, &self)
	for m := range node.Membership.Others() {
		s.checkIncarnation(node, m)
	}
}

func (s *Sim) checkIncarnation(node *Node, m *membership.Member) {
	highest, seen := &node.highest[nodeIndex(m.Name)], process{m.Start, m.Incarnation}
	if seen.start < highest.start || seen.start == highest.start && seen.incarnation < highest.incarnation {
		s.AddFinding("%s has %s at %d/%d after %d/%d",
			node.Name, m.Name, seen.start, seen.incarnation, highest.start, highest.incarnation)
	}
	*highest = seen
}

// nodeIndex returns the number of the node with the given name.
func nodeIndex(name string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, namePrefix))
	if err != nil {
		panic(err) // all names are generated by New
	}
	return n
}
