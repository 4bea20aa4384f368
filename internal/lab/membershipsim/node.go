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
	// minWakeDelay is between two calls of a membership by time.
	minWakeDelay = 100 * time.Microsecond
	// incarnationCheckCalls is how many calls pass between checks of incarnations.
	incarnationCheckCalls = 16
)

// Node is one gateway's place in the cluster.
type Node struct {
	Name       string
	Membership Protocol // nil while no process runs
	Starts     int

	addr        netip.AddrPort
	payload     []byte // what it spreads of itself
	generation  int    // grows with each start and end of a process
	stopped     bool   // SIGSTOP: nothing is done, what comes waits
	waiting     []delivery
	wakePending bool // a wake-up waits for SIGCONT
	wakeAt      time.Duration
	highest     []process // the highest claim seen of each node, by its number
}

// process is a process of a node as claims order them.
type process struct{ start, incarnation uint64 }

// Running reports whether a node's process lives and is not stopped.
func (s *Sim) Running(n int) bool { return s.Nodes[n].running() }

func (n *Node) running() bool { return n.Membership != nil && !n.stopped }

// SetPayload has a node spread a payload of itself from its next start on.
func (s *Sim) SetPayload(n int, payload []byte) { s.Nodes[n].payload = payload }

// Start starts a node's process, which knows the seed peers alone.
func (s *Sim) Start(n int) {
	node := s.Nodes[n]
	if node.Membership != nil {
		return
	}
	cfg := membership.Config{
		Cluster:   "sim",
		Name:      node.Name,
		Start:     uint64((s.now - s.clockBack).Milliseconds()),
		SeedPeers: s.seedPeers,
		Flat:      s.Flat,
		Payload:   node.payload,
		Seed:      s.rng.Uint64(),
	}
	if s.Baseline {
		node.Membership = NewHeartbeats(cfg, s.now)
	} else {
		m, err := membership.New(cfg, s.now, membership.Without(s.Without))
		if err != nil {
			panic(err) // names and seed peers are ours
		}
		node.Membership = m
	}
	node.stopped, node.waiting, node.highest = false, nil, make([]process, len(s.Nodes))
	node.generation++
	node.Starts++
	node.wakeAt = 0
	s.afterCall(n)
}

// Kill ends a node's process without a word.
func (s *Sim) Kill(n int) {
	s.Nodes[n].Membership = nil
	s.Nodes[n].generation++
}

// Leave ends it as SIGTERM does.
func (s *Sim) Leave(n int) {
	node := s.Nodes[n]
	if !node.running() {
		return
	}
	node.Membership.Leave(s.now)
	s.transmit(n)
	s.Kill(n)
}

// Stop stops a node's process for a while, as SIGSTOP and SIGCONT do.
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

// resume has a process that was stopped do what it missed.
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

// measureCPU counts what a call of a membership takes of this machine's processor, without the time in which other
// programs had it. Nothing of the run depends on it.
func (s *Sim) measureCPU(n int, call func()) {
	began := cputime.Thread()
	call()
	s.cpuTime[n] += cputime.Thread() - began
}

// afterCall sends what a membership wants sent, checks it, and has it called when it wants.
func (s *Sim) afterCall(n int) {
	node := s.Nodes[n]
	s.transmit(n)
	s.checkIncarnations(node)
	next := max(node.Membership.NextWake(), s.now+minWakeDelay)
	if node.wakeAt != 0 && node.wakeAt <= next && node.wakeAt >= s.now {
		return // an earlier wake-up is under way, which asks again
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

// checkIncarnations holds a node to the rule that what it knows of starts and incarnations only grows.
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
	was, is := &node.highest[nodeIndex(m.Name)], process{m.Start, m.Incarnation}
	if is.start < was.start || is.start == was.start && is.incarnation < was.incarnation {
		s.AddFinding("%s has %s at %d/%d after %d/%d",
			node.Name, m.Name, is.start, is.incarnation, was.start, was.incarnation)
	}
	*was = is
}

// nodeIndex is the place of the node with a name.
func nodeIndex(name string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, namePrefix))
	if err != nil {
		panic(err) // names are ours
	}
	return n
}
