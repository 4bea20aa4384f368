package hostmodel

// rate is how fast each running execution now runs, in seconds of work a second.
func (h *Host) rate() float64 {
	if n := len(h.running); n > 0 && !h.stopped() {
		return h.power(min(h.spec.Cores, n)) / float64(n)
	}
	return 0
}

func (h *Host) stopped() bool { return h.down || h.held || h.pauseEnd > h.at }

// power is what so many busy cores now do.
func (h *Host) power(cores int) float64 {
	p := float64(cores) * h.spec.Speed * h.warm * (1 - h.neighbour)
	if excess := h.perCore() - h.spec.ThrashAt; h.spec.Thrash > 0 && excess > 0 {
		p /= 1 + h.spec.Thrash*excess
	}
	if h.spec.Conns > 0 {
		p *= 1 - h.spec.FullTax*min(1, float64(h.conns)/float64(h.spec.Conns))
	}
	return p
}

// warmth is the share of its capacity that the host has reached. It is looked at in steps of its own, so that
// the model does not depend on how often it is asked.
func (h *Host) warmth() float64 {
	if !h.cold {
		return 1
	}
	c := h.spec.Cold
	progress := (h.at - h.born).Seconds() / c.For.Seconds()
	if c.ByWork {
		progress = max(progress, h.done/(float64(h.spec.Cores)*h.spec.Speed*c.For.Seconds()/2))
	}
	return min(1, c.From+(1-c.From)*progress)
}

func (h *Host) perCore() float64 { return float64(h.InFlight()) / float64(h.spec.Cores) }

// budget counts the work sent to a cold host, and lets it fall over when that is too much. It counts
// the class's mean, not the draw: nobody who sends can know the draw.
func (h *Host) budget(work float64) {
	c := h.spec.Cold
	if !h.cold || h.down || c.FallMultiple <= 0 || c.FallFor <= 0 || h.warm >= 1 {
		return
	}
	for len(h.window) > 0 && h.window[0].at <= h.at-c.FallFor {
		h.windowWork -= h.window[0].work
		h.window = h.window[1:]
	}
	h.window = append(h.window, sent{h.at, work})
	h.windowWork += work
	most := h.Capacity() * c.FallFor.Seconds() * c.FallMultiple
	h.peak = max(h.peak, (h.windowWork-work)/most)
	// The request that crosses the line is still borne, as slack for chance.
	if h.windowWork-work > most*(1+1e-9) { // sums of many small numbers are a little off
		h.fall()
	}
}

// Capacity is what the host can do now, in seconds of work a second.
func (h *Host) Capacity() float64 {
	if h.down {
		return 0
	}
	return h.power(h.spec.Cores)
}
