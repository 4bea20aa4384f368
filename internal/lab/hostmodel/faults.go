package hostmodel

import "time"

// Crash crashes the host permanently. All requests that it holds end as Lost.
func (h *Host) Crash(now time.Duration) { h.advanceTo(now); h.crash() }

// crash marks the host as down and ends all requests that it holds as Lost.
func (h *Host) crash() {
	h.down = true
	for _, x := range append(h.running, h.waiting...) {
		h.addReply(x, Lost)
	}
	h.running, h.waiting = nil, nil
}

// SetDraining starts or ends draining: a draining host finishes the requests that it holds and rejects new ones.
func (h *Host) SetDraining(now time.Duration, on bool) { h.advanceTo(now); h.draining = on }

// SetSuspended suspends the host like a stopped process, or resumes it.
func (h *Host) SetSuspended(now time.Duration, on bool) { h.advanceTo(now); h.suspended = on }

// PauseFor suspends the host for a time, at least until the end of a pause in progress.
func (h *Host) PauseFor(now, length time.Duration) {
	h.advanceTo(now)
	h.pauseEnd = max(h.pauseEnd, now+length)
}

// SetNeighbour starts another program on the machine, which is active from now on; a zero share removes the
// program. If MeanActive or MeanIdle is 0, the program is active all the time.
func (h *Host) SetNeighbour(now time.Duration, n Neighbour) {
	h.advanceTo(now)
	h.spec.Neighbour, h.neighbourShare, h.neighbourToggleAt, h.neighbourOn = n, n.Share, never, true
	if n.Share > 0 && n.MeanActive > 0 && n.MeanIdle > 0 {
		h.neighbourToggleAt = now + h.exp(n.MeanActive)
	}
}

// SetSpeed changes the speed of the cores.
func (h *Host) SetSpeed(now time.Duration, speed float64) { h.advanceTo(now); h.spec.Speed = speed }

// SetErrors changes the share of requests that end as Errored.
func (h *Host) SetErrors(now time.Duration, rate float64) { h.advanceTo(now); h.spec.ErrorRate = rate }

// AddWorkFactor multiplies the work of a share of a class's requests by factor, until the given time.
func (h *Host) AddWorkFactor(now time.Duration, class string, share, factor float64, until time.Duration) {
	h.advanceTo(now)
	h.workFactors = append(h.workFactors, workFactor{class, share, factor, until})
}

// drawWorkFactor returns the factor for the work of a request of class, drawn from the factors in force.
func (h *Host) drawWorkFactor(class string) float64 {
	factor := 1.0
	for _, f := range h.workFactors {
		if f.class == class && h.now < f.until && h.rand.Float64() < f.share {
			factor *= f.factor
		}
	}
	return factor
}
