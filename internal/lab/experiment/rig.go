package experiment

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"thymebend/internal/lab/requestrecord"
)

// Rig controls the network between the processes of a run and observes their starts and ends. A drill has a rig;
// other runs have none. A run calls the methods of its rig from several goroutines.
type Rig interface {
	// Path returns the address by which node from reaches node to, which listens at addr. Nodes are gateways,
	// hosts, "discovery" and "clients".
	Path(from, to, addr string) (string, error)
	// Listen returns the address at which a gateway listens.
	Listen(gateway string) (string, error)
	// HostAddress is the address, without a port, at which hosts listen. No other program may listen or open
	// connections there, as a host that restarts needs its former ports.
	HostAddress() string
	// Environment returns additional environment variables for a gateway. It is called once for each process.
	Environment(gateway string) ([]string, error)
	// StartsLater reports whether a gateway does not run from the start of the run but is started later.
	StartsLater(gateway string) bool
	// Started and Ended are called when a process of a gateway has started and when it has ended.
	Started(gateway string, pid int)
	Ended(gateway string, pid int)
	// Excuses reports whether the unanswered attempt t at a gateway was lost because of a fault that the rig caused.
	Excuses(gateway string, t requestrecord.Attempt) bool
}

// path returns the address by which the node from reaches the node to, which listens at addr.
func (w *World) path(from, to, addr string) (string, error) {
	if w.rig == nil {
		return addr, nil
	}
	return w.rig.Path(from, to, addr)
}

// Names of the nodes that are neither gateways nor hosts.
const (
	NodeDiscovery = "discovery"
	NodeClients   = "clients"
)

// RunControl controls the gateways of a run, by their numbers. It is passed to Options.Concurrent, the function that
// runs concurrently with the load. Each method returns when its operation is complete.
type RunControl struct {
	world *World
	Began time.Duration // start of the load, on the clock of the run
}

// Mark adds a text to the events of the result, with the current time.
func (r *RunControl) Mark(format string, args ...any) { r.world.addMark(format, args...) }

// ClientAddress returns the address at which clients reach a gateway.
func (r *RunControl) ClientAddress(n int) string { return r.world.gateways[n].clientAddr }

// Kill ends a gateway's process with SIGKILL.
func (r *RunControl) Kill(n int) { r.world.kill(r.world.gateways[n]) }

// Stop ends a gateway's process with SIGTERM, as a planned restart does, and sends further signals after it. Clients open
// no connection to it from shortly after SIGTERM on, and use the open ones until they end.
func (r *RunControl) Stop(n int, signals ...syscall.Signal) {
	r.world.stop(r.world.gateways[n], r.world.Front, signals...)
}

// Start starts a gateway that is not running, and waits until it is ready.
func (r *RunControl) Start(ctx context.Context, n int) error {
	g := r.world.gateways[n]
	if err := r.world.startGateway(g); err != nil {
		return err
	}
	return r.world.waitReady(ctx, g)
}

// ConcentrateTraffic makes clients send the given share of all requests to the given gateways, in addition to the
// usual turns of these gateways.
func (r *RunControl) ConcentrateTraffic(gateways []int, share float64) {
	var addrs []string
	for _, n := range gateways {
		addrs = append(addrs, r.world.gateways[n].clientAddr)
	}
	r.world.Front.SetPreferred(addrs, share)
}

// Signal sends a signal to a gateway's process.
func (r *RunControl) Signal(n int, s syscall.Signal) error { return r.world.gateways[n].signal(s) }

// HostList returns the host list with which a gateway would start now. A later start may use it.
func (r *RunControl) HostList(n int) []byte {
	return r.world.discovery.WholeList(r.world.gateways[n].name)
}

// StartWithHostList starts a gateway with the given host list, such as an outdated list, and waits until the gateway
// is ready.
func (r *RunControl) StartWithHostList(ctx context.Context, n int, known []byte) error {
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

// Upgrade does a hot restart: it starts a second process of a gateway, waits until ready returns true for its pid,
// which means that the second process serves clients, then ends the first process and waits for its end.
func (r *RunControl) Upgrade(ctx context.Context, n int, ready func(pid int) bool) error {
	w, g := r.world, r.world.gateways[n]
	predecessor := g.current()
	if predecessor == nil {
		return fmt.Errorf("%s is not running", g.name)
	}
	successor, err := r.startSecondProcess(ctx, g, ready)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.process = successor
	g.starts++
	g.mu.Unlock()
	// This stop is not recorded, so it excuses no lost attempts: the successor serves all clients.
	killed := w.terminate(predecessor, func() {})
	switch {
	case killed:
		return fmt.Errorf("the predecessor of %s did not end after SIGTERM and was killed", g.name)
	case predecessor.err != nil:
		return fmt.Errorf("the predecessor of %s failed: %w", g.name, predecessor.err)
	}
	return nil
}

// StartDuplicate starts a second process under a gateway's name that is independent of the first. It listens at
// another address, which no client uses. The call waits until ready returns true for its pid; the returned function
// kills the process.
func (r *RunControl) StartDuplicate(ctx context.Context, n int, ready func(pid int) bool) (end func(), err error) {
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

// startSecondProcess starts a further process of a gateway while its first one runs, and waits until ready returns
// true.
func (r *RunControl) startSecondProcess(ctx context.Context, g *gateway, ready func(pid int) bool, extraEnv ...string) (
	*process, error) {
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
