package configsim

import "time"

// faultTime draws a time within the phase of faults.
func (r *run) faultTime() time.Duration {
	return startPhase + time.Duration(r.rng.Int64N(int64(faultPhase)))
}

// randomDuration draws a duration below a limit.
func (r *run) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(limit)))
}

// drawFaults draws and schedules the faults of the network, of the gateways and of the control machines.
func (r *run) drawFaults() {
	cl, n := r.Cluster, len(r.Cluster.Gateways)
	r.Net.Jitter = time.Duration(1+r.rng.IntN(40)) * time.Millisecond
	if r.rng.IntN(2) == 0 {
		loss := 0.2 * r.rng.Float64()
		r.At(startPhase, func() { r.Net.Loss = loss })
	}
	if r.rng.IntN(2) == 0 {
		r.Net.Duplicate = 0.1
	}
	if r.rng.IntN(2) == 0 { // gateways crash, and restart or are replaced
		for range 1 + r.rng.IntN(n) {
			index, at, downtime := r.rng.IntN(n), r.faultTime(), r.randomDuration(8*time.Second)
			replaced := r.rng.IntN(4) == 0
			r.At(at, func() { cl.KillGateway(index) })
			r.At(at+downtime, func() {
				if replaced {
					cl.ReplaceGateway(index)
				} else {
					cl.StartGateway(index)
				}
			})
		}
	}
	if r.rng.IntN(2) == 0 { // gateways are stalled
		for range 1 + r.rng.IntN(n) {
			index, at, length := r.rng.IntN(n), r.faultTime(), r.randomDuration(20*time.Second)
			r.At(at, func() { cl.StallGateway(index, length) })
		}
	}
	r.drawControlFaults()
	r.drawPartitions()
}

// drawControlFaults draws and schedules restarts and stalls of control machines.
func (r *run) drawControlFaults() {
	cl := r.Cluster
	restart := func(i int, at, downtime time.Duration) {
		r.At(at, func() { cl.KillControl(i) })
		r.At(at+downtime, func() { cl.StartControl(i) })
	}
	switch r.rng.IntN(5) {
	case 0: // all restart one after another
		at := startPhase + r.randomDuration(10*time.Second)
		for i := range cl.ControlMachines {
			restart(i, at+time.Duration(i)*3*time.Second, time.Duration(1+r.rng.IntN(2000))*time.Millisecond)
		}
	case 1: // all restart at once
		at := r.faultTime()
		for i := range cl.ControlMachines {
			restart(i, at, time.Duration(1+r.rng.IntN(3000))*time.Millisecond)
		}
	case 2: // the control machine that leads crashes, one to three times
		for range 1 + r.rng.IntN(3) {
			at, downtime := r.faultTime(), r.randomDuration(6*time.Second)
			r.At(at, func() {
				if leader := cl.Leader(); leader != nil {
					cl.KillControl(leader.endpoint.Index)
					r.At(at+downtime, func() { cl.StartControl(leader.endpoint.Index) })
				}
			})
		}
	}
	if r.rng.IntN(3) == 0 {
		for range 1 + r.rng.IntN(4) {
			index, at, length := r.rng.IntN(len(cl.ControlMachines)), r.faultTime(), r.randomDuration(8*time.Second)
			r.At(at, func() { cl.StallControl(index, length) })
		}
	}
}

// drawPartitions draws and schedules a partition of the network, with three changes submitted within 10 s of its
// start.
func (r *run) drawPartitions() {
	cl := r.Cluster
	if r.rng.IntN(2) == 0 {
		return
	}
	machine, kind := r.rng.IntN(len(cl.ControlMachines)), r.rng.IntN(4)
	at := r.faultTime()
	r.At(at, func() {
		r.Net.Cut = func(from, to Endpoint) bool {
			switch kind {
			case 0, 1: // the regions are separated from each other
				return cl.RegionOf(from) != cl.RegionOf(to)
			case 2: // nobody receives one control machine's messages
				return from.Control && from.Index == machine
			}
			// one control machine is separated from the others, but not from gateways
			return from.Control && to.Control && (from.Index == machine || to.Index == machine)
		}
	})
	r.At(at+r.randomDuration(25*time.Second), func() { r.Net.Cut = nil })
	for range 3 { // each goes to a random control machine, on either side of the partition
		r.At(at+r.randomDuration(10*time.Second), func() { r.submit(DrawChange(r.size, r.rng)) })
	}
}
