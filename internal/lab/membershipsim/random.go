package membershipsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// Outcome is what a run with drawn faults came to.
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
	settleWithin      = 15 * time.Second // after the last fault all nodes believe the truth
	maxBytesPerSecond = 3000.0           // for each node, over any run
	maxCallsPerSecond = 60.0             // for each node at rest
)

// How a run goes.
const (
	maxStartDelay = 2 * time.Second
	firstFault    = 3 * time.Second
	faultsFor     = 40 * time.Second // in which faults begin
	lastFault     = faultsFor + 20*time.Second
	restFor       = 5 * time.Second
)

// randomRun is a run whose faults are drawn by a seed. The faults have draws of their own, so that they do not depend
// on what nodes do.
type randomRun struct {
	*Sim
	faults *rand.Rand
	nodes  int
}

// PlayRandom plays a cluster of n nodes, or of a size by the seed, with half of the faults, and holds the rules: after
// the last fault all running nodes believe the truth within 15 s, incarnations only grow, and what is sent stays
// bounded. Once ctx is done it returns with the findings so far.
func PlayRandom(ctx context.Context, seed uint64, n int) Outcome {
	faults := rand.New(rand.NewPCG(seed, 0x5eed))
	if n == 0 {
		n = 3 + faults.IntN(28)
	}
	r := &randomRun{Sim: New(seed, n), faults: faults, nodes: n}
	r.EndWith(ctx)
	r.scheduleStarts()
	r.drawNetwork()
	r.scheduleFaults()
	r.Run(lastFault + time.Second)
	if r.Interrupted() {
		return r.partialOutcome()
	}
	r.Net.Loss, r.Net.Duplicate = 0, 0
	return r.checkConvergence()
}

func (r *randomRun) upTo(most time.Duration) time.Duration {
	return time.Duration(r.faults.Int64N(int64(most)))
}

func (r *randomRun) half() bool { return r.faults.IntN(2) == 0 }

func (r *randomRun) scheduleStarts() {
	for i := range r.nodes {
		r.At(r.upTo(maxStartDelay), func() { r.Start(i) })
	}
}

func (r *randomRun) drawNetwork() {
	r.Net.Jitter = time.Duration(1+r.faults.IntN(20)) * time.Millisecond
	if r.half() {
		r.Net.Loss = 0.15 * r.faults.Float64()
	}
	if r.half() {
		r.Net.Duplicate = 0.1
	}
}

func (r *randomRun) scheduleFaults() {
	if r.half() {
		r.scheduleCrashes()
	}
	if r.half() {
		r.scheduleStops()
	}
	if r.half() {
		r.scheduleLeaves()
	}
	if r.half() {
		r.scheduleCut()
	}
	if r.faults.IntN(3) == 0 {
		r.scheduleDeaths()
	}
}

// drawFault draws a node, when a fault of it begins and how long that lasts.
func (r *randomRun) drawFault(longest time.Duration) (node int, at, length time.Duration) {
	node = r.faults.IntN(r.nodes)
	at = firstFault + r.upTo(faultsFor)
	return node, at, r.upTo(longest)
}

// scheduleCrashes has processes die, and start again after a while.
func (r *randomRun) scheduleCrashes() {
	for range 1 + r.faults.IntN(r.nodes) {
		node, at, away := r.drawFault(8 * time.Second)
		r.At(at, func() { r.Kill(node) })
		r.At(at+away, func() { r.Start(node) })
	}
}

func (r *randomRun) scheduleStops() {
	for range 1 + r.faults.IntN(r.nodes) {
		node, at, length := r.drawFault(9 * time.Second)
		r.At(at, func() { r.Stop(node, length) })
	}
}

func (r *randomRun) scheduleLeaves() {
	for range 1 + r.faults.IntN(4) {
		node, at, away := r.drawFault(6 * time.Second)
		r.At(at, func() { r.Leave(node) })
		r.At(at+away, func() { r.Start(node) })
	}
}

// scheduleCut has two parts, or one node that is heard by none, or a bad pair, for a while.
func (r *randomRun) scheduleCut() {
	node, kind, at := r.faults.IntN(r.nodes), r.faults.IntN(3), firstFault+r.upTo(faultsFor)
	next := (node + 1) % r.nodes
	r.At(at, func() {
		r.Net.Cut = func(from, to int) bool {
			switch kind {
			case 0:
				return (from < node) != (to < node)
			case 1:
				return from == node
			default:
				return from == node && to == next || to == node && from == next
			}
		}
	})
	r.At(at+r.upTo(20*time.Second), func() { r.Net.Cut = nil })
}

// scheduleDeaths has some nodes stay dead.
func (r *randomRun) scheduleDeaths() {
	for range 1 + r.faults.IntN(max(1, r.nodes/4)) {
		node := r.faults.IntN(r.nodes)
		r.At(lastFault, func() { r.Kill(node) })
	}
}

func (r *randomRun) totalSent() (bytes uint64) {
	for i := range r.nodes {
		bytes += r.Sent(i)
	}
	return bytes
}

// checkConvergence holds the rules after the last fault, and those of nodes at rest.
func (r *randomRun) checkConvergence() Outcome {
	sent := r.totalSent()
	if rate := float64(sent) / float64(r.nodes) / r.Now().Seconds(); rate > maxBytesPerSecond {
		r.AddFinding("%.0f bytes a second and node, %.0f at most", rate, maxBytesPerSecond)
	}
	o := Outcome{Nodes: r.nodes}
	took, ok := r.RunUntilConverged(settleWithin)
	if r.Interrupted() {
		return r.partialOutcome()
	}
	if o.Settled = took; !ok {
		r.AddFinding("not settled %v after the last fault: %s", settleWithin, r.Divergence())
	}
	r.Run(r.Now() + restFor)
	calls, restAt := r.Calls(), r.now
	r.Run(r.Now() + restFor)
	if r.Interrupted() {
		return r.partialOutcome()
	}
	if divergence := r.Divergence(); ok && divergence != "" {
		r.AddFinding("settled and moved again: %s", divergence)
	}
	o.Rate = float64(r.totalSent()-sent) / float64(r.nodes) / (r.now - restAt + restFor).Seconds()
	if rate := float64(r.Calls()-calls) / float64(r.nodes) / (r.now - restAt).Seconds(); rate > maxCallsPerSecond {
		r.AddFinding("%.0f calls a second and node at rest, %.0f at most", rate, maxCallsPerSecond)
	}
	o.Calls, o.Lasted, o.Findings = r.Calls(), r.Now(), r.Findings
	return o
}

// partialOutcome is that of a run that was interrupted.
func (r *randomRun) partialOutcome() Outcome {
	return Outcome{Nodes: r.nodes, Calls: r.Calls(), Lasted: r.Now(), Findings: r.Findings, Partial: true}
}

// String is the report's line.
func (o Outcome) String() string {
	return fmt.Sprintf("%d nodes, settled after %v, %.0f bytes a second", o.Nodes, o.Settled, o.Rate)
}
