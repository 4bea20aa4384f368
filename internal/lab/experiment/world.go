package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"thymebend/internal/lab/emulation"
	"thymebend/internal/lab/load"
	"thymebend/internal/lab/requestrecord"
)

// The rules in figures.
const (
	drainGrace = 300 * time.Millisecond // 250 ms, and 50 ms as for every time limit on sockets
	killAfter  = 700 * time.Millisecond // after SIGTERM and the longest patience
	leaveFront = 300 * time.Millisecond // the front sends on for so long after SIGTERM
	readyWait  = 15 * time.Second
)

// World is the running laboratory: hosts, discovery and, if asked for, gateways.
type World struct {
	File  *File
	Clock emulation.Clock
	Front *load.Front

	mu       sync.Mutex
	disc     *emulation.Discovery
	hosts    []*member
	gateways []*gateway
	findings []requestrecord.Finding
	ledgers  []*requestrecord.EndpointRecord // of hosts that have gone
	marks    []Mark
	replaced int
	dir      string
	seed     uint64
	extra    []*process // of gateways, beside those that serve
	program  string
	rig      Rig            // nil in an experiment
	pending  sync.WaitGroup // events under way
}

// member is a host as discovery and the laboratory know it.
type member struct {
	*emulation.Host
	entry emulation.Entry
	spec  Hosts
	n     int
	gone  atomic.Bool
	series
}

// Mark is an event as it happened.
type Mark struct {
	At   float64 `json:"at_s"`
	Text string  `json:"text"`
}

// NewWorld starts the hosts and discovery. vias are the names of those that reach them: the gateways.
func NewWorld(f *File, seed uint64, vias []string, discoveryAt string) (*World, error) {
	return newWorld(f, seed, vias, discoveryAt, nil, emulation.NewClock())
}

func newWorld(f *File, seed uint64, vias []string, discoveryAt string, rig Rig, clock emulation.Clock) (*World, error) {
	w := &World{File: f, Clock: clock, seed: seed, rig: rig}
	w.disc = emulation.NewDiscovery(w.Clock, 0)
	w.disc.SetPushed(f.Discovery.Pushed)
	for _, h := range f.Hosts {
		for n := range h.Count {
			if _, err := w.start(h, n, vias, nil, h.Cold); err != nil {
				w.Close()
				return nil, err
			}
		}
	}
	w.disc.SetLag(f.Discovery.Lag.Duration)
	for _, via := range vias {
		if _, err := w.disc.Open(via, discoveryAt); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

// start starts a host and lists it. addrs gives the addresses of its doors; nil takes free ones.
func (w *World) start(h Hosts, n int, vias []string, addrs map[string]string, cold bool) (*member, error) {
	spec := w.File.Spec(h, n)
	w.mu.Lock()
	w.seed++
	seed := w.seed
	w.mu.Unlock()
	host, err := emulation.NewHost(spec, w.Clock, emulation.Options{Seed: seed, Cold: cold, Idle: h.Idle.Duration,
		Arrived: w.arrived, Cell: w.File.cell(h, n)})
	if err != nil {
		return nil, err
	}
	m := &member{Host: host, spec: h, n: n}
	m.entry = emulation.Entry{Host: spec.Name, Site: spec.Site, Kind: spec.Kind, State: emulation.StateUp, Dial: make(map[string]string),
		Cell: w.File.cell(h, n)}
	if cold {
		m.entry.Born = time.Now().UnixMilli()
	}
	for _, via := range vias {
		at := addrs[via]
		switch {
		case w.rig != nil: // a rig's paths have addresses of their own
			at = net.JoinHostPort(w.rig.HostAddress(), "0")
		case at == "":
			at = "127.0.0.1:0"
		}
		if at, err = host.Open(via, at); err == nil {
			m.entry.Dial[via], err = w.path(via, spec.Name, at)
		}
		if err != nil {
			return nil, err
		}
	}
	w.mu.Lock()
	w.hosts = append(w.hosts, m)
	w.mu.Unlock()
	w.disc.Put(m.entry)
	return m, nil
}

// arrived holds every request against what its gateway had been told about the host.
func (w *World) arrived(host, via, id string, first time.Duration) {
	told, ok := w.disc.Told(via, host)
	if late := first - told.At; ok && late > drainGrace {
		w.mu.Lock()
		w.findings = append(w.findings, requestrecord.Finding{Rule: requestrecord.LateToDrained, ID: id, At: first,
			Detail: fmt.Sprintf("%s sent to %s %v after it was told %s", via, host, late.Round(time.Millisecond), told.State)})
		w.mu.Unlock()
	}
}

// Addresses lists hosts and discovery as one of the vias reaches them.
func (w *World) Addresses(via string) (discovery string, hosts map[string]string) {
	hosts = make(map[string]string)
	for _, m := range w.members() {
		hosts[m.Name] = m.Addr(via)
	}
	return w.disc.Addr(via), hosts
}

func (w *World) members() []*member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.hosts)
}

