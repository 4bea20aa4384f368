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
	was := h.mode
	h.mode = m
	now := h.clock()
	h.model.Hold(now, m == Hung)
	switch {
	case m == Refuse && was != Refuse:
		h.model.Fall(now)
		for _, d := range h.doors {
			_ = d.ln.Close()
		}
		for c := range h.conns {
			reset(c.Conn)
		}
	case was == Refuse && m != Refuse:
		if err := h.restart(now, h.model.Spec().Cold.For > 0); err != nil {
			return err
		}
	}
	h.settle(now)
	h.wake.Broadcast()
	return nil
}

// restart begins anew, at the same addresses and with the same record. Called with the lock held.
func (h *Host) restart(now time.Duration, cold bool) error {
	model, err := hostmodel.New(h.model.Spec(), h.rand.Uint64(), now, cold, h.ledger)
	if err != nil {
		return err
	}
	h.model = model
	for _, d := range h.doors {
		ln, err := net.Listen("tcp", d.addr)
		if err != nil {
			return fmt.Errorf("host %s: %w", h.Name, err) // the door keeps its old listener, which is closed
		}
		d.ln = ln
		h.served.Go(func() { h.accept(d, ln) })
	}
	return nil
}
