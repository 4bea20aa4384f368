package scale

import (
	"context"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
	"thymebend/internal/lab/cputime"
)

// Times and limits of a run.
const (
	joinTimeout       = 2 * time.Minute // from the last start until each view contains all gateways
	stabilizationTime = 5 * time.Second // idle time before the measured period
	pollInterval      = 20 * time.Millisecond
	sampleInterval    = time.Second
	propagationGrace  = 15 * time.Second // after the measured period, for events that not all gateways know yet
	recoveryTimeout   = 60 * time.Second
	maxObservers      = 32
	removalGrace      = 3 * time.Second // after a gateway's start: others may still consider it gone
)

// Progress is the progress of a run within its present phase.
type Progress struct {
	Phase  string
	At     time.Duration // virtual time since the begin of the phase
	Length time.Duration // expected length of the phase
}

// Run simulates a fleet. Once ctx is done it returns the result to that point, marked as partial. progress is called at
// the begin of each phase and every second of virtual time while measuring; it may be nil.
func Run(ctx context.Context, o Options, progress func(Progress)) (*Result, error) {
	if invalid := o.Check(); len(invalid) > 0 {
		return nil, invalid[0]
	}
	if progress == nil {
		progress = func(Progress) {}
	}
	defer cputime.LockThread()()
	startedAt := time.Now()
	f, err := newFleet(ctx, o)
	if err != nil {
		return nil, err
	}
	r := &run{fleet: f, progress: progress, result: &Result{Version: ResultVersion, Options: o, Seconds: []Second{},
		HealingTimes: []float64{}}}
	r.execute()
	r.result.Partial = f.sim.Interrupted()
	r.result.Elapsed = time.Since(startedAt).Seconds()
	return r.result, nil
}

// run is the state of a run: the fleet and what was measured.
type run struct {
	*fleet
	progress        func(Progress)
	result          *Result
	changes         []*change
	firstConfigTime time.Duration   // until the first whole configuration was in force at all gateways
	falselyRemoved  map[[2]int]bool // by observer and running gateway that it considered gone at the last check
	nextSecond      time.Duration
	lastSent        []uint64 // total bytes sent by each gateway at the last sample
}

// execute starts the fleet, measures it and waits for its recovery. It returns early if the run is interrupted.
func (r *run) execute() {
	if r.rollouts != nil {
		r.startControl()
		r.watchFirstConfig()
	}
	r.startAll()
	if r.sim.Interrupted() {
		return
	}
	if r.rollouts != nil {
		r.awaitFirstConfig()
	}
	r.sim.Run(r.sim.Now() + stabilizationTime)
	r.measure()
	if r.sim.Interrupted() {
		return
	}
	r.recover()
}

// startAll starts all gateways, one after another, and waits until each view contains all of them.
func (r *run) startAll() {
	o := &r.options
	length := time.Duration(o.Gateways) * startInterval
	for n := range o.Gateways {
		r.sim.At(r.sim.Now()+time.Duration(n)*startInterval, func() { r.start(n, false) })
	}
	r.progress(Progress{Phase: "starting", Length: length})
	r.sim.Run(r.sim.Now() + length)
	lastStart := r.sim.Now()
	r.progress(Progress{Phase: "joining", Length: joinTimeout})
	if _, ok := r.sim.RunUntilConverged(joinTimeout); ok {
		r.result.Start.Converged = seconds(r.sim.Now() - lastStart)
	}
	var sent, cpuTime []float64
	for n := range o.Gateways {
		sent, cpuTime = append(sent, float64(r.sim.Sent(n))), append(cpuTime, r.sim.CPUTime(n).Seconds())
	}
	r.result.Start.Sent, r.result.Start.Processor = newSummary(sent), newSummary(cpuTime)
}

// measure runs the measured period and, for the events that not all gateways know yet, propagationGrace after it.
func (r *run) measure() {
	r.setLoss(r.options.Loss)
	r.measuring = true
	r.scheduleEvents()
	r.scheduleChanges()
	before := r.takeReading()
	begin := r.sim.Now()
	falseAlarms := r.falseAlarms()
	r.falselyRemoved, r.nextSecond = make(map[[2]int]bool), begin
	r.advance(begin, begin+r.options.For, "measuring")
	r.computeFigures(before, r.takeReading(), r.sim.Now()-begin)
	r.result.FalseSuspicions = r.falseAlarms() - falseAlarms
	r.result.Gateway.HeapMean = r.heapPerGateway()
	if !r.sim.Interrupted() {
		r.advance(begin, r.sim.Now()+propagationGrace, "waiting for events not yet known to all")
	}
	r.result.Crash, r.result.Join = r.events.propagation(false), r.events.propagation(true)
	r.result.Violations = append([]string{}, r.sim.Findings...)
	r.summarizeConfiguration()
}

