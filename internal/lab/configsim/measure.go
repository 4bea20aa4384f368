package configsim

import (
	"math/rand/v2"
	"runtime"
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/content"
)

// change is a submitted change, followed until it is in force at all gateways.
type change struct {
	submitted, committed       time.Duration
	number                     uint64
	toHalf, to99Percent, toAll time.Duration // from submission until in force at half, 99%, all; 0 until then
}

// measurement is one run of Measure.
type measurement struct {
	*World
	scenario  Scenario
	rng       *rand.Rand
	changes   []*change
	startedAt []time.Duration // last start of each gateway's process
}

// Measure runs a cluster in three phases. All gateways start without a configuration and fetch the complete one. Then
// one change alone is followed. Then the scenario's changes, restarts and failures happen within scenario.Duration.
func Measure(scenario Scenario) Figures {
	m := &measurement{scenario: scenario, rng: rand.New(rand.NewPCG(scenario.Seed, 0x3ea5)),
		startedAt: make([]time.Duration, scenario.Gateways)}
	cfg := Config{Name: "measure", Gateways: scenario.Gateways, Zones: scenario.Zones, Regions: scenario.Regions,
		Seed: scenario.Seed}
	if scenario.ServicesPerGateway > 0 {
		cfg.Services = func(i int) (list []string) {
			for k := range scenario.ServicesPerGateway {
				list = append(list, ServiceName((i*scenario.ServicesPerGateway+k)%scenario.Size.Services))
			}
			return list
		}
	}
	m.World = NewWorld(cfg)
	f := Figures{Scenario: scenario}
	m.Cluster.RunOperator(time.Second, 0)
	f.InitialDistribution = m.start()
	before := m.traffic()
	m.Run(m.Now() + 20*time.Second)
	f.IdleRate = m.rate(before, 20*time.Second).mean
	m.Net.Loss = scenario.Loss
	single := m.submit()
	m.follow(m.Now() + 15*time.Second)
	f.SingleChange = [3]time.Duration{single.toHalf, single.to99Percent, single.toAll}
	m.changes = nil
	m.scheduleEvents()
	before = m.traffic()
	gatewayBefore, controlBefore := m.cpuTimes()
	startedAt := m.Now()
	m.follow(startedAt + scenario.Duration)
	length := m.Now() - startedAt
	rate := m.rate(before, length)
	f.MeanRate, f.MaxRate, f.ControlRate, f.MaxControlRate = rate.mean, rate.max, rate.control, rate.controlMax
	gatewayAfter, controlAfter := m.cpuTimes()
	f.GatewayCPU = (gatewayAfter - gatewayBefore).Seconds() / float64(scenario.Gateways) / length.Seconds()
	for i := range controlAfter {
		f.ControlCPU = max(f.ControlCPU, (controlAfter[i]-controlBefore[i]).Seconds()/length.Seconds())
	}
	m.Net.Loss = 0
	m.follow(m.Now() + 20*time.Second)
	m.summarize(&f)
	return f
}

// start starts the control machines, proposes the complete configuration, starts the gateways, and returns the time
// until it is in force at all of them.
func (m *measurement) start() time.Duration {
	for i := range m.Cluster.ControlMachines {
		m.Cluster.StartControl(i)
	}
	m.Run(5 * time.Second)
	done := false
	var next func(list [][]content.Change)
	next = func(list [][]content.Change) {
		if len(list) == 0 {
			done = true
			return
		}
		m.Cluster.Submit(list[0], func(content.Ref, error) { next(list[1:]) })
	}
	next(GenerateProposals(m.scenario.Size, m.rng))
	for !done {
		m.Run(m.Now() + 100*time.Millisecond)
	}
	m.Run(m.Now() + 5*time.Second)
	startedAt := m.Now()
	for i := range m.Cluster.Gateways {
		m.Cluster.StartGateway(i)
	}
	for m.Cluster.laggingGateway(m.Cluster.invariants.newest) != "" && m.Now()-startedAt < 5*time.Minute {
		m.Run(m.Now() + 50*time.Millisecond)
	}
	return m.Now() - startedAt
}

// submit submits a change and adds it to m.changes, whose times are measured.
func (m *measurement) submit() *change {
	c := &change{submitted: m.Now()}
	m.changes = append(m.changes, c)
	m.Cluster.Submit(DrawChange(m.scenario.Size, m.rng), func(ref content.Ref, err error) {
		c.number, c.committed = ref.Number, m.Now()
	})
	return c
}

