package scale

import (
	"context"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
	"thymebend/internal/lab/cputime"
)

// Times of a run.
const (
	joinWithin    = 2 * time.Minute // all gateways, after the last start
	restFor       = 5 * time.Second // before the measured time
	lookEvery     = 20 * time.Millisecond
	secondEvery   = time.Second
	drainFor      = 15 * time.Second // after the measured time, for what is not known yet
	recoverWithin = 60 * time.Second
	mostObservers = 32
	removalGrace  = 3 * time.Second // in which a newcomer may be held for gone still
)

// Progress tells how far a run is.
type Progress struct {
	Phase string
	At    time.Duration // in the phase
	Of    time.Duration
}

// Run plays a fleet. Once ctx is done it returns what it has, marked partial. told is called now and
// then; it may be nil.
func Run(ctx context.Context, o Options, told func(Progress)) (*Result, error) {
	if wrong := o.Check(); len(wrong) > 0 {
		return nil, wrong[0]
	}
	if told == nil {
		told = func(Progress) {}
	}
	defer cputime.LockThread()()
	began := time.Now()
	f, err := newFleet(ctx, o)
	if err != nil {
		return nil, err
	}
	r := &run{fleet: f, told: told, result: &Result{Version: ResultVersion, Options: o, Seconds: []Second{},
		Healed: []float64{}}}
	r.play()
	r.result.Partial = f.sim.Interrupted()
	r.result.Took = time.Since(began).Seconds()
	return r.result, nil
}

// run is a fleet being measured.
type run struct {
	*fleet
	told       func(Progress)
	result     *Result
	changes    []*change
	first      time.Duration   // until the first whole configuration was in force at all
	removed    map[[2]int]bool // pairs of observer and subject held for gone at the last look
	nextSecond time.Duration
	sentAt     []uint64 // by the gateways, at the last second
}

func (r *run) play() {
	if r.rollouts != nil {
		r.startControl()
		r.watchFirst()
	}
	r.startAll()
	if r.sim.Interrupted() {
		return
	}
	if r.rollouts != nil {
		r.awaitFirst()
	}
	r.sim.Run(r.sim.Now() + restFor)
	r.measure()
	if r.sim.Interrupted() {
		return
	}
	r.recover()
}

// startAll starts all gateways, one after another, and waits until each knows all.
func (r *run) startAll() {
	o := &r.options
	length := time.Duration(o.Gateways) * startEvery
	for n := range o.Gateways {
		r.sim.At(r.sim.Now()+time.Duration(n)*startEvery, func() { r.start(n, false) })
	}
	r.told(Progress{Phase: "starting", Of: length})
	r.sim.Run(r.sim.Now() + length)
	last := r.sim.Now()
	r.told(Progress{Phase: "joining", Of: joinWithin})
	if _, ok := r.sim.RunUntilConverged(joinWithin); ok {
		r.result.Start.Settled = seconds(r.sim.Now() - last)
	}
	var sent, used []float64
	for n := range o.Gateways {
		sent, used = append(sent, float64(r.sim.Sent(n))), append(used, r.sim.CPUTime(n).Seconds())
	}
	r.result.Start.Sent, r.result.Start.Processor = amount(sent), amount(used)
}

// measure plays the measured time and what follows until all that happened in it is known.
func (r *run) measure() {
	r.setLoss(r.options.Loss)
	r.measuring = true
	r.schedule()
	r.scheduleChanges()
	before := r.meter()
	begin := r.sim.Now()
	doubts := r.doubts()
	r.removed, r.nextSecond = make(map[[2]int]bool), begin
	r.follow(begin, begin+r.options.For, "measuring")
	r.sum(before, r.meter(), r.sim.Now()-begin)
	r.result.Doubts = r.doubts() - doubts
	r.result.Gateway.HeapMean = r.heap()
	if !r.sim.Interrupted() {
		r.follow(begin, r.sim.Now()+drainFor, "waiting for what is not known yet")
	}
	r.result.Crash, r.result.Join = r.knowledge.spread(false), r.knowledge.spread(true)
	r.result.BrokenRules = append([]string{}, r.sim.Findings...)
	r.sumConfiguration()
}