// advance runs the simulation until the given time, and updates the tracked events every pollInterval and the samples
// every sampleInterval.
func (r *run) advance(begin, until time.Duration, phase string) {
	for r.sim.Now() < until && !r.sim.Interrupted() {
		r.sim.Run(min(until, r.sim.Now()+pollInterval))
		r.events.update()
		r.updateChanges()
		r.recordHealing()
		if r.sim.Now() >= r.nextSecond {
			r.nextSecond += sampleInterval
			r.sampleSecond(begin)
			r.progress(Progress{phase, r.sim.Now() - begin, until - begin})
		}
	}
}

// recordHealing records when all views are correct after a partition of the regions. Restarts and failures in the
// meantime delay it.
func (r *run) recordHealing() {
	if r.partitionEndedAt == 0 || r.partitioned || r.sim.Divergence() != "" {
		return
	}
	r.result.HealingTimes = append(r.result.HealingTimes, seconds(r.sim.Now()-r.partitionEndedAt))
	r.partitionEndedAt = 0
}

// sampleSecond records a second of the run, and has the full gateways observe their views.
func (r *run) sampleSecond(begin time.Duration) {
	for _, g := range r.full {
		g.observe(r.sim)
	}
	r.countFalseRemovals()
	s := Second{At: seconds(r.sim.Now() - begin)}
	sent := make([]uint64, r.options.Gateways)
	var rates []float64
	for n := range sent {
		sent[n] = r.sim.Sent(n)
		if r.rollouts != nil {
			sent[n] += r.rollouts.Gateways[n].Sent
		}
		if r.lastSent != nil {
			rates = append(rates, float64(sent[n]-r.lastSent[n])/sampleInterval.Seconds())
		}
		if r.sim.Running(n) {
			s.Alive++
		}
	}
	if r.lastSent != nil {
		a := newSummary(rates)
		s.Mean, s.Worst = a.Mean, a.Worst
		r.result.Seconds = append(r.result.Seconds, s)
	}
	r.lastSent = sent
}

// countFalseRemovals counts the running gateways that an observer considers gone although messages from them
// could reach it.
func (r *run) countFalseRemovals() {
	observers := evenlySpaced(min(maxObservers, r.options.Gateways), r.options.Gateways)
	r.result.Observers = len(observers)
	current := make(map[[2]int]bool)
	for _, n := range observers {
		if !r.sim.Running(n) {
			continue
		}
		for subject, node := range r.sim.Nodes {
			if node.Membership == nil || r.sim.Now()-r.events.startedAt[subject] < removalGrace ||
				r.sim.Net.Cut(n, subject) {
				continue
			}
			if m, known := r.sim.Nodes[n].Membership.Find(node.Name); known && m.State == gossipcodec.Gone {
				pair := [2]int{n, subject}
				if current[pair] = true; !r.falselyRemoved[pair] {
					r.result.FalseRemovals++
				}
			}
		}
	}
	r.falselyRemoved = current
}

// recover ends all faults and waits until each view is correct.
func (r *run) recover() {
	r.partitioned = false
	r.setLoss(0)
	r.progress(Progress{Phase: "recovering", Length: recoveryTimeout})
	recovery, ok := r.sim.RunUntilConverged(recoveryTimeout)
	switch {
	case r.sim.Interrupted():
	case ok:
		r.result.Recovered = seconds(recovery)
	default:
		r.result.Recovered = -1
	}
}

// falseAlarms returns the total number of suspicions that the running gateways have refuted.
func (r *run) falseAlarms() (sum int) {
	for _, node := range r.sim.Nodes {
		if node.Membership != nil {
			sum += int(node.Membership.Counts().FalseAlarms)
		}
	}
	return sum
}

// reading holds the total bytes sent and received and the total processor time of each gateway and control machine.
type reading struct {
	viewSent, viewReceived, configSent, configReceived []uint64
	cpuTime                                            []time.Duration // for views and configuration agents
	divisionTime                                       []time.Duration // of each full gateway, for divisions
	control                                            []controlReading
}

// controlReading holds the total bytes sent and received and the total processor time of a control machine.
type controlReading struct {
	sent, received uint64
	cpuTime        time.Duration
}

