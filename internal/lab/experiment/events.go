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

// playEvents carries out the timeline, from began on, until ctx is done or everything has happened. Events
// that need gateways are left out where there are none.
func (w *World) playEvents(ctx context.Context, loadStart time.Duration) {
	events := slices.Clone(w.File.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At.Duration, b.At.Duration) })
	rng := rand.New(rand.NewPCG(w.seed, 4))
	for _, e := range events {
		if !Sleep(ctx, loadStart+e.At.Duration-w.Clock()) {
			return
		}
		chosen := w.selectHosts(e, rng)
		w.eventsInProgress.Go(func() {
			if err := w.apply(ctx, e, chosen); err != nil {
				w.addMark("%s failed: %v", e.Do, err)
			}
		})
	}
	w.eventsInProgress.Wait()
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

// selectHosts draws the hosts that an event is about.
func (w *World) selectHosts(e Event, rng *rand.Rand) []*managedHost {
	var candidates []*managedHost
	for _, m := range w.managedHosts() {
		if !m.gone.Load() && (e.Host == "" || m.Name == e.Host) && (e.Kind == "" || m.spec.Kind == e.Kind) {
			candidates = append(candidates, m)
		}
	}
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	switch {
	case e.Count > 0:
		candidates = candidates[:min(e.Count, len(candidates))]
	case e.Fraction > 0:
		candidates = candidates[:int(math.Round(e.Fraction*float64(len(candidates))))]
	}
	return candidates
}

// apply is one event, to its end.
func (w *World) apply(ctx context.Context, e Event, hosts []*managedHost) error {
	switch e.Do {
	case "gateway-kill", "gateway-restart", "gateway-reload", "discovery-move":
		return w.applyToGateways(ctx, e)
	case "discovery-down":
		return w.applyFor(ctx, e, "discovery down", func() { w.discovery.SetDown(true) }, func() { w.discovery.SetDown(false) })
	case "discovery-mute":
		return w.applyFor(ctx, e, "discovery silent", func() { w.discovery.SetMute(true) }, func() { w.discovery.SetMute(false) })
	case "discovery-flap":
		w.addMark("discovery starts anew")
		w.discovery.Flap()
		return nil
	case "discovery-lag":
		w.addMark("discovery's lag is %v", e.Lag)
		w.discovery.SetLag(e.Lag.Duration)
		return nil
	}
	for i, m := range hosts {
		if i > 0 && !Sleep(ctx, e.Every.Duration) {
			return nil
		}
		w.eventsInProgress.Go(func() {
			if err := w.applyToHost(ctx, e, m); err != nil {
				w.addMark("%s of %s failed: %v", e.Do, m.Name, err)
			}
		})
	}
	return nil
}

// applyFor does something, and undoes it after the event's time if one is stated.
func (w *World) applyFor(ctx context.Context, e Event, description string, do, undo func()) error {
	w.addMark("%s", description)
	do()
	if e.For.Duration > 0 && Sleep(ctx, e.For.Duration) {
		undo()
		w.addMark("%s: over", description)
	}
	return nil
}

// publish has discovery tell a host's state.
func (w *World) publish(m *managedHost, state string, bornMS int64) {
	w.mu.Lock()
	m.entry.State, m.entry.Born = state, bornMS
	entry := m.entry
	w.mu.Unlock()
	w.discovery.Put(entry)
}

// restore brings a host back at its address, cold if its kind starts cold.
func (w *World) restore(m *managedHost) error {
	if err := m.SetMode(emulation.Up); err != nil {
		return err
	}
	w.addMark("%s back, cold", m.Name)
	w.publish(m, emulation.StateUp, time.Now().UnixMilli())
	return nil
}

// drain has a host leave: discovery tells so, the host finishes what it has, and ends.
func (w *World) drain(ctx context.Context, e Event, m *managedHost) {
	w.addMark("%s drains", m.Name)
	w.publish(m, emulation.StateDraining, m.entry.Born)
	lag := w.File.Discovery.Lag.Duration
	// A host that drains turns work away only once everybody may know it.
	Sleep(ctx, lag+drainGrace)
	m.Do(func(now time.Duration, h *hostmodel.Host) { h.Drain(now, true) })
	Sleep(ctx, max(e.For.Duration, 500*time.Millisecond))
	w.publish(m, emulation.StateRemoved, m.entry.Born)
	record := m.Host.Close()
	w.mu.Lock()
	m.gone.Store(true)
	w.closedRecords = append(w.closedRecords, record)
	w.mu.Unlock()
	w.addMark("%s gone", m.Name)
}

func (w *World) applyToGateways(ctx context.Context, e Event) error {
	gateways := w.gateways
	if e.Gateway >= 0 && e.Gateway < len(gateways) {
		gateways = gateways[e.Gateway : e.Gateway+1]
	}
	for i, g := range gateways {
		if i > 0 && !Sleep(ctx, e.Every.Duration) {
			return nil
		}
		if err := w.applyToGateway(ctx, e, g); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) applyToGateway(ctx context.Context, e Event, g *gateway) error {
	switch e.Do {
	case "gateway-kill", "gateway-restart":
		if e.Do == "gateway-kill" {
			w.addMark("%s killed", g.name)
			w.kill(g)
		} else {
			w.addMark("%s restarts", g.name)
			w.stop(g, w.Front)
		}
		if !Sleep(ctx, e.For.Duration) {
			return nil
		}
		if err := w.startGateway(g); err != nil {
			return err
		}
		if err := w.waitReady(ctx, g); err != nil {
			return err
		}
		w.addMark("%s back", g.name)
	case "gateway-reload", "discovery-move":
		return w.reload(e, g)
	}
	return nil
}

// reload replaces a gateway's file, in which discovery has moved, and sends SIGHUP. A faulty file must change
// nothing: discovery then stays.
func (w *World) reload(e Event, g *gateway) error {
	config, err := os.ReadFile(g.config)
	if err != nil {
		return err
	}
	if e.Faulty {
		w.addMark("%s: SIGHUP with a faulty file", g.name)
		config = config[:len(config)/2]
	} else {
		address, err := w.discovery.Open(g.name, "127.0.0.1:0")
		if err == nil {
			address, err = w.path(g.name, NodeDiscovery, address)
		}
		if err != nil {
			return err
		}
		var fields map[string]any
		if err := json.Unmarshal(config, &fields); err != nil {
			return err
		}
		fields["discovery"] = address
		if config, err = json.Marshal(fields); err != nil {
			return err
		}
		w.addMark("%s: SIGHUP, discovery moves", g.name)
	}
	newPath := g.config + ".new"
	if err := os.WriteFile(newPath, config, 0o600); err != nil {
		return err
	}
	if !e.Faulty {
		if err := os.Rename(newPath, g.config); err != nil {
			return err
		}
		return g.signal(syscall.SIGHUP)
	}
	original, err := os.ReadFile(g.config)
	if err != nil {
		return err
	}
	if err := os.Rename(newPath, g.config); err != nil {
		return err
	}
	if err := g.signal(syscall.SIGHUP); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond) // it reads the file in this time; then the good one lies there again
	return os.WriteFile(g.config, original, 0o600)
}

func (g *gateway) signal(sig syscall.Signal) error {
	process := g.current()
	if process == nil {
		return fmt.Errorf("%s does not run", g.name)
	}
	return process.cmd.Process.Signal(sig)
}

// Play plays the events that concern hosts and discovery, for a fleet without gateways.
func (w *World) Play(ctx context.Context) { w.playEvents(ctx, w.Clock()) }
