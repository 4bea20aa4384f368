package experiment

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"thymebend/internal/lab/emulation"
	"thymebend/internal/lab/hostmodel"
)

// play carries out the timeline, from began on, until ctx is done or everything has happened. Events
// that need gateways are left out where there are none.
func (w *World) play(ctx context.Context, began time.Duration) {
	events := slices.Clone(w.File.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At.Duration, b.At.Duration) })
	rng := rand.New(rand.NewPCG(w.seed, 4))
	for _, e := range events {
		if !Sleep(ctx, began+e.At.Duration-w.Clock()) {
			return
		}
		chosen := w.choose(e, rng)
		w.pending.Go(func() {
			if err := w.happen(ctx, e, chosen); err != nil {
				w.mark("%s failed: %v", e.Do, err)
			}
		})
	}
	w.pending.Wait()
}

// Sleep waits, and reports whether it was not for ctx that it ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// choose draws the hosts that an event is about.
func (w *World) choose(e Event, rng *rand.Rand) []*member {
	var fit []*member
	for _, m := range w.members() {
		if !m.gone.Load() && (e.Host == "" || m.Name == e.Host) && (e.Kind == "" || m.spec.Kind == e.Kind) {
			fit = append(fit, m)
		}
	}
	rng.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
	switch {
	case e.Count > 0:
		fit = fit[:min(e.Count, len(fit))]
	case e.Part > 0:
		fit = fit[:int(math.Round(e.Part*float64(len(fit))))]
	}
	return fit
}

// happen is one event, to its end.
func (w *World) happen(ctx context.Context, e Event, hosts []*member) error {
	switch e.Do {
	case "gateway-kill", "gateway-restart", "gateway-reload", "discovery-move":
		return w.toGateways(ctx, e)
	case "discovery-down":
		return w.forA(ctx, e, "discovery down", func() { w.disc.SetDown(true) }, func() { w.disc.SetDown(false) })
	case "discovery-mute":
		return w.forA(ctx, e, "discovery silent", func() { w.disc.SetMute(true) }, func() { w.disc.SetMute(false) })
	case "discovery-flap":
		w.mark("discovery starts anew")
		w.disc.Flap()
		return nil
	case "discovery-lag":
		w.mark("discovery's lag is %v", e.Lag)
		w.disc.SetLag(e.Lag.Duration)
		return nil
	}
	for i, m := range hosts {
		if i > 0 && !Sleep(ctx, e.Every.Duration) {
			return nil
		}
		w.pending.Go(func() {
			if err := w.toHost(ctx, e, m); err != nil {
				w.mark("%s of %s failed: %v", e.Do, m.Name, err)
			}
		})
	}
	return nil
}

// forA does something, and undoes it after the event's time if one is stated.
func (w *World) forA(ctx context.Context, e Event, what string, do, undo func()) error {
	w.mark("%s", what)
	do()
	if e.For.Duration > 0 && Sleep(ctx, e.For.Duration) {
		undo()
		w.mark("%s: over", what)
	}
	return nil
}

// list has discovery tell a host's state.
func (w *World) list(m *member, state string, born int64) {
	w.mu.Lock()
	m.entry.State, m.entry.Born = state, born
	entry := m.entry
	w.mu.Unlock()
	w.disc.Put(entry)
}

// again brings a host back at its address, cold if its kind starts cold.
func (w *World) again(m *member) error {
	if err := m.SetMode(emulation.Up); err != nil {
		return err
	}
	w.mark("%s back, cold", m.Name)
	w.list(m, emulation.StateUp, time.Now().UnixMilli())
	return nil
}

// drain has a host leave: discovery tells so, the host finishes what it has, and ends.
func (w *World) drain(ctx context.Context, e Event, m *member) {
	w.mark("%s drains", m.Name)
	w.list(m, emulation.StateDraining, m.entry.Born)
	lag := w.File.Discovery.Lag.Duration
	// A host that drains turns work away only once everybody may know it.
	Sleep(ctx, lag+drainGrace)
	m.Do(func(now time.Duration, h *hostmodel.Host) { h.Drain(now, true) })
	Sleep(ctx, max(e.For.Duration, 500*time.Millisecond))
	w.list(m, emulation.StateRemoved, m.entry.Born)
	l := m.Host.Close()
	w.mu.Lock()
	m.gone.Store(true)
	w.ledgers = append(w.ledgers, l)
	w.mu.Unlock()
	w.mark("%s gone", m.Name)
}

func (w *World) toGateways(ctx context.Context, e Event) error {
	list := w.gateways
	if e.Gateway >= 0 && e.Gateway < len(list) {
		list = list[e.Gateway : e.Gateway+1]
	}
	for i, g := range list {
		if i > 0 && !Sleep(ctx, e.Every.Duration) {
			return nil
		}
		if err := w.toGateway(ctx, e, g); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) toGateway(ctx context.Context, e Event, g *gateway) error {
	switch e.Do {
	case "gateway-kill", "gateway-restart":
		if e.Do == "gateway-kill" {
			w.mark("%s killed", g.name)
			w.kill(g)
		} else {
			w.mark("%s restarts", g.name)
			w.stop(g, w.Front)
		}
		if !Sleep(ctx, e.For.Duration) {
			return nil
		}
		if err := w.startGateway(g); err != nil {
			return err
		}
		if err := w.ready(ctx, g); err != nil {
			return err
		}
		w.mark("%s back", g.name)
	case "gateway-reload", "discovery-move":
		return w.reload(e, g)
	}
	return nil
}

// reload replaces a gateway's file, in which discovery has moved, and sends SIGHUP. A faulty file must change
// nothing: discovery then stays.
func (w *World) reload(e Event, g *gateway) error {
	raw, err := os.ReadFile(g.config)
	if err != nil {
		return err
	}
	if e.Faulty {
		w.mark("%s: SIGHUP with a faulty file", g.name)
		raw = raw[:len(raw)/2]
	} else {
		at, err := w.disc.Open(g.name, "127.0.0.1:0")
		if err == nil {
			at, err = w.path(g.name, NodeDiscovery, at)
		}
		if err != nil {
			return err
		}
		var fields map[string]any
		if err := json.Unmarshal(raw, &fields); err != nil {
			return err
		}
		fields["discovery"] = at
		if raw, err = json.Marshal(fields); err != nil {
			return err
		}
		w.mark("%s: SIGHUP, discovery moves", g.name)
	}
	fresh := g.config + ".new"
	if err := os.WriteFile(fresh, raw, 0o600); err != nil {
		return err
	}
	if !e.Faulty {
		if err := os.Rename(fresh, g.config); err != nil {
			return err
		}
		return g.signal(syscall.SIGHUP)
	}
	good, err := os.ReadFile(g.config)
	if err != nil {
		return err
	}
	if err := os.Rename(fresh, g.config); err != nil {
		return err
	}
	if err := g.signal(syscall.SIGHUP); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond) // it reads the file in this time; then the good one lies there again
	return os.WriteFile(g.config, good, 0o600)
}

func (g *gateway) signal(s syscall.Signal) error {
	p := g.present()
	if p == nil {
		return fmt.Errorf("%s does not run", g.name)
	}
	return p.cmd.Process.Signal(s)
}

// Play plays the events that concern hosts and discovery, for a fleet without gateways.
func (w *World) Play(ctx context.Context) { w.play(ctx, w.Clock()) }
