package experiment

import (
	"context"
	"fmt"
	"time"

	"thymebend/internal/lab/emulation"
	"thymebend/internal/lab/hostmodel"
)

// hostEvent is an event that is applied to one host.
type hostEvent struct {
	world *World
	ctx   context.Context
	event Event
	host  *managedHost
}

// setMode sets how the host's machine reacts to connections and requests, for the duration of the event if it has
// one.
func (h hostEvent) setMode(to emulation.Mode, description string) error {
	var err error
	begin := func() { err = h.host.SetMode(to) }
	undo := func() {
		if restoreErr := h.host.SetMode(emulation.Up); restoreErr != nil {
			err = restoreErr
		}
	}
	_ = h.world.applyFor(h.ctx, h.event, h.host.Name+" "+description, begin, undo)
	return err
}

// changeFor applies change to the host's model and, if the event has a duration, applies undo at its end.
func (h hostEvent) changeFor(description string, change, undo func(now time.Duration, h *hostmodel.Host)) error {
	return h.world.applyFor(h.ctx, h.event, h.host.Name+" "+description, func() { h.host.Do(change) },
		func() { h.host.Do(undo) })
}

// down stops the host, removes it from discovery's list and, if the event has a duration, restores it at its end.
func (h hostEvent) down() error {
	w, m, e := h.world, h.host, h.event
	w.addMark("%s down", m.Name)
	if err := m.SetMode(emulation.Refuse); err != nil {
		return err
	}
	w.publish(m, emulation.StateRemoved, m.entry.StartedMS)
	if e.For.Duration > 0 && Sleep(h.ctx, e.For.Duration) {
		return w.restore(m)
	}
	return nil
}

// restart stops the host and restores it at once, in slow start if its kind has one.
func (h hostEvent) restart() error {
	if err := h.host.SetMode(emulation.Refuse); err != nil {
		return err
	}
	return h.world.restore(h.host)
}

// replace drains the host and starts a new one of the same kind at the same addresses.
func (h hostEvent) replace() error {
	w, m := h.world, h.host
	if !w.drain(h.ctx, h.event, m) {
		return nil
	}
	w.mu.Lock()
	number := m.spec.Count + w.replacements
	w.replacements++
	w.mu.Unlock()
	replacement, err := w.startHost(m.spec, number, GatewayNames(len(m.entry.Addresses)), m.entry.Addresses, m.spec.ColdFrom > 0)
	if err == nil {
		w.addMark("%s in place of %s", replacement.Name, m.Name)
	}
	return err
}

// spoil makes a share of the host's responses faulty on the wire, for the duration of the event if it has one.
func (h hostEvent) spoil() error {
	e, fault := h.event, emulation.Fault(h.event.Fault)
	description := fmt.Sprintf("%s: %.0f%% %s", h.host.Name, e.Share*100, fault)
	begin := func() { h.host.InjectFault(fault, e.Share, e.Class) }
	undo := func() { h.host.InjectFault(fault, 0, "") }
	return h.world.applyFor(h.ctx, e, description, begin, undo)
}

// applyToModel applies the kinds of events that change the host's model.
func (h hostEvent) applyToModel() error {
	w, m, e := h.world, h.host, h.event
	switch e.Do {
	case "host-pause":
		w.addMark("%s pauses for %v", m.Name, e.For)
		m.Do(func(now time.Duration, h *hostmodel.Host) { h.PauseFor(now, e.For.Duration) })
		return nil
	case "host-slow":
		speed := m.spec.Speed
		return h.changeFor(fmt.Sprintf("at %.2f of its speed", e.Factor),
			func(now time.Duration, h *hostmodel.Host) { h.SetSpeed(now, speed*e.Factor) },
			func(now time.Duration, h *hostmodel.Host) { h.SetSpeed(now, speed) })
	case "host-errors":
		return h.changeFor(fmt.Sprintf("errs in %.0f%%", e.Share*100),
			func(now time.Duration, h *hostmodel.Host) { h.SetErrors(now, e.Share) },
			func(now time.Duration, h *hostmodel.Host) { h.SetErrors(now, m.spec.ErrorRate) })
	case "neighbour":
		n := hostmodel.Neighbour{Share: e.Share, MeanActive: e.On.Duration, MeanIdle: e.Off.Duration}
		return h.changeFor(fmt.Sprintf("has a neighbour of %.0f%%", e.Share*100),
			func(now time.Duration, h *hostmodel.Host) { h.SetNeighbour(now, n) },
			func(now time.Duration, h *hostmodel.Host) { h.SetNeighbour(now, hostmodel.Neighbour{}) })
	case "heavy":
		w.addMark("%s: %.1f%% of %s cost %.0f times", m.Name, e.Share*100, e.Class, e.Factor)
		m.Do(func(now time.Duration, h *hostmodel.Host) {
			h.AddWorkFactor(now, e.Class, e.Share, e.Factor, now+e.For.Duration)
		})
		return nil
	}
	return fmt.Errorf("unknown event %s", e.Do)
}

// applyToHost applies an event to one host and returns when the event has ended.
func (w *World) applyToHost(ctx context.Context, e Event, m *managedHost) error {
	h := hostEvent{w, ctx, e, m}
	switch e.Do {
	case "host-down":
		return h.down()
	case "host-cold":
		return h.restart()
	case "host-drain":
		w.drain(ctx, e, m)
		return nil
	case "host-replace":
		return h.replace()
	case "host-cut":
		return h.setMode(emulation.Silent, "cut off")
	case "host-hang":
		return h.setMode(emulation.Hung, "hangs")
	case "host-noreply":
		return h.setMode(emulation.NoReply, "answers nothing")
	case "host-spoil":
		return h.spoil()
	default:
		return h.applyToModel()
	}
}
