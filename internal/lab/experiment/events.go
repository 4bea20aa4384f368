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

// playEvents applies the events of the file at their times, counted from loadStart, and returns when all have ended
// or ctx is done. Without gateways, events that concern gateways have no effect.
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

// Sleep waits for d. It returns true if the time has elapsed and false if ctx was done first.
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

// selectHosts returns the hosts that an event affects: the hosts that match its Host and Kind, as far as these are
// set. If Count or Fraction is set, that number or share of the matching hosts is drawn at random. Removed hosts are
// never selected.
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

// apply applies one event. An event of hosts continues after the return in one goroutine per host, which
// w.eventsInProgress counts; for any other event, apply returns when the event has ended.
func (w *World) apply(ctx context.Context, e Event, hosts []*managedHost) error {
	switch e.Do {
	case "gateway-kill", "gateway-restart", "gateway-reload", "discovery-move":
		return w.applyToGateways(ctx, e)
	case "discovery-down":
		return w.applyFor(ctx, e, "discovery down", func() { w.discovery.SetDown(true) },
			func() { w.discovery.SetDown(false) })
	case "discovery-mute":
		return w.applyFor(ctx, e, "discovery silent", func() { w.discovery.SetWatchesPaused(true) },
			func() { w.discovery.SetWatchesPaused(false) })
	case "discovery-flap":
		w.addMark("discovery starts anew")
		w.discovery.LoseHistory()
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

// applyFor calls do and, if the event has a duration, calls undo after it. The start and the end are added to the
// run's marks with the description. If ctx is done before the end, undo is not called.
func (w *World) applyFor(ctx context.Context, e Event, description string, do, undo func()) error {
	w.addMark("%s", description)
	do()
	if e.For.Duration > 0 && Sleep(ctx, e.For.Duration) {
		undo()
		w.addMark("%s: over", description)
	}
	return nil
}

// publish sets the state of a host and its start time in Unix milliseconds in the list that discovery serves.
func (w *World) publish(m *managedHost, state string, bornMS int64) {
	w.mu.Lock()
	m.entry.State, m.entry.StartedMS = state, bornMS
	entry := m.entry
	w.mu.Unlock()
	w.discovery.Put(entry)
}

// restore starts a stopped host again at its addresses, and discovery lists it as newly started. The host begins with
// slow start if its kind has one.
func (w *World) restore(m *managedHost) error {
	if err := m.SetMode(emulation.Up); err != nil {
		return err
	}
	w.addMark("%s back, cold", m.Name)
	w.publish(m, emulation.StateUp, time.Now().UnixMilli())
	return nil
}

// drain removes a host in an orderly way: discovery lists it as draining, the host finishes the requests it has, then
// discovery lists it as removed and the host is closed. It returns false, and does nothing, if an earlier event drains the
// host.
func (w *World) drain(ctx context.Context, e Event, m *managedHost) bool {
	if !m.leaves.CompareAndSwap(false, true) {
		w.addMark("%s drains already", m.Name)
		return false
	}
	w.addMark("%s drains", m.Name)
	w.publish(m, emulation.StateDraining, m.entry.StartedMS)
	lag := w.File.Discovery.Lag.Duration
	// A draining host rejects new requests only after every gateway has had time to learn of the draining state.
	Sleep(ctx, lag+drainGrace)
	m.Do(func(now time.Duration, h *hostmodel.Host) { h.SetDraining(now, true) })
	Sleep(ctx, max(e.For.Duration, 500*time.Millisecond))
	w.publish(m, emulation.StateRemoved, m.entry.StartedMS)
	record := m.Host.Close()
	w.mu.Lock()
	m.gone.Store(true)
	w.closedRecords = append(w.closedRecords, record)
	w.mu.Unlock()
	w.addMark("%s gone", m.Name)
	return true
}

// applyToGateways applies an event to the gateway whose number is e.Gateway or, if e.Gateway is -1, to all gateways
// one after another.
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

// applyToGateway applies an event to one gateway. It returns when a gateway that was killed or restarted is ready
// again.
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

// reload replaces a gateway's configuration file by one with a new discovery address and sends SIGHUP. For a faulty
// reload it writes half a file, which the gateway must reject; the address of discovery then stays as it was.
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
	time.Sleep(500 * time.Millisecond) // the gateway reads the faulty file in this time; then the original is restored
	return os.WriteFile(g.config, original, 0o600)
}

// signal sends a signal to the gateway's process. It returns an error if the gateway was never started.
func (g *gateway) signal(sig syscall.Signal) error {
	process := g.current()
	if process == nil {
		return fmt.Errorf("%s is not running", g.name)
	}
	return process.cmd.Process.Signal(sig)
}

// Play applies the events that concern hosts and discovery, counted from now. It is used for hosts and discovery
// without gateways, and returns when all events have ended or ctx is done.
func (w *World) Play(ctx context.Context) { w.playEvents(ctx, w.Clock()) }
