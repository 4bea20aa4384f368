package membershipsim

import (
	"context"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
	"thymebend/internal/membership"
)

// Case is a cluster size and a set of faults.
type Case struct {
	Seed              uint64
	Nodes             int
	Loss              float64               // share of lost datagrams
	Stalls            bool                  // a tenth of the nodes is stopped for 2 s in every 10 s of the quiet period
	Partition         bool                  // the run ends with a partition that heals
	Baseline          bool                  // nodes run Heartbeats instead of membership
	OmittedRefinement membership.Refinement // refinement of membership that is switched off
}

// Figures are the measurements of one Case.
type Figures struct {
	Nodes           int
	Loss            float64
	Stalls          bool
	Crash           []time.Duration // for each crash, the time until all other nodes consider the node gone
	Join            []time.Duration // for each join, the time until all nodes consider the new node alive
	Heal            time.Duration   // time to converge after a 60 s partition into halves; 0 if there was none
	FalseSuspicions int             // suspicions of running nodes in the quiet period
	// FalseRemovals counts the nodes that have a process but that another node considers gone. It is the sum over all
	// checks in the quiet period.
	FalseRemovals     int
	QuietPeriod       time.Duration // length of the quiet period
	BytesPerSecond    float64       // mean bytes per second and node in the quiet period, with IP and UDP headers
	MaxBytesPerSecond float64       // bytes per second of the node that sent most in the quiet period
	// CPU is the processor time, in seconds, that a node's protocol used on this machine per second of the quiet
	// period.
	CPU     float64
	Partial bool // the run was interrupted; the later measurements are missing
}

// Durations and the number of crashes of a measurement.
const (
	quietLength              = 60 * time.Second
	removalCheckInterval     = 250 * time.Millisecond // for false removals
	convergenceCheckInterval = 20 * time.Millisecond  // for crashes and joins
	convergenceTimeout       = 30 * time.Second       // for all nodes to notice a crash or join
	crashes                  = 5
)

// Measure runs a cluster: all nodes join, then it measures a quiet period with loss and stalls, crashes and joins,
// and finally a partition. Once ctx is done it returns the measurements taken so far.
func Measure(ctx context.Context, c Case) Figures {
	f := Figures{Nodes: c.Nodes, Loss: c.Loss, Stalls: c.Stalls}
	s := New(c.Seed, c.Nodes)
	s.SetContext(ctx)
	s.OmittedRefinement, s.Baseline = c.OmittedRefinement, c.Baseline
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
	if c.Partition && !s.Interrupted() {
		s.measureHeal(&f)
	}
	f.Partial = s.Interrupted()
	return f
}

// measureHeal measures the time to converge after a partition into halves.
func (s *Sim) measureHeal(f *Figures) {
	half := len(s.Nodes) / 2
	s.Net.Loss = 0
	s.Net.Cut = func(from, to int) bool { return (from < half) != (to < half) }
	s.Run(s.Now() + time.Minute)
	s.Net.Cut = nil
	f.Heal, _ = s.RunUntilConverged(60 * time.Second)
}

// scheduleStalls stops a tenth of the nodes for 2 s in every 10 s of the quiet period, which starts now.
func (s *Sim) scheduleStalls() {
	begin := s.Now()
	for at := begin; at < begin+quietLength-4*time.Second; at += 10 * time.Second {
		for range max(1, len(s.Nodes)/10) {
			node := s.rng.IntN(len(s.Nodes))
			s.At(at+time.Duration(s.rng.Int64N(int64(8*time.Second))), func() { s.Stop(node, 2*time.Second) })
		}
	}
}

// measureQuiet measures false suspicions, false removals, traffic and processor time over a period without crashes.
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
		f.FalseRemovals += s.falseRemovals()
	}
	f.QuietPeriod = s.Now() - begin
	if f.QuietPeriod <= 0 {
		return // interrupted before the quiet period
	}
	f.FalseSuspicions = s.falseAlarms() - alarms
	used := time.Duration(0)
	for _, spent := range s.cpuTime {
		used += spent
	}
	f.CPU = used.Seconds() / float64(c.Nodes) / f.QuietPeriod.Seconds()
	total := uint64(0)
	for i := range c.Nodes {
		rate := float64(s.sent[i]-before[i]) / f.QuietPeriod.Seconds()
		f.MaxBytesPerSecond = max(f.MaxBytesPerSecond, rate)
		total += s.sent[i] - before[i]
	}
	f.BytesPerSecond = float64(total) / float64(c.Nodes) / f.QuietPeriod.Seconds()
}

// measureCrashAndJoin kills a node and starts it again, and measures the time until all nodes have noticed each.
func (s *Sim) measureCrashAndJoin(node int, f *Figures) {
	s.Kill(node)
	took, ok := s.waitForState(node, gossipcodec.Gone)
	if !ok {
		return
	}
	f.Crash = append(f.Crash, took)
	s.Start(node)
	if took, ok = s.waitForState(node, gossipcodec.Alive); !ok {
		return
	}
	f.Join = append(f.Join, took)
	s.Run(s.Now() + 2*time.Second)
}

// waitForState runs until all other nodes hold a node in the given state, for at most convergenceTimeout. ok is
// false if the run was interrupted.
func (s *Sim) waitForState(node int, state gossipcodec.State) (took time.Duration, ok bool) {
	begin := s.Now()
	for s.Now() < begin+convergenceTimeout && !s.Interrupted() && !s.allHaveState(node, state) {
		s.Run(s.Now() + convergenceCheckInterval)
	}
	return s.Now() - begin, !s.Interrupted()
}

// allHaveState reports whether every other running node holds a node in the given state.
func (s *Sim) allHaveState(node int, state gossipcodec.State) bool {
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

// falseRemovals returns the number of nodes that have a process but are considered gone by a running node.
func (s *Sim) falseRemovals() int {
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

// falseAlarms returns how often the present processes have refuted a suspicion of themselves.
func (s *Sim) falseAlarms() int {
	sum := 0
	for _, node := range s.Nodes {
		if node.Membership != nil {
			sum += int(node.Membership.Counts().FalseAlarms)
		}
	}
	return sum
}