// follow lets time pass and looks at what is known.
func (r *run) follow(begin, until time.Duration, phase string) {
	for r.sim.Now() < until && !r.sim.Interrupted() {
		r.sim.Run(min(until, r.sim.Now()+lookEvery))
		r.knowledge.look()
		r.lookAtChanges()
		r.lookForHealing()
		if r.sim.Now() >= r.nextSecond {
			r.nextSecond += secondEvery
			r.second(begin)
			r.told(Progress{phase, r.sim.Now() - begin, until - begin})
		}
	}
}

// lookForHealing notes when all views are true after regions were parted. Restarts and failures
// meanwhile put it off.
func (r *run) lookForHealing() {
	if r.mendedAt == 0 || r.parted || r.sim.Divergence() != "" {
		return
	}
	r.result.Healed = append(r.result.Healed, seconds(r.sim.Now()-r.mendedAt))
	r.mendedAt = 0
}

// second notes a second of the run, and has the full gateways follow the view.
func (r *run) second(begin time.Duration) {
	for _, g := range r.full {
		g.look(r.sim)
	}
	r.lookForRemovals()
	s := Second{At: seconds(r.sim.Now() - begin)}
	sent := make([]uint64, r.options.Gateways)
	var rates []float64
	for n := range sent {
		sent[n] = r.sim.Sent(n)
		if r.rollouts != nil {
			sent[n] += r.rollouts.Gateways[n].Sent
		}
		if r.sentAt != nil {
			rates = append(rates, float64(sent[n]-r.sentAt[n])/secondEvery.Seconds())
		}
		if r.sim.Running(n) {
			s.Alive++
		}
	}
	if r.sentAt != nil {
		a := amount(rates)
		s.Mean, s.Worst = a.Mean, a.Worst
		r.result.Seconds = append(r.result.Seconds, s)
	}
	r.sentAt = sent
}

// lookForRemovals counts running gateways that an observer, which could hear them, holds for gone.
func (r *run) lookForRemovals() {
	observers := spread(min(mostObservers, r.options.Gateways), r.options.Gateways)
	r.result.Observers = len(observers)
	now := make(map[[2]int]bool)
	for _, n := range observers {
		if !r.sim.Running(n) {
			continue
		}
		for subject, node := range r.sim.Nodes {
			if node.Membership == nil || r.sim.Now()-r.knowledge.born[subject] < removalGrace ||
				r.sim.Net.Cut(n, subject) {
				continue
			}
			if m, known := r.sim.Nodes[n].Membership.Find(node.Name); known && m.State == gossipcodec.Gone {
				pair := [2]int{n, subject}
				if now[pair] = true; !r.removed[pair] {
					r.result.Removals++
				}
			}
		}
	}
	r.removed = now
}

// recover ends all troubles and waits until each view is the truth.
func (r *run) recover() {
	r.parted = false
	r.setLoss(0)
	r.told(Progress{Phase: "recovering", Of: recoverWithin})
	took, ok := r.sim.RunUntilConverged(recoverWithin)
	switch {
	case r.sim.Interrupted():
	case ok:
		r.result.Recovered = seconds(took)
	default:
		r.result.Recovered = -1
	}
}

func (r *run) doubts() (sum int) {
	for _, node := range r.sim.Nodes {
		if node.Membership != nil {
			sum += int(node.Membership.Counts().FalseAlarms)
		}
	}
	return sum
}

// reading is what each gateway has sent, received and used so far.
type reading struct {
	viewSent, viewTaken, configSent, configTaken []uint64
	used                                         []time.Duration // views and agents
	divided                                      []time.Duration // by the full gateways
	control                                      []controlReading
}

type controlReading struct {
	sent, taken uint64
	used        time.Duration
}

