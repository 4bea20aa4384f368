package balancer

import (
	"time"
)

// This file decides which servers are out of rotation, and when they are tried again.

// succeeded notes an answer of s. A server on trial, or one that was only slow to answer, is taken back with
// a limit of one.
func (b *Balancer) succeeded(s *server) {
	s.failShare *= 1 - failWeight
	s.heard, s.fulls = b.now, 0
	if s.ejected && (s.silent || s.failShare < ejectShare) {
		s.ejected, s.silent, s.u = false, false, s.startLimit()
		b.stale = true
		b.log("server %d answers again", s.ID)
	}
	if s.failShare < ejectShare {
		s.ejections = 0
	}
}

// failed notes a failure of s, cuts its limit at the next sample, and rests it for a service time: a server
// that fails fast would otherwise have room all the time and draw the whole queue.
func (b *Balancer) failed(s *server, quick bool) {
	s.failures++
	s.failShare += (1 - s.failShare) * failWeight
	if quick {
		s.heard = b.now
		s.restUntil = b.now + max(scale(time.Millisecond, b.mean), scale(b.meanAim(), restShare))
	}
	if s.ejected || s.failShare > ejectShare*s.doubt() {
		b.eject(s, "fails")
	}
}

// checkSilence ejects a server that has work and has answered nothing for long: it shows in no outcome until
// the attempts time out, and unsafe ones have none.
func (b *Balancer) checkSilence(s *server) {
	limit := scale(time.Millisecond, silenceFactor*s.doubt()*max(b.mean, s.smooth.mean))
	if b.busy(s) == 0 || s.ejected || b.mean == 0 || b.now-s.heard < limit {
		return
	}
	b.eject(s, "is silent")
	if s.ejected {
		s.silent = true
		b.giveUp(s)
	}
}

// doubt is how much less of its own a gateway needs to eject a server that others found bad. They alone
// eject nobody.
func (s *server) doubt() float64 {
	if s.doubted {
		return hearsay
	}
	return 1
}

// eject keeps ordinary work from s until a trial. If too many look bad the load is suspected instead and
// all stay in use. Servers beyond the even part tell nothing of that: they are picked where others left off.
func (b *Balancer) eject(s *server, why string) {
	if !s.ejected && !s.reached {
		bad, all := 1, 0
		for _, t := range b.members {
			if t.State == EndpointReady && !t.reached {
				all++
				if t.ejected {
					bad++
				}
			}
		}
		if float64(bad) > maxEjected*float64(all) {
			return
		}
		b.log("server %d %s, ejected", s.ID, why)
	}
	s.ejected, b.stale = true, true
	backoff := scale(b.meanAim(), float64(int(1)<<min(s.ejections, maxBackoff))*(0.75+b.rng.Float64()/2))
	s.ejections++
	s.trialAt = b.now + backoff
}

// mute reports whether s leaves a class unanswered. Guards against a server that answers one class at once
// and another never, and looks healthy as a whole. Twice the time of silence: heavy work is no sign of it.
func (b *Balancer) mute(s *server, class int) bool {
	k, usual := &s.kinds[class], max(ms(b.classes[class].expected), s.smooth.mean)
	return k.since > 0 && b.now-k.since > scale(time.Millisecond, 2*silenceFactor*usual)
}

// busy is what s has in flight. What hangs of a mute class while other work is answered does not count: it
// must not take the place of that work.
func (b *Balancer) busy(s *server) int {
	n := s.inflight
	for i := range s.kinds {
		if k := &s.kinds[i]; k.out > 0 && s.heard > k.since && b.mute(s, i) {
			n -= k.out
		}
	}
	return n
}

// mayTry reports whether r may try an ejected server: one request at a time, when the trial is due, and
// only one that can be repeated if it fails.
func (b *Balancer) mayTry(s *server, r *request) bool {
	repeatable := b.classes[r.Class].Idempotency != NonIdempotent && len(r.attempts) == 0
	return repeatable && s.inflight == 0 && b.now >= s.trialAt
}
