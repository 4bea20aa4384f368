package configsim

import (
	"math/rand/v2"
	"runtime"
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/content"
)

// change is one that is followed until it is in force everywhere.
type change struct {
	submitted, committed time.Duration
	number               uint64
	half, most, all      time.Duration // 0 until then
}

// measurement follows the changes of one run.
type measurement struct {
	*World
	c       Case
	rng     *rand.Rand
	changes []*change
	born    []time.Duration // since when each gateway's process runs
}

// Measure plays a cluster: all start with nothing, one change is followed alone, then a day is pressed into the run.
func Measure(c Case) Figures {
	m := &measurement{c: c, rng: rand.New(rand.NewPCG(c.Seed, 0x3ea5)), born: make([]time.Duration, c.Gateways)}
	cfg := Config{Name: "measure", Gateways: c.Gateways, Zones: c.Zones, Regions: c.Regions, Seed: c.Seed}
	if c.ServicesEach > 0 {
		cfg.Services = func(i int) (list []string) {
			for k := range c.ServicesEach {
				list = append(list, ServiceName((i*c.ServicesEach+k)%c.Size.Services))
			}
			return list
		}
	}
	m.World = NewWorld(cfg)
	f := Figures{Case: c}
	m.Cluster.RunOperator(time.Second, 0)
	f.First = m.begin()
	before := m.traffic()
	m.Run(m.Now() + 20*time.Second)
	f.IdleRate = m.rate(before, 20*time.Second).mean
	m.Net.Loss = c.Loss
	one := m.submit()
	m.follow(m.Now() + 15*time.Second)
	f.Single = [3]time.Duration{one.half, one.most, one.all}
	m.changes = nil
	m.press()
	before = m.traffic()
	used, spent := m.used()
	begin := m.Now()
	m.follow(begin + c.Length)
	length := m.Now() - begin
	rate := m.rate(before, length)
	f.MeanRate, f.MaxRate, f.ControlRate, f.MaxControlRate = rate.mean, rate.most, rate.control, rate.controlMost
	gatewayUsed, controlUsed := m.used()
	f.GatewayCPU = (gatewayUsed - used).Seconds() / float64(c.Gateways) / length.Seconds()
	for i := range controlUsed {
		f.ControlCPU = max(f.ControlCPU, (controlUsed[i]-spent[i]).Seconds()/length.Seconds())
	}
	m.Net.Loss = 0
	m.follow(m.Now() + 20*time.Second)
	m.sum(&f)
	return f
}

// begin starts everything, proposes the whole configuration, and waits until it is in force.
func (m *measurement) begin() time.Duration {
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
	next(Bootstrap(m.c.Size, m.rng))
	for !done {
		m.Run(m.Now() + 100*time.Millisecond)
	}
	m.Run(m.Now() + 5*time.Second)
	begin := m.Now()
	for i := range m.Cluster.Gateways {
		m.Cluster.StartGateway(i)
	}
	for m.Cluster.lagging(m.Cluster.invariants.newest) != "" && m.Now()-begin < 5*time.Minute {
		m.Run(m.Now() + 50*time.Millisecond)
	}
	return m.Now() - begin
}

// submit submits a change and follows it.
func (m *measurement) submit() *change {
	c := &change{submitted: m.Now()}
	m.changes = append(m.changes, c)
	m.Cluster.Submit(Change(m.c.Size, m.rng), func(ref content.Ref, err error) {
		c.number, c.committed = ref.Number,
			m.Now()
	})
	return c
}