func (r *run) meter() (m reading) {
	for n := range r.options.Gateways {
		used := r.sim.CPUTime(n)
		var sent, taken uint64
		if r.rollouts != nil {
			g := r.rollouts.Gateways[n]
			sent, taken, used = g.Sent, g.Received, used+g.CPUTime
		}
		m.viewSent, m.viewTaken = append(m.viewSent, r.sim.Sent(n)), append(m.viewTaken, r.sim.Received(n))
		m.configSent, m.configTaken = append(m.configSent, sent), append(m.configTaken, taken)
		m.used = append(m.used, used)
	}
	for _, g := range r.full {
		m.divided = append(m.divided, g.spent)
	}
	if r.rollouts != nil {
		for _, c := range r.rollouts.ControlMachines {
			m.control = append(m.control, controlReading{c.Sent, c.Received, c.CPUTime})
		}
	}
	return m
}

// rates are the differences of two readings, a second.
func rates(before, after []uint64, length time.Duration) (list []float64) {
	for n := range after {
		list = append(list, float64(after[n]-before[n])/length.Seconds())
	}
	return list
}

func added(a, b []float64) []float64 {
	out := slices.Clone(a)
	for i := range out {
		out[i] += b[i]
	}
	return out
}

// sum works the figures of the measured time out.
func (r *run) sum(before, after reading, length time.Duration) {
	if r.result.Lasted = seconds(length); length <= 0 {
		return
	}
	viewSent, viewTaken := rates(before.viewSent, after.viewSent, length),
		rates(before.viewTaken, after.viewTaken, length)
	sent, taken := rates(before.configSent, after.configSent, length),
		rates(before.configTaken, after.configTaken, length)
	b := &r.result.Gateway
	b.View = Traffic{amount(viewSent), amount(viewTaken)}
	b.Configuration = Traffic{amount(sent), amount(taken)}
	b.All = Traffic{amount(added(viewSent, sent)), amount(added(viewTaken, taken))}
	b.Processor = amount(loads(before.used, after.used, length))
	if len(r.full) > 0 {
		r.sumFull(before, after, length)
	}
	if len(after.control) == 0 {
		return
	}
	c := &Configuration{BrokenRules: []string{}}
	var out, in, used []float64
	for i, now := range after.control {
		was := before.control[i]
		out = append(out, float64(now.sent-was.sent)/length.Seconds())
		in = append(in, float64(now.taken-was.taken)/length.Seconds())
		used = append(used, (now.used-was.used).Seconds()/length.Seconds())
	}
	c.ControlSent, c.ControlTaken, c.ControlUsed = amount(out), amount(in), amount(used)
	r.result.Configuration = c
}

// loads are the differences of two readings of processor time, in shares of a core.
func loads(before, after []time.Duration, length time.Duration) (list []float64) {
	for n := range after {
		list = append(list, (after[n]-before[n]).Seconds()/length.Seconds())
	}
	return list
}

func (r *run) sumFull(before, after reading, length time.Duration) {
	full := &Full{Gateways: len(r.full), SettingsTime: seconds(r.begun.SettingsTime),
		SettingsHeap: r.begun.SettingsHeap,
		ListTime:     seconds(r.begun.ListTime), ListHeap: r.begun.ListHeap, Problems: []string{}}
	for _, g := range r.full {
		full.Divisions += g.divided
		full.DivisionLongest = max(full.DivisionLongest, g.longest.Seconds())
		full.Problems = append(full.Problems, g.problems...)
	}
	full.DivisionShare = amount(loads(before.divided, after.divided, length))
	r.result.Full = full
}

// heap is what the process holds for a gateway, without lists and settings of the full ones.
func (r *run) heap() uint64 {
	held := heapInUse()
	apart := uint64(len(r.full)) * (r.begun.ListHeap + r.begun.SettingsHeap)
	return (held - min(held, apart)) / uint64(r.options.Gateways)
}
