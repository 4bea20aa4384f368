package balancer

// This file bounds what a server gets that has just started.

// coldness is the share of its capacity that s surely has: rising evenly from the stated share at its start.
func (b *Balancer) coldness(s *server) float64 {
	age := b.now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.cfg.SlowStartDuration {
		return 1
	}
	from := b.cfg.SlowStartFraction
	return from + (1-from)*max(0, age.Seconds())/b.cfg.SlowStartDuration.Seconds()
}

// coldRoom reports whether a cold server may get one more request: what is sent stays under this gateway's
// part of what would push it over. What warm servers answer tells the part; answers are counted, not their
// times, which are longer where servers are crowded. Gateways that use it beyond their even part send it
// nothing: parts are worked out without them.
func (b *Balancer) coldRoom(s *server) bool {
	cold := b.coldness(s)
	if cold == 1 || b.yielded {
		return cold == 1
	}
	if b.inFleet {
		return s.hasTurn(b.now)
	}
	// One core answers so many at least. A gateway that has just started knows no more.
	least := 1 / max(b.mean/1000, (1-gamma)*b.meanAim().Seconds())
	rate := coldShare * b.cfg.OverloadMultiple * cold * max(b.warmRate, least) / (s.sharers * s.crowd)
	burst := max(0.5, rate*b.cfg.OverloadWindow.Seconds()/2)
	s.coldTokens = min(s.coldTokens+rate*(b.now-s.coldAt).Seconds(), burst)
	s.coldAt = b.now
	return s.coldTokens > 0 && s.even
}
