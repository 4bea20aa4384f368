package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"thymebend/internal/config"
	"thymebend/internal/gateway"
	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/registry"
	"thymebend/internal/lab/requestrecord"
	"thymebend/internal/loop"
)

// Rules beyond those of the ledgers.
const (
	Panicked  = "panic"
	Stuck     = "stuck"      // a gateway did not end after SIGTERM though nothing was left to answer
	NotAsleep = "not asleep" // a gateway woke up though nothing happened
	Leaked    = "leaked"     // links or timers beyond those that rest at the end of the day
	Wronged   = "wronged"    // a good request was answered as a faulty one
	Overspent = "overspent"  // two processes of one gateway had more descriptors than it may
	BadExit   = "bad exit"   // a process ended with an error
	Crowded   = "crowded"    // more connections at one host than the parts of a fleet come to
	ShutDoor  = "shut door"  // an upgrade closed a link under its client
	NotHeard  = "not heard"  // a client that stopped in the middle of a request was not told in time
	HeldBack  = "held back"  // a gateway's guard held back an effect that would have broken a rule
)

// The rules in figures; see the operators' pages.
const (
	drainGrace = 300 * time.Millisecond
	leaveFront = 300 * time.Millisecond
	killSpread = 5 * time.Millisecond // what news of a kill may take
	quietFor   = 8 * time.Second      // of nothing at the end of the day
	mostRounds = 40                   // of a gateway in the last half of that: beats, and the module's own
	endWithin  = 12 * time.Second     // of SIGTERM
)

// Finding is a broken rule.
type Finding struct {
	Rule   string `json:"rule"`
	ID     string `json:"id"`
	Detail string `json:"detail"`
}

// Outcome is what a run came to.
type Outcome struct {
	Hash     uint64
	Findings []Finding
	Tries    int
	Served   int
	Refused  int
	Failed   int
	Steps    uint64
	Lasted   time.Duration // of virtual time
	Sums     string        // of a fleet: the most in a second
	Partial  bool          // the run was interrupted
}

type world struct {
	plan     Plan
	file     *experiment.File
	sim      *Sim
	net      *Net
	disc     *discoveryServer
	hosts    []*host
	former   []*requestrecord.Host
	gateways []*machine
	clients  *requestrecord.Clients
	idle     []*link
	found    []Finding
	statuses map[int]int
	asked    int
	lastID   uint64
	turn     int
	replaced int
	strict   bool // views are unsafe now, as clients know it
	beliefs  *beliefs
	rates    *fleetRates // of a fleet; nil elsewhere
	wrap     func(loop.Reducer) loop.Reducer
	guarded  []guarded
}

// guarded is a process that ran, whose guard is asked at the end.
type guarded struct {
	name    string
	gateway *gateway.Gateway
}

// machine is a gateway's machine; its process may end and start again.
type machine struct {
	w     *world
	n     int
	name  string
	addr  netip.AddrPort
	conf  []byte // its configuration file
	loop  *Loop
	elder *Loop // the process before, while an upgrade lasts
	up    bool
	left  bool // the front knows that it restarts
	died  time.Duration
	last  *registry.Roster // the list that it had when it ended, where lists are pushed
	since time.Duration    // an upgrade lasts from then: its next process has the listening socket
	until time.Duration    // until then
	kills []time.Duration
	stops []time.Duration
	halts [][2]time.Duration // stopped from, to
	life  int
	// clockError is how far the machine's wall clock is ahead now. A process that runs does not notice a step.
	clockError time.Duration

	process, before process // the one that was started last, and its elder
}

// logLine puts the time before each line of a log.
type logLine struct{ sim *Sim }

func gatewayName(n int) string { return fmt.Sprintf("g%d", n) }

// Play runs a plan. trace gets a line for each thing that happens; it may be nil.
func Play(p Plan, trace io.Writer) Outcome { return PlayContext(context.Background(), p, trace) }

// PlayContext runs a plan until it is over or ctx is done. In the second case the outcome is Partial: it holds what was
// found until then, and nothing was compared at the end.
func PlayContext(ctx context.Context, p Plan, trace io.Writer) Outcome {
	w := newWorld(p, trace, func(r loop.Reducer) loop.Reducer { return r })
	w.sim.ctx = ctx
	return w.run()
}

// play runs a plan with each gateway wrapped; tests plant defects so.
func play(p Plan, trace io.Writer, wrap func(loop.Reducer) loop.Reducer) Outcome {
	return newWorld(p, trace, wrap).run()
}

