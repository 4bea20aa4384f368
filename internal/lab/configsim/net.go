package configsim

import (
	"math/rand/v2"
	"time"
)

// Net is a virtual network that delays, loses, duplicates and reorders frames, and can be partitioned.
type Net struct {
	Latency, Jitter time.Duration
	RegionLatency   time.Duration // added to Latency between two regions
	Loss, Duplicate float64
	Cut             func(from, to Endpoint) bool // reports whether frames are dropped; nil means never
	Region          func(e Endpoint) string      // returns the region of an endpoint

	clock Clock
	rng   *rand.Rand
}

// NewNet returns a network that only delays frames.
func NewNet(clock Clock, seed uint64) *Net {
	return &Net{Latency: 500 * time.Microsecond, Jitter: 4 * time.Millisecond, RegionLatency: 20 * time.Millisecond,
		clock: clock, rng: rand.New(rand.NewPCG(seed, 0x2e7))}
}

// Send implements Network.
func (n *Net) Send(from, to Endpoint, _ int, deliver func()) {
	if n.Cut != nil && n.Cut(from, to) || n.rng.Float64() < n.Loss {
		return
	}
	copies := 1
	if n.Duplicate > 0 && n.rng.Float64() < n.Duplicate {
		copies = 2
	}
	for range copies {
		delay := n.Latency + time.Duration(n.rng.Int64N(int64(n.Jitter)+1))
		if n.Region != nil && n.Region(from) != n.Region(to) {
			delay += n.RegionLatency
		}
		n.clock.At(n.clock.Now()+delay, deliver)
	}
}
