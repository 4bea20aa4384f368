package hostmodel

import "time"

// Fall ends the host for good, and with it all that it holds.
func (h *Host) Fall(now time.Duration) { h.advanceTo(now); h.crash() }

// crash ends all that the host holds.
func (h *Host) crash() {
	h.down = true
	for _, x := range append(h.running, h.waiting...) {
		h.addReply(x, Lost)
	}
	h.running, h.waiting = nil, nil
}

// Drain makes the host finish what it has and turn away the rest, or takes that back.
func (h *Host) Drain(now time.Duration, on bool) { h.advanceTo(now); h.draining = on }

// Hold stops the host, as a stopped process, until it is let go.
func (h *Host) Hold(now time.Duration, on bool) { h.advanceTo(now); h.suspended = on }

// PauseFor stops the host for a time.
func (h *Host) PauseFor(now, length time.Duration) {
	h.advanceTo(now)
	h.pauseEnd = max(h.pauseEnd, now+length)
}

// SetNeighbour lets another program in, at work from now on; a zero share takes it away. With no times on and
// off it stays.
func (h *Host) SetNeighbour(now time.Duration, n Neighbour) {
	h.advanceTo(now)
	h.spec.Neighbour, h.neighbourShare, h.neighbourToggleAt, h.neighbourOn = n, n.Share, never, true
	if n.Share > 0 && n.On > 0 && n.Off > 0 {
		h.neighbourToggleAt = now + h.exp(n.On)
	}
}

// SetSpeed changes the speed of the cores.
func (h *Host) SetSpeed(now time.Duration, speed float64) { h.advanceTo(now); h.spec.Speed = speed }

// SetErrors changes the share of attempts that fail.
func (h *Host) SetErrors(now time.Duration, rate float64) { h.advanceTo(now); h.spec.ErrorRate = rate }

// Heavy makes a share of a class's requests cost a multiple of their work, until a time.
func (h *Host) Heavy(now time.Duration, class string, share, factor float64, until time.Duration) {
	h.advanceTo(now)
	h.workFactors = append(h.workFactors, workFactor{class, share, factor, until})
}

func (h *Host) drawWorkFactor(class string) float64 {
	factor := 1.0
	for _, f := range h.workFactors {
		if f.class == class && h.now < f.until && h.rand.Float64() < f.share {
			factor *= f.factor
		}
	}
	return factor
}