// press draws the changes, restarts and failures of the run.
func (m *measurement) press() {
	within := func() time.Duration { return m.Now() + time.Duration(m.rng.Int64N(int64(m.c.Length))) }
	for range m.c.Changes {
		m.At(within(), func() { m.submit() })
	}
	end := func(at, away time.Duration, replaced bool) {
		who := m.rng.IntN(m.c.Gateways)
		m.At(at, func() { m.Cluster.KillGateway(who) })
		m.At(at+away, func() {
			if m.born[who] = m.Now(); replaced {
				m.Cluster.ReplaceGateway(who)
			} else {
				m.Cluster.StartGateway(who)
			}
		})
	}
	for i := range m.c.Restarts {
		end(within(), time.Duration(1000+m.rng.IntN(2000))*time.Millisecond, i%10 == 0)
	}
	for range m.c.Failures {
		end(within(), time.Duration(10+m.rng.IntN(20))*time.Second, true)
	}
}

// followEvery is how exactly times until in force are known.
const followEvery = 20 * time.Millisecond

// follow lets time pass, and notes when changes are in force.
func (m *measurement) follow(until time.Duration) {
	for m.Now() < until {
		m.Run(min(until, m.Now()+followEvery))
		for _, c := range m.changes {
			if c.all == 0 && c.number > 0 {
				m.look(c)
			}
		}
	}
}

// look counts the gateways that have lived since a change was submitted, and those of them that have it.
func (m *measurement) look(c *change) {
	lived, have := 0, 0
	for i, g := range m.Cluster.Gateways {
		if !g.up || m.born[i] > c.submitted {
			continue
		}
		lived++
		if g.Running.Ref.Number >= c.number {
			have++
		}
	}
	took := m.Now() - c.submitted
	if c.half == 0 && 2*have >= lived {
		c.half = took
	}
	if c.most == 0 && 100*have >= 99*lived {
		c.most = took
	}
	if have == lived {
		c.all = took
	}
}

func (m *measurement) traffic() (list []uint64) {
	for _, g := range m.Cluster.Gateways {
		list = append(list, g.Sent+g.Received)
	}
	for _, c := range m.Cluster.ControlMachines {
		list = append(list, c.Sent)
	}
	return list
}

// rates are bytes a second.
type rates struct{ mean, most, control, controlMost float64 }

func (m *measurement) rate(before []uint64, length time.Duration) (r rates) {
	for i, now := range m.traffic() {
		rate := float64(now-before[i]) / length.Seconds()
		if i < m.c.Gateways {
			r.mean += rate / float64(m.c.Gateways)
			r.most = max(r.most, rate)
		} else {
			r.control += rate / machines
			r.controlMost = max(r.controlMost, rate)
		}
	}
	return r
}

func (m *measurement) used() (gateways time.Duration, controls []time.Duration) {
	for _, g := range m.Cluster.Gateways {
		gateways += g.CPUTime
	}
	for _, c := range m.Cluster.ControlMachines {
		controls = append(controls, c.CPUTime)
	}
	return gateways, controls
}

func (m *measurement) sum(f *Figures) {
	var half, most, all, committed []time.Duration
	for _, c := range m.changes {
		if c.all == 0 {
			f.Unfinished++
			continue
		}
		half, most, all = append(half, c.half), append(most, c.most), append(all, c.all)
		committed = append(committed, c.submitted+c.all-c.committed)
		if c.all > convergeWithin {
			f.Late++
		}
	}
	f.Half, f.Most, f.All, f.FromCommit = spreadOf(half), spreadOf(most), spreadOf(all), spreadOf(committed)
	for _, v := range m.Cluster.invariants.versions {
		if v.stoppedAt != 0 {
			f.Stopped++
		}
	}
	for _, c := range m.Cluster.ControlMachines {
		f.Subscribers = max(f.Subscribers, c.Controller.Subscribers())
	}
	if leader := m.Cluster.Leader(); leader != nil &&
		leader.Controller.Store().Rollout().Stage == configdist.StageStopped {
		m.Cluster.Violate("the run ends with a stopped rollout: %s", leader.Controller.Store().Rollout().Reason)
	}
	f.Violations = m.Cluster.Violations
	m.changes = nil
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	f.HeapEach = memory.HeapInuse / uint64(m.c.Gateways)
}