// scheduleEvents draws and schedules the changes, restarts and failures of the run.
func (m *measurement) scheduleEvents() {
	randomTime := func() time.Duration { return m.Now() + time.Duration(m.rng.Int64N(int64(m.scenario.Duration))) }
	for range m.scenario.Changes {
		m.At(randomTime(), func() { m.submit() })
	}
	scheduleOutage := func(at, downtime time.Duration, replaced bool) {
		index := m.rng.IntN(m.scenario.Gateways)
		m.At(at, func() { m.Cluster.KillGateway(index) })
		m.At(at+downtime, func() {
			if m.startedAt[index] = m.Now(); replaced {
				m.Cluster.ReplaceGateway(index)
			} else {
				m.Cluster.StartGateway(index)
			}
		})
	}
	for i := range m.scenario.Restarts {
		scheduleOutage(randomTime(), time.Duration(1000+m.rng.IntN(2000))*time.Millisecond, i%10 == 0)
	}
	for range m.scenario.Failures {
		scheduleOutage(randomTime(), time.Duration(10+m.rng.IntN(20))*time.Second, true)
	}
}

// followInterval is the resolution of the times until changes are in force.
const followInterval = 20 * time.Millisecond

// follow advances time, and records when changes are in force.
func (m *measurement) follow(until time.Duration) {
	for m.Now() < until {
		m.Run(min(until, m.Now()+followInterval))
		for _, c := range m.changes {
			if c.toAll == 0 && c.number > 0 {
				m.updateChange(c)
			}
		}
	}
}

// updateChange counts the gateways that have run since a change was submitted, and those of them that have it in
// force, and records the times at which the shares of half, 99% and all are reached.
func (m *measurement) updateChange(c *change) {
	eligible, updated := 0, 0
	for i, g := range m.Cluster.Gateways {
		if !g.up || m.startedAt[i] > c.submitted {
			continue
		}
		eligible++
		if g.Running.Ref.Number >= c.number {
			updated++
		}
	}
	elapsed := m.Now() - c.submitted
	if c.toHalf == 0 && 2*updated >= eligible {
		c.toHalf = elapsed
	}
	if c.to99Percent == 0 && 100*updated >= 99*eligible {
		c.to99Percent = elapsed
	}
	if updated == eligible {
		c.toAll = elapsed
	}
}

// traffic returns the bytes that each gateway sent and received, then the bytes that each control machine sent.
func (m *measurement) traffic() (list []uint64) {
	for _, g := range m.Cluster.Gateways {
		list = append(list, g.Sent+g.Received)
	}
	for _, c := range m.Cluster.ControlMachines {
		list = append(list, c.Sent)
	}
	return list
}

// rates are in bytes per second: the mean and maximum of what gateways sent and received, and of what control
// machines sent.
type rates struct{ mean, max, control, controlMax float64 }

// rate returns the rates since an earlier result of traffic, over a duration.
func (m *measurement) rate(before []uint64, length time.Duration) (r rates) {
	for i, now := range m.traffic() {
		rate := float64(now-before[i]) / length.Seconds()
		if i < m.scenario.Gateways {
			r.mean += rate / float64(m.scenario.Gateways)
			r.max = max(r.max, rate)
		} else {
			r.control += rate / controlMachineCount
			r.controlMax = max(r.controlMax, rate)
		}
	}
	return r
}

// cpuTimes returns the processor time of all gateways together and of each control machine.
func (m *measurement) cpuTimes() (gateways time.Duration, controls []time.Duration) {
	for _, g := range m.Cluster.Gateways {
		gateways += g.CPUTime
	}
	for _, c := range m.Cluster.ControlMachines {
		controls = append(controls, c.CPUTime)
	}
	return gateways, controls
}

// summarize fills in the figures of the changes, the subscribers, the violations and the heap.
func (m *measurement) summarize(f *Figures) {
	var toHalf, to99Percent, toAll, fromCommit []time.Duration
	for _, c := range m.changes {
		if c.toAll == 0 {
			f.UnfinishedChanges++
			continue
		}
		toHalf, to99Percent = append(toHalf, c.toHalf), append(to99Percent, c.to99Percent)
		toAll = append(toAll, c.toAll)
		fromCommit = append(fromCommit, c.submitted+c.toAll-c.committed)
		if c.toAll > convergenceLimit {
			f.LateChanges++
		}
	}
	f.TimeToHalf, f.TimeTo99Percent, f.TimeToAll = distributionOf(toHalf), distributionOf(to99Percent), distributionOf(toAll)
	f.TimeToAllFromCommit = distributionOf(fromCommit)
	for _, v := range m.Cluster.invariants.versions {
		if v.stoppedAt != 0 {
			f.StoppedVersions++
		}
	}
	for _, c := range m.Cluster.ControlMachines {
		f.Subscribers = max(f.Subscribers, c.Controller.Subscribers())
	}
	if leader := m.Cluster.Leader(); leader != nil &&
		leader.Controller.Store().Rollout().Stage == configdist.StageStopped {
		m.Cluster.ReportViolation("the run ends with a stopped rollout: %s", leader.Controller.Store().Rollout().Reason)
	}
	f.Violations = m.Cluster.Violations
	m.changes = nil
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	f.HeapPerGateway = memory.HeapInuse / uint64(m.scenario.Gateways)
}
