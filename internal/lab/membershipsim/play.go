package membershipsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// Outcome is what a drawn run came to.
type Outcome struct {
	Nodes    int
	Settled  time.Duration // after the last fault
	Rate     float64       // bytes a second and node at rest, IP and UDP included
	Calls    uint64
	Lasted   time.Duration
	Findings []string
	Partial  bool // the run was interrupted
}

// What a run must come to.
const (
	settleWithin = 15 * time.Second // after the last fault all views are the truth
	mostRate     = 3000.0           // bytes a second and node, over any run
	mostWakes    = 60.0             // calls a second and node at rest
)

// Play draws a fleet of n nodes, or of a size by the seed, with half of the troubles, and holds the rules: after the last
// fault all living views are the truth within 15 s, incarnations only grow, and what is sent stays bounded. Once ctx is done
// it returns with the findings so far.
func Play(ctx context.Context, seed uint64, n int) Outcome {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	if n == 0 {
		n = 3 + rng.IntN(28)
	}
	s := New(seed, n)
	s.EndWith(ctx)
	at := func(most time.Duration) time.Duration { return 3*time.Second + time.Duration(rng.Int64N(int64(most))) }
	for i := range n {
		s.At(time.Duration(rng.Int64N(int64(2*time.Second))), func() { s.Start(i) })
	}
	const length = 40 * time.Second
	s.Net.Jitter = time.Duration(1+rng.IntN(20)) * time.Millisecond
	if rng.IntN(2) == 0 {
		s.Net.Loss = 0.15 * rng.Float64()
	}
	if rng.IntN(2) == 0 {
		s.Net.Double = 0.1
	}
	if rng.IntN(2) == 0 { // kills, back after a while
		for range 1 + rng.IntN(n) {
			who, when, away := rng.IntN(n), at(length), time.Duration(rng.Int64N(int64(8*time.Second)))
			s.At(when, func() { s.Kill(who) })
			s.At(when+away, func() { s.Start(who) })
		}
	}
	if rng.IntN(2) == 0 { // stops
		for range 1 + rng.IntN(n) {
			who, when, away := rng.IntN(n), at(length), time.Duration(rng.Int64N(int64(9*time.Second)))
			s.At(when, func() { s.Stop(who, away) })
		}
	}
	if rng.IntN(2) == 0 { // planned ends
		for range 1 + rng.IntN(4) {
			who, when, away := rng.IntN(n), at(length), time.Duration(rng.Int64N(int64(6*time.Second)))
			s.At(when, func() { s.Leave(who) })
			s.At(when+away, func() { s.Start(who) })
		}
	}
	if rng.IntN(2) == 0 { // two parts, or one node that is heard by none, or a bad pair
		part, kind, when := rng.IntN(n), rng.IntN(3), at(length)
		s.At(when, func() {
			s.Net.Cut = func(from, to int) bool {
				switch kind {
				case 0:
					return (from < part) != (to < part)
				case 1:
					return from == part
				default:
					return from == part && to == (part+1)%n || to == part && from == (part+1)%n
				}
			}
		})
		s.At(when+time.Duration(rng.Int64N(int64(20*time.Second))), func() { s.Net.Cut = nil })
	}
	if rng.IntN(3) == 0 { // some stay dead
		for range 1 + rng.IntN(max(1, n/4)) {
			who := rng.IntN(n)
			s.At(length+20*time.Second, func() { s.Kill(who) })
		}
	}
	s.Run(length + 21*time.Second)
	if s.Interrupted() {
		return s.partial()
	}
	s.Net.Loss, s.Net.Double = 0, 0
	total := uint64(0)
	for i := range n {
		total += s.Sent(i)
	}
	if rate := float64(total) / float64(n) / s.Now().Seconds(); rate > mostRate {
		s.Find("%.0f bytes a second and node, %.0f at most", rate, mostRate)
	}
	o := Outcome{Nodes: n}
	took, ok := s.Until(settleWithin)
	if s.Interrupted() {
		return s.partial()
	}
	if o.Settled = took; !ok {
		s.Find("not settled %v after the last fault: %s", settleWithin, s.Wrong())
	}
	s.Run(s.Now() + 5*time.Second)
	calls, before := s.Calls(), s.now
	sent := total
	s.Run(s.Now() + 5*time.Second)
	if s.Interrupted() {
		return s.partial()
	}
	if wrong := s.Wrong(); ok && wrong != "" {
		s.Find("settled and moved again: %s", wrong)
	}
	total = 0
	for i := range n {
		total += s.Sent(i)
	}
	o.Rate = float64(total-sent) / float64(n) / (s.now - before + 5*time.Second).Seconds()
	if rate := float64(s.Calls()-calls) / float64(n) / (s.now - before).Seconds(); rate > mostWakes {
		s.Find("%.0f calls a second and node at rest, %.0f at most", rate, mostWakes)
	}
	o.Calls, o.Lasted, o.Findings = s.Calls(), s.Now(), s.Findings
	return o
}

// partial is the outcome of a run that was interrupted.
func (s *Sim) partial() Outcome {
	return Outcome{Nodes: len(s.Nodes), Calls: s.Calls(), Lasted: s.Now(), Findings: s.Findings, Partial: true}
}

// String is the report's line.
func (o Outcome) String() string {
	return fmt.Sprintf("%d nodes, settled after %v, %.0f bytes a second", o.Nodes, o.Settled, o.Rate)
}
