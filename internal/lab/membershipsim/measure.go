package membershipsim

import (
	"context"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
	"thymebend/internal/membership"
)

// Case is a cluster of one size under one set of faults.
type Case struct {
	Seed     uint64
	Nodes    int
	Loss     float64               // share of the datagrams
	Stalls   bool                  // a tenth of the nodes stopped for 2 s in every 10 over the quiet stretch
	Heal     bool                  // a partition at the end
	Baseline bool                  // heartbeats in place of memberships
	Without  membership.Refinement // left out
}

// Figures are what a cluster of one size does under one set of faults.
type Figures struct {
	Nodes        int
	Loss         float64
	Stalls       bool
	Crash        []time.Duration // until the last of the others holds the one that died for gone, one for each death
	Join         []time.Duration // until all hold a newcomer alive
	Heal         time.Duration   // after a half-and-half partition of 60 s; 0 if it was not played
	FalseDoubts  int             // suspicions of living nodes that ran, over the quiet stretch
	FalseRemoval int             // living nodes held for gone by somebody, over the quiet stretch
	Quiet        time.Duration   // length of that stretch
	Rest         float64         // bytes a second and node over it, IP and UDP included
	Most         float64         // the node that sent most over it
	CPU          float64         // processor seconds of a membership in a second over it, by this machine's clock
	Partial      bool            // the run was interrupted: what came later is missing
}

// Times of a measurement.
const (
	quietLength              = 60 * time.Second
	removalCheckInterval     = 250 * time.Millisecond // for false removals
	convergenceCheckInterval = 20 * time.Millisecond  // for crashes and joins
	convergenceTimeout       = 30 * time.Second       // for a crash or join to be known
	crashes                  = 5
)

// Measure plays a cluster: joins all, watches a quiet stretch with loss and stalls, then crashes and joins, then a
// partition. Once ctx is done it returns what it has.
func Measure(ctx context.Context, c Case) Figures {
	f := Figures{Nodes: c.Nodes, Loss: c.Loss, Stalls: c.Stalls}
	s := New(c.Seed, c.Nodes)
	s.EndWith(ctx)
	s.Without, s.Baseline = c.Without, c.Baseline
	for i := range c.Nodes {
		s.At(time.Duration(i)*5*time.Millisecond, func() { s.Start(i) })
	}
	s.Run(time.Duration(c.Nodes) * 5 * time.Millisecond)
	s.RunUntilConverged(60 * time.Second)
	s.Run(s.Now() + 5*time.Second)
	s.Net.Loss = c.Loss
	s.measureQuiet(c, &f)
	for k := 0; k < crashes && !s.Interrupted(); k++ {
		s.measureCrashAndJoin((k*c.Nodes/crashes+1)%c.Nodes, &f)
	}
	if c.Heal && !s.Interrupted() {
		s.measureHeal(&f)
	}
	f.Partial = s.Interrupted()
	return f
}

// measureHeal measures until all know of all after a half-and-half partition.
func (s *Sim) measureHeal(f *Figures) {
	half := len(s.Nodes) / 2
	s.Net.Loss = 0
	s.Net.Cut = func(from, to int) bool { return (from < half) != (to < half) }
	s.Run(s.Now() + time.Minute)
	s.Net.Cut = nil
	f.Heal, _ = s.RunUntilConverged(60 * time.Second)
}

// scheduleStalls stops a tenth of the nodes for 2 s in every 10 s of the quiet stretch that begins now.
func (s *Sim) scheduleStalls() {
	begin := s.Now()
	for at := begin; at < begin+quietLength-4*time.Second; at += 10 * time.Second {
		for range max(1, len(s.Nodes)/10) {
			node := s.rng.IntN(len(s.Nodes))
			s.At(at+time.Duration(s.rng.Int64N(int64(8*time.Second))), func() { s.Stop(node, 2*time.Second) })
		}
	}
}

// measureQuiet watches the stretch in which nobody dies.
func (s *Sim) measureQuiet(c Case, f *Figures) {
	begin := s.Now()
	if c.Stalls {
		s.scheduleStalls()
	}
	before := slices.Clone(s.sent)
	clear(s.cpuTime)
	alarms := s.falseAlarms()
	for s.Now() < begin+quietLength && !s.Interrupted() {
		s.Run(s.Now() + removalCheckInterval)
		f.FalseRemoval += s.falselyGone()
	}
	f.Quiet = s.Now() - begin
	if f.Quiet <= 0 {
		return // interrupted before it began
	}
	f.FalseDoubts = s.falseAlarms() - alarms
	used := time.Duration(0)
	for _, spent := range s.cpuTime {
		used += spent
	}
	f.CPU = used.Seconds() / float64(c.Nodes) / f.Quiet.Seconds()
	total := uint64(0)
	for i := range c.Nodes {
		rate := float64(s.sent[i]-before[i]) / f.Quiet.Seconds()
		f.Most = max(f.Most, rate)
		total += s.sent[i] - before[i]
	}
	f.Rest = float64(total) / float64(c.Nodes) / f.Quiet.Seconds()
}

// measureCrashAndJoin kills a node and starts it again, and measures until all know of either.
func (s *Sim) measureCrashAndJoin(node int, f *Figures) {
	s.Kill(node)
	took, ok := s.waitUntilAllHold(node, gossipcodec.Gone)
	if !ok {
		return
	}
	f.Crash = append(f.Crash, took)
	s.Start(node)
	if took, ok = s.waitUntilAllHold(node, gossipcodec.Alive); !ok {
		return
	}
	f.Join = append(f.Join, took)
	s.Run(s.Now() + 2*time.Second)
}

// waitUntilAllHold runs until all others hold a node in a state, or for convergenceTimeout; ok is false if it was
// interrupted.
func (s *Sim) waitUntilAllHold(node int, state gossipcodec.State) (took time.Duration, ok bool) {
	begin := s.Now()
	for s.Now() < begin+convergenceTimeout && !s.Interrupted() && !s.allHold(node, state) {
		s.Run(s.Now() + convergenceCheckInterval)
	}
	return s.Now() - begin, !s.Interrupted()
}

// allHold reports whether every living node but one itself holds that one in a state.
func (s *Sim) allHold(node int, state gossipcodec.State) bool {
	for n, other := range s.Nodes {
		if n == node || !other.running() {
			continue
		}
		if held, known := s.StateOf(n, node); !known || held != state {
			return false
		}
	}
	return true
}

// falselyGone counts living nodes that somebody holds for gone.
func (s *Sim) falselyGone() int {
	gone := make([]bool, len(s.Nodes))
	for _, node := range s.Nodes {
		if !node.running() {
			continue
		}
		for m := range node.Membership.Others() {
			if m.State == gossipcodec.Gone {
				gone[nodeIndex(m.Name)] = true
			}
		}
	}
	count := 0
	for n, node := range s.Nodes {
		if node.Membership != nil && gone[n] {
			count++
		}
	}
	return count
}

// falseAlarms is how often living nodes had to refute.
func (s *Sim) falseAlarms() int {
	sum := 0
	for _, node := range s.Nodes {
		if node.Membership != nil {
			sum += int(node.Membership.Counts().FalseAlarms)
		}
	}
	return sum
}