func newWorld(p Plan, trace io.Writer, wrap func(loop.Reducer) loop.Reducer) *world {
	sim := NewSim(p.Seed, trace)
	w := &world{plan: p, sim: sim, net: NewNet(sim), clients: requestrecord.NewClients(), statuses: make(map[int]int), file: day(p), wrap: wrap}
	w.net.Latency, w.net.Jitter = time.Duration(p.LatencyUS)*time.Microsecond, time.Duration(p.JitterUS)*time.Microsecond
	return w
}

func (w *world) run() (out Outcome) {
	p, sim := w.plan, w.sim
	defer func() {
		if r := recover(); r != nil {
			w.find(Panicked, "gateway", "%v at %s", r, place(string(debug.Stack())))
			out = w.outcome()
		}
	}()
	if p.Zones > 0 && !p.Shares {
		w.rates = newFleetRates(w) // its bounds are those of parts by count and number
	}
	w.build()
	// Faults of the network begin once everything stands.
	sim.Run(epoch + 300*time.Millisecond)
	w.net.Split, w.net.ResetAt, w.net.LoseDial = p.Split, p.Resets, p.LoseDials
	start := sim.Now()
	end := 0
	for i, r := range p.Requests {
		sim.At(start+msec(r.AtMS), func() { w.arrive(i, r, 0) })
		end = max(end, r.AtMS+2*(r.Patient+400))
	}
	for _, f := range p.Faults {
		sim.At(start+msec(f.AtMS), func() { w.happen(f) })
		end = max(end, f.AtMS+f.ForMS+1000)
	}
	sim.Run(start + msec(end) + 3*time.Second)
	if w.beliefs != nil {
		sim.Run(sim.Now() + agreeFor)
	}
	found := len(w.found) // what an interrupted run shows afterwards is no finding
	w.quiet()
	if w.beliefs != nil {
		w.portions()
		w.beliefs.judge()
	}
	w.stopAll()
	w.compare()
	w.askGuards()
	if sim.interrupted() {
		w.found = w.found[:found]
	}
	return w.outcome()
}

// place is where a panic came from: the first line of this project's in a stack, below the panic itself.
func place(stack string) string {
	lines := strings.Split(stack, "\n")
	seen := false
	for _, l := range lines {
		seen = seen || strings.HasPrefix(l, "panic(")
		if at := strings.LastIndex(l, "/"); seen && strings.HasPrefix(l, "\t") && strings.Contains(l, ".go:") && !strings.Contains(l, "/runtime/") {
			return strings.Fields(l[at+1:])[0]
		}
	}
	return "unknown"
}

// day is the fleet and the classes of every plan.
func day(p Plan) *experiment.File {
	d := func(t time.Duration) experiment.Duration { return experiment.Duration{Duration: t} }
	f := &experiment.File{Name: "seed"}
	f.Gateways = experiment.Gateways{Count: p.Gateways, Cores: 1, MemoryMB: 64, Sockets: p.Sockets}
	f.Clients = experiment.Clients{MostAfter: d(2 * time.Second), Marks: true}
	f.Classes = []experiment.Class{
		{Name: "tender-view", Share: 0.64, Worth: 1, Aim: d(800 * time.Millisecond), Patience: d(2 * time.Second),
			Work: experiment.Work{Dist: "pareto", Mean: d(35 * time.Millisecond), CV: 2}},
		{Name: "bid-lodge", Share: 0.36, Unsafe: true, Worth: 8, Aim: d(800 * time.Millisecond), Patience: d(2500 * time.Millisecond),
			Work: experiment.Work{Dist: "lognormal", Mean: d(70 * time.Millisecond), CV: 2}}}
	if p.DeadlineMS > 0 {
		for i := range f.Classes {
			f.Classes[i].Patience = d(msec(p.DeadlineMS))
			f.Classes[i].Aim = d(min(f.Classes[i].Aim.Duration, msec(p.DeadlineMS)))
		}
	}
	f.Hosts = []experiment.Hosts{{Kind: "h", Count: p.Hosts, Site: "suva", Cores: 1, Speed: 1.2, Slots: 1, Queue: 14, ThrashAt: 8, Thrash: 0.04,
		ColdFrom: 0.2, ColdFor: d(12 * time.Second), WarmBy: "work", Fall: 3, FallFor: d(time.Second), PauseEvery: d(6 * time.Second),
		PauseFor: d(30 * time.Millisecond), ErrorRate: 0.0005, Idle: d(30 * time.Second), ReportMin: d(50 * time.Millisecond),
		ReportMax: d(300 * time.Millisecond), ReportLate: d(40 * time.Millisecond), Noise: 0.1, Body: 60, Handshake: d(2 * time.Millisecond)}}
	if p.Zones > 0 {
		f.Hosts[0].Conns = mostConnections
	}
	for zone := 1; zone < p.Zones; zone++ {
		h := f.Hosts[0]
		h.Site = fmt.Sprintf("zone-%d", zone)
		f.Hosts = append(f.Hosts, h)
	}
	return f
}

