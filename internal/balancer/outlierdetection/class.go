package outlierdetection

import (
	"time"

	"thymebend/internal/balancer/stats"
)

// Constants of stalled classes.
const (
	stalledFactor    = 2 * silenceFactor // of the usual service time; heavy work alone is no sign of a stall
	maxProbeDoubling = 4                 // doublings of the time between two probes
)

// ClassHealth is how one class of requests fares at one endpoint. Guards against an endpoint that
// answers one class at once and another never, and looks healthy as a whole. The zero value has nothing
// in flight.
type ClassHealth struct {
	InFlight int           // attempts
	since    time.Duration // first attempt since the last answer, while in flight or stalled; else 0
	probes   int           // of a stalled class
	probeAt  time.Duration // when a stalled class may be probed
}

// Stalled reports whether the endpoint leaves the class unanswered. usualMS is the usual service time
// of the class or of the endpoint, whichever is longer.
func (c *ClassHealth) Stalled(now time.Duration, usualMS float64) bool {
	return c.since > 0 && now-c.since > stats.FromMilliseconds(stalledFactor*usualMS)
}

// StalledSince reports whether the class is stalled while other work of the endpoint was answered, at
// lastHeard, after the first attempt.
func (c *ClassHealth) StalledSince(now, lastHeard time.Duration, usualMS float64) bool {
	return lastHeard > c.since && c.Stalled(now, usualMS)
}

// Allows reports whether an attempt may start: any while the class is not stalled, else one probe at a
// time.
func (c *ClassHealth) Allows(now time.Duration, usualMS float64) bool {
	return !c.Stalled(now, usualMS) || c.InFlight == 0 && now >= c.probeAt
}

// Started counts an attempt. base is the time between the first two probes of a stalled class.
func (c *ClassHealth) Started(now time.Duration, usualMS float64, base time.Duration) {
	if c.Stalled(now, usualMS) {
		c.probeAt = now + stats.Scale(base, float64(int(1)<<min(c.probes, maxProbeDoubling)))
		c.probes++
	} else if c.since == 0 {
		c.since = now
	}
	c.InFlight++
}

// Ended counts an attempt that is in flight no longer.
func (c *ClassHealth) Ended() { c.InFlight-- }

// Answered notes an answer: the class is not stalled.
func (c *ClassHealth) Answered(now time.Duration) {
	*c = ClassHealth{InFlight: c.InFlight, since: now}
}

// Settle forgets when the first attempt started once none is in flight. A class that stalled stays so
// until a probe is answered: a timeout shows nothing good.
func (c *ClassHealth) Settle(now time.Duration, usualMS float64) {
	if c.InFlight == 0 && !c.Stalled(now, usualMS) {
		c.since = 0
	}
}

// Withdrawn forgets when the first attempt started once none is in flight, stalled or not: the endpoint has
// not had the whole of a request to answer.
func (c *ClassHealth) Withdrawn() {
	if c.InFlight == 0 {
		c.since = 0
	}
}
