package balancer

import (
	"math"
	"time"
)

// This file decides what is refused, when, and what is worth more than what.

// finish gives r its final answer: a refusal if trying again is harmless, else a failure.
func (b *Balancer) finish(r *request) {
	r.queued = false
	if b.mayRefuse(r) {
		b.out.Reject(r.ID, b.retryAfter())
	} else {
		b.out.Fail(r.ID)
	}
	b.conclude(r, false)
}

// mayRefuse guards the promise of a refusal: another try by the client must not repeat an effect.
func (b *Balancer) mayRefuse(r *request) bool {
	c := &b.classes[r.Class]
	return c.Idempotency == Idempotent || c.Idempotency == KeyedIdempotent && c.DedupScope == DedupAll ||
		!b.mayHaveRun(r)
}

// retryAfter asks clients to stay away until the queue has had time to drain.
func (b *Balancer) retryAfter() time.Duration {
	if !b.cfg.RetryAfter {
		return 0
	}
	return min(scale(b.meanAim(), 0.5+b.rng.Float64()), b.cfg.MaxRetryAfter)
}

// useful is the moment until which an answer to r earns anything.
func (b *Balancer) useful(r *request) time.Duration {
	c := &b.classes[r.Class]
	if c.LateWeight > 0 {
		return r.deadline
	}
	return min(r.deadline, r.begun+c.LatencyObjective)
}

// age is how long ago the client of a request with this patience first tried. Most requests are first tries
// and share one patience; any other is what is left of the deadline. Guards against serving repeats of
// refused requests whose aim was half spent before they came: their answers come late.
func (c *classState) age(patience time.Duration) time.Duration {
	near := scale(c.patience, patienceNoise)
	if patience >= c.patience-near && patience <= c.patience+near {
		c.agreed = min(c.agreed+1, mostAgreed)
		return 0
	}
	if c.agreed--; c.agreed < 0 {
		c.patience, c.agreed = patience, 1
		return 0
	}
	return max(0, c.Deadline-patience)
}

// hopeless reports whether an answer to r could no longer count if it were sent now: to refuse it at once
// tells the client sooner and leaves the servers to work that counts. It also keeps the deadline.
func (b *Balancer) hopeless(r *request) bool {
	return b.now+b.classes[r.Class].expected+2*b.cfg.DispatchInterval >= b.useful(r)
}

// shed reports whether a held request has waited as long as its kind is held while room is short. A request
// tried before is not shed.
func (b *Balancer) shed(r *request) bool {
	return len(r.attempts) == 0 && b.now-r.begun > b.classes[r.Class].hold[index(r.over)]
}

// setHolds works out how long each kind of work is held: until psi, but no longer than its answer would
// still come in time (exception), and work that is worth less for the time it takes gives way sooner to work
// that is worth more (exception). In a first-come queue all wait alike: a shorter hold loses first.
func (b *Balancer) setHolds() {
	for i := range b.classes {
		c := &b.classes[i]
		c.arrivals *= 1 - arrivalDecay
		c.expected = scale(c.LatencyObjective, 1-gamma)
		if c.service.n >= baseSamples {
			c.expected = scale(time.Millisecond, c.service.mean)
		}
	}
	best := b.setDensities()
	for i := range b.classes {
		c := &b.classes[i]
		for over, share := range [2]float64{1, b.cfg.OverQuotaWeight} {
			density := c.density * share
			limit := b.lateLimit(c)
			for d := range b.current {
				if d.density > density {
					limit = min(limit, b.lateLimit(d))
				}
			}
			if best > 0 {
				limit = scale(limit, math.Sqrt(density/best))
			}
			c.hold[over] = min(limit, scale(c.LatencyObjective, b.psi))
		}
	}
}

// setDensities works out what one more request of each class in time adds to the operators' goal, for the
// work it takes, and returns the most. The class served worst has a weight of its own: without it, work of
// little worth would bear the whole of a shortage.
func (b *Balancer) setDensities() float64 {
	var worth float64
	var worst *classState
	for c := range b.current {
		worth += (c.arrivals + 1) * b.worth(c)
		if worst == nil || c.served.n > 0 && (worst.served.n == 0 || c.served.mean < worst.served.mean) {
			worst = c
		}
	}
	best := 0.0
	for i := range b.classes {
		c := &b.classes[i]
		gain := b.worth(c)
		if worth > 0 && c == worst && b.cfg.TotalGoalWeight > 0 {
			gain += b.cfg.WorstClassGoalWeight / b.cfg.TotalGoalWeight * worth / (c.arrivals + 1)
		}
		c.density = gain / ms(c.expected)
		best = max(best, c.density)
	}
	return best
}

// worth is what a request of the class in time is worth.
func (b *Balancer) worth(c *classState) float64 {
	if b.cfg.WeightByWork {
		return c.Weight * ms(c.expected)
	}
	return c.Weight
}

// lateLimit is the wait after which an answer of this class would likely come too late. The margin shrinks by
// what a late answer still earns: only the rest is at risk.
func (b *Balancer) lateLimit(c *classState) time.Duration {
	rest := c.expected + scale(time.Millisecond, lateMargin*(1-c.LateWeight)*c.spread.mean)
	longest := max(c.LatencyObjective-c.expected, 0)
	return max(c.LatencyObjective-rest, scale(c.LatencyObjective, 1-gamma),
		min(scale(b.turnover(), holdTurns), longest))
}

// turnover is the mean time between two openings of room. Exception: work is held for some of these, or a
// gateway that sees few would refuse the work that the next one could have served.
func (b *Balancer) turnover() time.Duration {
	rate := 0.0
	for _, s := range b.members {
		if !s.ejected {
			rate += s.u / max(b.mean, s.smooth.mean)
		}
	}
	if b.mean == 0 || rate == 0 {
		return 0
	}
	return scale(time.Millisecond, 1/rate)
}

// overShare charges the tenant's bucket and reports whether the request is beyond its share. This gateway
// sees only its own part and takes it to be an even one.
func (b *Balancer) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenants) || b.tenants[tenant].rate <= 0 {
		return false
	}
	t := &b.tenants[tenant]
	t.tokens = min(t.tokens+t.rate*(b.now-t.at).Seconds(), t.rate)
	t.at = b.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}
