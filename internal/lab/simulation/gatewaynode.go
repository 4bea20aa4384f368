package simulation

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"thymebend/internal/config"
	"thymebend/internal/gateway"
	"thymebend/internal/lab/registry"
)

// gatewayNode is a gateway's machine; its process may end and start again.
type gatewayNode struct {
	w           *simulator
	n           int
	name        string
	addr        netip.AddrPort
	conf        []byte // its configuration file
	loop        *Loop
	predecessor *Loop // the process before, while an upgrade lasts
	up          bool
	left        bool // the front knows that it restarts
	died        time.Duration
	last        *registry.Registry // the list that it had when it ended, where lists are pushed
	since       time.Duration      // an upgrade lasts from then: its next process has the listening socket
	until       time.Duration      // until then
	kills       []time.Duration
	stops       []time.Duration
	halts       [][2]time.Duration // stopped from, to
	life        int
	// clockError is how far the machine's wall clock is ahead now. A process that runs does not notice
	// a step.
	clockError time.Duration

	process, before process // the one that was started last, and its predecessor
}

// start starts a gateway's process, which knows nothing but its last list.
func (m *gatewayNode) start() {
	w := m.w
	if m.up {
		return // a kill within a planned restart: both would start it again
	}
	cfg := m.configure()
	m.up, m.left = true, false
	m.life++
	if len(w.disc.agents) > 0 {
		m.noteInitialList()
	}
	w.sim.Note("%s starts", m.name)
	gw := gateway.New(cfg, m.logger())
	w.checkers = append(w.checkers, checkedGateway{m.name, gw})
	if m.before = (process{}); m.predecessor != nil {
		m.before = m.process
	}
	if w.views != nil {
		w.views.started(m, gw)
	}
	m.loop = m.newLoop()
	m.loop.Run(w.wrap(gw))
}

// configure writes the gateway's configuration file and reads it as its process does.
func (m *gatewayNode) configure() config.Config {
	w := m.w
	conf, err := json.Marshal(map[string]any{
		"name":      m.name,
		"listen":    m.addr.String(),
		"discovery": w.disc.addrs[m.n].String(),
		"seed":      fmt.Sprintf("%016x", w.sim.Rand.Uint64()),
		"limits":    map[string]any{"cores": 1, "memory_mb": 64, "sockets": w.plan.Sockets},
		"known":     json.RawMessage(m.known().Line(m.name, 0)),
		"settings":  m.settings(),
	})
	if err != nil {
		panic(err)
	}
	m.conf = conf
	cfg, err := config.Config{Name: m.name, Path: m.name, Listen: m.addr}.Reload(conf)
	if err != nil {
		panic(err)
	}
	cfg.HotRestartSocket = "/tmp/" + m.name
	if w.views != nil {
		cfg.Gossip, cfg.GossipPath = w.views.file(m.n), w.views.path(m.n)
	}
	return cfg
}

// settings are the day's, with the gateway's zone.
func (m *gatewayNode) settings() map[string]any {
	settings := m.w.file.Settings(m.n)
	if m.w.plan.Pushed {
		settings["registry_mode"] = "automatic"
	}
	if m.w.plan.Zones > 0 {
		settings["zone"] = m.n % m.w.plan.Zones
	}
	return settings
}

// newLoop prepares the loop of the process that is about to start.
func (m *gatewayNode) newLoop() *Loop {
	w, pid := m.w, m.process.pid
	var l *Loop
	l = NewLoop(w.sim, w.net, nil, func(err error) { m.exited(l, pid, err) })
	l.ClockError = m.clockError
	l.Sockets, l.Partial = w.plan.Sockets, w.plan.Partial
	l.Cost = time.Duration(w.plan.CostUS) * time.Microsecond
	l.Listens = func() { m.since = w.sim.Now() }
	l.Beside = func() int { return m.filesBeside(l) }
	l.Files = m.readFile
	return l
}

// exited notes the end of a process.
func (m *gatewayNode) exited(l *Loop, pid int, err error) {
	w := m.w
	w.sim.Note("%s exits", m.name)
	if w.views != nil {
		w.views.ended(pid)
	}
	if err != nil {
		w.find(BadExit, m.name, "%v", err)
	}
	if l == m.loop {
		m.up, m.died = false, w.sim.Now()
	} else if l == m.predecessor {
		m.predecessor, m.until = nil, w.sim.Now()
	}
}

// filesBeside is how many descriptors the gateway's other process has, while an upgrade lasts.
func (m *gatewayNode) filesBeside(l *Loop) int {
	for _, other := range []*Loop{m.loop, m.predecessor} {
		if other != nil && other != l && other.Running() {
			return other.files()
		}
	}
	return 0
}

// readFile is what the gateway's process reads at a path.
func (m *gatewayNode) readFile(path string) ([]byte, error) {
	views := m.w.views
	switch {
	case path == m.name:
		return m.conf, nil
	case views != nil && path == views.path(m.n):
		return views.text(m.n), nil
	}
	return nil, os.ErrNotExist
}

// halted tells whether the gateway's process stands still.
func (m *gatewayNode) halted() bool {
	n := len(m.halts)
	return n > 0 && m.w.sim.Now() < m.halts[n-1][1]
}

// ended keeps the list that a gateway had when it ended, which is all that it has when it starts again.
func (m *gatewayNode) ended() {
	if len(m.w.disc.agents) > 0 && (m.last == nil || m.w.disc.of(m.n).Seq() > m.last.Seq()) {
		m.last = m.w.disc.of(m.n).Copy()
	}
	m.w.disc.forget(m.n)
}

// known is the list that a gateway starts with.
func (m *gatewayNode) known() *registry.Registry {
	if m.last != nil {
		return m.last
	}
	return m.w.disc.of(m.n)
}

// noteInitialList has the list that a gateway starts with and that of its agent, if that is newer,
// count as notified now.
func (m *gatewayNode) noteInitialList() {
	list := m.w.disc.of(m.n)
	if m.last != nil && m.predecessor == nil { // the next process of an upgrade hears from its predecessor
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
func (m *gatewayNode) logger() zerolog.Logger {
	if m.w.sim.trace == nil {
		return zerolog.Nop()
	}
	return zerolog.New(logLine{m.w.sim}).Level(zerolog.InfoLevel).With().Str("name", m.name).Logger()
}

// checkedGateway is a process that ran, whose invariant checker is asked at the end.
type checkedGateway struct {
	name    string
	gateway *gateway.Gateway
}

func gatewayName(n int) string { return fmt.Sprintf("g%d", n) }

// logLine puts the time before each line of a log.
type logLine struct{ sim *Sim }

func (l logLine) Write(line []byte) (int, error) {
	_, err := fmt.Fprintf(l.sim.trace, "%d log %s", l.sim.Since().Microseconds(), line)
	return len(line), err
}