// zone is where a host stands; one that replaces another stands where that stood.
func (w *world) zone(place int) experiment.Hosts {
	if w.plan.Zones == 0 {
		return w.file.Hosts[0]
	}
	return w.file.Hosts[zoneOfHost(place, w.plan.hostZones())]
}

func (w *world) build() {
	p := w.plan
	w.disc = &discoveryServer{w: w, list: registry.New(), doors: make([]*Listener, p.Gateways), addrs: make([]netip.AddrPort, p.Gateways), port: 8500}
	for n := range p.Gateways {
		w.disc.open(n)
		w.gateways = append(w.gateways, &machine{w: w, n: n, name: gatewayName(n),
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n), 1 + byte(n>>8)}), 8443)})
		if n < len(p.ClockErrors) {
			w.gateways[n].clockError = time.Duration(p.ClockErrors[n]) * time.Second
		}
	}
	switch {
	case p.Calls != nil:
		w.disc.queue = &callQueue{CallQueue: *p.Calls}
		w.disc.latest = &toldBy{sim: w.sim, work: p.Calls.work(p.Hosts)}
		w.disc.latest.caused(p.Gateways)
	case w.rates != nil:
		w.disc.queue = &callQueue{CallQueue: fleetCalls()}
	}
	for n := range p.Hosts {
		w.addHost(n, nil, p.Cold && n%2 == 0)
	}
	w.disc.lag = msec(p.LagMS)
	if p.Pushed {
		for n := range p.Gateways {
			w.disc.agents = append(w.disc.agents, &agent{d: w.disc, via: n, list: w.disc.list.Copy()})
		}
	}
	if p.Views {
		w.beliefs = newBeliefs(w)
	}
	for _, m := range w.gateways {
		m.start()
	}
}

// addHost starts a host; it takes over another's addresses if they are given.
func (w *world) addHost(n int, addrs []netip.AddrPort, cold bool) {
	spec := w.file.Spec(w.zone(n), n)
	h := &host{w: w, n: n, name: spec.Name, spec: spec, ledger: requestrecord.NewHost(spec.Name), addrs: addrs, share: make(map[string]float64)}
	if addrs == nil {
		for g := range w.gateways {
			h.addrs = append(h.addrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3 + byte(n>>8), byte(n), byte(g%250 + 1)}), uint16(9000+g/250)))
		}
	}
	h.start(cold)
	if n < len(w.hosts) {
		w.hosts[n] = h
	} else {
		w.hosts = append(w.hosts, h)
	}
	w.list(h, registry.Up, cold)
}

func (w *world) list(h *host, state string, cold bool) {
	e := registry.Entry{Host: h.name, Site: h.spec.Site, Kind: "h", State: state, Dial: make(map[string]string)}
	if old, ok := w.disc.list.Find(h.name); ok {
		e.Born = old.Born
	}
	if cold {
		e.Born = w.sim.Now().Milliseconds()
	}
	for g, a := range h.addrs {
		e.Dial[gatewayName(g)] = a.String()
	}
	if w.disc.lag == 0 && w.sim.Since() == 0 {
		w.disc.list.Put(e)
		return
	}
	w.disc.put(e)
}

