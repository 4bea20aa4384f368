package configsim

import "time"

// faultTime draws a time within the faults' phase.
func (r *run) faultTime() time.Duration {
	return startPhase + time.Duration(r.rng.Int64N(int64(faultPhase)))
}

// upTo draws a time up to a bound.
func (r *run) upTo(most time.Duration) time.Duration { return time.Duration(r.rng.Int64N(int64(most))) }

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
			who, when, away, replaced := r.rng.IntN(n), r.faultTime(), r.upTo(8*time.Second), r.rng.IntN(4) == 0
			r.At(when, func() { cl.KillGateway(who) })
			r.At(when+away, func() {
				if replaced {
					cl.ReplaceGateway(who)
				} else {
					cl.StartGateway(who)
				}
			})
		}
	}
	if r.rng.IntN(2) == 0 { // gateways stand still
		for range 1 + r.rng.IntN(n) {
			who, when, length := r.rng.IntN(n), r.faultTime(), r.upTo(20*time.Second)
			r.At(when, func() { cl.StallGateway(who, length) })
		}
	}
	r.drawControlFaults()
	r.drawPartitions()
}

// drawControlFaults draws restarts and stalls of control machines.
func (r *run) drawControlFaults() {
	cl := r.Cluster
	restart := func(i int, when, away time.Duration) {
		r.At(when, func() { cl.KillControl(i) })
		r.At(when+away, func() { cl.StartControl(i) })
	}
	switch r.rng.IntN(5) {
	case 0: // one after another
		when := startPhase + r.upTo(10*time.Second)
		for i := range cl.ControlMachines {
			restart(i, when+time.Duration(i)*3*time.Second, time.Duration(1+r.rng.IntN(2000))*time.Millisecond)
		}
	case 1: // all at once
		when := r.faultTime()
		for i := range cl.ControlMachines {
			restart(i, when, time.Duration(1+r.rng.IntN(3000))*time.Millisecond)
		}
	case 2: // the leader, in the middle of something
		for range 1 + r.rng.IntN(3) {
			when, away := r.faultTime(), r.upTo(6*time.Second)
			r.At(when, func() {
				if l := cl.Leader(); l != nil {
					cl.KillControl(l.endpoint.Index)
					r.At(when+away, func() { cl.StartControl(l.endpoint.Index) })
				}
			})
		}
	}
	if r.rng.IntN(3) == 0 {
		for range 1 + r.rng.IntN(4) {
			who, when, length := r.rng.IntN(len(cl.ControlMachines)), r.faultTime(), r.upTo(8*time.Second)
			r.At(when, func() { cl.StallControl(who, length) })
		}
	}
}

// drawPartitions draws a partition of the network, with changes on each side.
func (r *run) drawPartitions() {
	cl := r.Cluster
	if r.rng.IntN(2) == 0 {
		return
	}
	one, kind := r.rng.IntN(len(cl.ControlMachines)), r.rng.IntN(4)
	when := r.faultTime()
	r.At(when, func() {
		r.Net.Cut = func(from, to Endpoint) bool {
			switch kind {
			case 0, 1: // regions are parted
				return cl.RegionOf(from) != cl.RegionOf(to)
			case 2: // one control machine is heard by nobody
				return from.Control && from.Index == one
			}
			// one is cut off from the others, and its gateways are not
			return from.Control && to.Control && (from.Index == one || to.Index == one)
		}
	})
	r.At(when+r.upTo(25*time.Second), func() { r.Net.Cut = nil })
	for range 3 { // a change on each side
		r.At(when+r.upTo(10*time.Second), func() { r.submit(Change(r.size, r.rng)) })
	}
}
