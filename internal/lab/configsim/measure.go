package configsim

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/content"
)

// Case is a fleet to be measured.
type Case struct {
	Gateways, Zones, Regions int
	Size                     Size
	ServicesEach             int           // that a gateway serves; 0 for all
	Changes                  int           // pressed into the run
	Restarts, Failures       int           // of gateways, pressed into the run; a tenth of the restarts are replacements by machines that have kept nothing
	Length                   time.Duration // of the run
	Loss                     float64
	Seed                     uint64
}

// FleetSize is the size that the fleet is to have in two years, with a day of it pressed into a run.
func FleetSize(length time.Duration, loss float64, seed uint64) Case {
	return Case{Gateways: 870, Zones: 7, Regions: 2, Size: Size{Services: 390, Routes: 4100, Tenants: 44_000}, ServicesEach: 40, Changes: 720, Restarts: 490,
		Failures: 21, Length: length, Loss: loss, Seed: seed}
}

// Spread is how long something took, over many of it.
type Spread struct{ Median, P99, Worst time.Duration }

func spreadOf(list []time.Duration) (s Spread) {
	if len(list) == 0 {
		return s
	}
	slices.Sort(list)
	return Spread{list[len(list)/2], list[min(len(list)-1, len(list)*99/100)], list[len(list)-1]}
}

// String words it.
func (s Spread) String() string {
	return fmt.Sprintf("%.2f / %.2f / %.2f s", s.Median.Seconds(), s.P99.Seconds(), s.Worst.Seconds())
}

// Figures are what a fleet came to.
type Figures struct {
	Case
	First              time.Duration // until all have the first whole configuration, from the start of all
	Quiet              float64       // bytes a second and gateway without changes
	Single             [3]time.Duration
	Half, Most, All    Spread // of the changes, from their submission until in force at half, 99% and all of the gateways that lived all the while
	FromCommit         Spread // the last of these from the commitment
	Late               int    // changes not in force at all of them 8 s after their submission
	Unfinished         int    // at the end of the run
	Stopped            int
	Mean, Worst        float64 // bytes a second and gateway over the run, and those of the gateway with most
	Control, ControlTo float64 // bytes a second that a control machine sent, mean and most
	GatewayCPU         float64 // share of a core of an agent, by this machine's clock
	ControlCPU         float64 // of the control machine that used most
	HeapEach           uint64  // bytes of heap in use over the number of gateways, control machines included
	Subscribers        int     // of the control machine with most
	Findings           []string
}

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

// Measure plays a fleet: all start with nothing, one change is followed alone, then a day is pressed into the run.
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
	m.Fleet.Operate(time.Second, 0)
	f.First = m.begin()
	before := m.traffic()
	m.Run(m.Now() + 20*time.Second)
	f.Quiet = m.rate(before, 20*time.Second).mean
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
	f.Mean, f.Worst, f.Control, f.ControlTo = rate.mean, rate.most, rate.control, rate.controlMost
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
	for i := range m.Fleet.Controls {
		m.Fleet.StartControl(i)
	}
	m.Run(5 * time.Second)
	done := false
	var next func(list [][]content.Change)
	next = func(list [][]content.Change) {
		if len(list) == 0 {
			done = true
			return
		}
		m.Fleet.Submit(list[0], func(content.Ref, error) { next(list[1:]) })
	}
	next(Bootstrap(m.c.Size, m.rng))
	for !done {
		m.Run(m.Now() + 100*time.Millisecond)
	}
	m.Run(m.Now() + 5*time.Second)
	begin := m.Now()
	for i := range m.Fleet.Gateways {
		m.Fleet.StartGateway(i)
	}
	for m.Fleet.behind(m.Fleet.ledger.newest) != "" && m.Now()-begin < 5*time.Minute {
		m.Run(m.Now() + 50*time.Millisecond)
	}
	return m.Now() - begin
}

// submit submits a change and follows it.
func (m *measurement) submit() *change {
	c := &change{submitted: m.Now()}
	m.changes = append(m.changes, c)
	m.Fleet.Submit(Change(m.c.Size, m.rng), func(ref content.Ref, err error) { c.number, c.committed = ref.Number, m.Now() })
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
		m.At(at, func() { m.Fleet.KillGateway(who) })
		m.At(at+away, func() {
			if m.born[who] = m.Now(); replaced {
				m.Fleet.ReplaceGateway(who)
			} else {
				m.Fleet.StartGateway(who)
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
	for i, g := range m.Fleet.Gateways {
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
	for _, g := range m.Fleet.Gateways {
		list = append(list, g.Sent+g.Received)
	}
	for _, c := range m.Fleet.Controls {
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
	for _, g := range m.Fleet.Gateways {
		gateways += g.Used
	}
	for _, c := range m.Fleet.Controls {
		controls = append(controls, c.Used)
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
		if c.all > forceWithin {
			f.Late++
		}
	}
	f.Half, f.Most, f.All, f.FromCommit = spreadOf(half), spreadOf(most), spreadOf(all), spreadOf(committed)
	for _, v := range m.Fleet.ledger.versions {
		if v.stoppedAt != 0 {
			f.Stopped++
		}
	}
	for _, c := range m.Fleet.Controls {
		f.Subscribers = max(f.Subscribers, c.Controller.Subscribers())
	}
	if leader := m.Fleet.Leader(); leader != nil && leader.Controller.Store().Rollout().Stage == configdist.StageStopped {
		m.Fleet.Find("the run ends with a stopped rollout: %s", leader.Controller.Store().Rollout().Reason)
	}
	f.Findings = m.Fleet.Findings
	m.changes = nil
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	f.HeapEach = memory.HeapInuse / uint64(m.c.Gateways)
}
