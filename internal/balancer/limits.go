package balancer

import (
	"math"
	"slices"
	"time"

	"thymebend/internal/subset"
)

// This file keeps the limit of each server and the bound of the wait: the loops of the paper.

// sample closes one sampling period: each server's limit, then psi, then the response setpoint.
func (b *Balancer) sample() {
	work := average{}
	for _, s := range b.servers {
		b.checkSilence(s)
		if s.member && !s.ejected && b.coldness(s) == 1 {
			work.add(float64(s.answers)*s.sharers, 0)
		}
		b.sampleServer(s)
	}
	if work.n > 0 {
		b.warmRate += (work.mean/period.Seconds() - b.warmRate) * failWeight
	}
	b.mean = b.averageClass()
	warming := func(s *server) bool { return s.even && b.coldness(s) < 1 }
	b.signs.Warming = slices.ContainsFunc(b.members, warming)
	rest := scale(b.meanAim(), 0.5+b.rng.Float64())
	b.stale = b.reach.Update(b.now, b.signs, float64(len(b.servers)), rest) || b.stale
	b.signs = subset.Signals{}
	b.sampleWait()
	b.sampleResponse()
	b.setHolds()
	b.checkWatch()
}

// sampleServer is the adaptive integral loop on service time. A sample without answers or failures changes
// nothing; failures stay out of the average and of K, and count as twice the setpoint.
func (b *Balancer) sampleServer(s *server) {
	answers, failures, sum, bound := s.answers, s.failures, s.sum, s.bound
	s.answers, s.failures, s.sum, s.bound = 0, 0, 0, false
	if answers > 0 {
		s.learnService(sum/float64(answers), answers)
	}
	setpoint := b.setpoint(s)
	if answers+failures == 0 || s.gain == 0 {
		return
	}
	service := (sum + float64(failures)*failureRatio*setpoint) / float64(answers+failures)
	step := serviceGain / s.gain * (setpoint - service)
	if s.crowded() {
		step = min(step, -queueStep)
	}
	if step < 0 || bound {
		b.move(s, step)
	}
}

// learnService updates K and the averages of the service time.
func (s *server) learnService(mean float64, answers int) {
	ratio := mean / math.Ceil(s.u)
	if s.gain == 0 {
		s.gain = ratio
	}
	s.gain = gainMemory*s.gain + (1-gainMemory)*ratio
	s.smooth.add(mean, float64(answers)/float64(answers+memory))
	s.learnBase()
}

// move applies a step of the loop. Exception: where one request of each gateway already crowds a server, u
// goes below one: it is then the share of the time in which a limit of one is open, and steps shrink with it.
func (b *Balancer) move(s *server, step float64) {
	s.u = max(s.startLimit(), s.u+step*min(1, s.u))
}

// crowded reports whether requests wait at s although they should wait at the gateways. Exception: servers
// may tip before their service times tell, as gateways grow their limits together, so a reported queue lowers
// the limit. Gently, for a report may be late or wrong.
func (s *server) crowded() bool { return s.backlog >= mostWaiting }

// startLimit is where limits start, and their least: one, or this gateway's part of a few requests over all
// gateways. What many gateways find crowded from the first request on, each would take for uncrowded.
func (s *server) startLimit() float64 { return min(1, fleetFloor/s.sharers) }

// pace rests a server with a limit below one after an attempt that kept it busy.
func (b *Balancer) pace(s *server, busy float64) {
	if s.u < 1 {
		s.restUntil = max(s.restUntil, b.now+scale(time.Millisecond, busy*(1/s.u-1)))
	}
}

// learnBase keeps the service time that the server shows when it is not crowded: the least smoothed value,
// slowly forgotten so that a machine that got slower for good is believed in the end.
func (s *server) learnBase() {
	if s.smooth.n <= baseSamples || s.smooth.mean < s.base {
		s.base = s.smooth.mean
	}
	s.base += (s.smooth.mean - s.base) * baseRise
}

// setpoint is the service-time setpoint of s in ms of the average class. Exception: it is never under a
// multiple of the uncrowded service time, or u would stay at one and idle the cores where the design's
// split of the aim leaves less than the bare work takes. Where that is because aims are short, they leave
// little for a crowd at the server either: waiting belongs at the gateway, which can still choose.
func (b *Balancer) setpoint(s *server) float64 {
	least := math.Inf(1)
	for c := range b.current {
		least = min(least, ms(c.LatencyObjective)/b.weight(c))
	}
	part := (1 - gamma) * least
	return max(part*b.response, min(crowding*s.base, s.base+crowdRoom*part))
}

// sampleWait integrates psi toward the wait setpoint, clamped between zero and twice the setpoint.
func (b *Balancer) sampleWait() {
	if b.waits.n == 0 {
		return
	}
	setpoint := gamma * b.response
	b.psi = clamp(b.psi+waitGain*(setpoint-b.waits.mean), 0, maxPsi*setpoint)
	b.waits = average{}
}

// sampleResponse is the top-level loop: it lowers both setpoints while the response percentile is over the
// aim and gives back what it took, never more than the aim itself.
func (b *Balancer) sampleResponse() {
	if b.responded < len(b.responses) {
		return
	}
	b.responded = 0
	slices.Sort(b.responses[:])
	stat := b.responses[len(b.responses)*percentile/100]
	b.response = clamp(b.response+topGain*(1-stat), minResponse, 1)
}

// learn records an answer's service time, normalised by class. Heavy requests are clipped, so that one of
// them does not look like a crowded server.
func (b *Balancer) learn(r *request, s *server, latency time.Duration) {
	c := &b.classes[r.Class]
	x := ms(latency)
	if c.service.n >= baseSamples {
		x = min(x, heavyClip*c.service.mean)
	}
	c.service.add(x, slowAverage)
	c.spread.add(math.Abs(x-c.service.mean), slowAverage)
	s.sum += x / b.weight(c)
	s.answers++
	if b.responded < len(b.responses) {
		b.responses[b.responded] = float64(b.now-r.arrived) / float64(c.LatencyObjective)
		b.responded++
	}
}
