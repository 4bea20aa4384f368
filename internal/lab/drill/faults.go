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

// kind is what a fault may and must state, and what it does. To add a fault: one more line here and
// what it does below; a fault of the network says what it makes of a path.
type kind struct {
	fields []string // beside at and do
	needs  []string
	path   func(f *Fault, c *condition)                                   // of the network
	act    func(ctx context.Context, r *rig, f *Fault, gateway int) error // of one gateway after the other
	whole  func(ctx context.Context, r *rig, f *Fault) error              // of all that it names at once
}

func faultKinds() map[string]kind {
	gateways := func(needs []string, act func(context.Context, *rig, *Fault, int) error, more ...string) kind {
		return kind{fields: append([]string{"gateways", "every"}, more...), needs: append([]string{"gateways"},
			needs...), act: act}
	}
	paths := func(needs []string, change func(*Fault, *condition), more ...string) kind {
		return kind{fields: append([]string{"for", "from", "to", "both"}, more...), needs: needs, path: change}
	}
	return map[string]kind{
		"gateway-kill":    gateways(nil, killGateway, "for"),
		"gateway-term":    gateways(nil, termGateway, "for"),
		"gateway-old":     gateways([]string{"for"}, oldGateway, "for"),
		"gateway-start":   gateways(nil, startGateway),
		"gateway-stop":    gateways([]string{"for"}, stopGateway, "for"),
		"gateway-slow":    gateways([]string{"for", "share"}, slowGateway, "for", "share"),
		"gateway-upgrade": gateways(nil, upgradeGateway),
		"gateway-twin":    gateways([]string{"for"}, twinGateway, "for"),
		"traffic-heavy": {fields: []string{"gateways", "share", "for"}, needs: []string{"gateways", "share"},
			whole: heavyTraffic},
		"net-loss": paths([]string{"loss"}, func(f *Fault, c *condition) { c.Loss = f.Loss }, "loss"),
		"net-delay": paths([]string{"delay"}, func(f *Fault, c *condition) { c.Delay, c.Jitter = f.Delay, f.Jitter },
			"delay", "jitter"),
		"net-double":  paths([]string{"double"}, func(f *Fault, c *condition) { c.Double = f.Double }, "double"),
		"net-reorder": paths([]string{"reorder"}, func(f *Fault, c *condition) { c.Reorder = f.Reorder }, "reorder"),
		"net-cut":     paths([]string{"from"}, func(_ *Fault, c *condition) { c.cut = true }),
		"net-stall":   paths([]string{"from"}, func(_ *Fault, c *condition) { c.stall = true }),
		"net-partition": {fields: []string{"for", "groups"}, needs: []string{"groups"},
			path: func(_ *Fault, c *condition) { c.cut = true }},
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

// spoil makes of a path's condition what the fault makes of it.
func (f *Fault) spoil(c *condition) { faultKinds()[f.Do].path(f, c) }

// happen carries a fault out, to its end.
func (r *rig) happen(ctx context.Context, f *Fault) error {
	kind := faultKinds()[f.Do]
	if kind.path != nil {
		r.run.Mark("%s", f)
		r.net.set(f, true)
		if f.For.Duration > 0 {
			experiment.Sleep(ctx, f.For.Duration)
			r.net.set(f, false)
			r.run.Mark("%s: over", f.Do)
		}
		return nil
	}
	if kind.whole != nil {
		return kind.whole(ctx, r, f)
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var first error
	for i, g := range f.Gateways {
		if i > 0 && !experiment.Sleep(ctx, f.Every.Duration) {
			break
		}
		r.run.Mark("%s %s", f.Do, r.names[g])
		all.Go(func() {
			if err := kind.act(ctx, r, f, g); err != nil && ctx.Err() == nil {
				mu.Lock()
				defer mu.Unlock()
				if first == nil {
					first = fmt.Errorf("%s of %s: %w", f.Do, r.names[g], err)
				}
			}
		})
	}
	all.Wait()
	return first
}

// String names the fault in reports.
func (f *Fault) String() string {
	var out []string
	for _, g := range f.Groups {
		out = append(out, strings.Join(g, " "))
	}
	text := f.Do
	switch {
	case len(out) > 0:
		text += ": " + strings.Join(out, " | ")
	case f.Both:
		text += fmt.Sprintf(": %s <-> %s", all(f.From), all(f.To))
	default:
		text += fmt.Sprintf(": %s -> %s", all(f.From), all(f.To))
	}
	return text
}

func all(names []string) string {
	if len(names) == 0 {
		return "all"
	}
	return strings.Join(names, " ")
}

func killGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	r.run.Kill(g)
	return r.back(ctx, f, g)
}

func termGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	r.history.Leaving(g, r.now())
	r.run.Stop(g)
	if f.For.Duration == 0 {
		return r.name(g, false)
	}
	return r.back(ctx, f, g)
}

// back starts a gateway again after the fault's time; without one it stays away.
func (r *rig) back(ctx context.Context, f *Fault, g int) error {
	if f.For.Duration == 0 || !experiment.Sleep(ctx, f.For.Duration) {
		return nil
	}
	return r.run.Start(ctx, g)
}

// oldGateway kills a gateway, which comes back with the host list of the drill's begin.
func oldGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	r.run.Kill(g)
	if !experiment.Sleep(ctx, f.For.Duration) {
		return nil
	}
	return r.run.StartWith(ctx, g, r.known[g])
}

