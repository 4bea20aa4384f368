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
	w     *World
	Began time.Duration // on the run's clock
}

// Mark notes something for the report.
func (h *Handles) Mark(format string, args ...any) { h.w.mark(format, args...) }

// Front is where clients find a gateway.
func (h *Handles) Front(n int) string { return h.w.gateways[n].front }

// Kill ends a gateway's process as kill -9 does.
func (h *Handles) Kill(n int) { h.w.kill(h.w.gateways[n]) }

// Stop ends it as a planned restart does.
func (h *Handles) Stop(n int) { h.w.stop(h.w.gateways[n], h.w.Front) }

// Start starts a gateway that does not run, and waits until it is ready.
func (h *Handles) Start(ctx context.Context, n int) error {
	g := h.w.gateways[n]
	if err := h.w.startGateway(g); err != nil {
		return err
	}
	return h.w.ready(ctx, g)
}

// Heavy has the front deal a share of all traffic to some gateways, beside their turns.
func (h *Handles) Heavy(gateways []int, share float64) {
	var addrs []string
	for _, n := range gateways {
		addrs = append(addrs, h.w.gateways[n].front)
	}
	h.w.Front.Heavy(addrs, share)
}

// Signal sends a signal to a gateway's process.
func (h *Handles) Signal(n int, s syscall.Signal) error { return h.w.gateways[n].signal(s) }

// Known keeps the list that a gateway would start with now; StartWith starts it with that.
func (h *Handles) Known(n int) []byte { return h.w.disc.Known(h.w.gateways[n].name) }

// StartWith starts a gateway with a host list that it had.
func (h *Handles) StartWith(ctx context.Context, n int, known []byte) error {
	g := h.w.gateways[n]
	g.mu.Lock()
	g.known = known
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.known = nil
		g.mu.Unlock()
	}()
	return h.Start(ctx, n)
}

// Upgrade starts a second process of a gateway, waits until ready tells that it takes clients, ends the
// first one and waits for that.
func (h *Handles) Upgrade(ctx context.Context, n int, ready func(pid int) bool) error {
	w, g := h.w, h.w.gateways[n]
	elder := g.present()
	if elder == nil {
		return fmt.Errorf("%s does not run", g.name)
	}
	next, err := h.beside(ctx, g, ready)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.proc = next
	g.starts++
	g.mu.Unlock()
	// It is no stop that clients' tries are excused by: the next process takes what comes.
	killed := w.term(elder, func() {})
	switch {
	case killed:
		return fmt.Errorf("the elder process of %s had to be killed", g.name)
	case elder.err != nil:
		return fmt.Errorf("the elder process of %s: %w", g.name, elder.err)
	}
	return nil
}

// Twin starts a second process under a gateway's name that knows nothing of the first one and has an
// address of its own for clients, who do not know it. The returned function kills it.
func (h *Handles) Twin(ctx context.Context, n int, ready func(pid int) bool) (end func(), err error) {
	addr, err := h.w.rig.Listen(h.w.gateways[n].name)
	if err != nil {
		return nil, err
	}
	p, err := h.beside(ctx, h.w.gateways[n], ready, "LB_LISTEN="+addr)
	if err != nil {
		return nil, err
	}
	return func() { p.planned.Store(true); p.kill() }, nil
}

// beside starts a process of a gateway beside the one that there is.
func (h *Handles) beside(ctx context.Context, g *gateway, ready func(pid int) bool, more ...string) (*process, error) {
	discovery, err := h.w.path(g.name, NodeDiscovery, h.w.disc.Addr(g.name))
	if err != nil {
		return nil, err
	}
	p, err := h.w.startProcess(g, discovery, more)
	if err != nil {
		return nil, err
	}
	h.w.mu.Lock()
	h.w.extra = append(h.w.extra, p)
	h.w.mu.Unlock()
	for end := time.Now().Add(readyWait); !ready(p.cmd.Process.Pid); {
		select {
		case <-p.ended:
			return nil, fmt.Errorf("the second process of %s ended: %v", g.name, p.err)
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("the second process of %s was not ready within %v", g.name, readyWait)
		}
	}
	return p, nil
}
