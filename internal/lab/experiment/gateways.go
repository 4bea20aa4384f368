package experiment

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"thymebend/internal/lab/load"
	"thymebend/internal/lab/requestrecord"
)

// gateway is one gateway of the run. Its process may be restarted, under the same name and address.
type gateway struct {
	name       string
	addr       string
	clientAddr string // address that clients use; a rig may route it to addr
	rank       int
	config     string
	log        string

	mu           sync.Mutex
	process      *process // the serving process, which may have ended; nil before the first start
	kills        []time.Duration
	stops        []time.Duration // times of SIGTERM for a stop or restart; stops and kills are on the clock of the run
	starts       int
	initialHosts []byte // host list for the next start; nil means the list of discovery at that time
	series       gatewaySeries
}

// process is one process of a gateway.
type process struct {
	cmd         *exec.Cmd
	endExpected atomic.Bool // set before a kill or stop, so that the end is not reported as a crash
	ended       chan bool   // closed after the process has ended
	err         error       // result of Wait; valid after ended is closed
}

// kill ends the process and every process of its process group with SIGKILL, and waits for the end.
func (p *process) kill() {
	select {
	case <-p.ended: // the pid may belong to another process now
	default:
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
		<-p.ended
	}
}

// startGateways starts the gateways from the given program and waits until all are ready. dir receives their
// configuration files and logs. A gateway that the rig starts later gets its addresses but is not started.
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
			g.clientAddr, err = w.path(NodeClients, g.name, g.addr)
		}
		if err != nil {
			return err
		}
		g.config = filepath.Join(dir, g.name+".json")
		g.log = filepath.Join(dir, g.name+".log")
		_ = os.Remove(g.log)
		w.gateways = append(w.gateways, g)
		if w.rig != nil && w.rig.StartsLater(g.name) {
			continue
		}
		if err := w.startGateway(g); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if g.current() == nil {
			continue
		}
		if err := w.waitReady(ctx, g); err != nil {
			return err
		}
	}
	return nil
}

// GatewayName returns the name of a gateway by its number, counted from 0.
func GatewayName(i int) string { return fmt.Sprintf("gateway-%d", i) }

// GatewayNames returns the names of the first n gateways.
func GatewayNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = GatewayName(i)
	}
	return names
}

// freeAddress returns a loopback address with a port that was free a moment ago. The gateway needs a fixed address in
// its configuration, so it cannot choose a free port by itself.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// waitReady waits until the gateway's health check succeeds, at most readyTimeout.
func (w *World) waitReady(ctx context.Context, g *gateway) error {
	for deadline := time.Now().Add(readyTimeout); !load.Healthy(ctx, g.addr); {
		p := g.current()
		select {
		case <-p.ended:
			return fmt.Errorf("%s ended before it was ready (%v), see %s", g.name, p.err, g.log)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s was not ready within %v, see %s", g.name, readyTimeout, g.log)
		}
	}
	return nil
}

// startGateway writes the configuration of a gateway and starts its process. The process gets no state of an earlier
// one except the host list in its configuration.
func (w *World) startGateway(g *gateway) error {
	discovery, err := w.path(g.name, NodeDiscovery, w.discovery.Addr(g.name))
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
	g.process = p
	g.starts++
	g.mu.Unlock()
	return nil
}

// startProcess starts the gateway program with the existing configuration file of g, and reports an unexpected end as
// a finding. extraEnv is appended to the environment.
func (w *World) startProcess(g *gateway, discovery string, extraEnv []string) (*process, error) {
	logFile, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	// The shell sets the limit on open descriptors and then replaces itself with the program, which keeps the pid.
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
	cmd.Env = append(cmd.Env, extraEnv...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The gateway must not outlive the laboratory if that dies.
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
		if !p.endExpected.Load() {
			w.mu.Lock()
			w.findings = append(w.findings, requestrecord.Finding{Rule: requestrecord.GatewayCrashed, ID: g.name,
				At:     w.Clock(),
				Detail: fmt.Sprintf("ended by itself: %v, see %s", p.err, g.log)})
			w.mu.Unlock()
		}
		close(p.ended)
	}()
	return p, nil
}

// current returns the process that was started last to serve clients, which may have ended; nil before the first
// start.
func (g *gateway) current() *process { g.mu.Lock(); defer g.mu.Unlock(); return g.process }

// kill ends a gateway with SIGKILL and records the time, which excuses the attempts that the gateway was serving.
func (w *World) kill(g *gateway) {
	p := g.current()
	if p == nil {
		return
	}
	p.endExpected.Store(true)
	g.mu.Lock()
	g.kills = append(g.kills, w.Clock())
	g.mu.Unlock()
	p.kill()
	w.discovery.Forget(g.name)
}

// stop ends a gateway with SIGTERM, as a planned restart does, and records the time. signals are sent to it after that,
// one after another. If front is not nil, the front opens no connection to the gateway from frontLeaveDelay after SIGTERM
// on, and uses the open ones until they end. An exit with an error is reported as a finding.
func (w *World) stop(g *gateway, front *load.Front, signals ...syscall.Signal) {
	p := g.current()
	if p == nil {
		return
	}
	select {
	case <-p.ended:
		w.discovery.Forget(g.name)
		return
	default:
	}
	killed := w.terminate(p, func() {
		g.mu.Lock()
		g.stops = append(g.stops, w.Clock())
		g.mu.Unlock()
		if front != nil {
			time.AfterFunc(frontLeaveDelay, func() { front.Leave(g.clientAddr) })
		}
		go p.signalSeries(signals)
	})
	if front != nil {
		front.Remove(g.clientAddr)
	}
	if !killed && p.err != nil {
		w.mu.Lock()
		w.findings = append(w.findings, requestrecord.Finding{Rule: requestrecord.GatewayCrashed, ID: g.name,
			At:     w.Clock(),
			Detail: fmt.Sprintf("after SIGTERM: %v, see %s", p.err, g.log)})
		w.mu.Unlock()
	}
	w.discovery.Forget(g.name)
}

// signalSeriesInterval is the time between two signals of a series.
const signalSeriesInterval = 20 * time.Millisecond

// signalSeries sends signals to the process, one after another, until it has ended.
func (p *process) signalSeries(signals []syscall.Signal) {
	for _, s := range signals {
		select {
		case <-p.ended:
			return
		case <-time.After(signalSeriesInterval):
			_ = p.cmd.Process.Signal(s) // the process may have ended meanwhile
		}
	}
}

// terminate sends SIGTERM, calls onSignal and waits for the end of the process. If the process has not ended after
// the longest client timeout, maxKillTimeout at most, plus killDelay, terminate kills it and returns true.
func (w *World) terminate(p *process, onSignal func()) (killed bool) {
	p.endExpected.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	onSignal()
	select {
	case <-p.ended:
		return false
	case <-time.After(min(w.longestTimeout(), maxKillTimeout) + killDelay):
		p.kill()
		return true
	}
}
