package drill

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"thymebend/internal/lab/experiment"
)

// faultKind defines the fields that a fault accepts and requires, and its effect: exactly one of the three
// functions is set. To add a fault, add an entry to faultKinds and implement its effect below; a network fault only
// changes the condition of the affected paths.
type faultKind struct {
	allowed  []string // fields other than at and do
	required []string
	// changePath is set for a network fault. It changes the condition of an affected path.
	changePath func(f *Fault, c *condition)
	// actOnGateway is set for a process fault. It runs once for each listed gateway.
	actOnGateway func(ctx context.Context, r *rig, f *Fault, gateway int) error
	// actOnAll is set for a fault that acts on all listed gateways together. It runs once.
	actOnAll func(ctx context.Context, r *rig, f *Fault) error
}

func faultKinds() map[string]faultKind {
	gateways := func(required []string, act func(context.Context, *rig, *Fault, int) error, more ...string) faultKind {
		return faultKind{allowed: append([]string{"gateways", "every"}, more...), required: append([]string{"gateways"},
			required...), actOnGateway: act}
	}
	paths := func(required []string, change func(*Fault, *condition), more ...string) faultKind {
		return faultKind{allowed: append([]string{"for", "from", "to", "both"}, more...), required: required,
			changePath: change}
	}
	return map[string]faultKind{
		"gateway-kill":    gateways(nil, killGateway, "for"),
		"gateway-signals": gateways(nil, signalGateway, "for"),
		"gateway-term":    gateways(nil, termGateway, "for"),
		"gateway-old":     gateways([]string{"for"}, staleListGateway, "for"),
		"gateway-start":   gateways(nil, startGateway),
		"gateway-stop":    gateways([]string{"for"}, stopGateway, "for"),
		"gateway-slow":    gateways([]string{"for", "share"}, slowGateway, "for", "share"),
		"gateway-upgrade": gateways(nil, upgradeGateway),
		"gateway-twin":    gateways([]string{"for"}, duplicateGateway, "for"),
		"traffic-heavy": {allowed: []string{"gateways", "share", "for"}, required: []string{"gateways", "share"},
			actOnAll: heavyTraffic},
		"net-loss": paths([]string{"loss"}, func(f *Fault, c *condition) { c.Loss = f.Loss }, "loss"),
		"net-delay": paths([]string{"delay"}, func(f *Fault, c *condition) { c.Delay, c.Jitter = f.Delay, f.Jitter },
			"delay", "jitter"),
		"net-double":  paths([]string{"double"}, func(f *Fault, c *condition) { c.Duplicate = f.Duplicate }, "double"),
		"net-reorder": paths([]string{"reorder"}, func(f *Fault, c *condition) { c.Reorder = f.Reorder }, "reorder"),
		"net-cut":     paths([]string{"from"}, func(_ *Fault, c *condition) { c.cut = true }),
		"net-stall":   paths([]string{"from"}, func(_ *Fault, c *condition) { c.stall = true }),
		"net-partition": {allowed: []string{"for", "groups"}, required: []string{"groups"},
			changePath: func(_ *Fault, c *condition) { c.cut = true }},
	}
}

func faultNames() []string {
	var out []string
	for name := range faultKinds() {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// applyTo changes a path's condition as the fault specifies.
func (f *Fault) applyTo(c *condition) { faultKinds()[f.Kind].changePath(f, c) }

// runFault applies a fault and returns when it has ended.
func (r *rig) runFault(ctx context.Context, f *Fault) error {
	kind := faultKinds()[f.Kind]
	if kind.changePath != nil {
		r.run.Mark("%s", f)
		r.net.setFault(f, true)
		if f.For.Duration > 0 {
			experiment.Sleep(ctx, f.For.Duration)
			r.net.setFault(f, false)
			r.run.Mark("%s: over", f.Kind)
		}
		return nil
	}
	if kind.actOnAll != nil {
		return kind.actOnAll(ctx, r, f)
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var first error
	for i, g := range f.Gateways {
		if i > 0 && !experiment.Sleep(ctx, f.Every.Duration) {
			break
		}
		r.run.Mark("%s %s", f.Kind, r.names[g])
		all.Go(func() {
			if err := kind.actOnGateway(ctx, r, f, g); err != nil && ctx.Err() == nil {
				mu.Lock()
				defer mu.Unlock()
				if first == nil {
					first = fmt.Errorf("%s of %s: %w", f.Kind, r.names[g], err)
				}
			}
		})
	}
	all.Wait()
	return first
}

// String describes the fault for reports.
func (f *Fault) String() string {
	var out []string
	for _, g := range f.Groups {
		out = append(out, strings.Join(g, " "))
	}
	text := f.Kind
	switch {
	case len(out) > 0:
		text += ": " + strings.Join(out, " | ")
	case f.Both:
		text += fmt.Sprintf(": %s <-> %s", nodeList(f.From), nodeList(f.To))
	default:
		text += fmt.Sprintf(": %s -> %s", nodeList(f.From), nodeList(f.To))
	}
	return text
}

func nodeList(names []string) string {
	if len(names) == 0 {
		return "all"
	}
	return strings.Join(names, " ")
}

func killGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	r.run.Kill(g)
	return r.restartAfter(ctx, f, g)
}

func termGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	return endGateway(ctx, r, f, g)
}

// signalGateway stops a gateway like termGateway and sends it further signals while it ends, as an impatient operator or a
// supervisor does.
func signalGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	return endGateway(ctx, r, f, g, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM,
		syscall.SIGTERM)
}

