package balancer

import (
	"fmt"
	"slices"
	"time"
)

// This file holds what the decisions share and no decision: arithmetic, what is counted, the order of the
// queue, a store of used requests, log lines.

// average is a running mean that counts its first values in full.
type average struct {
	n    int
	mean float64
}

func (a *average) add(x, least float64) {
	a.n++
	a.mean += (x - a.mean) * max(1/float64(a.n), least)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

func index(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func clamp(x, low, high float64) float64 { return max(low, min(x, high)) }

// newRequest reuses a request that was forgotten.
func (b *Balancer) newRequest() *request {
	n := len(b.free)
	if n == 0 {
		return &request{}
	}
	r := b.free[n-1]
	b.free = b.free[:n-1]
	clear(r.attempts)
	*r = request{attempts: r.attempts[:0]}
	return r
}

// log writes a line for the people on call, at most about one a second.
func (b *Balancer) log(format string, args ...any) {
	if b.loggedAt > 0 && b.now-b.loggedAt < time.Second {
		return
	}
	b.loggedAt = b.now
	b.out.Log(fmt.Sprintf(format, args...))
}

// hold queues a request by arrival; a request held again goes before those that came later.
func (b *Balancer) hold(r *request) {
	at := len(b.queue)
	for at > 0 && b.queue[at-1].arrived > r.arrived {
		at--
	}
	b.queue = slices.Insert(b.queue, at, r)
	r.queued = true
}

// release forgets a concluded request once nothing refers to it.
func (b *Balancer) release(r *request) {
	if r.done && r.open == 0 && !r.queued {
		delete(b.requests, r.ID)
		b.classes[r.Class].open--
		b.free = append(b.free, r)
	}
}

// zones walks over the servers' zones, and whether each is ready.
func (b *Balancer) zones(yield func(int, bool) bool) {
	for _, s := range b.servers {
		if !yield(s.Zone, s.State == EndpointReady) {
			return
		}
	}
}

// hasTurn drops turns whose time is over and reports whether one is left.
func (s *server) hasTurn(now time.Duration) bool {
	for len(s.turns) > 0 && now >= s.turns[0] {
		s.turns = s.turns[1:]
	}
	return len(s.turns) > 0
}

// armQueue makes sure that held requests are looked at again soon even if nothing else happens.
func (b *Balancer) armQueue() {
	if !b.queueArmed {
		b.queueArmed = true
		b.out.SetTimer(2*b.cfg.DispatchInterval, tokenQueue)
	}
}

// noteWait records the wait of a request that leaves the queue for the first time.
func (b *Balancer) noteWait(r *request) {
	if len(r.attempts) == 0 {
		b.waits.add(float64(b.now-r.arrived)/float64(b.classes[r.Class].LatencyObjective), 0)
	}
}

// meanAim is the mean of the classes' aims.
func (b *Balancer) meanAim() time.Duration {
	var sum, n time.Duration
	for c := range b.current {
		sum += c.LatencyObjective
		n++
	}
	return sum / n
}

// vacate takes back what occupy counted.
func (b *Balancer) vacate(r *request, s *server) {
	s.inflight--
	at := slices.Index(s.out, r.ID)
	s.out = slices.Delete(s.out, at, at+1)
	s.kinds[r.Class].out--
}

// averageClass is the plain mean over the classes. It must not follow the mix of what is served: work shed
// more in one class than another would look like servers getting slower.
func (b *Balancer) averageClass() float64 {
	var all average
	for c := range b.current {
		if c.service.n >= baseSamples {
			all.add(c.service.mean, 0)
		}
	}
	return all.mean
}

// sameGroup reports whether two servers share what a repeat of a keyed request must keep to.
func sameGroup(g DedupScope, a, s *server) bool {
	switch g {
	case DedupAll:
		return true
	case DedupZone:
		return a.Zone == s.Zone
	default:
		return a.Zone == s.Zone && a.Cell == s.Cell
	}
}

// weight is a class's service time over the average class's, so that times of all classes can be averaged.
func (b *Balancer) weight(c *classState) float64 {
	if c.service.n < baseSamples || b.mean == 0 {
		return 1
	}
	return c.service.mean / b.mean
}
