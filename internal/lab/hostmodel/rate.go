package hostmodel

// rate returns the present speed of each running execution, in seconds of work per second.
func (h *Host) rate() float64 {
	if n := len(h.running); n > 0 && !h.stopped() {
		return h.capacityOf(min(h.spec.Cores, n)) / float64(n)
	}
	return 0
}

// stopped reports whether the host executes nothing now.
func (h *Host) stopped() bool { return h.down || h.suspended || h.pauseEnd > h.now }

// capacityOf returns the present speed of a number of busy cores together, in seconds of work per second: after
// the effects of slow start, the neighbour, thrashing and a full table of connections.
func (h *Host) capacityOf(cores int) float64 {
	capacity := float64(cores) * h.spec.Speed * h.capacityShare * (1 - h.neighbourShare)
	if excess := h.requestsPerCore() - h.spec.ThrashThreshold; h.spec.ThrashFactor > 0 && excess > 0 {
		capacity /= 1 + h.spec.ThrashFactor*excess
	}
	if h.spec.MaxConns > 0 {
		capacity *= 1 - h.spec.FullTableTax*min(1, float64(h.conns)/float64(h.spec.MaxConns))
	}
	return capacity
}

// slowStartShare returns the share of its full capacity that the host has reached. It is computed only every
// slowStartStep, so that the results do not depend on how often the model is called.
func (h *Host) slowStartShare() float64 {
	if !h.inSlowStart {
		return 1
	}
	c := h.spec.SlowStart
	progress := (h.now - h.startedAt).Seconds() / c.Duration.Seconds()
	if c.ByWork {
		progress = max(progress, h.workDone/(float64(h.spec.Cores)*h.spec.Speed*c.Duration.Seconds()/2))
	}
	return min(1, c.InitialShare+(1-c.InitialShare)*progress)
}

// requestsPerCore returns the number of requests held per core.
func (h *Host) requestsPerCore() float64 { return float64(h.InFlight()) / float64(h.spec.Cores) }

// chargeSlowStartBudget counts the work of one request sent to a host in slow start, and crashes the host if the work
// sent within SlowStart.CrashWindow exceeds the budget: present capacity times CrashWindow times CrashMultiple. work
// is the mean work of the request's class and not the drawn work, which no sender can know.
func (h *Host) chargeSlowStartBudget(work float64) {
	c := h.spec.SlowStart
	if !h.inSlowStart || h.down || c.CrashMultiple <= 0 || c.CrashWindow <= 0 || h.capacityShare >= 1 {
		return
	}
	for len(h.sentWindow) > 0 && h.sentWindow[0].at <= h.now-c.CrashWindow {
		h.sentWindowWork -= h.sentWindow[0].work
		h.sentWindow = h.sentWindow[1:]
	}
	h.sentWindow = append(h.sentWindow, sentWork{h.now, work})
	h.sentWindowWork += work
	budget := h.Capacity() * c.CrashWindow.Seconds() * c.CrashMultiple
	h.peakBudgetShare = max(h.peakBudgetShare, (h.sentWindowWork-work)/budget)
	// The present request is not counted here, as tolerance for chance: the first request over the budget does not
	// crash the host, only a further one does.
	if h.sentWindowWork-work > budget*(1+1e-9) { // tolerance for rounding in sums of many small numbers
		h.crash()
	}
}

// Capacity returns the present capacity of the host in seconds of work per second, 0 if it is down.
func (h *Host) Capacity() float64 {
	if h.down {
		return 0
	}
	return h.capacityOf(h.spec.Cores)
}
