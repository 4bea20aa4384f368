package emulation

import (
	"fmt"
	"net"
	"time"

	"thymebend/internal/lab/hostmodel"
)

// Mode is how a host behaves as a whole.
type Mode string

// Modes returns all modes.
func Modes() []Mode { return []Mode{Up, Refuse, Silent, Hung, NoReply} }

// SetMode changes the mode. A change to Refuse crashes the model and resets all connections; a change from Refuse
// to another mode restarts the host. SetMode returns an error if the restarted host cannot listen at its old
// addresses.
func (h *Host) SetMode(m Mode) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.mode
	h.mode = m
	now := h.clock()
	h.model.SetSuspended(now, m == Hung)
	switch {
	case m == Refuse && previous != Refuse:
		h.model.Crash(now)
		for _, l := range h.listeners {
			_ = l.ln.Close()
		}
		for c := range h.conns {
			resetConn(c.Conn)
		}
	case previous == Refuse && m != Refuse:
		if err := h.restart(now, h.model.Spec().SlowStart.Duration > 0); err != nil {
			return err
		}
	}
	h.deliverReplies(now)
	h.modeChanged.Broadcast()
	return nil
}

// restart replaces the model and listens again at the same addresses. The record stays. h.mu must be held.
func (h *Host) restart(now time.Duration, cold bool) error {
	model, err := hostmodel.New(h.model.Spec(), h.rand.Uint64(), now, cold, h.record)
	if err != nil {
		return err
	}
	h.model = model
	for _, l := range h.listeners {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return fmt.Errorf("host %s: %w", h.Name, err) // l keeps its old listener, which is closed
		}
		l.ln = ln
		h.running.Go(func() { h.accept(l, ln) })
	}
	return nil
}
