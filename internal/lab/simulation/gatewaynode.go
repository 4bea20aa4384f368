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

// gatewayNode is a gateway's machine. Its process may end and start again.
type gatewayNode struct {
	run          *simulator
	index        int
	name         string
	addr         netip.AddrPort
	configFile   []byte // contents of its configuration file
	loop         *Loop
	predecessor  *Loop // the predecessor process during an upgrade
	up           bool
	withdrawn    bool // the front load balancer sends it no requests, since it is about to restart
	diedAt       time.Duration
	lastList     *registry.Registry // with Plan.Pushed: the list that the last process had at its end
	upgradeFrom  time.Duration      // start of the latest upgrade: the successor has the listening socket
	upgradeUntil time.Duration      // end of the latest upgrade
	kills        []time.Duration    // times of kills
	stops        []time.Duration    // times of SIGTERM in planned restarts
	halts        [][2]time.Duration // start and end of each halt
	generation   int                // number of processes started so far
	// clockError is by how much the machine's wall clock is ahead at present. A running process does not notice a
	// step of that clock.
	clockError time.Duration

	process, previous process // the latest process, and during an upgrade its predecessor
}

// start starts a gateway's process. The process knows only the list of hosts that the previous process saved.
func (g *gatewayNode) start() {
	s := g.run
	if g.up {
		return // a kill during a planned restart: each of the two faults starts the process again
	}
	cfg := g.configure()
	g.up, g.withdrawn = true, false
	g.generation++
	if len(s.discovery.agents) > 0 {
		g.noteInitialList()
	}
	s.sim.Note("%s starts", g.name)
	gw := gateway.New(cfg, g.logger())
	s.checkers = append(s.checkers, checkedGateway{g.name, gw})
	if g.previous = (process{}); g.predecessor != nil {
		g.previous = g.process
	}
	if s.views != nil {
		s.views.started(g, gw)
	}
	g.loop = g.newLoop()
	g.loop.Run(s.wrap(gw))
}

// configure writes the gateway's configuration file and parses it as the process does.
func (g *gatewayNode) configure() config.Config {
	s := g.run
	conf, err := json.Marshal(map[string]any{
		"name":      g.name,
		"listen":    g.addr.String(),
		"discovery": s.discovery.addrs[g.index].String(),
		"seed":      fmt.Sprintf("%016x", s.sim.Rand.Uint64()),
		"limits":    map[string]any{"cores": 1, "memory_mb": s.plan.limitMemory(), "sockets": s.plan.Sockets},
		"known":     json.RawMessage(g.initialList().Line(g.name, 0)),
		"settings":  g.settings(),
	})
	if err != nil {
		panic(err)
	}
	g.configFile = conf
	cfg, err := config.Config{Name: g.name, Path: g.name, Listen: g.addr}.Reload(conf)
	if err != nil {
		panic(err)
	}
	cfg.HotRestartSocket = "/tmp/" + g.name
	if s.views != nil {
		cfg.Gossip, cfg.GossipPath = s.views.gossipConfig(g.index), s.views.gossipPath(g.index)
	}
	return cfg
}

// settings returns the settings of the plan's experiment, with the gateway's zone.
func (g *gatewayNode) settings() map[string]any {
	settings := g.run.file.Settings(g.index)
	if g.run.plan.Pushed {
		settings["registry_mode"] = "automatic"
	}
	if g.run.plan.Zones > 0 {
		settings["zone"] = g.index % g.run.plan.Zones
	}
	return settings
}

// newLoop prepares the loop of the process that is about to start.
func (g *gatewayNode) newLoop() *Loop {
	s, pid := g.run, g.process.pid
	var l *Loop
	l = NewLoop(s.sim, s.net, nil, func(err error) { g.exited(l, pid, err) })
	l.ClockError = g.clockError
	l.Sockets, l.PartialReadChance = s.plan.Sockets, s.plan.PartialReads
	l.EventCost = time.Duration(s.plan.CostUS) * time.Microsecond
	l.OnListen = func() { g.upgradeFrom = s.sim.Now() }
	l.OtherDescriptors = func() int { return g.otherDescriptors(l) }
	l.Files = g.readFile
	return l
}

