package membershipsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// Outcome is the result of a run with random faults.
type Outcome struct {
	Nodes           int
	ConvergenceTime time.Duration // after the last fault
	BytesPerSecond  float64       // mean of an idle node, with IP and UDP headers
	Calls           uint64
	Duration        time.Duration
	Findings        []string
	Partial         bool // the run was interrupted
}

// Limits that a run must meet.
const (
	convergenceLimit  = 15 * time.Second // for all views to be correct after the last fault
	maxBytesPerSecond = 3000.0           // per node, averaged over the run up to the last fault
	maxCallsPerSecond = 60.0             // per idle node
)

// Schedule of a run.
const (
	maxStartDelay = 2 * time.Second
	firstFault    = 3 * time.Second
	faultPeriod   = 40 * time.Second // period in which faults start
	lastFault     = faultPeriod + 20*time.Second
	idlePeriod    = 5 * time.Second
)

// randomRun is a run with random faults. The faults have their own random numbers, so that they do not depend on
// the behaviour of the nodes.
type randomRun struct {
	*Sim
	faults *rand.Rand
	nodes  int
}

// RunRandomFaults runs a cluster of n nodes, or of a size drawn from the seed if n is 0, with a random choice of faults.
// It verifies that all running nodes' views are correct within 15 s after the last fault, that incarnations never
// decrease, and that the traffic stays below its limits. Once ctx is done it returns the findings so far.
func RunRandomFaults(ctx context.Context, seed uint64, n int) Outcome {
	faults := rand.New(rand.NewPCG(seed, 0x5eed))
	if n == 0 {
		n = 3 + faults.IntN(28)
	}
	r := &randomRun{Sim: New(seed, n), faults: faults, nodes: n}
	r.SetContext(ctx)
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

func (r *randomRun) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(r.faults.Int64N(int64(limit)))
}

func (r *randomRun) coinFlip() bool { return r.faults.IntN(2) == 0 }

func (r *randomRun) scheduleStarts() {
	for i := range r.nodes {
		r.At(r.randomDuration(maxStartDelay), func() { r.Start(i) })
	}
}

func (r *randomRun) drawNetwork() {
	r.Net.Jitter = time.Duration(1+r.faults.IntN(20)) * time.Millisecond
	if r.coinFlip() {
		r.Net.Loss = 0.15 * r.faults.Float64()
	}
	if r.coinFlip() {
		r.Net.Duplicate = 0.1
	}
}

func (r *randomRun) scheduleFaults() {
	if r.coinFlip() {
		r.scheduleCrashes()
	}
	if r.coinFlip() {
		r.scheduleStops()
	}
	if r.coinFlip() {
		r.scheduleLeaves()
	}
	if r.coinFlip() {
		r.scheduleCut()
	}
	if r.faults.IntN(3) == 0 {
		r.schedulePermanentCrashes()
	}
}

// drawFault draws the node, start time and duration of a fault.
func (r *randomRun) drawFault(longest time.Duration) (node int, at, length time.Duration) {
	node = r.faults.IntN(r.nodes)
	at = firstFault + r.randomDuration(faultPeriod)
	return node, at, r.randomDuration(longest)
}

// scheduleCrashes kills processes and starts them again after a while.
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

// scheduleCut applies one cut for a while: between two parts of the cluster, of all datagrams from one node, or
// between two nodes.
func (r *randomRun) scheduleCut() {
	node, kind, at := r.faults.IntN(r.nodes), r.faults.IntN(3), firstFault+r.randomDuration(faultPeriod)
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
	r.At(at+r.randomDuration(20*time.Second), func() { r.Net.Cut = nil })
}

// schedulePermanentCrashes kills some nodes that are not started again.
func (r *randomRun) schedulePermanentCrashes() {
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

// checkConvergence verifies the limits after the last fault and those of idle nodes.
func (r *randomRun) checkConvergence() Outcome {
	sent := r.totalSent()
	if rate := float64(sent) / float64(r.nodes) / r.Now().Seconds(); rate > maxBytesPerSecond {
		r.AddFinding("%.0f bytes a second and node, %.0f at most", rate, maxBytesPerSecond)
	}
	o := Outcome{Nodes: r.nodes}
	took, ok := r.RunUntilConverged(convergenceLimit)
	if r.Interrupted() {
		return r.partialOutcome()
	}
	if o.ConvergenceTime = took; !ok {
		r.AddFinding("not settled %v after the last fault: %s", convergenceLimit, r.Divergence())
	}
	r.Run(r.Now() + idlePeriod)
	calls, idleSince := r.Calls(), r.now
	r.Run(r.Now() + idlePeriod)
	if r.Interrupted() {
		return r.partialOutcome()
	}
	if divergence := r.Divergence(); ok && divergence != "" {
		r.AddFinding("settled and moved again: %s", divergence)
	}
	o.BytesPerSecond = float64(r.totalSent()-sent) / float64(r.nodes) / (r.now - idleSince + idlePeriod).Seconds()
	if rate := float64(r.Calls()-calls) / float64(r.nodes) / (r.now - idleSince).Seconds(); rate > maxCallsPerSecond {
		r.AddFinding("%.0f calls a second and node at rest, %.0f at most", rate, maxCallsPerSecond)
	}
	o.Calls, o.Duration, o.Findings = r.Calls(), r.Now(), r.Findings
	return o
}

// partialOutcome returns the outcome of an interrupted run.
func (r *randomRun) partialOutcome() Outcome {
	return Outcome{Nodes: r.nodes, Calls: r.Calls(), Duration: r.Now(), Findings: r.Findings, Partial: true}
}

// String formats the outcome for a report.
func (o Outcome) String() string {
	return fmt.Sprintf("%d nodes, settled after %v, %.0f bytes a second", o.Nodes, o.ConvergenceTime, o.BytesPerSecond)
}