// start starts a gateway's process, which knows nothing but its last list.
func (m *machine) start() {
	w := m.w
	if m.up {
		return // a kill within a planned restart: both would start it again
	}
	settings := w.file.Settings(m.n)
	if w.plan.Pushed {
		settings["registry_mode"] = "automatic"
	}
	if w.plan.Zones > 0 {
		settings["zone"] = m.n % w.plan.Zones
	}
	conf, err := json.Marshal(map[string]any{"name": m.name, "listen": m.addr.String(), "discovery": w.disc.addrs[m.n].String(),
		"seed": fmt.Sprintf("%016x", w.sim.Rand.Uint64()), "limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": w.plan.Sockets},
		"known": json.RawMessage(m.known().Line(m.name, 0)), "settings": settings})
	if err != nil {
		panic(err)
	}
	m.conf = conf
	cfg, err := config.Config{Name: m.name, Path: m.name, Listen: m.addr}.Reload(conf)
	if err != nil {
		panic(err)
	}
	cfg.HotRestartDir = "/tmp/" + m.name
	if w.beliefs != nil {
		cfg.Gossip, cfg.GossipPath = w.beliefs.file(m.n), w.beliefs.path(m.n)
	}
	m.up, m.left = true, false
	m.life++
	if len(w.disc.agents) > 0 {
		m.told()
	}
	w.sim.Note("%s starts", m.name)
	gw := gateway.New(cfg, m.logger())
	w.guarded = append(w.guarded, guarded{m.name, gw})
	if m.before = (process{}); m.elder != nil {
		m.before = m.process
	}
	if w.beliefs != nil {
		w.beliefs.started(m, gw)
	}
	pid := m.process.pid
	var l *Loop
	l = NewLoop(w.sim, w.net, nil, func(err error) {
		w.sim.Note("%s exits", m.name)
		if w.beliefs != nil {
			w.beliefs.ended(pid)
		}
		if err != nil {
			w.find(BadExit, m.name, "%v", err)
		}
		if l == m.loop {
			m.up, m.died = false, w.sim.Now()
		} else if l == m.elder {
			m.elder, m.until = nil, w.sim.Now()
		}
	})
	m.loop = l
	m.loop.ClockError = m.clockError
	m.loop.Sockets, m.loop.Cost, m.loop.Partial = w.plan.Sockets, time.Duration(w.plan.CostUS)*time.Microsecond, w.plan.Partial
	m.loop.Listens = func() { m.since = w.sim.Now() }
	m.loop.Beside = func() int {
		for _, other := range []*Loop{m.loop, m.elder} {
			if other != nil && other != l && other.Running() {
				return other.files()
			}
		}
		return 0
	}
	m.loop.Files = func(path string) ([]byte, error) {
		switch {
		case path == m.name:
			return m.conf, nil
		case w.beliefs != nil && path == w.beliefs.path(m.n):
			return w.beliefs.text(m.n), nil
		}
		return nil, os.ErrNotExist
	}
	m.loop.Run(w.wrap(gw))
}

// halted tells whether the gateway's process stands still.
func (m *machine) halted() bool {
	n := len(m.halts)
	return n > 0 && m.w.sim.Now() < m.halts[n-1][1]
}

// ended keeps the list that a gateway had when it ended, which is all that it has when it starts again.
func (m *machine) ended() {
	if len(m.w.disc.agents) > 0 && (m.last == nil || m.w.disc.of(m.n).Seq() > m.last.Seq()) {
		m.last = m.w.disc.of(m.n).Copy()
	}
	m.w.disc.forget(m.n)
}

// known is the list that a gateway starts with.
func (m *machine) known() *registry.Roster {
	if m.last != nil {
		return m.last
	}
	return m.w.disc.of(m.n)
}

// told has the list that a gateway starts with and that of its agent, if that is newer, count as told now.
func (m *machine) told() {
	list := m.w.disc.of(m.n)
	if m.last != nil && m.elder == nil { // the next process of an upgrade hears from its elder
		now := list.Copy()
		list.Follow(m.last)
		list.Note(m.name, m.w.sim.Now())
		list.Follow(now)
	}
	if agent := m.w.disc.agents[m.n]; !agent.away && list.Seq() >= m.known().Seq() {
		list.Note(m.name, m.w.sim.Now())
	}
}

// logger writes a gateway's log into the trace, where there is one. The hash does not take it in.
func (m *machine) logger() zerolog.Logger {
	if m.w.sim.trace == nil {
		return zerolog.Nop()
	}
	return zerolog.New(logLine{m.w.sim}).Level(zerolog.InfoLevel).With().Str("name", m.name).Logger()
}

func (l logLine) Write(line []byte) (int, error) {
	_, err := fmt.Fprintf(l.sim.trace, "%d log %s", l.sim.Since().Microseconds(), line)
	return len(line), err
}

func (w *world) host(n int) *host {
	if n < 0 || n >= len(w.hosts) || w.hosts[n].gone {
		return nil
	}
	return w.hosts[n]
}