// exited records the end of a process.
func (g *gatewayNode) exited(l *Loop, pid int, err error) {
	s := g.run
	s.sim.Note("%s exits", g.name)
	if s.views != nil {
		s.views.ended(pid)
	}
	if err != nil {
		s.addFinding(BadExit, g.name, "%v", err)
	}
	if l == g.loop {
		g.up, g.diedAt = false, s.sim.Now()
	} else if l == g.predecessor {
		g.predecessor, g.upgradeUntil = nil, s.sim.Now()
	}
}

// otherDescriptors returns the number of descriptors of the gateway's other process during an upgrade.
func (g *gatewayNode) otherDescriptors(l *Loop) int {
	for _, other := range []*Loop{g.loop, g.predecessor} {
		if other != nil && other != l && other.Running() {
			return other.descriptors()
		}
	}
	return 0
}

// readFile returns the contents of a file that the gateway's process reads.
func (g *gatewayNode) readFile(path string) ([]byte, error) {
	views := g.run.views
	switch {
	case path == g.name:
		return g.configFile, nil
	case views != nil && path == views.gossipPath(g.index):
		return views.gossipText(g.index), nil
	}
	return nil, os.ErrNotExist
}

// halted reports whether the gateway's process is stopped, as by SIGSTOP.
func (g *gatewayNode) halted() bool {
	n := len(g.halts)
	return n > 0 && g.run.sim.Now() < g.halts[n-1][1]
}

// saveLastList saves the list that a process had when it ended; the next process has no other list when it
// starts.
func (g *gatewayNode) saveLastList() {
	if len(g.run.discovery.agents) > 0 &&
		(g.lastList == nil || g.run.discovery.listFor(g.index).Version() > g.lastList.Version()) {
		g.lastList = g.run.discovery.listFor(g.index).Copy()
	}
	g.run.discovery.forget(g.index)
}

// initialList returns the list with which a process starts.
func (g *gatewayNode) initialList() *registry.Registry {
	if g.lastList != nil {
		return g.lastList
	}
	return g.run.discovery.listFor(g.index)
}

// noteInitialList records as notified the changes in the list with which a process starts, and those in its
// agent's list if that list is at least as new.
func (g *gatewayNode) noteInitialList() {
	list := g.run.discovery.listFor(g.index)
	if g.lastList != nil && g.predecessor == nil { // in an upgrade, the successor gets the list from its predecessor
		now := list.Copy()
		list.CopyFrom(g.lastList)
		list.RecordNotification(g.name, g.run.sim.Now())
		list.CopyFrom(now)
	}
	if agent := g.run.discovery.agents[g.index]; !agent.down && list.Version() >= g.initialList().Version() {
		list.RecordNotification(g.name, g.run.sim.Now())
	}
}

// logger writes a gateway's log into the trace, if there is one. The hash does not include the log.
func (g *gatewayNode) logger() zerolog.Logger {
	if g.run.sim.trace == nil {
		return zerolog.Nop()
	}
	return zerolog.New(logLine{g.run.sim}).Level(zerolog.InfoLevel).With().Str("name", g.name).Logger()
}

// checkedGateway is a gateway process of the run. At the end of the run, the counts of violations that its
// invariant checker has suppressed are read.
type checkedGateway struct {
	name    string
	gateway *gateway.Gateway
}

func gatewayName(n int) string { return fmt.Sprintf("g%d", n) }

// logLine prefixes each line of a log with the time since the start of the run, in microseconds.
type logLine struct{ sim *Sim }

func (l logLine) Write(line []byte) (int, error) {
	_, err := fmt.Fprintf(l.sim.trace, "%d log %s", l.sim.Elapsed().Microseconds(), line)
	return len(line), err
}
