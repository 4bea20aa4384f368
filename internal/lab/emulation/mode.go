package emulation

import (
	"fmt"
	"net"
	"time"

	"thymebend/internal/lab/hostmodel"
)

// Mode is how a host's machine behaves as a whole.
type Mode string

// Modes lists them.
func Modes() []Mode { return []Mode{Up, Refuse, Silent, Hung, NoReply} }

// SetMode changes how the machine behaves.
func (h *Host) SetMode(m Mode) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.mode
	h.mode = m
	now := h.clock()
	h.model.Hold(now, m == Hung)
	switch {
	case m == Refuse && previous != Refuse:
		h.model.Fall(now)
		for _, l := range h.listeners {
			_ = l.ln.Close()
		}
		for c := range h.conns {
			resetConn(c.Conn)
		}
	case previous == Refuse && m != Refuse:
		if err := h.restart(now, h.model.Spec().Cold.For > 0); err != nil {
			return err
		}
	}
	h.deliverReplies(now)
	h.modeChanged.Broadcast()
	return nil
}

// restart begins anew, at the same addresses and with the same record. Called with the lock held.
func (h *Host) restart(now time.Duration, cold bool) error {
	model, err := hostmodel.New(h.model.Spec(), h.rand.Uint64(), now, cold, h.record)
	if err != nil {
		return err
	}
	h.model = model
	for _, l := range h.listeners {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return fmt.Errorf("host %s: %w", h.Name, err) // the door keeps its old listener, which is closed
		}
		l.ln = ln
		h.running.Go(func() { h.accept(l, ln) })
	}
	return nil
}