func (w *World) mark(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.marks = append(w.marks, Mark{At: w.Clock().Seconds(), Text: fmt.Sprintf(format, args...)})
}

// Settings are what a gateway of this experiment is told, in the platform's form.
func (f *File) Settings(rank int) map[string]any {
	var classes []map[string]any
	for _, c := range f.Classes {
		repeat := "repeatable"
		group := "all"
		switch {
		case c.Unsafe:
			repeat = "once"
		case c.Keyed:
			repeat, group = "by_key", "cell"
		}
		classes = append(classes, map[string]any{"name": c.Name, "aim_ms": c.Aim.Milliseconds(),
			"give_up_ms": c.Patience.Milliseconds(), "repeat": repeat, "worth": c.Worth, "group": group,
			"window_ms": c.Window.Milliseconds(), "late_worth": c.Late})
	}
	var zones []string
	from, warm, multiple, overload, idle := 1.0, time.Duration(0), 1.0, time.Second, 30*time.Second
	for _, h := range f.Hosts {
		if !slices.Contains(zones, h.Site) {
			zones = append(zones, h.Site)
		}
		if h.ColdFrom > 0 {
			from = min(from, h.ColdFrom)
			warm = max(warm, h.ColdFor.Duration)
		}
		if h.Fall > 0 {
			if multiple == 1 || h.Fall < multiple {
				multiple = h.Fall
			}
			overload = h.FallFor.Duration
		}
		idle = min(idle, h.Idle.Duration)
	}
	if multiple == 1 {
		multiple = 3
	}
	names := emulation.DefaultFields()
	mode, zone := "subscribe", 0
	if f.Discovery.Pushed {
		mode = "automatic"
	}
	if f.Gateways.Spread {
		zone = rank % len(zones)
	}
	how, columns := "silent", []string{}
	if slices.ContainsFunc(f.Hosts, func(h Hosts) bool { return h.ReportMax.Duration > 0 }) {
		how, columns = "piggyback", []string{names.Queue, names.InFlight, names.Errors}
	}
	return map[string]any{
		"balancers": f.Gateways.Count, "rank": rank, "zone": zone, "zones": zones, "tick_ms": 5,
		"registry_mode": mode, "counted_by": "request",
		"report": map[string]any{"how": how, "columns": columns},
		"guarantees": map[string]any{"ask_within_ms": 10000, "cold_from": from, "warm_after_ms": warm.Milliseconds(),
			"fall_multiple": multiple, "overload_for_ms": overload.Milliseconds(), "drain_grace_ms": 250},
		"clients": map[string]any{"marks_retry": f.Clients.Marks},
		"bounds": map[string]any{"connect_timeout_ms": 250, "conn_idle_ms": idle.Milliseconds(), "most_tries": 4, "open_cap": 20000,
			"cancel": true, "retry_after": true, "max_retry_after_ms": f.Clients.MostAfter.Milliseconds(), "max_streams": 1},
		"classes": classes,
	}
}

// known is the list that a gateway starts with.
func (w *World) known(name string) []byte {
	for _, g := range w.gateways {
		if g.name == name {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.known != nil {
				return g.known
			}
		}
	}
	return w.disc.Known(name)
}