// takeReading returns the present totals of all gateways and control machines.
func (r *run) takeReading() (m reading) {
	for n := range r.options.Gateways {
		cpuTime := r.sim.CPUTime(n)
		var sent, received uint64
		if r.rollouts != nil {
			g := r.rollouts.Gateways[n]
			sent, received, cpuTime = g.Sent, g.Received, cpuTime+g.CPUTime
		}
		m.viewSent, m.viewReceived = append(m.viewSent, r.sim.Sent(n)), append(m.viewReceived, r.sim.Received(n))
		m.configSent, m.configReceived = append(m.configSent, sent), append(m.configReceived, received)
		m.cpuTime = append(m.cpuTime, cpuTime)
	}
	for _, g := range r.full {
		m.divisionTime = append(m.divisionTime, g.cpuTime)
	}
	if r.rollouts != nil {
		for _, c := range r.rollouts.ControlMachines {
			m.control = append(m.control, controlReading{c.Sent, c.Received, c.CPUTime})
		}
	}
	return m
}

// rates returns the differences of two readings per second.
func rates(before, after []uint64, length time.Duration) (list []float64) {
	for n := range after {
		list = append(list, float64(after[n]-before[n])/length.Seconds())
	}
	return list
}

func sumPairwise(a, b []float64) []float64 {
	out := slices.Clone(a)
	for i := range out {
		out[i] += b[i]
	}
	return out
}

// computeFigures fills in the result's figures of the measured period from the readings at its begin and end.
func (r *run) computeFigures(before, after reading, length time.Duration) {
	if r.result.Measured = seconds(length); length <= 0 {
		return
	}
	viewSent, viewReceived := rates(before.viewSent, after.viewSent, length),
		rates(before.viewReceived, after.viewReceived, length)
	sent, received := rates(before.configSent, after.configSent, length),
		rates(before.configReceived, after.configReceived, length)
	b := &r.result.Gateway
	b.View = Traffic{newSummary(viewSent), newSummary(viewReceived)}
	b.Configuration = Traffic{newSummary(sent), newSummary(received)}
	b.All = Traffic{newSummary(sumPairwise(viewSent, sent)), newSummary(sumPairwise(viewReceived, received))}
	b.Processor = newSummary(cpuShares(before.cpuTime, after.cpuTime, length))
	if len(r.full) > 0 {
		r.summarizeFull(before, after, length)
	}
	if len(after.control) == 0 {
		return
	}
	c := &Configuration{Violations: []string{}}
	var sentRates, receivedRates, shares []float64
	for i, now := range after.control {
		previous := before.control[i]
		sentRates = append(sentRates, float64(now.sent-previous.sent)/length.Seconds())
		receivedRates = append(receivedRates, float64(now.received-previous.received)/length.Seconds())
		shares = append(shares, (now.cpuTime-previous.cpuTime).Seconds()/length.Seconds())
	}
	c.ControlSent, c.ControlReceived, c.ControlCPU = newSummary(sentRates), newSummary(receivedRates), newSummary(shares)
	r.result.Configuration = c
}

// cpuShares returns the differences of two readings of processor time in shares of a core.
func cpuShares(before, after []time.Duration, length time.Duration) (list []float64) {
	for n := range after {
		list = append(list, (after[n]-before[n]).Seconds()/length.Seconds())
	}
	return list
}

// summarizeFull fills in the result's figures of the full gateways.
func (r *run) summarizeFull(before, after reading, length time.Duration) {
	full := &Full{Gateways: len(r.full), SettingsTime: seconds(r.startCost.SettingsTime),
		SettingsHeap: r.startCost.SettingsHeap,
		ListTime:     seconds(r.startCost.ListTime), ListHeap: r.startCost.ListHeap, Problems: []string{}}
	for _, g := range r.full {
		full.Divisions += g.divisions
		full.DivisionLongest = max(full.DivisionLongest, g.longestObservation.Seconds())
		full.Problems = append(full.Problems, g.problems...)
	}
	full.DivisionShare = newSummary(cpuShares(before.divisionTime, after.divisionTime, length))
	r.result.Full = full
}

// heapPerGateway returns the heap in use per gateway in bytes, without the lists and settings of full gateways.
func (r *run) heapPerGateway() uint64 {
	total := heapInUse()
	excluded := uint64(len(r.full)) * (r.startCost.ListHeap + r.startCost.SettingsHeap)
	return (total - min(total, excluded)) / uint64(r.options.Gateways)
}
