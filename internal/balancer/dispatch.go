package balancer

import (
	"math"
	"time"
)

// This file decides which server gets which request, and when: the queue, the choice of a server, the send.

// Dispatch releases what there is room for, refuses what has waited too long and holds the rest. It is
// called once after the events that arrived together.
func (b *Balancer) Dispatch(now time.Duration) {
	b.now = now
	for i := range b.classes {
		b.classes[i].noRoom = [2]bool{}
	}
	if b.stale {
		b.choose()
	}
	kept := b.queue[:0]
	for _, r := range b.queue {
		if r.done {
			r.queued = false
			b.release(r)
			continue
		}
		if b.hopeless(r) {
			b.noteWait(r)
			b.finish(r)
			continue
		}
		if s := b.pick(r); s != nil {
			b.noteWait(r)
			b.send(r, s)
			continue
		}
		if b.shed(r) {
			b.noteWait(r)
			b.finish(r)
			continue
		}
		b.signs.Short = b.signs.Short || b.now-r.begun > b.classes[r.Class].hold[index(r.over)]/2
		kept = append(kept, r)
	}
	clear(b.queue[len(kept):])
	b.queue = kept
	if len(kept) > 0 {
		b.markBound()
		b.armQueue()
	}
}

// markBound notes which limits stand in the way of held requests; only these may integrate upward.
func (b *Balancer) markBound() {
	for _, s := range b.members {
		if b.busy(s) >= b.limit(s) || b.now < s.restUntil {
			s.bound = true
		}
	}
}

// pick returns the server with most room for r, or nil. The own zone goes first; another zone's servers only
// after a wait of what the crossing costs, in time before it is shed. Room only shrinks during a Dispatch, so
// requests held alike (may they cross, may they be tried on an ejected server) are looked at once: servers
// times held requests would take more than a gateway's CPU.
func (b *Balancer) pick(r *request) *server {
	fresh, from := len(r.attempts) == 0, b.members
	if !fresh && b.classes[r.Class].Idempotency == KeyedIdempotent {
		from = b.servers // its repeat may have to go where no member is
	}
	n, c := len(from), &b.classes[r.Class]
	wait := min(scale(c.LatencyObjective, min(b.cfg.CrossZoneCost, 1-gamma)),
		scale(c.hold[index(r.over)], crossHold))
	cross := !fresh || b.now-r.arrived >= wait
	noRoom := &c.noRoom[index(cross)]
	if n == 0 || fresh && *noRoom || b.held {
		return nil
	}
	var best *server
	var bestRank, bestRoom int
	start := b.startAt(n, fresh, cross)
	for i := range n {
		s := from[(start+i)%n]
		if s.Zone != b.cfg.Zone && !cross || !b.usable(s, r) {
			continue
		}
		rank, room := b.rank(s), b.limit(s)-b.busy(s)
		if best == nil || rank < bestRank || rank == bestRank && room > bestRoom {
			best, bestRank, bestRoom = s, rank, room
		}
	}
	if fresh {
		*noRoom = best == nil
	}
	return best
}

// startAt draws where to begin, which decides among servers with equal room: any, or by the fleet's weights.
func (b *Balancer) startAt(n int, fresh, cross bool) int {
	all := b.weights[index(cross)]
	if !fresh || all == 0 {
		return b.rng.IntN(n)
	}
	at := b.rng.Float64() * all
	for i, s := range b.members {
		if cross || s.Zone == b.cfg.Zone {
			if at -= s.weight; at < 0 {
				return i
			}
		}
	}
	return 0
}

// usable reports whether s may get r now.
func (b *Balancer) usable(s *server, r *request) bool {
	k := &s.kinds[r.Class]
	return s.State == EndpointReady && b.now >= s.restUntil && b.busy(s) < b.limit(s) &&
		(!b.mute(s, r.Class) || k.out == 0 && b.now >= k.tryAt) &&
		(!s.ejected || b.mayTry(s, r)) && b.mayResend(r, s) && b.coldRoom(s)
}

// rank orders servers before room is compared: a due trial first, or an ejected server would never be tried
// while others have room, then the own zone.
func (b *Balancer) rank(s *server) int {
	switch {
	case s.ejected:
		return -1
	case !s.member:
		return 2
	case s.Zone == b.cfg.Zone:
		return 0
	default:
		return 1
	}
}

// send starts an attempt of r on s.
func (b *Balancer) send(r *request, s *server) {
	if len(r.attempts) > 0 && b.mayHaveRun(r) {
		b.retryTokens--
	}
	timeout := b.timeout(r, s)
	r.attempts = append(r.attempts, attempt{server: s, sent: b.now})
	r.open++
	r.queued = false
	b.occupy(r, s)
	if b.coldness(s) < 1 {
		s.coldTokens--
		s.turns = s.turns[min(1, len(s.turns)):]
	}
	b.out.StartAttempt(r.ID, s.ID, timeout)
}

// occupy counts an attempt of r among what s works on; vacate takes it back.
func (b *Balancer) occupy(r *request, s *server) {
	if b.busy(s) == 0 {
		s.heard = b.now
	}
	s.inflight++
	s.out = append(s.out, r.ID)
	k := &s.kinds[r.Class]
	if b.mute(s, r.Class) {
		k.tryAt = b.now + scale(b.meanAim(), float64(int(1)<<min(k.tries, maxBackoff+1)))
		k.tries++
	} else if k.since == 0 {
		k.since = b.now
	}
	k.out++
}

// RequestWriting tells that an attempt's request is still being written, which is no work for its server,
// and later that its last byte is: only then do its work, its aim and its client's patience begin.
func (b *Balancer) RequestWriting(now time.Duration, id RequestID, n int, done bool) {
	b.now = now
	r := b.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) || r.attempts[n].ended || r.attempts[n].writing != done {
		return
	}
	a := &r.attempts[n]
	if a.writing = !done; a.writing {
		b.vacate(r, a.server)
		if k := &a.server.kinds[r.Class]; k.out == 0 {
			k.since = 0
		}
		return
	}
	b.occupy(r, a.server)
	a.sent, r.arrived, r.begun, r.deadline = now, now, now, now+r.ClientTimeout
}

// limit is the number of requests that s may have in flight from this gateway.
func (b *Balancer) limit(s *server) int {
	if s.ejected {
		return 1
	}
	return int(math.Ceil(s.u))
}
