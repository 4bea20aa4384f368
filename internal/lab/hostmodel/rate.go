package hostmodel

// rate is how fast each running execution now runs, in seconds of work a second.
func (h *Host) rate() float64 {
	if n := len(h.running); n > 0 && !h.stopped() {
		return h.capacityOf(min(h.spec.Cores, n)) / float64(n)
	}
	return 0
}

func (h *Host) stopped() bool { return h.down || h.suspended || h.pauseEnd > h.now }

// capacityOf is what so many busy cores now do.
func (h *Host) capacityOf(cores int) float64 {
	capacity := float64(cores) * h.spec.Speed * h.capacityShare * (1 - h.neighbourShare)
	if excess := h.requestsPerCore() - h.spec.ThrashAt; h.spec.Thrash > 0 && excess > 0 {
		capacity /= 1 + h.spec.Thrash*excess
	}
	if h.spec.Conns > 0 {
		capacity *= 1 - h.spec.FullTax*min(1, float64(h.conns)/float64(h.spec.Conns))
	}
	return capacity
}

// slowStartShare is the share of its capacity that the host has reached. It is looked at in steps of its own, so that
// the model does not depend on how often it is asked.
func (h *Host) slowStartShare() float64 {
	if !h.inSlowStart {
		return 1
	}
	c := h.spec.Cold
	progress := (h.now - h.startedAt).Seconds() / c.For.Seconds()
	if c.ByWork {
		progress = max(progress, h.workDone/(float64(h.spec.Cores)*h.spec.Speed*c.For.Seconds()/2))
	}
	return min(1, c.From+(1-c.From)*progress)
}

func (h *Host) requestsPerCore() float64 { return float64(h.InFlight()) / float64(h.spec.Cores) }

// chargeSlowStartBudget counts the work sent to a cold host, and lets it fall over when that is too much. It counts
// the class's mean, not the draw: nobody who sends can know the draw.
func (h *Host) chargeSlowStartBudget(work float64) {
	c := h.spec.Cold
	if !h.inSlowStart || h.down || c.FallMultiple <= 0 || c.FallFor <= 0 || h.capacityShare >= 1 {
		return
	}
	for len(h.sentWindow) > 0 && h.sentWindow[0].at <= h.now-c.FallFor {
		h.sentWindowWork -= h.sentWindow[0].work
		h.sentWindow = h.sentWindow[1:]
	}
	h.sentWindow = append(h.sentWindow, sentWork{h.now, work})
	h.sentWindowWork += work
	budget := h.Capacity() * c.FallFor.Seconds() * c.FallMultiple
	h.peakBudgetShare = max(h.peakBudgetShare, (h.sentWindowWork-work)/budget)
	// The request that crosses the line is still borne, as slack for chance.
	if h.sentWindowWork-work > budget*(1+1e-9) { // sums of many small numbers are a little off
		h.crash()
	}
}

// Capacity is what the host can do now, in seconds of work a second.
func (h *Host) Capacity() float64 {
	if h.down {
		return 0
	}
	return h.capacityOf(h.spec.Cores)
}