// Config is the configuration file of a gateway, in the platform's form.
func (w *World) Config(name string, rank int, listen, discovery string) ([]byte, error) {
	g := w.File.Gateways
	return json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", w.seed*2654435761+uint64(rank)),
		"limits":   map[string]any{"cores": g.Cores, "memory_mb": g.MemoryMB, "sockets": g.Sockets},
		"known":    json.RawMessage(w.known(name)),
		"settings": w.File.Settings(rank),
	}, "", " ")
}

// gateway is one gateway process, restarted under its name and address.
type gateway struct {
	name   string
	addr   string
	front  string // where clients find it
	rank   int
	config string
	log    string

	mu     sync.Mutex
	proc   *process // nil before the first
	kills  []time.Duration
	stops  []time.Duration // SIGTERMs
	starts int
	known  []byte // to start with, in place of the list as it stands
	series gatewaySeries
}

// process is one run of a gateway's program.
type process struct {
	cmd     *exec.Cmd
	planned atomic.Bool // its end is no crash
	ended   chan bool   // closed once it has ended
	err     error       // how, to be read after that
}

// kill ends the process, and what it may have started, at once.
func (p *process) kill() {
	select {
	case <-p.ended: // its number may be another's by now
	default:
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
		<-p.ended
	}
}

// startGateways starts the processes and waits until all are ready.
func (w *World) startGateways(ctx context.Context, program, dir string) error {
	w.dir = dir
	var err error
	if w.program, err = filepath.Abs(program); err != nil {
		return err
	}
	for i := range w.File.Gateways.Count {
		g := &gateway{name: GatewayName(i), rank: i}
		if w.rig != nil {
			g.addr, err = w.rig.Listen(g.name)
		} else {
			g.addr, err = freeAddress()
		}
		if err == nil {
			g.front, err = w.path(NodeClients, g.name, g.addr)
		}
		if err != nil {
			return err
		}
		g.config = filepath.Join(dir, g.name+".json")
		g.log = filepath.Join(dir, g.name+".log")
		_ = os.Remove(g.log)
		w.gateways = append(w.gateways, g)
		if w.rig != nil && w.rig.Late(g.name) {
			continue
		}
		if err := w.startGateway(g); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if g.present() == nil {
			continue
		}
		if err := w.ready(ctx, g); err != nil {
			return err
		}
	}
	return nil
}

// GatewayName names a gateway by its number.
func GatewayName(i int) string { return fmt.Sprintf("gateway-%d", i) }

// GatewayNames names the first n.
func GatewayNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = GatewayName(i)
	}
	return names
}

// freeAddress is a port that was free a moment ago; the gateway must listen on one that it is told.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (w *World) ready(ctx context.Context, g *gateway) error {
	for end := time.Now().Add(readyWait); !load.Healthy(ctx, g.addr); {
		p := g.present()
		select {
		case <-p.ended:
			return fmt.Errorf("%s ended before it was ready (%v), see %s", g.name, p.err, g.log)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s was not ready within %v, see %s", g.name, readyWait, g.log)
		}
	}
	return nil
}

// startGateway starts a process that knows nothing but the list as it stands.
func (w *World) startGateway(g *gateway) error {
	discovery, err := w.path(g.name, NodeDiscovery, w.disc.Addr(g.name))
	if err != nil {
		return err
	}
	conf, err := w.Config(g.name, g.rank, g.addr, discovery)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.config, conf, 0o600); err != nil {
		return err
	}
	p, err := w.startProcess(g, discovery, nil)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.proc = p
	g.starts++
	g.mu.Unlock()
	return nil
}

