package membershipsim

import (
	"context"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
	"thymebend/internal/membership"
)

// Case is a fleet of one size under one set of troubles.
type Case struct {
	Seed     uint64
	Nodes    int
	Loss     float64               // share of the datagrams
	Stalls   bool                  // a tenth of the nodes stopped for 2 s in every 10 over the quiet stretch
	Heal     bool                  // a partition at the end
	Baseline bool                  // heartbeats in place of views
	Without  membership.Refinement // refinements left out
}

// Figures are what a fleet of one size does under one set of troubles.
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
	CPU          float64         // processor seconds of views in a second and node over it, by this machine's clock
	Partial      bool            // the run was interrupted: what came later is missing
}

// Times of a measurement.
const (
	quietFor   = 60 * time.Second
	lookEvery  = 250 * time.Millisecond // for false removals
	watchEvery = 20 * time.Millisecond  // for crashes and joins
	mostWait   = 30 * time.Second       // for a crash or join to be known
	deaths     = 5
)

// Measure plays a fleet: joins all, watches a quiet stretch with loss and stalls, then deaths and joins, then a partition.
// Once ctx is done it returns what it has.
func Measure(ctx context.Context, c Case) Figures {
	f := Figures{Nodes: c.Nodes, Loss: c.Loss, Stalls: c.Stalls}
	s := New(c.Seed, c.Nodes)
	s.EndWith(ctx)
	s.Without, s.Baseline = c.Without, c.Baseline
	for i := range c.Nodes {
		s.At(time.Duration(i)*5*time.Millisecond, func() { s.Start(i) })
	}
	s.Run(time.Duration(c.Nodes) * 5 * time.Millisecond)
	s.Until(60 * time.Second)
	s.Run(s.Now() + 5*time.Second)
	s.Net.Loss = c.Loss
	s.quiet(c, &f)
	for k := 0; k < deaths && !s.Interrupted(); k++ {
		s.deathAndJoin((k*c.Nodes/deaths+1)%c.Nodes, &f)
	}
	if c.Heal && !s.Interrupted() {
		s.Net.Loss = 0
		s.Net.Cut = func(from, to int) bool { return (from < c.Nodes/2) != (to < c.Nodes/2) }
		s.Run(s.Now() + time.Minute)
		s.Net.Cut = nil
		f.Heal, _ = s.Until(60 * time.Second)
	}
	f.Partial = s.Interrupted()
	return f
}

// quiet watches the stretch in which nobody dies.
func (s *Sim) quiet(c Case, f *Figures) {
	begin := s.Now()
	if c.Stalls {
		for at := begin; at < begin+quietFor-4*time.Second; at += 10 * time.Second {
			for range max(1, c.Nodes/10) {
				who := s.rng.IntN(c.Nodes)
				s.At(at+time.Duration(s.rng.Int64N(int64(8*time.Second))), func() { s.Stop(who, 2*time.Second) })
			}
		}
	}
	before := slices.Clone(s.sent)
	clear(s.spent)
	alarms := s.alarms()
	for s.Now() < begin+quietFor && !s.Interrupted() {
		s.Run(s.Now() + lookEvery)
		f.FalseRemoval += s.removed()
	}
	f.Quiet = s.Now() - begin
	if f.Quiet <= 0 {
		return // interrupted before it began
	}
	f.FalseDoubts = s.alarms() - alarms
	used := time.Duration(0)
	for _, spent := range s.spent {
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

// deathAndJoin kills a node and starts it again, and measures until all know of either.
func (s *Sim) deathAndJoin(who int, f *Figures) {
	died := s.Now()
	s.Kill(who)
	for s.Now() < died+mostWait && !s.Interrupted() && !s.all(who, gossipcodec.Gone) {
		s.Run(s.Now() + watchEvery)
	}
	if s.Interrupted() {
		return
	}
	f.Crash = append(f.Crash, s.Now()-died)
	came := s.Now()
	s.Start(who)
	for s.Now() < came+mostWait && !s.Interrupted() && !s.all(who, gossipcodec.Alive) {
		s.Run(s.Now() + watchEvery)
	}
	if s.Interrupted() {
		return
	}
	f.Join = append(f.Join, s.Now()-came)
	s.Run(s.Now() + 2*time.Second)
}

// all reports whether every living node but one itself holds that one in a state.
func (s *Sim) all(who int, state gossipcodec.State) bool {
	for n, node := range s.Nodes {
		if n == who || node.View == nil || node.stopped {
			continue
		}
		if st, known := s.Held(n, who); !known || st != state {
			return false
		}
	}
	return true
}

// removed counts living nodes that somebody holds for gone.
func (s *Sim) removed() int {
	out := make([]bool, len(s.Nodes))
	for _, node := range s.Nodes {
		if node.View == nil || node.stopped {
			continue
		}
		for m := range node.View.Others() {
			if m.State == gossipcodec.Gone {
				out[number(m.Name)] = true
			}
		}
	}
	count := 0
	for n, node := range s.Nodes {
		if node.View != nil && out[n] {
			count++
		}
	}
	return count
}

// alarms is how often living nodes had to refute.
func (s *Sim) alarms() int {
	sum := 0
	for _, node := range s.Nodes {
		if node.View != nil {
			sum += int(node.View.Counts().FalseAlarms)
		}
	}
	return sum
}