// endGateway stops a gateway with SIGTERM and further signals, and starts it again after the fault's duration.
func endGateway(ctx context.Context, r *rig, f *Fault, g int, signals ...syscall.Signal) error {
	r.history.Leaving(g, r.now())
	r.run.Stop(g, signals...)
	if f.For.Duration == 0 {
		return r.setListed(g, false)
	}
	return r.restartAfter(ctx, f, g)
}

// restartAfter starts a gateway again after the fault's duration. Without a duration the gateway stays down.
func (r *rig) restartAfter(ctx context.Context, f *Fault, g int) error {
	if f.For.Duration == 0 || !experiment.Sleep(ctx, f.For.Duration) {
		return nil
	}
	return r.run.Start(ctx, g)
}

// staleListGateway kills a gateway and restarts it with the host list from the start of the drill.
func staleListGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	r.run.Kill(g)
	if !experiment.Sleep(ctx, f.For.Duration) {
		return nil
	}
	return r.run.StartWithHostList(ctx, g, r.hostLists[g])
}

func startGateway(ctx context.Context, r *rig, _ *Fault, g int) error {
	if err := r.setListed(g, true); err != nil {
		return err
	}
	return r.run.Start(ctx, g)
}

func stopGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	if err := r.setStopped(g, true); err != nil {
		return err
	}
	experiment.Sleep(ctx, f.For.Duration)
	return r.setStopped(g, false)
}

// setStopped stops or continues a gateway's process. The history records the stop from before SIGSTOP until after
// SIGCONT, so the recorded period covers the real one.
func (r *rig) setStopped(g int, on bool) error {
	s := syscall.SIGCONT
	if on {
		s = syscall.SIGSTOP
		r.history.RecordStop(g, r.now(), true)
	}
	err := r.run.Signal(g, s)
	if !on {
		r.history.RecordStop(g, r.now(), false)
	}
	return err
}

// heavyTraffic directs a share of all traffic to the listed gateways for a while. The rest of the traffic is
// distributed as usual, so these gateways get their regular part of it as well.
func heavyTraffic(ctx context.Context, r *rig, f *Fault) error {
	r.run.Mark("%s: %.0f%% to %s", f.Kind, 100*f.Share, strings.Join(r.namesOf(f.Gateways), " "))
	r.run.ConcentrateTraffic(f.Gateways, f.Share)
	if f.For.Duration > 0 {
		experiment.Sleep(ctx, f.For.Duration)
		r.run.ConcentrateTraffic(nil, 0)
		r.run.Mark("%s: over", f.Kind)
	}
	return nil
}

func (r *rig) namesOf(gateways []int) (out []string) {
	for _, g := range gateways {
		out = append(out, r.names[g])
	}
	return out
}

// slowInterval is the period of a slow gateway's cycle: in each period its process runs for the fault's share of the
// time and is stopped for the rest.
const slowInterval = 40 * time.Millisecond

func slowGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	r.history.RecordStop(g, r.now(), true)
	defer func() { r.history.RecordStop(g, r.now(), false) }()
	runTime := time.Duration(f.Share * float64(slowInterval))
	for end := time.Now().Add(f.For.Duration); time.Now().Before(end); {
		if err := r.run.Signal(g, syscall.SIGSTOP); err != nil {
			return err
		}
		on := experiment.Sleep(ctx, slowInterval-runTime)
		if err := r.run.Signal(g, syscall.SIGCONT); err != nil {
			return err
		}
		if !on || !experiment.Sleep(ctx, runTime) {
			return nil
		}
	}
	return nil
}

func upgradeGateway(ctx context.Context, r *rig, _ *Fault, g int) error {
	r.setNextKind(g, upgradedProcess)
	return r.run.Upgrade(ctx, g, r.ready)
}

// duplicateGateway runs a second process under a gateway's name for a while, then kills it.
func duplicateGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	r.setNextKind(g, duplicateProcess)
	end, err := r.run.StartDuplicate(ctx, g, r.ready)
	if err != nil {
		return err
	}
	experiment.Sleep(ctx, f.For.Duration)
	end()
	return nil
}
