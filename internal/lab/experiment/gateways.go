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

// gateway is one gateway process, restarted under its name and address.
type gateway struct {
	name       string
	addr       string
	clientAddr string // where clients find it
	rank       int
	config     string
	log        string

	mu           sync.Mutex
	process      *process // nil before the first
	kills        []time.Duration
	stops        []time.Duration // SIGTERMs
	starts       int
	initialHosts []byte // to start with, in place of the list as it stands
	series       gatewaySeries
}

// process is one run of a gateway's program.
type process struct {
	cmd         *exec.Cmd
	endExpected atomic.Bool // its end is no crash
	ended       chan bool   // closed once it has ended
	err         error       // how, to be read after that
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
			g.clientAddr, err = w.path(NodeClients, g.name, g.addr)
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
		if g.current() == nil {
			continue
		}
		if err := w.waitReady(ctx, g); err != nil {
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

// startGateway starts a process that knows nothing but the list as it stands.
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

// startProcess starts the program with a gateway's configuration as it lies there.
func (w *World) startProcess(g *gateway, discovery string, extraEnv []string) (*process, error) {
	logFile, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
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
	cmd.Env = append(cmd.Env, extraEnv...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
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
		if !p.endExpected.Load() {
			w.mu.Lock()
			w.findings = append(w.findings, requestrecord.Finding{Rule: requestrecord.GatewayDied, ID: g.name,
				At:     w.Clock(),
				Detail: fmt.Sprintf("ended by itself: %v, see %s", p.err, g.log)})
			w.mu.Unlock()
		}
		close(p.ended)
	}()
	return p, nil
}

func (g *gateway) current() *process { g.mu.Lock(); defer g.mu.Unlock(); return g.process }

// kill ends a gateway as kill -9 does.
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

// stop ends a gateway as a planned restart does.
func (w *World) stop(g *gateway, front *load.Front) {
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
	})
	if !killed && p.err != nil {
		w.mu.Lock()
		w.findings = append(w.findings, requestrecord.Finding{Rule: requestrecord.GatewayDied, ID: g.name,
			At:     w.Clock(),
			Detail: fmt.Sprintf("after SIGTERM: %v, see %s", p.err, g.log)})
		w.mu.Unlock()
	}
	w.discovery.Forget(g.name)
}

// terminate sends SIGTERM and waits; it reports whether the process had to be killed once it should have ended.
func (w *World) terminate(p *process, onSignal func()) (killed bool) {
	p.endExpected.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	onSignal()
	select {
	case <-p.ended:
		return false
	case <-time.After(w.longestTimeout() + killDelay):
		p.kill()
		return true
	}
}