func startGateway(ctx context.Context, r *rig, _ *Fault, g int) error {
	if err := r.name(g, true); err != nil {
		return err
	}
	return r.run.Start(ctx, g)
}

func stopGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	if err := r.halt(g, true); err != nil {
		return err
	}
	experiment.Sleep(ctx, f.For.Duration)
	return r.halt(g, false)
}

// halt stops a gateway's process, or lets it go. What is noted as stopped covers the stop on both sides.
func (r *rig) halt(g int, on bool) error {
	s := syscall.SIGCONT
	if on {
		s = syscall.SIGSTOP
		r.history.Stopped(g, r.now(), true)
	}
	err := r.run.Signal(g, s)
	if !on {
		r.history.Stopped(g, r.now(), false)
	}
	return err
}

// heavyTraffic deals a share of all traffic to some gateways for a while, beside what each gets in its turn.
func heavyTraffic(ctx context.Context, r *rig, f *Fault) error {
	r.run.Mark("%s: %.0f%% to %s", f.Do, 100*f.Share, strings.Join(r.namesOf(f.Gateways), " "))
	r.run.Heavy(f.Gateways, f.Share)
	if f.For.Duration > 0 {
		experiment.Sleep(ctx, f.For.Duration)
		r.run.Heavy(nil, 0)
		r.run.Mark("%s: over", f.Do)
	}
	return nil
}

func (r *rig) namesOf(gateways []int) (out []string) {
	for _, g := range gateways {
		out = append(out, r.names[g])
	}
	return out
}

// slice is the time in which a slow gateway gets its share of the processor.
const slice = 40 * time.Millisecond

func slowGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	r.history.Stopped(g, r.now(), true)
	defer func() { r.history.Stopped(g, r.now(), false) }()
	runs := time.Duration(f.Share * float64(slice))
	for end := time.Now().Add(f.For.Duration); time.Now().Before(end); {
		if err := r.run.Signal(g, syscall.SIGSTOP); err != nil {
			return err
		}
		on := experiment.Sleep(ctx, slice-runs)
		if err := r.run.Signal(g, syscall.SIGCONT); err != nil {
			return err
		}
		if !on || !experiment.Sleep(ctx, runs) {
			return nil
		}
	}
	return nil
}

func upgradeGateway(ctx context.Context, r *rig, _ *Fault, g int) error {
	r.next(g, upgraded)
	return r.run.Upgrade(ctx, g, r.ready)
}

// twinGateway has a second process under a gateway's name for a while, which then dies.
func twinGateway(ctx context.Context, r *rig, f *Fault, g int) error {
	r.next(g, twin)
	end, err := r.run.Twin(ctx, g, r.ready)
	if err != nil {
		return err
	}
	experiment.Sleep(ctx, f.For.Duration)
	end()
	return nil
}
