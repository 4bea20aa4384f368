package experiment

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"thymebend/internal/lab/requestrecord"
)

// Rig adds to a run what stands between the processes, and sees what becomes of them. All may be called
// from several goroutines.
type Rig interface {
	// Path returns the address by which a node reaches another one that listens at addr. Nodes are
	// gateways, hosts, "discovery" and "clients".
	Path(from, to, addr string) (string, error)
	// Listen returns where a gateway is to listen.
	Listen(gateway string) (string, error)
	// HostAddress is the address, without a port, at which hosts listen. Nobody else may listen there
	// or call from there: a host that restarts needs its ports again.
	HostAddress() string
	// Environment is what a process of a gateway gets beside the usual, each process anew.
	Environment(gateway string) ([]string, error)
	// Late tells whether a gateway is not there from the start.
	Late(gateway string) bool
	// Started and Ended tell of each process of a gateway.
	Started(gateway string, pid int)
	Ended(gateway string, pid int)
	// Excuses tells whether a try that nobody answered was lost by what the rig did.
	Excuses(gateway string, t requestrecord.Attempt) bool
}

// path is the address by which a node reaches another.
func (w *World) path(from, to, addr string) (string, error) {
	if w.rig == nil {
		return addr, nil
	}
	return w.rig.Path(from, to, addr)
}

// Nodes that are neither gateways nor hosts.
const (
	NodeDiscovery = "discovery"
	NodeClients   = "clients"
)

// Handles are what plays beside the load may do to gateways, by their numbers. Each waits for its end.
type Handles struct {
	world *World
	Began time.Duration // on the run's clock
}

// Mark notes something for the report.
func (r *Handles) Mark(format string, args ...any) { r.world.addMark(format, args...) }

// Front is where clients find a gateway.
func (r *Handles) Front(n int) string { return r.world.gateways[n].clientAddr }

// Kill ends a gateway's process as kill -9 does.
func (r *Handles) Kill(n int) { r.world.kill(r.world.gateways[n]) }

// Stop ends it as a planned restart does.
func (r *Handles) Stop(n int) { r.world.stop(r.world.gateways[n], r.world.Front) }

// Start starts a gateway that does not run, and waits until it is ready.
func (r *Handles) Start(ctx context.Context, n int) error {
	g := r.world.gateways[n]
	if err := r.world.startGateway(g); err != nil {
		return err
	}
	return r.world.waitReady(ctx, g)
}

// Heavy has the front deal a share of all traffic to some gateways, beside their turns.
func (r *Handles) Heavy(gateways []int, share float64) {
	var addrs []string
	for _, n := range gateways {
		addrs = append(addrs, r.world.gateways[n].clientAddr)
	}
	r.world.Front.Heavy(addrs, share)
}

// Signal sends a signal to a gateway's process.
func (r *Handles) Signal(n int, s syscall.Signal) error { return r.world.gateways[n].signal(s) }

// Known keeps the list that a gateway would start with now; StartWith starts it with that.
func (r *Handles) Known(n int) []byte { return r.world.discovery.Known(r.world.gateways[n].name) }

// StartWith starts a gateway with a host list that it had.
func (r *Handles) StartWith(ctx context.Context, n int, known []byte) error {
	g := r.world.gateways[n]
	g.mu.Lock()
	g.initialHosts = known
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.initialHosts = nil
		g.mu.Unlock()
	}()
	return r.Start(ctx, n)
}

// Upgrade starts a second process of a gateway, waits until ready tells that it takes clients, ends the
// first one and waits for that.
func (r *Handles) Upgrade(ctx context.Context, n int, ready func(pid int) bool) error {
	w, g := r.world, r.world.gateways[n]
	predecessor := g.current()
	if predecessor == nil {
		return fmt.Errorf("%s does not run", g.name)
	}
	successor, err := r.startSecondProcess(ctx, g, ready)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.process = successor
	g.starts++
	g.mu.Unlock()
	// It is no stop that clients' tries are excused by: the next process takes what comes.
	killed := w.terminate(predecessor, func() {})
	switch {
	case killed:
		return fmt.Errorf("the elder process of %s had to be killed", g.name)
	case predecessor.err != nil:
		return fmt.Errorf("the elder process of %s: %w", g.name, predecessor.err)
	}
	return nil
}

// Twin starts a second process under a gateway's name that knows nothing of the first one and has an
// address of its own for clients, who do not know it. The returned function kills it.
func (r *Handles) Twin(ctx context.Context, n int, ready func(pid int) bool) (end func(), err error) {
	addr, err := r.world.rig.Listen(r.world.gateways[n].name)
	if err != nil {
		return nil, err
	}
	p, err := r.startSecondProcess(ctx, r.world.gateways[n], ready, "LB_LISTEN="+addr)
	if err != nil {
		return nil, err
	}
	return func() { p.endExpected.Store(true); p.kill() }, nil
}

// startSecondProcess starts a process of a gateway beside the one that there is.
func (r *Handles) startSecondProcess(ctx context.Context, g *gateway, ready func(pid int) bool, extraEnv ...string) (*process, error) {
	discovery, err := r.world.path(g.name, NodeDiscovery, r.world.discovery.Addr(g.name))
	if err != nil {
		return nil, err
	}
	p, err := r.world.startProcess(g, discovery, extraEnv)
	if err != nil {
		return nil, err
	}
	r.world.mu.Lock()
	r.world.secondProcesses = append(r.world.secondProcesses, p)
	r.world.mu.Unlock()
	for deadline := time.Now().Add(readyTimeout); !ready(p.cmd.Process.Pid); {
		select {
		case <-p.ended:
			return nil, fmt.Errorf("the second process of %s ended: %v", g.name, p.err)
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("the second process of %s was not ready within %v", g.name, readyTimeout)
		}
	}
	return p, nil
}
