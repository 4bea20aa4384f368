package configsim

import "time"

// faultTime draws a time within the faults' phase.
func (r *run) faultTime() time.Duration {
	return startPhase + time.Duration(r.rng.Int64N(int64(faultPhase)))
}

// randomDuration draws a time up to a bound.
func (r *run) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(limit)))
}

// drawFaults draws faults of the network and of gateways, then those of control machines.
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
	if r.rng.IntN(2) == 0 { // gateways end, and come back or are replaced
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
	if r.rng.IntN(2) == 0 { // gateways stand still
		for range 1 + r.rng.IntN(n) {
			index, at, length := r.rng.IntN(n), r.faultTime(), r.randomDuration(20*time.Second)
			r.At(at, func() { cl.StallGateway(index, length) })
		}
	}
	r.drawControlFaults()
	r.drawPartitions()
}

// drawControlFaults draws restarts and stalls of control machines.
func (r *run) drawControlFaults() {
	cl := r.Cluster
	restart := func(i int, at, downtime time.Duration) {
		r.At(at, func() { cl.KillControl(i) })
		r.At(at+downtime, func() { cl.StartControl(i) })
	}
	switch r.rng.IntN(5) {
	case 0: // one after another
		at := startPhase + r.randomDuration(10*time.Second)
		for i := range cl.ControlMachines {
			restart(i, at+time.Duration(i)*3*time.Second, time.Duration(1+r.rng.IntN(2000))*time.Millisecond)
		}
	case 1: // all at once
		at := r.faultTime()
		for i := range cl.ControlMachines {
			restart(i, at, time.Duration(1+r.rng.IntN(3000))*time.Millisecond)
		}
	case 2: // the leader, in the middle of something
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

// drawPartitions draws a partition of the network, with changes on each side.
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
			case 0, 1: // regions are parted
				return cl.RegionOf(from) != cl.RegionOf(to)
			case 2: // one control machine is heard by nobody
				return from.Control && from.Index == machine
			}
			// one is cut off from the others, and its gateways are not
			return from.Control && to.Control && (from.Index == machine || to.Index == machine)
		}
	})
	r.At(at+r.randomDuration(25*time.Second), func() { r.Net.Cut = nil })
	for range 3 { // a change on each side
		r.At(at+r.randomDuration(10*time.Second), func() { r.submit(Change(r.size, r.rng)) })
	}
}