// startProcess starts the program with a gateway's configuration as it lies there.
func (w *World) startProcess(g *gateway, discovery string, more []string) (*process, error) {
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	// The shell sets the limit on descriptors and gives way to the program, so that its pid is the program's.
	cmd := exec.Command("/bin/sh", "-c", `ulimit -n "$1" && exec "$2"`, "sh", fmt.Sprint(w.File.Gateways.Sockets), w.program)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+g.config, "LB_NAME="+g.name, "LB_LISTEN="+g.addr,
		"LB_DISCOVERY="+discovery, "LB_LOG="+w.File.Gateways.Log)
	if w.rig != nil {
		env, err := w.rig.Environment(g.name)
		if err != nil {
			return nil, err
		}
		cmd.Env = append(cmd.Env, env...)
	}
	cmd.Env = append(cmd.Env, more...)
	cmd.Stdout, cmd.Stderr = out, out
	// It must not outlive a laboratory that dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", g.name, err)
	}
	p := &process{cmd: cmd, ended: make(chan bool)}
	if w.rig != nil {
		w.rig.Started(g.name, cmd.Process.Pid)
	}
	go func() {
		p.err = cmd.Wait()
		if w.rig != nil {
			w.rig.Ended(g.name, cmd.Process.Pid)
		}
		if !p.planned.Load() {
			w.mu.Lock()
			w.findings = append(w.findings, requestrecord.Finding{Rule: requestrecord.GatewayDied, ID: g.name, At: w.Clock(),
				Detail: fmt.Sprintf("ended by itself: %v, see %s", p.err, g.log)})
			w.mu.Unlock()
		}
		close(p.ended)
	}()
	return p, nil
}

func (g *gateway) present() *process { g.mu.Lock(); defer g.mu.Unlock(); return g.proc }

// kill ends a gateway as kill -9 does.
func (w *World) kill(g *gateway) {
	p := g.present()
	if p == nil {
		return
	}
	p.planned.Store(true)
	g.mu.Lock()
	g.kills = append(g.kills, w.Clock())
	g.mu.Unlock()
	p.kill()
	w.disc.Forget(g.name)
}

// stop ends a gateway as a planned restart does.
func (w *World) stop(g *gateway, front *load.Front) {
	p := g.present()
	if p == nil {
		return
	}
	select {
	case <-p.ended:
		w.disc.Forget(g.name)
		return
	default:
	}
	killed := w.term(p, func() {
		g.mu.Lock()
		g.stops = append(g.stops, w.Clock())
		g.mu.Unlock()
		if front != nil {
			time.AfterFunc(leaveFront, func() { front.Leave(g.front) })
		}
	})
	if !killed && p.err != nil {
		w.mu.Lock()
		w.findings = append(w.findings, requestrecord.Finding{Rule: requestrecord.GatewayDied, ID: g.name, At: w.Clock(),
			Detail: fmt.Sprintf("after SIGTERM: %v, see %s", p.err, g.log)})
		w.mu.Unlock()
	}
	w.disc.Forget(g.name)
}

// term sends SIGTERM and waits; it reports whether the process had to be killed once it should have ended.
func (w *World) term(p *process, sent func()) (killed bool) {
	p.planned.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	sent()
	select {
	case <-p.ended:
		return false
	case <-time.After(w.longest() + killAfter):
		p.kill()
		return true
	}
}

// longest is the longest patience of a client.
func (w *World) longest() (out time.Duration) {
	for _, c := range w.File.Classes {
		out = max(out, c.Patience.Duration)
	}
	return out
}

// excused tells whether a try was lost for a reason that no rule forbids: its gateway was killed while it held
// the try, or the try came to it long after SIGTERM.
func (w *World) excused(t requestrecord.Attempt) bool {
	for _, g := range w.gateways {
		if g.front != t.Target {
			continue
		}
		if w.rig != nil && w.rig.Excuses(g.name, t) {
			return true
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		return t.Excuses(g.kills, g.stops, killSpread)
	}
	return false
}

// killSpread is how far apart the clock was read from the kill itself.
const killSpread = 20 * time.Millisecond

// Close ends everything and returns the hosts' ledgers, at rest.
func (w *World) Close() []*requestrecord.EndpointRecord {
	for _, g := range w.gateways {
		if p := g.present(); p != nil {
			p.planned.Store(true)
			p.kill()
		}
	}
	w.mu.Lock()
	extra := w.extra
	w.mu.Unlock()
	for _, p := range extra {
		p.planned.Store(true)
		p.kill()
	}
	for _, m := range w.members() {
		if !m.gone.Load() {
			w.ledgers = append(w.ledgers, m.Host.Close())
			m.gone.Store(true)
		}
	}
	w.disc.Close()
	return w.ledgers
}
