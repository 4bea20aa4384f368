package balancer

import (
	"slices"
	"time"
)

// This file takes the ends of attempts and decides whether a request is tried again, and where it may be.

// AttemptEnded tells how an attempt ended.
func (b *Balancer) AttemptEnded(now time.Duration, e AttemptEnd) {
	b.now = now
	r := b.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	a.ended, a.unrun = true, e.Outcome.NeverRan()
	if r.open--; !a.writing {
		b.vacate(r, a.server)
	}
	k := &a.server.kinds[r.Class]
	b.judge(r, a, e)
	if k.out == 0 && !b.mute(a.server, r.Class) { // a time-out leaves it mute, until a trial is answered
		k.since = 0
	}
	if !a.server.member && a.server.inflight == 0 {
		b.out.CloseIdle(a.server.ID)
	}
	switch {
	case e.RequestDone || r.done:
		b.conclude(r, e.Outcome == OutcomeOK && b.now <= b.useful(r))
	case r.open == 0 && e.BodyConsumed:
		b.finish(r)
	case r.open == 0:
		b.again(r)
	}
}

// judge lets the outcome speak for or against the server.
func (b *Balancer) judge(r *request, a *attempt, e AttemptEnd) {
	s := a.server
	if e.Reported {
		s.backlog += (e.QueueLength - s.backlog) * queueWeight
	}
	switch e.Outcome {
	case OutcomeOK:
		s.kinds[r.Class] = kind{out: s.kinds[r.Class].out, since: b.now} // heard of: no longer mute
		b.learn(r, s, e.Latency)
		b.succeeded(s)
		b.pace(s, min(ms(e.Latency), 2*max(b.mean, s.smooth.mean))) // single heavy requests tell little
	case OutcomeError, OutcomeReset, OutcomeConnectFailed:
		b.failed(s, true)
		b.signs.Full = b.signs.Full || s.reached && e.Outcome == OutcomeConnectFailed
	case OutcomeRejected:
		// The server is there and says so: it has enough, which is for the limit to learn, not health. One
		// that goes on refusing rests longer each time, or it would draw most attempts of many gateways.
		s.failures++
		s.heard, b.signs.Full = b.now, b.signs.Full || s.reached
		rest := max(b.mean, ms(b.meanAim())*restShare) // nothing is learnt before the first answer
		s.restUntil = b.now + scale(time.Millisecond, rest*float64(int(1)<<min(s.fulls, maxBackoff)))
		s.fulls++
	case OutcomeTimeout:
		// The server may be at work on it still: a slow fleet must not get the next request at once.
		b.pace(s, ms(e.Latency))
		if s.heard <= a.sent {
			b.failed(s, false)
		} else {
			s.failures++ // others were answered meanwhile: slow or heavy, not silent
		}
	}
}

// again holds r for another attempt if that is allowed and can still help; otherwise it ends.
func (b *Balancer) again(r *request) {
	if b.now >= r.deadline || b.hopeless(r) || !b.mayTryAgain(r) {
		b.finish(r)
		return
	}
	b.hold(r)
}

// mayTryAgain reports whether r could be sent to some server now.
func (b *Balancer) mayTryAgain(r *request) bool {
	if len(r.attempts) >= b.cfg.MaxAttempts {
		return false
	}
	if !b.mayHaveRun(r) {
		return true
	}
	if b.retryTokens < 1 {
		return false
	}
	allowed := func(s *server) bool { return s.State == EndpointReady && b.mayResend(r, s) }
	return slices.ContainsFunc(b.servers, allowed)
}

// mayHaveRun reports whether some attempt of r is not known to have done nothing.
func (b *Balancer) mayHaveRun(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.unrun })
}

// mayResend guards the rule that no effect happens twice: an unsafe request goes out again only if it never
// ran, a keyed one only to the group and within the window of each attempt that may have run.
func (b *Balancer) mayResend(r *request, s *server) bool {
	return r.open == 0 && len(r.attempts) < b.cfg.MaxAttempts && b.allowed(r, r.attempts, s)
}

// allowed reports whether r may be sent to s now, after these attempts.
func (b *Balancer) allowed(r *request, earlier []attempt, s *server) bool {
	c := &b.classes[r.Class]
	for i := range earlier {
		a := &earlier[i]
		if a.unrun || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NonIdempotent || !sameGroup(c.DedupScope, a.server, s) ||
			b.now+2*b.cfg.DispatchInterval >= a.sent+c.DedupWindow {
			return false
		}
	}
	return true
}

// MayStartAttempt reports whether an attempt of which nothing is written may still be: connections come up
// late, and the window of a keyed request ends by the moment of sending, not by that of deciding.
func (b *Balancer) MayStartAttempt(now time.Duration, id RequestID, n int) bool {
	b.now = now
	r := b.requests[id]
	return r != nil && n < len(r.attempts) && b.allowed(r, r.attempts[:n], r.attempts[n].server)
}

// timeout is how long an attempt is awaited: until the client gives up, but for a trial of an ejected server,
// which must leave time for another attempt.
func (b *Balancer) timeout(r *request, s *server) time.Duration {
	if !s.ejected {
		return 0
	}
	return scale(b.classes[r.Class].expected, silenceFactor)
}

// giveUp calls off what is out on a silent server and may be tried elsewhere. A single long attempt is
// waited for: work is spread widely, a time-out seldom stops it, and the repeat would be paid twice.
func (b *Balancer) giveUp(s *server) {
	if !b.cfg.CancelAllowed {
		return
	}
	for _, id := range s.out {
		r := b.requests[id]
		c := &b.classes[r.Class]
		if r.done || c.Idempotency == NonIdempotent || len(r.attempts) >= b.cfg.MaxAttempts || b.hopeless(r) {
			continue
		}
		for i := range r.attempts {
			if a := &r.attempts[i]; a.server == s && !a.ended {
				b.out.CancelAttempt(id, i)
			}
		}
	}
}

// conclude notes that r has its final answer; it is kept while attempts are out.
func (b *Balancer) conclude(r *request, inTime bool) {
	if !r.done {
		share := 0.0
		if inTime {
			share = 1
		}
		b.classes[r.Class].served.add(share, slowAverage)
	}
	r.done = true
	b.release(r)
}
